"""Keeps a fleet running for people to try commands on: `make fleet`."""

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


def format_help(fleet: fleet_lib.Fleet) -> list[str]:
    """Returns what to type to reach the fleet."""
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


async def hold(folder: pathlib.Path) -> int:
    """Runs a fleet until a signal; returns an exit status."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    fleet = fleet_lib.Fleet(fleet_lib.Settings(), folder)
    try:
        await fleet.start(catalogue.list_workspaces())
        print("\n".join(format_help(fleet)), flush=True)
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
    """Runs the fleet in a temporary folder."""
    logging.getLogger("httpx").setLevel(logging.WARNING)
    with tempfile.TemporaryDirectory(prefix="lentilbeam-fleet-") as folder:
        sys.exit(asyncio.run(hold(pathlib.Path(folder))))


if __name__ == "__main__":
    app.run(main)
