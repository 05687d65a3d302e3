"""Runs the demonstration: `python -m demo`.

Starts a fleet, sends it requests for a while, kills one router and stops
another meanwhile, and prints statistics and violated invariants. Exits with a
value of `ExitStatus`.
"""

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

WINDOW_S = flags.DEFINE_float(
    "window_s", 20.0, "Duration of the load, in seconds."
)
FOLDER = flags.DEFINE_string(
    "folder",
    None,
    "Directory for settings and logs; a temporary one if not given.",
)
KILL_AT_FRACTION = 0.3
"""Fraction of the window after which a router is killed."""
STOP_AT_FRACTION = 0.55
"""Fraction of the window after which a router is stopped as planned."""
DEREGISTRATION_DELAY_S = 2.0
"""Time after the kill when the router is removed from the platform's list."""
KILLED_ROUTER = "router-2"
STOPPED_ROUTER = "router-4"


class ExitStatus(enum.IntEnum):
    """Exit status of the demonstration."""

    OK = 0
    INVARIANT_VIOLATED = 1
    NOT_STARTED = 3


async def stop_routers(
    fleet: fleet_lib.Fleet, window_s: float, clock: clock_lib.Clock
) -> float:
    """Kills one router and stops another as planned.

    The platform's instance list follows: it drops the killed router after
    `DEREGISTRATION_DELAY_S` and has the stopped one as leaving until its exit.

    Args:
        fleet: the running fleet.
        window_s: duration of the load, in seconds.
        clock: clock of the result.

    Returns:
        When the second router got SIGTERM, in monotonic seconds.
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
    print(f"{STOPPED_ROUTER} exited with status {status} after {took_s:.1f} s")
    await fleet.deregister_instance(STOPPED_ROUTER)
    return stopped_at


async def run_load(
    fleet: fleet_lib.Fleet,
    workspaces: list[catalogue.WorkspaceSpec],
    window_s: float,
) -> verdict_lib.Verdict:
    """Runs the load, stops the fleet and evaluates the results.

    Two routers are stopped meanwhile, see `stop_routers`. Prints all errors.
    """
    clock = clock_lib.SystemClock()
    settings = load_lib.Settings(window_s=window_s)
    load = load_lib.Load(settings, clock, fleet.list_addresses())
    load_result, stopped_at = await asyncio.gather(
        load.run(workspaces, fleet.engines),
        stop_routers(fleet, window_s, clock),
    )
    run_counts = await fleet.read_run_counts()
    await fleet.close()
    failed_exits = fleet.processes.list_failed_exits()
    tracebacks = fleet.processes.list_tracebacks()
    for problem in [*load_result.untyped_errors, *failed_exits, *tracebacks]:
        print(problem)
    return verdict_lib.evaluate(
        load_result,
        workspaces,
        slots=sum(engine.slots for engine in fleet.engines),
        observations=verdict_lib.FleetObservations(
            run_counts, STOPPED_ROUTER, stopped_at, failed_exits, tracebacks
        ),
    )


async def run_demo(folder: pathlib.Path, window_s: float) -> ExitStatus:
    """Starts the fleet, runs the load and prints the report."""
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
    """Runs the demonstration and exits with its status."""
    logging.getLogger("httpx").setLevel(logging.WARNING)
    with contextlib.ExitStack() as stack:
        folder = FOLDER.value or stack.enter_context(
            tempfile.TemporaryDirectory(prefix="lentilbeam-demo-")
        )
        status = asyncio.run(run_demo(pathlib.Path(folder), WINDOW_S.value))
    sys.exit(status)


if __name__ == "__main__":
    app.run(main)
