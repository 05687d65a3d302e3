"""Exit statuses of the command line."""

import enum


class ExitStatus(enum.IntEnum):
    """How a command ended."""

    OK = 0
    FAILED = 1
    USAGE = 2
    FINDINGS = 3  # The files hold faults; nothing was published.
    REJECTED = 4  # The change was published and rejected.
    UNREACHABLE = 5  # The log, the list or routers could not be reached.
    OUTCOME_UNKNOWN = 6  # The change may still come into force.
    WAIT_TIMEOUT = 7  # Accepted, but not yet in force everywhere.
