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
KILL_AT_FRACTION = 0.3
STOP_AT_FRACTION = 0.55
DEREGISTRATION_DELAY_S = 2.0
KILLED_ROUTER = "router-2"
STOPPED_ROUTER = "router-4"


class ExitStatus(enum.IntEnum):
    """How the demonstration ended."""

    OK = 0
    INVARIANT_VIOLATED = 1
    NOT_STARTED = 3


async def stop_routers(
    fleet: fleet_lib.Fleet, window_s: float, clock: clock_lib.Clock
) -> float:
    """Kills one router and stops another; returns when the latter was told.

    The platform takes note of both a little later.
    """
    await asyncio.sleep(window_s * KILL_AT_FRACTION)
    print(f"SIGKILL to {KILLED_ROUTER}", flush=True)
    fleet.processes.by_name[KILLED_ROUTER].kill()
    await asyncio.sleep(DEREGISTRATION_DELAY_S)
    await fleet.deregister_instance(KILLED_ROUTER)
    await asyncio.sleep(
        window_s * (STOP_AT_FRACTION - KILL_AT_FRACTION)
        - DEREGISTRATION_DELAY_S
    )
    print(f"SIGTERM to {STOPPED_ROUTER}", flush=True)
    stopped_at = clock.monotonic()
    fleet.processes.by_name[STOPPED_ROUTER].terminate()
    await fleet.register_instance(STOPPED_ROUTER, "leaving")
    status = await fleet.processes.by_name[STOPPED_ROUTER].wait()
    took_s = clock.monotonic() - stopped_at
    print(f"{STOPPED_ROUTER} ended with status {status} after {took_s:.1f} s")
    await fleet.deregister_instance(STOPPED_ROUTER)
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
    load_result, stopped_at = await asyncio.gather(
        load.run(workspaces, fleet.engines),
        stop_routers(fleet, window_s, clock),
    )
    counts = await fleet.read_counts()
    await fleet.close()
    failed_exits = fleet.processes.list_failed_exits()
    tracebacks = fleet.processes.list_tracebacks()
    for fault in [*load_result.untyped_errors, *failed_exits, *tracebacks]:
        print(fault)
    return verdict_lib.evaluate(
        load_result,
        workspaces,
        slots=sum(engine.slots for engine in fleet.engines),
        observations=verdict_lib.FleetObservations(
            counts, STOPPED_ROUTER, stopped_at, failed_exits, tracebacks
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
        fleet.processes.kill_remaining()
    for line in report.format_lines(verdict):
        print(line)
    print(f"took {clock.monotonic() - started_at:.1f} s")
    if any(verdict.violations.values()):
        return ExitStatus.INVARIANT_VIOLATED
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
