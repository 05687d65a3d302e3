"""Entry point of the command `lentilbeam`."""

import os
import signal
import sys

from lentilbeam_cli import environment
from lentilbeam_cli import program

INTERRUPTED = 128 + signal.SIGINT
"""Exit status after SIGINT, as shells report it."""


def main() -> None:
    """Runs one command and exits with its exit status."""
    try:
        status = program.run(sys.argv, environment.Environment())
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader of the output has exited. Without another descriptor,
        # flushing stdout at exit would fail again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(0)
    except KeyboardInterrupt:
        sys.exit(INTERRUPTED)
    sys.exit(status)


if __name__ == "__main__":
    main()
