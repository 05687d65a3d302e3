"""Runs a fleet until Ctrl-C, to try commands on: `make fleet`."""

import asyncio
import logging
import pathlib
import signal
import sys
import tempfile

from absl import app

from demo import catalogue
from demo import fleet as fleet_lib
from demo import processes


def format_instructions(fleet: fleet_lib.Fleet) -> list[str]:
    """Returns instructions for using the fleet from another shell."""
    first = next(iter(fleet.instances.values()))
    return [
        "The fleet runs until Ctrl-C. In another shell:",
        f"  export LENTILBEAM_LOG={fleet.log_url}",
        f"  export LENTILBEAM_INSTANCES={fleet.instances_url}",
        f"  export LENTILBEAM_OPERATOR={catalogue.OWNER}",
        "  .venv/bin/lentilbeam status",
        f"A router for callers: {first.url}",
        f"Settings, catalogue and logs: {fleet.folder}",
    ]


async def run_until_signal(folder: pathlib.Path) -> int:
    """Runs a fleet until SIGINT or SIGTERM.

    Args:
        folder: directory for settings, the catalogue and logs.

    Returns:
        The exit status: 0 if all processes started and exited as expected,
        else 1.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, stop.set)
    fleet = fleet_lib.Fleet(fleet_lib.Settings(), folder)
    try:
        await fleet.start(catalogue.list_workspaces())
        print("\n".join(format_instructions(fleet)), flush=True)
        await stop.wait()
        print("stopping", flush=True)
        await fleet.close()
    except processes.StartError as error:
        print(error, file=sys.stderr)
        return 1
    finally:
        fleet.processes.kill_remaining()
    return 1 if fleet.processes.list_failed_exits() else 0


def main(_: list[str]) -> None:
    """Runs the fleet with a temporary directory."""
    logging.getLogger("httpx").setLevel(logging.WARNING)
    with tempfile.TemporaryDirectory(prefix="lentilbeam-fleet-") as folder:
        sys.exit(asyncio.run(run_until_signal(pathlib.Path(folder))))


if __name__ == "__main__":
    app.run(main)
