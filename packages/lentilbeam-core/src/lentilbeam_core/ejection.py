"""Ejects targets on which consecutive requests fail.

Ejections lengthen exponentially. A minimum fraction of the pool's slots is
never ejected.
"""

import dataclasses
import math

from lentilbeam_core import catalogue as catalogue_lib
from lentilbeam_core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of ejection.

    Attributes:
        failure_threshold: consecutive failures after which a target is
            ejected.
        base_s: length of the first ejection, in seconds. Each further one
            is twice as long.
        max_s: length of the longest ejection, in seconds.
        min_usable_fraction: fraction of the pool's slots that is never
            ejected.
    """

    failure_threshold: int = 3
    base_s: float = 1.0
    max_s: float = 4.0
    min_usable_fraction: float = 0.5


@dataclasses.dataclass(slots=True)
class TargetHealth:
    """Health of one target.

    A success is a request that ended without a failure: completed or
    cancelled.

    Attributes:
        consecutive_failures: failures since the last success.
        ejections: ejections since the last success.
        ejected_until: end of the last ejection, in monotonic seconds.
        needs_probe: whether the target has been ejected and has had no
            success since.
    """

    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: float = -math.inf
    needs_probe: bool = False


class Ejector:
    """Tracks the health of a pool's targets.

    Attributes:
        settings: settings of ejection.
        health: health of each target that has failed since its last
            success.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        self.health: dict[ids.TargetId, TargetHealth] = {}

    def record_success(self, target: ids.TargetId) -> None:
        """Records a success: the target is healthy again."""
        self.health.pop(target, None)

    def record_failures(
        self,
        target: ids.TargetId,
        failures: int,
        targets: dict[ids.TargetId, catalogue_lib.Target],
        now: float,
    ) -> bool:
        """Records failed requests and ejects the target if necessary.

        Args:
            target: the target.
            failures: number of requests that failed.
            targets: all targets of the pool, by name.
            now: monotonic time in seconds.

        Returns:
            Whether this call ejected the target.
        """
        health = self.health.setdefault(target, TargetHealth())
        health.consecutive_failures += failures
        is_threshold_reached = (
            health.consecutive_failures >= self.settings.failure_threshold
        )
        if (
            not (is_threshold_reached or health.needs_probe)
            or now < health.ejected_until
        ):
            return False
        if not self._can_eject(target, targets, now):
            return False
        length_s = self.settings.base_s * 2**health.ejections
        health.ejected_until = now + min(length_s, self.settings.max_s)
        health.ejections += 1
        health.needs_probe = True
        return True

    def is_ejected(self, target: ids.TargetId, now: float) -> bool:
        """Returns whether the target is ejected at `now`."""
        health = self.health.get(target)
        return health is not None and now < health.ejected_until

    def needs_probe(self, target: ids.TargetId) -> bool:
        """Returns whether a request must succeed before normal use.

        Until then the target should get one request at a time.
        """
        health = self.health.get(target)
        return health is not None and health.needs_probe

    def next_probe_at(self, now: float) -> float:
        """Returns when the next ejection ends, in monotonic seconds.

        Returns infinity if no target is ejected.
        """
        ends = (
            h.ejected_until
            for h in self.health.values()
            if h.ejected_until > now
        )
        return min(ends, default=math.inf)

    def _can_eject(
        self,
        target: ids.TargetId,
        targets: dict[ids.TargetId, catalogue_lib.Target],
        now: float,
    ) -> bool:
        total = sum(t.slots for t in targets.values())
        remaining_slots = sum(
            t.slots
            for t in targets.values()
            if t.name != target and not self.is_ejected(t.name, now)
        )
        return remaining_slots >= total * self.settings.min_usable_fraction
