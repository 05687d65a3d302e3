"""Measures how soon a catalogue change is in force at 7 router processes.

Part of `make bench-catalogue`. Publishes changes with the code of the command
line tool and reads from the routers' timelines when each came into force. All
processes share the clock of one machine. Peer messages pass through relays
that drop 1% of them. Prints two JSON lines with figures and limits: one while
all routers reach the catalogue log, one while the routers of one data centre
are disconnected from it.
"""

import asyncio
import dataclasses
import json
import logging
import pathlib
import random
import sys
import tempfile

from absl import app
from absl import flags
from hdrh import histogram

from demo import catalogue
from demo import fleet as fleet_lib
from demo import processes
from lentilbeam_cli import context as context_lib
from lentilbeam_cli import environment
from lentilbeam_cli import options as options_lib
from lentilbeam_cli import output
from lentilbeam_cli import plan as plan_lib
from lentilbeam_cli import publishing
from lentilbeam_cli import reading
from lentilbeam_cli import sources as sources_lib
from lentilbeam_core import catalogue_change
from lentilbeam_core import hlc
from tests.processes import linked_fleet

CHANGES = flags.DEFINE_integer("changes", 40, "Changes per measurement.")

SETTINGS = fleet_lib.Settings(engines=1, bookings=1)
PEER_LOSS = 0.01
DISCONNECTED_CENTRE = "west"
MIN_PAUSE_S = 0.2
MAX_PAUSE_S = 0.8
SEED = 1
MAX_MEDIAN_S = 1.0
MAX_P99_S = 5.0
US_PER_S = 1_000_000
MAX_DELAY_US = 3600 * US_PER_S
SIGNIFICANT_DIGITS = 3
IN_FORCE_EVENT = "catalogue.in_force"


@dataclasses.dataclass(frozen=True, slots=True)
class PublishedChange:
    """A published change.

    Attributes:
        offset: offset of the change in the catalogue log.
        started_us: when publishing began, in microseconds since the epoch.
        is_accepted: whether the change was accepted.
    """

    offset: int
    started_us: int
    is_accepted: bool


class Operator:
    """Publishes changes of one workspace as an operator would."""

    def __init__(self, fleet: linked_fleet.LinkedFleet):
        self.fleet = fleet
        self.env = environment.Environment()
        self.rng = random.Random(SEED)
        self.change_count = 0

    async def publish(self, count: int) -> list[PublishedChange]:
        """Publishes `count` changes with random pauses in between."""
        published = []
        for _ in range(count):
            published.append(await self._publish_one())
            pause_s = self.rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
            await asyncio.sleep(pause_s)
        return published

    async def _publish_one(self) -> PublishedChange:
        context = self._build_context()
        log = context.open_log().ok
        follower = (await reading.follow_log(log)).ok
        sources = sources_lib.read_sources((str(self._write_file()),))
        plan = plan_lib.build_plan(sources, follower.state)
        change_id = publishing.generate_change_id(self.env, follower.state)
        change = plan.build_change(change_id, catalogue.OWNER)
        started_us = int(self.env.clock.now().timestamp() * US_PER_S)
        verdict = await publishing.Publisher(
            context, log, follower, change
        ).run()
        is_accepted = verdict.ok.status is catalogue_change.Status.ACCEPTED
        return PublishedChange(verdict.ok.offset, started_us, is_accepted)

    def _write_file(self) -> pathlib.Path:
        self.change_count += 1
        changed = dataclasses.replace(
            linked_fleet.WORKSPACES[0], queue_length=100 + self.change_count
        )
        entries = [
            entry
            for entry in catalogue.build_entries([changed], [], [])
            if entry["kind"] == "workspace"
        ]
        path = self.fleet.folder / "change.json"
        path.write_text(json.dumps({"entries": entries}))
        return path

    def _build_context(self) -> context_lib.Context:
        args = ["lentilbeam", "apply", f"--log={self.fleet.log_url}"]
        options = options_lib.parse_options(args, {}).ok
        out = output.Output(self.env, options.output_format)
        return context_lib.Context(options, self.env, out, self.fleet.http)


async def read_applied_offsets(
    fleet: linked_fleet.LinkedFleet,
) -> dict[str, list[tuple[int, int]]]:
    """Reads when each router applied which offset of the catalogue log.

    Returns:
        Offsets with times in microseconds since the epoch, by router name.
    """
    timelines = await fleet.read_all("/v1/timeline")
    return {
        name: [
            (int(event["subject"]), event["stamp"] >> hlc.COUNTER_BITS)
            for event in timeline["events"]
            if event["name"] == IN_FORCE_EVENT
        ]
        for name, timeline in timelines.items()
    }


def compute_delays(
    published: list[PublishedChange],
    in_force: dict[str, list[tuple[int, int]]],
    names: list[str],
) -> dict[str, float]:
    """Measures how long changes took to be in force at all given routers.

    Args:
        published: the published changes.
        in_force: offsets and times by router, see `read_applied_offsets`.
        names: names of the routers.

    Returns:
        Median, 99th percentile and maximum in seconds.
    """
    delays = histogram.HdrHistogram(1, MAX_DELAY_US, SIGNIFICANT_DIGITS)
    for change in published:
        reached_us = max(
            min(at for offset, at in in_force[name] if offset >= change.offset)
            for name in names
        )
        delays.record_value(max(1, reached_us - change.started_us))
    return {
        "median_s": delays.get_value_at_percentile(50) / US_PER_S,
        "p99_s": delays.get_value_at_percentile(99) / US_PER_S,
        "max_s": delays.get_max_value() / US_PER_S,
    }


async def run_measurement(
    fleet: linked_fleet.LinkedFleet,
    operator: Operator,
    disconnected_centre: str | None,
) -> dict:
    """Publishes changes and returns one line of the report.

    Args:
        fleet: the running fleet.
        operator: publishes the changes.
        disconnected_centre: data centre whose routers are disconnected from
            the log; None if all routers reach it.
    """
    published = await operator.publish(CHANGES.value)
    last = published[-1].offset
    await fleet.wait_for_status(
        lambda statuses: all(
            status["catalogue_offset"] >= last for status in statuses.values()
        ),
        "the last change at all routers",
    )
    in_force = await read_applied_offsets(fleet)
    connected = [
        name
        for name, row in fleet.instances.items()
        if row.data_centre != disconnected_centre
    ]
    all_delays = compute_delays(published, in_force, list(fleet.instances))
    median_s, p99_s = all_delays["median_s"], all_delays["p99_s"]
    return {
        "routers": len(fleet.instances),
        "changes": len(published),
        "accepted": sum(change.is_accepted for change in published),
        "peer_loss": PEER_LOSS,
        "cut_off": disconnected_centre,
        "at_log": len(connected),
        "all": all_delays,
        "those_at_log": compute_delays(published, in_force, connected),
        "targets": {"median_s": MAX_MEDIAN_S, "p99_s": MAX_P99_S},
        "is_met": median_s <= MAX_MEDIAN_S and p99_s <= MAX_P99_S,
    }


def list_routers_in(centre: str) -> list[str]:
    """Returns the names of the fleet's routers in a data centre."""
    centres = SETTINGS.data_centres
    return [
        f"router-{number + 1}"
        for number in range(SETTINGS.routers)
        if centres[number % len(centres)] == centre
    ]


async def run_bench(folder: pathlib.Path) -> int:
    """Prints the report; returns the exit status of the process."""
    disconnected_routers = list_routers_in(DISCONNECTED_CENTRE)
    fleet = linked_fleet.LinkedFleet(SETTINGS, folder, disconnected_routers)
    fleet.rules.loss = PEER_LOSS
    try:
        await fleet.start(linked_fleet.WORKSPACES)
        operator = Operator(fleet)
        print(
            json.dumps(await run_measurement(fleet, operator, None)), flush=True
        )
        for relay in fleet.log_relays.values():
            relay.block()
        line = await run_measurement(fleet, operator, DISCONNECTED_CENTRE)
        print(json.dumps(line), flush=True)
        for relay in fleet.log_relays.values():
            relay.unblock()
        await fleet.close()
    except (processes.StartError, TimeoutError) as error:
        print(error, file=sys.stderr)
        return 1
    finally:
        fleet.processes.kill_remaining()
    return 1 if fleet.processes.list_failed_exits() else 0


def main(_: list[str]) -> None:
    """Runs the benchmark in a temporary directory."""
    logging.getLogger("httpx").setLevel(logging.WARNING)
    with tempfile.TemporaryDirectory(prefix="lentilbeam-spread-") as folder:
        sys.exit(asyncio.run(run_bench(pathlib.Path(folder))))


if __name__ == "__main__":
    app.run(main)
