"""Chooses the routers that callers are sent to by how busy these are.

A router whose processor is full serves its callers late, while others have
time. Callers that follow the addresses leave a router that isn't given out any
more, and are served by others until it has time again.
"""

from collections.abc import Mapping
import statistics

from lentilbeam_core import ids

MIN_BUSY_FRACTION = 0.7
"""A router that is less busy than this is given out in any case."""
MIN_EXCESS = 0.25
"""A router is left out only if it is busier than the median of all by at least
this fraction of its time. If all are busy, callers would only move in a
circle."""


def find_busiest(
    busy: Mapping[ids.InstanceId, float | None],
) -> set[ids.InstanceId]:
    """Returns the routers that callers are not sent to, less than half of all.

    Args:
        busy: fraction of the recent time in which the processor of each router
            was busy; None for those that do not tell. If most do not, none is
            left out.
    """
    known = [fraction for fraction in busy.values() if fraction is not None]
    if not known or len(known) < len(busy) / 2:
        return set()
    limit = max(MIN_BUSY_FRACTION, statistics.median(known) + MIN_EXCESS)
    return {
        name
        for name, fraction in busy.items()
        if fraction is not None and fraction >= limit
    }
