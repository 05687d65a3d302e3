"""Ejects targets that only fail, with back-off and a floor."""

import dataclasses
import math

from lentilbeam_core import catalogue as catalogue_lib
from lentilbeam_core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of ejection.

    Attributes:
        max_strikes: failures in a row that eject a target.
        base_s: first ejection's length; doubles each time.
        max_s: longest ejection.
        floor: part of the pool's slots that always stays.
    """

    failure_threshold: int = 3
    base_s: float = 1.0
    max_s: float = 4.0
    min_slot_fraction: float = 0.5


@dataclasses.dataclass(slots=True)
class TargetHealth:
    """What is known of one target.

    Attributes:
        strikes: failures since the last completed request.
        ejections: ejections since it was last found healthy.
        until: end of the ejection, monotonic seconds.
        is_on_trial: whether one request at a time may try it.
    """

    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: float = -math.inf
    needs_probe: bool = False


class Ejector:
    """Health of all targets of a pool."""

    def __init__(self, settings: Settings):
        self.settings = settings
        self.health: dict[ids.TargetId, TargetHealth] = {}

    def record_success(self, target: ids.TargetId) -> None:
        """Takes in a completed request."""
        self.health.pop(target, None)

    def record_failures(
        self,
        target: ids.TargetId,
        failures: int,
        targets: dict[ids.TargetId, catalogue_lib.Target],
        now: float,
    ) -> bool:
        """Takes in failed requests; returns whether the target is ejected."""
        health = self.health.setdefault(target, TargetHealth())
        health.consecutive_failures += failures
        is_enough = (
            health.consecutive_failures >= self.settings.failure_threshold
        )
        if not (is_enough or health.needs_probe) or now < health.ejected_until:
            return False
        if not self._can_eject(target, targets, now):
            return False
        length_s = self.settings.base_s * 2**health.ejections
        health.ejected_until = now + min(length_s, self.settings.max_s)
        health.ejections += 1
        health.needs_probe = True
        return True

    def is_ejected(self, target: ids.TargetId, now: float) -> bool:
        """Tells whether the target gets no request at all now."""
        health = self.health.get(target)
        return health is not None and now < health.ejected_until

    def needs_probe(self, target: ids.TargetId) -> bool:
        """Tells whether the target has yet to prove its recovery."""
        health = self.health.get(target)
        return health is not None and health.needs_probe

    def next_probe_at(self, now: float) -> float:
        """Returns when the next ejection ends; infinite if none does."""
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
        left = sum(
            t.slots
            for t in targets.values()
            if t.name != target and not self.is_ejected(t.name, now)
        )
        return left >= total * self.settings.min_slot_fraction
