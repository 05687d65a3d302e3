"""How soon a change is in force at 7 real router processes.

`make bench-catalogue` publishes changes by the command line's code and reads
from the routers' time lines when each was in force; all clocks are this
machine's. Peer messages run through relays that lose 1% of them. Prints one
line of JSON with all routers at the log, and one with a data centre's routers
cut off from it, with the targets beside the figures.
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

CHANGES = flags.DEFINE_integer("changes", 40, "Changes in each line.")

SETTINGS = fleet_lib.Settings(engines=1, bookings=1)
LOSS = 0.01
CUT_OFF_CENTRE = "west"
SHORTEST_PAUSE_S = 0.2
LONGEST_PAUSE_S = 0.8
SEED = 1
TARGET_MEDIAN_S = 1.0
TARGET_P99_S = 5.0
US_PER_S = 1_000_000
LONGEST_US = 3600 * US_PER_S
DIGITS = 3
IN_FORCE = "catalogue.in_force"


@dataclasses.dataclass(frozen=True, slots=True)
class Published:
    """A change with its verdict, and when its publishing began."""

    offset: int
    started_us: int
    is_accepted: bool


class Operator:
    """Publishes changes of one workspace."""

    def __init__(self, fleet: linked_fleet.LinkedFleet):
        self.fleet = fleet
        self.env = environment.Environment()
        self.rng = random.Random(SEED)
        self.count = 0

    async def publish(self, count: int) -> list[Published]:
        """Publishes changes with pauses between them."""
        published = []
        for _ in range(count):
            published.append(await self._publish_one())
            pause_s = self.rng.uniform(SHORTEST_PAUSE_S, LONGEST_PAUSE_S)
            await asyncio.sleep(pause_s)
        return published

    async def _publish_one(self) -> Published:
        context = self._build_context()
        log = context.open_log().ok
        follower = (await reading.follow_log(log)).ok
        sources = sources_lib.read_sources((str(self._write_file()),))
        plan = plan_lib.build_plan(sources, follower.state)
        name = publishing.generate_change_id(self.env, follower.state)
        change = plan.build_change(name, catalogue.OWNER)
        started_us = int(self.env.clock.now().timestamp() * US_PER_S)
        verdict = await publishing.Publisher(
            context, log, follower, change
        ).run()
        is_accepted = verdict.ok.status is catalogue_change.Status.ACCEPTED
        return Published(verdict.ok.offset, started_us, is_accepted)

    def _write_file(self) -> pathlib.Path:
        self.count += 1
        changed = dataclasses.replace(
            linked_fleet.WORKSPACES[0], queue_length=100 + self.count
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


async def read_in_force(
    fleet: linked_fleet.LinkedFleet,
) -> dict[str, list[tuple[int, int]]]:
    """Returns offsets and times in microseconds, by router."""
    timelines = await fleet.read_all("/v1/timeline")
    return {
        name: [
            (int(event["subject"]), event["stamp"] >> hlc.COUNTER_BITS)
            for event in timeline["events"]
            if event["name"] == IN_FORCE
        ]
        for name, timeline in timelines.items()
    }


def measure(
    published: list[Published],
    in_force: dict[str, list[tuple[int, int]]],
    names: list[str],
) -> dict[str, float]:
    """Returns the time until each change was in force at all of `names`."""
    times = histogram.HdrHistogram(1, LONGEST_US, DIGITS)
    for change in published:
        reached_us = max(
            min(at for offset, at in in_force[name] if offset >= change.offset)
            for name in names
        )
        times.record_value(max(1, reached_us - change.started_us))
    return {
        "median_s": times.get_value_at_percentile(50) / US_PER_S,
        "p99_s": times.get_value_at_percentile(99) / US_PER_S,
        "max_s": times.get_max_value() / US_PER_S,
    }


async def run_line(
    fleet: linked_fleet.LinkedFleet, operator: Operator, cut_off: str | None
) -> dict:
    """Returns one line of the report."""
    published = await operator.publish(CHANGES.value)
    last = published[-1].offset
    await fleet.wait_for_status(
        lambda statuses: all(
            status["catalogue_offset"] >= last for status in statuses.values()
        ),
        "the last change everywhere",
    )
    in_force = await read_in_force(fleet)
    at_log = [
        name
        for name, row in fleet.instances.items()
        if row.data_centre != cut_off
    ]
    everywhere = measure(published, in_force, list(fleet.instances))
    median_s, p99_s = everywhere["median_s"], everywhere["p99_s"]
    return {
        "routers": len(fleet.instances),
        "changes": len(published),
        "accepted": sum(change.is_accepted for change in published),
        "peer_loss": LOSS,
        "cut_off": cut_off,
        "at_log": len(at_log),
        "all": everywhere,
        "those_at_log": measure(published, in_force, at_log),
        "targets": {"median_s": TARGET_MEDIAN_S, "p99_s": TARGET_P99_S},
        "is_met": median_s <= TARGET_MEDIAN_S and p99_s <= TARGET_P99_S,
    }


def name_routers_in(centre: str) -> list[str]:
    """Returns the routers that a fleet starts in a data centre."""
    centres = SETTINGS.data_centres
    return [
        f"router-{number + 1}"
        for number in range(SETTINGS.routers)
        if centres[number % len(centres)] == centre
    ]


async def run_bench(folder: pathlib.Path) -> int:
    """Prints the lines; returns an exit status."""
    cut_off = name_routers_in(CUT_OFF_CENTRE)
    fleet = linked_fleet.LinkedFleet(SETTINGS, folder, cut_off)
    fleet.rules.loss = LOSS
    try:
        await fleet.start(linked_fleet.WORKSPACES)
        operator = Operator(fleet)
        print(json.dumps(await run_line(fleet, operator, None)), flush=True)
        for relay in fleet.log_relays.values():
            relay.cut()
        line = await run_line(fleet, operator, CUT_OFF_CENTRE)
        print(json.dumps(line), flush=True)
        for relay in fleet.log_relays.values():
            relay.heal()
        await fleet.close()
    except (processes.StartError, TimeoutError) as error:
        print(error, file=sys.stderr)
        return 1
    finally:
        fleet.processes.kill_remaining()
    return 1 if fleet.processes.list_failed_exits() else 0


def main(_: list[str]) -> None:
    """Runs the bench in a temporary folder."""
    logging.getLogger("httpx").setLevel(logging.WARNING)
    with tempfile.TemporaryDirectory(prefix="lentilbeam-spread-") as folder:
        sys.exit(asyncio.run(run_bench(pathlib.Path(folder))))


if __name__ == "__main__":
    app.run(main)
