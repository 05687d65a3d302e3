"""Entry point of `lentilbeamd`."""

import sys

from lentilbeam_router import core
from lentilbeam_router import environment


def main() -> None:
    """Runs the daemon with the process's arguments and standard streams."""
    sys.exit(core.program(sys.argv, environment.Environment()))


if __name__ == "__main__":
    main()
