"""Retry budget that all routers share without communicating.

In each sliding window, the fleet may send a number of retries that is a
fraction of its requests plus a fixed allowance. Each router counts only its own
requests and uses only its part of the allowance. The fleet therefore stays
within the budget even during a network partition between the routers.
"""

import collections
import dataclasses

SAFETY_FACTOR = 0.6
"""Fraction of its part of the budget that a router uses, because the sliding
windows of the routers aren't aligned."""
FLEET_GROWTH_FACTOR = 1.5
"""Margin for routers that were added and that this router doesn't know yet: the
allowance is divided by this multiple of the known routers."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Retry budget of the fleet, for each pool.

    Attributes:
        ratio: number of retries allowed per request.
        extra: fixed allowance: retries allowed in each window in addition to
            `ratio`, whatever the number of requests.
        window_s: length of the sliding window, in seconds.
    """

    ratio: float
    extra: float
    window_s: float


class RetryBudget:
    """One router's part of the retry budget of one pool.

    Attributes:
        requests: arrival times of requests in the window, monotonic seconds.
        retries: times of retries in the window, monotonic seconds.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        self.requests: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()

    def note_request(self, now: float) -> None:
        """Counts a request from a caller."""
        self.requests.append(now)

    def try_acquire(self, now: float, routers: int) -> bool:
        """Uses one retry of the budget; returns False if none is left.

        Args:
            now: monotonic seconds.
            routers: number of known routers, this one included; at least 1.
        """
        since = now - self.settings.window_s
        for times in (self.requests, self.retries):
            while times and times[0] <= since:
                times.popleft()
        allowance = self.settings.extra / (routers * FLEET_GROWTH_FACTOR)
        budget = self.settings.ratio * len(self.requests) + allowance
        if len(self.retries) + 1 > SAFETY_FACTOR * budget:
            return False
        self.retries.append(now)
        return True
