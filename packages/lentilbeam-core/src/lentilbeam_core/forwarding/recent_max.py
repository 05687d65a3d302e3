"""The largest of the values that were added lately."""

import math


class RecentMax:
    """Largest value of the current and the previous interval.

    Attributes:
        interval_s: length of an interval, in seconds.
        current: largest value of the current interval.
        previous: that of the interval before.
        began_at: when the current interval began, monotonic seconds.
    """

    def __init__(self, interval_s: float):
        self.interval_s = interval_s
        self.current = 0.0
        self.previous = 0.0
        self.began_at = -math.inf

    def add(self, value: float, now: float) -> None:
        """Adds a value."""
        self._advance(now)
        self.current = max(self.current, value)

    def read(self, now: float) -> float:
        """Returns the largest value; 0 if there was none."""
        self._advance(now)
        return max(self.current, self.previous)

    def _advance(self, now: float) -> None:
        elapsed_s = now - self.began_at
        if elapsed_s < self.interval_s:
            return
        is_next = elapsed_s < 2 * self.interval_s
        self.previous = self.current if is_next else 0.0
        self.current = 0.0
        self.began_at = now
