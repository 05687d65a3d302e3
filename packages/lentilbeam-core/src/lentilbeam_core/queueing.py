"""One workspace's waiting requests at one router, for one pool."""

import collections
import dataclasses
import math

from lentilbeam_core import events
from lentilbeam_core import ids

INTERVAL_GAIN = 0.2
MIN_SAMPLES = 4
LOOKAHEAD = 4
MAX_SKIPS = 3
MIN_RETRY_AFTER_S = 0.5


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """A request that waits.

    Attributes:
        request: the request.
        estimate: its expected cost.
        arrived: when it arrived, monotonic seconds.
        tries: how often it was handed to a target that was unreachable.
        skips: how often a later request was preferred.
    """

    request: events.QueuedRequest
    estimate: float
    arrived: float
    tries: int = 0
    skips: int = 0


class WorkspaceQueue:
    """Requests in arrival order, with the pace at which they leave."""

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
        """Appends a request."""
        if not self.pending:
            self.interval_started_at = now
        self.pending.append(pending)

    def push_front(self, pending: PendingRequest, now: float) -> None:
        """Puts a request back to where it came from."""
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
        """Removes the request `name`; returns whether it waited here."""
        for index, pending in enumerate(self.pending):
            if pending.request.name == name:
                del self.pending[index]
                return True
        return False

    def find_preferred(self, prefixes: set[str]) -> int:
        """Returns the index of an early request with one of `prefixes`."""
        if self.pending[0].skips >= MAX_SKIPS:
            return 0
        for index in range(min(LOOKAHEAD, len(self.pending))):
            if self.pending[index].request.prefix in prefixes:
                return index
        return 0

    def expected_wait_s(self, position: int, now: float) -> float:
        """Returns the expected wait at `position`; 0 while unknown."""
        if self.samples < MIN_SAMPLES:
            return 0.0
        since_last_s = now - self.interval_started_at if self.pending else 0.0
        return max(self.mean_interval_s, since_last_s) * position

    def retry_after_s(self, now: float) -> float:
        """Returns when about half of the queue will have left."""
        half = len(self.pending) / 2
        return max(MIN_RETRY_AFTER_S, self.expected_wait_s(half, now))
