"""Exit statuses of the daemon."""

import enum


class ExitStatus(enum.IntEnum):
    """How the daemon ended."""

    OK = 0
    FAILED = 1
    USAGE = 2
    BAD_SETTINGS = 3
    CANNOT_LISTEN = 4
