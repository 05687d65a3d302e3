"""A budget of repeated sends that all routers share without messages.

The fleet may send as many repeats as a fraction of its requests plus a fixed
allowance in each sliding window. Each router earns by the requests that it
takes itself and gets its part of the allowance, so the sum stays within the
fleet's budget even while routers can't hear each other.
"""

import collections
import dataclasses

SAFETY_FACTOR = 0.6
"""Part of the budget that is used: windows of routers are not aligned."""
FLEET_GROWTH_FACTOR = 1.5
"""Routers may be added before their number is known here."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """The fleet's budget.

    Attributes:
        ratio: repeats for each request.
        extra: repeats in each window besides.
        window_s: length of the sliding window.
    """

    ratio: float
    extra: float
    window_s: float


class RetryBudget:
    """One router's part of one pool's budget."""

    def __init__(self, settings: Settings):
        self.settings = settings
        self.requests: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()

    def note_request(self, now: float) -> None:
        """Counts a caller's request."""
        self.requests.append(now)

    def try_acquire(self, now: float, routers: int) -> bool:
        """Takes one repeat; returns False if none is left.

        Args:
            now: monotonic seconds.
            routers: number of routers known to exist.
        """
        since = now - self.settings.window_s
        for times in (self.requests, self.retries):
            while times and times[0] <= since:
                times.popleft()
        allowance = self.settings.extra / (routers * FLEET_GROWTH_FACTOR)
        earned = self.settings.ratio * len(self.requests) + allowance
        if len(self.retries) + 1 > SAFETY_FACTOR * earned:
            return False
        self.retries.append(now)
        return True
