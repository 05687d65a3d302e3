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

    min_failures: float = 4.0
    min_failure_ratio: float = 0.3
    min_excess_factor: float = 3.0
    min_usable_fraction: float = 0.5


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
        if load.failures >= settings.min_failures
        and load.failures >= load.outcomes * settings.min_failure_ratio
    ]
    if not suspects:
        return set()
    outcomes = sum(load.outcomes for load in loads.values())
    failures = sum(load.failures for load in loads.values())
    suspects.sort(key=lambda name: loads[name].failures, reverse=True)
    remaining_slots = sum(slots.values())
    min_remaining_slots = remaining_slots * settings.min_usable_fraction
    outliers = set()
    for target in suspects:
        load = loads[target]
        rest_outcomes = max(outcomes - load.outcomes, 1.0)
        rest_failure_ratio = (failures - load.failures) / rest_outcomes
        if (
            load.failures / load.outcomes
            < rest_failure_ratio * settings.min_excess_factor
        ):
            continue
        if remaining_slots - slots[target] < min_remaining_slots:
            break
        remaining_slots -= slots[target]
        outcomes -= load.outcomes
        failures -= load.failures
        outliers.add(target)
    return outliers
