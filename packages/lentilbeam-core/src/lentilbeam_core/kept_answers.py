"""Eviction of answers that are kept for callers that reconnect.

The router stores the bytes of the answers. This module tracks their sizes and
ages and decides which answers to evict.
"""

import collections
import dataclasses

from lentilbeam_core import request_key


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Limits on kept answers.

    Attributes:
        max_bytes: total size of all answers, running and ended.
        max_count: number of all answers, running and ended.
        max_age_s: time that an answer is kept after its end, in seconds.
    """

    max_bytes: int = 8_388_608
    max_count: int = 65_536
    max_age_s: float = 120.0


class KeptAnswers:
    """Sizes and ages of one router's kept answers.

    Attributes:
        settings: limits.
        sizes: size in bytes by key, of all kept answers.
        running: keys of unfinished answers, the first opened first.
        ended: monotonic time of the end by key, the first ended first.
        total_bytes: sum of `sizes`.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        self.sizes: dict[request_key.RequestKey, int] = {}
        self.running: dict[request_key.RequestKey, None] = {}
        self.ended: collections.OrderedDict[request_key.RequestKey, float] = (
            collections.OrderedDict()
        )
        self.total_bytes = 0

    def open(self, key: request_key.RequestKey) -> None:
        """Starts to keep a new answer; replaces an earlier one of the key."""
        self.drop(key)
        self.sizes[key] = 0
        self.running[key] = None

    def grow(self, key: request_key.RequestKey, count: int) -> None:
        """Adds `count` bytes to the size of an answer, if it is kept."""
        if key in self.sizes:
            self.sizes[key] += count
            self.total_bytes += count

    def end(self, key: request_key.RequestKey, now: float) -> None:
        """Marks an answer as ended at monotonic time `now`, if it is kept."""
        if key in self.running:
            del self.running[key]
            self.ended[key] = now

    def drop(self, key: request_key.RequestKey) -> None:
        """Removes an answer, if it is kept."""
        self.total_bytes -= self.sizes.pop(key, 0)
        self.running.pop(key, None)
        self.ended.pop(key, None)

    def evict(self, now: float) -> list[request_key.RequestKey]:
        """Removes answers until the limits hold; returns the removed keys.

        Ended answers are removed first, in order of their ends. If running
        answers alone exceed the limits, those opened first are removed. They
        continue for the callers that already receive them, but other callers
        can't attach to them.
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
