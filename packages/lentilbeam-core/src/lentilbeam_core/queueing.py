"""Queue of one workspace's requests for a pool at one router."""

import collections
import dataclasses
import math

from lentilbeam_core import events
from lentilbeam_core import ids

INTERVAL_GAIN = 0.2
"""Minimum weight of the newest interval in the moving average."""
MIN_SAMPLES = 4
"""Number of dispatches before a wait is estimated."""
LOOKAHEAD = 4
"""Number of requests at the head of the queue that may be dispatched next."""
MAX_SKIPS = 3
"""Number of times that the head of the queue may be skipped."""
MIN_RETRY_AFTER_S = 0.5
"""Shortest time, in seconds, after which a refused caller may retry."""


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """A queued request with the state of its queueing.

    Attributes:
        request: the request.
        estimate: its expected cost.
        arrived: when it arrived, in monotonic seconds.
        tries: how often it was dispatched to an unreachable target.
        skips: how often a later request was dispatched before it.
    """

    request: events.QueuedRequest
    estimate: float
    arrived: float
    tries: int = 0
    skips: int = 0


class WorkspaceQueue:
    """Requests in arrival order, and the rate at which they are dispatched.

    All times are in monotonic seconds.

    Attributes:
        pending: the queued requests.
        mean_interval_s: moving average of the time between dispatches.
        samples: number of dispatches in that average.
        interval_started_at: when the queue last became non-empty or a
            request was last dispatched.
        virtual_time: highest virtual time received from a scheduler.
        served: cumulative cost of the dispatched requests.
        acknowledged_served: part of `served` that a scheduler has
            acknowledged.
        last_used_at: when a request was last dispatched or a grant received.
    """

    def __init__(self):
        self.pending: collections.deque[PendingRequest] = collections.deque()
        self.mean_interval_s = 0.0
        self.samples = 0
        self.interval_started_at = math.inf
        self.virtual_time = 0.0
        self.served = 0.0
        self.acknowledged_served = 0.0
        self.last_used_at = -math.inf

    def push(self, pending: PendingRequest, now: float) -> None:
        """Appends a request to the queue."""
        if not self.pending:
            self.interval_started_at = now
        self.pending.append(pending)

    def push_front(self, pending: PendingRequest, now: float) -> None:
        """Puts a request back at the front of the queue."""
        if not self.pending:
            self.interval_started_at = now
        self.pending.appendleft(pending)

    def pop_at(self, index: int, now: float) -> PendingRequest:
        """Removes and returns the request at `index` for dispatch."""
        taken = self.pending[index]
        del self.pending[index]
        for skipped in list(self.pending)[:index]:
            skipped.skips += 1
        interval_s = max(now - self.interval_started_at, 0.0)
        gain = max(INTERVAL_GAIN, 1 / (self.samples + 1))
        self.mean_interval_s += gain * (interval_s - self.mean_interval_s)
        self.samples += 1
        self.interval_started_at = now
        self.last_used_at = now
        return taken

    def remove(self, name: ids.RequestId) -> bool:
        """Removes the request `name`; returns whether it was queued."""
        for index, pending in enumerate(self.pending):
            if pending.request.name == name:
                del self.pending[index]
                return True
        return False

    def find_preferred(self, prefixes: set[str]) -> int:
        """Returns the index of the request to dispatch next.

        This is the first of the first `LOOKAHEAD` requests whose prefix is
        in `prefixes`. If there is none, or if the head of the queue has been
        skipped `MAX_SKIPS` times, it is the head.
        """
        if self.pending[0].skips >= MAX_SKIPS:
            return 0
        for index in range(min(LOOKAHEAD, len(self.pending))):
            if self.pending[index].request.prefix in prefixes:
                return index
        return 0

    def expected_wait_s(self, position: int, now: float) -> float:
        """Returns the expected wait of a request at `position`, in seconds.

        Returns 0 until `MIN_SAMPLES` requests have been dispatched.
        """
        if self.samples < MIN_SAMPLES:
            return 0.0
        since_last_s = now - self.interval_started_at if self.pending else 0.0
        return max(self.mean_interval_s, since_last_s) * position

    def retry_after_s(self, now: float) -> float:
        """Returns the expected time until half of the queue is dispatched.

        The time is in seconds, at least `MIN_RETRY_AFTER_S`.
        """
        half = len(self.pending) / 2
        return max(MIN_RETRY_AFTER_S, self.expected_wait_s(half, now))
