"""Max-min fair shares."""

import math


def compute_share(asked: list[float], capacity: float) -> float:
    """Returns the max-min fair share of a capacity.

    Args:
        asked: amount that each workspace asks for.
        capacity: amount to divide, in the same unit.

    Returns:
        The share of each workspace that asks for more than it; infinite if
        the capacity is enough for all.
    """
    remaining = capacity
    remaining_count = len(asked)
    for amount in sorted(asked):
        if amount * remaining_count > remaining:
            return remaining / remaining_count
        remaining -= amount
        remaining_count -= 1
    return math.inf
