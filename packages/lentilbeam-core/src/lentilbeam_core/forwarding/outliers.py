"""Outlier detection: finds targets with a much higher failure ratio.

Outcomes are summed over all routers, so a target is avoided after a few
failures in the whole fleet rather than a few at each router. The sums decay, so
an avoided target gets requests again after a while. If all targets of a pool
fail alike, none of them is avoided.
"""

from collections.abc import Mapping
import dataclasses

from lentilbeam_core import ids
from lentilbeam_core.forwarding import loads as loads_lib


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of outlier detection.

    A target is an outlier if it reaches the first three minimums.

    Attributes:
        min_failures: minimum decayed number of failures of the target.
        min_failure_ratio: minimum part of the target's requests that failed.
        min_excess_factor: minimum ratio between the target's failure ratio
            and that of the rest of the pool.
        min_usable_fraction: minimum part of the pool's slots that stay in
            use, however many targets fail.
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
    """Returns the targets of a pool that should get no requests.

    Args:
        loads: load of each usable target.
        slots: number of slots of each of these targets.
        settings: limits that define an outlier.
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
