"""Exit statuses of the daemon."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit status of the daemon's process.

    Attributes:
        OK: stopped on request after all requests had ended.
        FAILED: a task failed, or requests were still running when the time
            limit for draining had passed.
        USAGE: invalid command line, or a required environment variable is not
            set.
        BAD_SETTINGS: the settings can't be read or are invalid.
        CANNOT_LISTEN: a listening socket can't be opened.
    """

    OK = 0
    FAILED = 1
    USAGE = 2
    BAD_SETTINGS = 3
    CANNOT_LISTEN = 4
