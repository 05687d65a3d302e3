"""Entry point of `lentilbeam`."""

import sys

from lentilbeam_cli import core
from lentilbeam_cli import environment


def main() -> None:
    """Runs one command with the process's arguments and streams."""
    sys.exit(core.program(sys.argv, environment.Environment()))


if __name__ == "__main__":
    main()
