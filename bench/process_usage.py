"""CPU time and memory of another process, from `/proc`."""

import os
import pathlib

UTIME_FIELD = 11
"""Index of the user CPU time among the fields after the command name."""


def read_cpu_s(pid: int) -> float:
    """Returns the user and system CPU time of a process, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[UTIME_FIELD]) + int(fields[UTIME_FIELD + 1])
    return ticks / os.sysconf("SC_CLK_TCK")


def read_rss_bytes(pid: int) -> int:
    """Returns the resident memory of a process, in bytes."""
    text = pathlib.Path(f"/proc/{pid}/statm").read_text()
    return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")
