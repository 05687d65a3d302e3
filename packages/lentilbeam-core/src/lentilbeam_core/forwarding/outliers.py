"""Targets that fail far more of their requests than the rest of their pool.

Outcomes are summed over all routers, so a failing target is avoided after a
few failures of the fleet, not of each router. Sums decay: after a while some
requests try it again. A failure that all targets share is no reason to avoid
any of them.
"""

from collections.abc import Mapping
import dataclasses

from lentilbeam_core import ids
from lentilbeam_core.forwarding import loads as loads_lib


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of outliers.

    Attributes:
        least_failures: fewer failures lately prove nothing.
        least_share: part of a target's requests that fail at an outlier.
        least_excess: and that part relative to the rest of the pool's.
        floor: part of the pool's slots that stay in use whatever fails.
    """

    least_failures: float = 4.0
    least_share: float = 0.3
    least_excess: float = 3.0
    floor: float = 0.5


def find_outliers(
    loads: Mapping[ids.TargetId, loads_lib.Load],
    slots: Mapping[ids.TargetId, int],
    settings: Settings,
) -> set[ids.TargetId]:
    """Returns the targets of a pool that are to be avoided.

    Args:
        loads: of all usable targets.
        slots: of the same targets.
        settings: what counts as an outlier.
    """
    suspects = [
        target
        for target, load in loads.items()
        if load.failures >= settings.least_failures
        and load.failures >= load.outcomes * settings.least_share
    ]
    if not suspects:
        return set()
    outcomes = sum(load.outcomes for load in loads.values())
    failures = sum(load.failures for load in loads.values())
    suspects.sort(key=lambda name: loads[name].failures, reverse=True)
    left = sum(slots.values())
    least_left = left * settings.floor
    outliers = set()
    for target in suspects:
        load = loads[target]
        rest_outcomes = max(outcomes - load.outcomes, 1.0)
        rest_share = (failures - load.failures) / rest_outcomes
        if load.failures / load.outcomes < rest_share * settings.least_excess:
            continue
        if left - slots[target] < least_left:
            break
        left -= slots[target]
        outcomes -= load.outcomes
        failures -= load.failures
        outliers.add(target)
    return outliers
