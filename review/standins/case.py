"""Runs a case and sets its exit status: 0 held, 1 broken, 2 could not run."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib
import sys
import traceback

from standins import fleet as fleet_lib

MAX_S = 110.0
Play = Callable[[fleet_lib.Fleet, bool], Awaitable[list[str]]]


def run(folder: str, play: Play) -> None:
    """Plays a case and exits.

    Args:
        folder: folder of the case.
        play: called with a fleet that isn't started, and whether the
            disruption is to happen; returns how the rule was broken, a line
            for each time.
    """
    sys.excepthook = _exit_as_not_run
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(asyncio.run(_play(pathlib.Path(folder), play, is_troubled)))


async def _play(folder: pathlib.Path, play: Play, is_troubled: bool) -> int:
    fleet = fleet_lib.Fleet()
    status = 2
    try:
        async with asyncio.timeout(MAX_S):
            broken = await play(fleet, is_troubled)
        for line in broken:
            fleet.note(f"BROKEN {line}")
        fleet.note(f"rule broken {len(broken)} times")
        status = 1 if broken else 0
    except (
        fleet_lib.CannotRunError,
        AssertionError,
        LookupError,
        OSError,
        TimeoutError,
        TypeError,
        ValueError,
    ):
        fleet.note("could not run: " + traceback.format_exc())
    finally:
        for router in fleet.routers:
            if router.process and router.process.poll() not in (None, 0):
                fleet.note(f"{router.name} ended with {router.process.poll()}")
        await fleet.stop()
        fleet.write_record(folder)
    print("\n".join(fleet.lines[-12:]))
    return status


def _exit_as_not_run(kind, error, trace) -> None:
    """Reports an exception that nothing has caught: the case could not run."""
    traceback.print_exception(kind, error, trace)
    sys.stderr.flush()
    os._exit(2)
