"""Entry point of `lentilbeam`."""

import os
import signal
import sys

from lentilbeam_cli import core
from lentilbeam_cli import environment

INTERRUPTED = 128 + signal.SIGINT


def main() -> None:
    """Runs one command with the process's arguments and streams."""
    try:
        status = core.program(sys.argv, environment.Environment())
        sys.stdout.flush()
    except BrokenPipeError:
        # Whoever read the output has left; keep the exit from flushing.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(0)
    except KeyboardInterrupt:
        sys.exit(INTERRUPTED)
    sys.exit(status)


if __name__ == "__main__":
    main()
