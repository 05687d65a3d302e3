"""Runs the demonstration: `python -m demo`."""

import asyncio
import contextlib
import enum
import logging
import pathlib
import sys
import tempfile

from absl import app
from absl import flags

from demo import catalogue
from demo import fleet as fleet_lib
from demo import load as load_lib
from demo import processes
from demo import report
from demo import verdict as verdict_lib
from lentilbeam_core import clock as clock_lib

WINDOW_S = flags.DEFINE_float("window_s", 20.0, "How long the load lasts.")
FOLDER = flags.DEFINE_string(
    "folder", None, "Keeps settings and outputs here, not in a temporary one."
)
KILL_PART = 0.3
STOP_PART = 0.55
UNLIST_S = 2.0
KILLED = "router-2"
STOPPED = "router-4"


class ExitStatus(enum.IntEnum):
    """How the demonstration ended."""

    OK = 0
    BROKEN_INVARIANT = 1
    NOT_STARTED = 3


async def disturb(
    fleet: fleet_lib.Fleet, window_s: float, clock: clock_lib.Clock
) -> float:
    """Kills one router and stops another; returns when the latter was told.

    The platform takes note of both a little later.
    """
    await asyncio.sleep(window_s * KILL_PART)
    print(f"SIGKILL to {KILLED}", flush=True)
    fleet.processes.all[KILLED].kill()
    await asyncio.sleep(UNLIST_S)
    await fleet.unlist_instance(KILLED)
    await asyncio.sleep(window_s * (STOP_PART - KILL_PART) - UNLIST_S)
    print(f"SIGTERM to {STOPPED}", flush=True)
    stopped_at = clock.monotonic()
    fleet.processes.all[STOPPED].terminate()
    await fleet.list_instance(STOPPED, "leaving")
    status = await fleet.processes.all[STOPPED].wait()
    took_s = clock.monotonic() - stopped_at
    print(f"{STOPPED} ended with status {status} after {took_s:.1f} s")
    await fleet.unlist_instance(STOPPED)
    return stopped_at


async def run_load(
    fleet: fleet_lib.Fleet,
    workspaces: list[catalogue.WorkspaceSpec],
    window_s: float,
) -> verdict_lib.Verdict:
    """Runs the load and the disturbances, stops all, and judges."""
    clock = clock_lib.SystemClock()
    settings = load_lib.Settings(window_s=window_s)
    load = load_lib.Load(settings, clock, fleet.list_addresses())
    outcomes, stopped_at = await asyncio.gather(
        load.run(workspaces, fleet.engines), disturb(fleet, window_s, clock)
    )
    counts = await fleet.read_counts()
    await fleet.close()
    ended_badly = fleet.processes.list_ended_badly()
    tracebacks = fleet.processes.list_tracebacks()
    for fault in [*outcomes.untyped, *ended_badly, *tracebacks]:
        print(fault)
    return verdict_lib.judge(
        outcomes,
        workspaces,
        slots=sum(engine.slots for engine in fleet.engines),
        facts=verdict_lib.Facts(
            counts, STOPPED, stopped_at, ended_badly, tracebacks
        ),
    )


async def run_demo(folder: pathlib.Path, window_s: float) -> ExitStatus:
    """Starts the fleet, runs the load and prints the table."""
    workspaces = catalogue.list_workspaces()
    fleet = fleet_lib.Fleet(fleet_lib.Settings(), folder)
    clock = clock_lib.SystemClock()
    started_at = clock.monotonic()
    try:
        await fleet.start(workspaces)
        print(f"fleet ready after {clock.monotonic() - started_at:.1f} s")
        verdict = await run_load(fleet, workspaces, window_s)
    except processes.StartError as error:
        print(error, file=sys.stderr)
        return ExitStatus.NOT_STARTED
    finally:
        fleet.processes.kill_rest()
    for line in report.format_lines(verdict):
        print(line)
    print(f"took {clock.monotonic() - started_at:.1f} s")
    if any(verdict.violations.values()):
        return ExitStatus.BROKEN_INVARIANT
    return ExitStatus.OK


def main(_: list[str]) -> None:
    """Runs the demonstration."""
    logging.getLogger("httpx").setLevel(logging.WARNING)
    with contextlib.ExitStack() as stack:
        folder = FOLDER.value or stack.enter_context(
            tempfile.TemporaryDirectory(prefix="lentilbeam-demo-")
        )
        status = asyncio.run(run_demo(pathlib.Path(folder), WINDOW_S.value))
    sys.exit(status)


if __name__ == "__main__":
    app.run(main)
