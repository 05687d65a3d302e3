"""Entry point of `lentilbeamd`."""

import sys

from lentilbeam_router import environment
from lentilbeam_router import program


def main() -> None:
    """Runs the daemon with the process's arguments and standard streams."""
    sys.exit(program.run(sys.argv, environment.Environment()))


if __name__ == "__main__":
    main()
