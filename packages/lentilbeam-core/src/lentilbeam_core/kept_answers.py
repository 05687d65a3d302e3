"""Which answers are kept for callers that attach again, within bounds.

The bytes of an answer stay with whoever relays it; this module decides which
answers it has to drop.
"""

import collections
import dataclasses

from lentilbeam_core import request_key


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Bounds on kept answers.

    Attributes:
        max_bytes: all answers together, running and ended.
        max_count: all answers together, running and ended.
        max_age_s: an ended answer is kept at most this long.
    """

    max_bytes: int = 8_388_608
    max_count: int = 65_536
    max_age_s: float = 120.0


class KeptAnswers:
    """Sizes and ages of one router's answers, in order of their ends."""

    def __init__(self, settings: Settings):
        self.settings = settings
        self.sizes: dict[request_key.RequestKey, int] = {}
        self.running: dict[request_key.RequestKey, None] = {}
        self.ended: collections.OrderedDict[request_key.RequestKey, float] = (
            collections.OrderedDict()
        )
        self.total_bytes = 0

    def open(self, key: request_key.RequestKey) -> None:
        """Starts to keep a new answer, in place of an earlier one."""
        self.drop(key)
        self.sizes[key] = 0
        self.running[key] = None

    def grow(self, key: request_key.RequestKey, count: int) -> None:
        """Notes that an answer has grown by `count` bytes, if it is kept."""
        if key in self.sizes:
            self.sizes[key] += count
            self.total_bytes += count

    def end(self, key: request_key.RequestKey, now: float) -> None:
        """Notes the end of an answer, if it is kept."""
        if key in self.running:
            del self.running[key]
            self.ended[key] = now

    def drop(self, key: request_key.RequestKey) -> None:
        """Forgets an answer, if it is kept."""
        self.total_bytes -= self.sizes.pop(key, 0)
        self.running.pop(key, None)
        self.ended.pop(key, None)

    def evict(self, now: float) -> list[request_key.RequestKey]:
        """Forgets what the bounds don't allow; returns what was forgotten.

        Answers that ended first go first. If running ones alone exceed the
        bounds, those that were opened first go: they go on to the callers
        that follow them, but can't be attached to again.
        """
        evicted = []
        while self.ended and self._must_evict_ended(now):
            evicted.append(next(iter(self.ended)))
            self.drop(evicted[-1])
        while self.running and self._exceeds_limits():
            evicted.append(next(iter(self.running)))
            self.drop(evicted[-1])
        return evicted

    def _must_evict_ended(self, now: float) -> bool:
        ended_at = next(iter(self.ended.values()))
        return (
            self._exceeds_limits() or now - ended_at > self.settings.max_age_s
        )

    def _exceeds_limits(self) -> bool:
        is_too_large = self.total_bytes > self.settings.max_bytes
        return is_too_large or len(self.sizes) > self.settings.max_count
