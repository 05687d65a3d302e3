"""Memory that this process takes."""

import resource

PAGE_BYTES = resource.getpagesize()
STATISTICS_PATH = "/proc/self/statm"
RESIDENT_FIELD = 1
"""Place of the resident pages among the fields of the file, see proc(5)."""


def read_resident_bytes() -> int | None:
    """Returns the resident size of this process, in bytes.

    Returns:
        None if the system doesn't tell it.
    """
    try:
        with open(STATISTICS_PATH, encoding="ascii") as file:
            return int(file.read().split()[RESIDENT_FIELD]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        # Without a measurement, the estimate stays in force.
        return None
