"""Exit statuses of the command line."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit status of a command."""

    OK = 0
    FAILED = 1  # No such entry, instance or request.
    USAGE = 2
    FINDINGS = 3  # The files are invalid; nothing was published.
    REJECTED = 4  # The change was published and rejected.
    # The log, the instance list or routers didn't respond, or lack the data.
    UNREACHABLE = 5
    OUTCOME_UNKNOWN = 6  # The change may still be accepted.
    WAIT_TIMEOUT = 7  # Accepted, but not yet in force at every router.
