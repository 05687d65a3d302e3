"""Measures how the cost of decisions and messages grows with the load.

Prints one JSON line per measurement: the scheduler's CPU time per decision
and memory per workspace by number of backlogged workspaces; a router's CPU
time per timer event (including one heartbeat received from each peer and the
encoding of sent messages), sent bytes per second, and memory per router by
number of routers; and the codec's CPU time and bytes by number of list items.
"""

import json
import sys
import time
import tracemalloc

from bench import membership_slopes
from lentilbeam_core import catalogue
from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core import scheduler as scheduler_lib
from lentilbeam_router import peer_codec

WORKSPACE_COUNTS = (16, 64, 256, 1024, 4096, 16384, 40000)
ITEM_COUNTS = (0, 1, 4, 16)
TARGET_COUNT = 24
SLOTS_PER_TARGET = 8
DECISIONS = 1500
REPEATS = 300
POOL = ids.PoolId("assistants")
ROUTER = ids.InstanceId("router-1")


def make_catalogue(count: int) -> catalogue.Catalogue:
    """Returns a catalogue of one pool and `count` workspaces."""
    plain_class = catalogue.WorkspaceClass(ids.ClassId("plain"), "owner", 1.0)
    workspaces = {
        name: catalogue.Workspace(
            name, "owner", plain_class.name, catalogue.Limits()
        )
        for name in (ids.WorkspaceId(f"studio-{i}") for i in range(count))
    }
    targets = tuple(
        catalogue.Target(
            ids.TargetId(f"worker-{i}"),
            "",
            ids.DataCentreId("east"),
            SLOTS_PER_TARGET,
        )
        for i in range(TARGET_COUNT)
    )
    pool = catalogue.Pool(POOL, "owner", catalogue.ServiceKind.MODEL, targets)
    return catalogue.Catalogue(
        {plain_class.name: plain_class}, workspaces, {POOL: pool}
    )


def make_report(
    sequence: int,
    acknowledged: int,
    demands: list[messages.WorkspaceDemand],
    slots: list[messages.SlotUse],
) -> messages.DemandReport:
    """Returns a demand report; sequence 1 opens a session with a full one."""
    return messages.DemandReport(
        pool=POOL,
        incarnation=ids.Incarnation(1 if sequence == 1 else 0),
        session=1,
        sequence=sequence,
        part=0,
        parts=1,
        acknowledged=acknowledged,
        is_full=sequence == 1,
        floor=0.0,
        workspaces=tuple(demands),
        slots=tuple(slots),
        targets=(),
        wants_answer=True,
    )


def make_demand(
    name: ids.WorkspaceId, served: float
) -> messages.WorkspaceDemand:
    """Returns the demand of a workspace that always has waiting requests."""
    return messages.WorkspaceDemand(name, 1000, 500, served, 900.0)


class SchedulerDriver:
    """Drives a scheduler with the reports of one simulated router.

    Attributes:
        scheduler: the measured scheduler.
        sequence: sequence number of the last report.
        acknowledged: sequence number of the last grant update.
        served: service received by each workspace, in tokens.
        ended_counts: number of ended requests, by target and workspace.
        running: grants of the running requests, oldest first.
    """

    def __init__(self, count: int):
        entries = make_catalogue(count)
        self.scheduler = scheduler_lib.Scheduler(
            ROUTER, entries.pools[POOL], scheduler_lib.Settings()
        )
        self.scheduler.configure(entries.pools[POOL], entries)
        members = scheduler_lib.Members(
            {ROUTER: None}, frozenset({ROUTER}), frozenset({ROUTER}), 1
        )
        self.scheduler.set_members(members, 0.0)
        self.scheduler.activate(0.0)
        self.sequence = 1
        self.acknowledged = 0
        self.served: dict[ids.WorkspaceId, float] = {}
        self.ended_counts: dict[tuple[ids.TargetId, ids.WorkspaceId], int] = {}
        self.running: list[messages.Grant] = []
        demands = [make_demand(name, 0.0) for name in entries.workspaces]
        self.scheduler.receive(ROUTER, make_report(1, 0, demands, []), 0.0)
        self._collect(0.0)

    def step(self, now: float) -> None:
        """Reports the end of the oldest request and collects new grants."""
        grant = self.running.pop(0)
        key = (grant.target, grant.workspace)
        self.ended_counts[key] = self.ended_counts.get(key, 0) + 1
        served = self.served.get(grant.workspace, 0.0) + 900.0
        self.served[grant.workspace] = served
        use = messages.SlotUse(
            grant.target,
            grant.workspace,
            grant.granted,
            self.ended_counts[key],
            0,
            0.0,
        )
        self.sequence += 1
        demand = make_demand(grant.workspace, served)
        report = make_report(self.sequence, self.acknowledged, [demand], [use])
        self.scheduler.receive(ROUTER, report, now)
        self._collect(now)

    def _collect(self, now: float) -> None:
        for addressed in self.scheduler.run(now):
            self.acknowledged = addressed.update.sequence
            self.running += addressed.update.grants


def measure_scheduler(count: int) -> dict[str, object]:
    """Measures scheduling decisions with `count` backlogged workspaces."""
    tracemalloc.start()
    driver = SchedulerDriver(count)
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started_at = time.process_time()
    for index in range(DECISIONS):
        driver.step(1.0 + index * 0.01)
    cpu_s = time.process_time() - started_at
    return {
        "name": "scheduler",
        "workspaces": count,
        "targets": TARGET_COUNT,
        "decision_us": round(cpu_s / DECISIONS * 1e6, 1),
        "bytes_per_workspace": round(allocated_bytes / count),
    }


def measure_codec(
    name: str, items: int, message: messages.PeerMessage
) -> dict[str, object]:
    """Measures the size and the coding time of one message.

    Args:
        name: name of the measurement.
        items: number of items in each list of the message.
        message: the message.
    """
    data = peer_codec.encode(ROUTER, message)
    started_at = time.process_time()
    for _ in range(REPEATS):
        peer_codec.encode(ROUTER, message)
    encoded_at = time.process_time()
    for _ in range(REPEATS):
        peer_codec.decode(data)
    ended_at = time.process_time()
    return {
        "name": name,
        "items": items,
        "bytes": len(data),
        "encode_us": round((encoded_at - started_at) / REPEATS * 1e6, 1),
        "decode_us": round((ended_at - encoded_at) / REPEATS * 1e6, 1),
    }


def make_messages(items: int) -> dict[str, messages.PeerMessage]:
    """Returns messages with `items` items per list, by measurement name."""
    names = [ids.WorkspaceId(f"studio-{i}") for i in range(items)]
    targets = [ids.TargetId(f"worker-{i % 6}") for i in range(items)]
    pairs = list(zip(names, targets, strict=True))
    demands = [make_demand(name, 123456.0) for name in names]
    uses = [messages.SlotUse(t, n, 17, 17, 1, 900.0) for n, t in pairs]
    grants = tuple(messages.Grant(n, t, 18, 123456.0) for n, t in pairs)
    update = messages.GrantUpdate(
        POOL, 305419777, 300, 0, 1, 299, False, 150, 123456.0, grants, ()
    )
    return {
        "codec_report": make_report(300, 299, demands, uses),
        "codec_update": update,
    }


def main() -> int:
    """Prints all measurements."""
    for count in WORKSPACE_COUNTS:
        print(json.dumps(measure_scheduler(count)), flush=True)
    for router_count in membership_slopes.ROUTER_COUNTS:
        print(json.dumps(membership_slopes.measure(router_count)), flush=True)
    for items in ITEM_COUNTS:
        for name, message in make_messages(items).items():
            print(json.dumps(measure_codec(name, items, message)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
