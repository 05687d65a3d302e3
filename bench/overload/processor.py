"""Model of a router's processor: one piece of work at a time, at a share."""

import collections
from collections.abc import Callable
import dataclasses
from typing import Any

from lentilbeam_core.forwarding import requests

READ_S = 0.0006
"""Processor time to accept a connection and read its request, in seconds."""
BEGIN_S = 0.0012
"""Processor time to send a request that was placed, in seconds."""
EVENT_S = 0.00009
"""Processor time to pass on an event of a stream, in seconds (streams of 30
events take 2.5 ms more than those of one)."""
DROP_S = 0.00005
"""Processor time to close a connection whose caller has left, in seconds."""
REPORT_S = 0.00005
"""Processor time to apply a report of a peer, in seconds."""
PASS_S = 0.0004
"""Processor time of a pass over the queue, in seconds."""

MAX_UNREAD_S = 1.0
"""Time, in seconds, after which a caller gives up a request that isn't read and
connects anew."""
MAX_UNREAD_FRACTION = 1 / 3
"""The same, relative to the time that it has left."""


def find_patience(left_s: float) -> float:
    """Returns for how long a caller waits until its request is read, in s.

    Args:
        left_s: time that the caller has left, in seconds.
    """
    return min(MAX_UNREAD_S, left_s * MAX_UNREAD_FRACTION)


@dataclasses.dataclass(slots=True)
class Work:
    """A piece of work.

    Attributes:
        cost_s: processor time that it takes, in seconds of a whole core.
        action: called with the argument and the time once it is done.
        argument: see above.
    """

    cost_s: float
    action: Callable[[Any, float], None]
    argument: Any


@dataclasses.dataclass(eq=False, slots=True)
class Unread:
    """A request in the accept queue.

    Attributes:
        request: the request; its arrival is that of this attempt.
        is_read: whether the router has read it.
        is_left: whether its caller left before that.
    """

    request: requests.Request
    is_read: bool = False
    is_left: bool = False


class Processor:
    """Processor of one router.

    What belongs to requests that run goes before new requests, as in an event
    loop that limits how many it accepts in a turn.

    Attributes:
        core_share: share of a core.
        is_working: whether it works on something.
        busy_until: when the current work is done, in seconds.
        busy_s: time that all work has taken so far, in seconds.
        ready: work that waits.
        unread: requests in the accept queue, in order of arrival.
    """

    def __init__(self, core_share: float):
        self.core_share = core_share
        self.is_working = False
        self.busy_until = 0.0
        self.busy_s = 0.0
        self.ready: collections.deque[Work] = collections.deque()
        self.unread: collections.deque[Unread] = collections.deque()

    def use(self, cost_s: float, now: float) -> float:
        """Takes time for a piece of work; returns when it is done.

        Args:
            cost_s: processor time, in seconds of a whole core.
            now: time, in seconds.
        """
        duration_s = cost_s / self.core_share
        self.busy_until = max(self.busy_until, now) + duration_s
        self.busy_s += duration_s
        return self.busy_until

    def count_unread(self) -> int:
        """Returns the number of requests in the accept queue."""
        return len(self.unread)
