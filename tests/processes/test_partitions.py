"""Steps of `partitions.feature`: a network partition between routers."""

import asyncio
import contextlib
import dataclasses
import pathlib
from typing import Any

import pytest_bdd

from demo import caller as caller_lib
from demo import catalogue
from demo import fleet as fleet_lib
from demo import request_specs
from tests.processes import linked_fleet

SETTINGS = fleet_lib.Settings(
    routers=5,
    engines=2,
    engine_slots=8,
    bookings=1,
    list_lag_s=0.1,
    limits={"address_ttl_s": 0.5},
)
MAJORITY = ("router-1", "router-2", "router-3")
MINORITY = ("router-4", "router-5")
WITHOUT_LOG = ("router-3", *MINORITY)
LONG_TOKENS = 150
QUEUE_LENGTHS = (65, 66)

pytest_bdd.scenarios("partitions.feature")


@dataclasses.dataclass(slots=True)
class ScenarioRecord:
    """What was observed.

    Offsets are positions of the catalogue in the log.

    Attributes:
        results: results of requests that were sent without retries.
        bookings: results of non-idempotent calls, made after the partition
            healed and retried after a refusal.
        run_counts: number of runs by booking.
        peer_states: state of each peer during the partition, as seen by each
            router, by router and peer.
        change_offset: offset of the change made during the partition.
        offsets_during_partition: offsets in force at the end of the
            partition, by router.
        peer_offers_taken: number of catalogues that each router took from
            its peers before it could reach the log again.
        offset_samples: offsets in force at each router, in order of time.
        catalogues: catalogues in force at the end, by router.
        statuses: bodies of `/v1/status` at the end, by router.
        failed_exits: names of processes with an unexpected exit status.
        tracebacks: tracebacks in the logs of the processes.
    """

    results: list[caller_lib.Result] = dataclasses.field(default_factory=list)
    bookings: list[caller_lib.Result] = dataclasses.field(default_factory=list)
    run_counts: dict[str, int] = dataclasses.field(default_factory=dict)
    peer_states: dict[str, dict[str, str]] = dataclasses.field(
        default_factory=dict
    )
    change_offset: int = 0
    offsets_during_partition: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    peer_offers_taken: dict[str, int] = dataclasses.field(default_factory=dict)
    offset_samples: dict[str, list[int]] = dataclasses.field(
        default_factory=dict
    )
    catalogues: dict[str, Any] = dataclasses.field(default_factory=dict)
    statuses: dict[str, Any] = dataclasses.field(default_factory=dict)
    failed_exits: list[str] = dataclasses.field(default_factory=list)
    tracebacks: list[str] = dataclasses.field(default_factory=list)


def read_peer_states(statuses: dict[str, Any]) -> dict[str, dict[str, str]]:
    """Returns the peers' states as seen by each router, by router and peer."""
    return {
        name: {peer["name"]: peer["state"] for peer in status["peers"]}
        for name, status in statuses.items()
    }


def read_offsets(statuses: dict[str, Any]) -> dict[str, int]:
    """Returns the offset of the catalogue in force, by router."""
    return {n: status["catalogue_offset"] for n, status in statuses.items()}


def is_split(peer_states: dict[str, dict[str, str]]) -> bool:
    """Returns whether each side sees exactly the other as unreachable."""
    return all(
        (state == "unreachable") == ((name in MINORITY) != (peer in MINORITY))
        for name, states in peer_states.items()
        for peer, state in states.items()
    )


def is_connected(statuses: dict[str, Any]) -> bool:
    """Returns whether all routers agree on schedulers, with all peers live."""
    peer_states = read_peer_states(statuses)
    if any(set(states.values()) != {"live"} for states in peer_states.values()):
        return False
    pools = next(iter(statuses.values()))["pools"]
    return all(
        [n for n, s in statuses.items() if s["pools"][pool]["is_scheduler"]]
        == list({s["pools"][pool]["scheduler"] for s in statuses.values()})
        for pool in pools
    )


def build_change(queue_length: int) -> list[dict[str, Any]]:
    """Returns a change of a workspace's queue length, as catalogue entries."""
    changed = dataclasses.replace(
        linked_fleet.WORKSPACES[0], queue_length=queue_length
    )
    return [
        entry
        for entry in catalogue.build_entries([changed], [], [])
        if entry["kind"] == "workspace"
    ]


class Scenario:
    """Partitions a running fleet, heals it and records observations."""

    def __init__(self, fleet: linked_fleet.LinkedFleet):
        self.fleet = fleet
        self.record = ScenarioRecord(
            offset_samples={name: [] for name in fleet.instances}
        )

    async def run(self) -> ScenarioRecord:
        """Runs the whole scenario."""
        sampling = asyncio.create_task(self._sample_offsets())
        await self.fleet.wait_for_status(
            is_connected, "all routers connected before the partition"
        )
        running = self._start_requests(max_tokens=LONG_TOKENS)
        self._partition()
        running += self._start_requests()
        await self._finish_requests(running)
        await self._serve_and_change()
        await self._heal()
        sampling.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await sampling
        return self.record

    async def _serve_and_change(self) -> None:
        record = self.record
        running = self._start_requests()
        record.change_offset = await self.fleet.apply(
            build_change(QUEUE_LENGTHS[0])
        )
        await self.fleet.wait_for_status(
            lambda statuses: all(
                read_offsets(statuses)[name] >= record.change_offset
                for name in MAJORITY
            ),
            "the change in force at the majority",
        )
        await self.fleet.wait_for_status(
            lambda statuses: is_split(read_peer_states(statuses)),
            "each side to see the other as unreachable",
        )
        await self._finish_requests(running + self._start_requests())
        statuses = await self.fleet.read_all("/v1/status")
        record.peer_states = read_peer_states(statuses)
        record.offsets_during_partition = read_offsets(statuses)

    async def _heal(self) -> None:
        fleet, record = self.fleet, self.record
        fleet.rules.heal_partition()
        await self.fleet.wait_for_status(
            lambda statuses: (
                min(read_offsets(statuses).values()) >= record.change_offset
            ),
            "the change in force at all routers",
        )
        stats = await fleet.read_all("/v1/stats")
        record.peer_offers_taken = {
            name: each["counters"].get("catalogue.peer_offers_taken", 0)
            for name, each in stats.items()
        }
        for relay in fleet.log_relays.values():
            relay.unblock()
        await fleet.apply(build_change(QUEUE_LENGTHS[1]), "--wait")
        await self.fleet.wait_for_status(
            is_connected, "all routers connected after the partition"
        )
        await self._finish_requests(self._start_requests())
        await self._run_bookings()
        record.statuses = await fleet.read_all("/v1/status")
        record.catalogues = await fleet.read_all("/v1/catalogue")

    async def _run_bookings(self) -> None:
        fleet = self.fleet
        running = []
        for name in fleet.instances:
            booking = fleet.make_bookings_call(is_idempotent=False)
            running += fleet.start_calls(
                name, [booking], linked_fleet.MANY_ATTEMPTS
            )
        self.record.bookings = await asyncio.gather(*running)
        self.record.run_counts = await fleet.read_run_counts()

    def _partition(self) -> None:
        self.fleet.rules.partition(MINORITY)
        for relay in self.fleet.log_relays.values():
            relay.block()

    def _start_requests(
        self, max_tokens: int = linked_fleet.MAX_TOKENS
    ) -> list[asyncio.Task[caller_lib.Result]]:
        fleet = self.fleet
        running = []
        for name in fleet.instances:
            batch = [
                fleet.make_assistant_request(max_tokens),
                fleet.make_assistant_request(max_tokens),
                fleet.make_bookings_call(is_idempotent=True),
            ]
            if name not in WITHOUT_LOG:
                batch.append(fleet.make_bookings_call(is_idempotent=False))
            running += fleet.start_calls(name, batch)
        return running

    async def _finish_requests(
        self, running: list[asyncio.Task[caller_lib.Result]]
    ) -> None:
        self.record.results += await asyncio.gather(*running)

    async def _sample_offsets(self) -> None:
        while True:
            offsets = read_offsets(await self.fleet.read_all("/v1/status"))
            for name, offset in offsets.items():
                self.record.offset_samples[name].append(offset)
            await asyncio.sleep(linked_fleet.POLL_INTERVAL_S)


@pytest_bdd.when(
    "two routers are cut off while requests run, and reconnected",
    target_fixture="record",
)
def cut_and_heal(tmp_path: pathlib.Path) -> ScenarioRecord:
    fleet = linked_fleet.LinkedFleet(SETTINGS, tmp_path, WITHOUT_LOG)
    return asyncio.run(
        linked_fleet.run_scenario(fleet, lambda fleet: Scenario(fleet).run())
    )


@pytest_bdd.then("every request on both sides completed at the first attempt")
def check_served(record: ScenarioRecord):
    assert linked_fleet.list_failures(record.results) == []
    assert record.results


@pytest_bdd.then("every booking made after the partition healed ran once")
def check_bookings(record: ScenarioRecord):
    assert linked_fleet.list_failures(record.bookings) == []
    names = [
        request_specs.build_scoped_id(
            result.spec.workspace, result.spec.request_id
        )
        for result in record.bookings
    ]
    assert [record.run_counts.get(name) for name in names] == [1] * len(names)


@pytest_bdd.then("each side considered the other unreachable")
def check_split(record: ScenarioRecord):
    assert is_split(record.peer_states)


@pytest_bdd.then("a change made during the partition reached only the majority")
def check_reached(record: ScenarioRecord):
    reached = [
        n
        for n, at in record.offsets_during_partition.items()
        if at >= record.change_offset
    ]
    assert reached == list(MAJORITY)


@pytest_bdd.then("exactly the routers without the log got it from their peers")
def check_offers(record: ScenarioRecord):
    asked = [name for name, count in record.peer_offers_taken.items() if count]
    assert asked == list(WITHOUT_LOG)


@pytest_bdd.then("no router ever reverted to an earlier catalogue")
def check_order(record: ScenarioRecord):
    for offsets in record.offset_samples.values():
        assert offsets == sorted(offsets)
        assert offsets[-1] > record.change_offset


@pytest_bdd.then("all routers have the same catalogue in force")
def check_catalogues(record: ScenarioRecord):
    first, *others = record.catalogues.values()
    assert others == [first] * len(others)


@pytest_bdd.then(
    "all routers use the same scheduler for each pool and see all peers live"
)
def check_joined(record: ScenarioRecord):
    assert is_connected(record.statuses)


@pytest_bdd.then("no process had an internal fault")
def check_faults(record: ScenarioRecord):
    assert record.tracebacks == []
    assert record.failed_exits == []
