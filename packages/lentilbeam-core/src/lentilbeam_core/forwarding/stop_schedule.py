"""Decides what a router that is shutting down may still begin, and until when.

A request that was handed to a target gets a whole answer if it ends before the
process is killed. The times count from the signal: a busy router runs its
timers late.
"""

import dataclasses

from lentilbeam_core.forwarding import configuration
from lentilbeam_core.forwarding import requests

ADDRESS_TTL_FACTOR = 2.8
"""A router that shuts down keeps accepting requests for this many TTLs of its
address. Some callers use an address for up to three times its TTL; the last
0.2 TTLs aren't covered."""
MAX_BEGIN_FRACTION = 0.36
"""Largest fraction of the grace period in which requests are begun, whatever
the TTL. The rest is for these requests to end."""
ANSWER_MARGIN_S = 1.2
"""Requests that still run are answered this long before the platform would
kill the process. On a slow instance the exit takes some tenths of a second."""
MIN_ANSWER_MARGIN_S = 0.6
"""The same if the signal may have come earlier than it was noticed."""
CLOSE_S = 0.2
"""Time for these answers to be sent before the server closes, in seconds."""
RETRYABLE_MARGIN = 1.5
"""A request that may be repeated is begun if this many times the mean duration
of its route is left: the few that take longer can be sent again."""
UNREPEATABLE_MARGIN = 3.0
"""The same if it must not be repeated: a caller that is refused loses a round
trip, but one whose booking is cut off can't ask again. At an exponential
distribution of durations, one in twenty takes longer."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopSchedule:
    """Times of a shutdown, in monotonic seconds.

    Attributes:
        begins_until: until when new requests are begun.
        ends_at: when requests that still run are answered as not completed.
        closes_at: when the server closes the connections that are left.
    """

    begins_until: float
    ends_at: float
    closes_at: float

    def can_end(
        self, request: requests.Request, duration_s: float | None, now: float
    ) -> bool:
        """Whether a request may be handed to a target.

        Args:
            request: the request.
            duration_s: mean time for which requests of its route were served
                lately, in seconds; None if unknown.
            now: monotonic seconds.
        """
        if now >= self.ends_at:
            return False
        if request.deadline_at <= self.ends_at:
            return True
        route = request.route
        if route.kind is configuration.RouteKind.NON_IDEMPOTENT:
            expected_s = route.goal_s if duration_s is None else duration_s
            return expected_s * UNREPEATABLE_MARGIN <= self.ends_at - now
        if duration_s is None:
            return True
        return duration_s * RETRYABLE_MARGIN <= self.ends_at - now


def plan(
    signalled_after: float,
    noticed_at: float,
    grace_s: float,
    address_ttl_s: float,
) -> StopSchedule:
    """Returns the schedule of a shutdown.

    Args:
        signalled_after: earliest time at which the signal may have come,
            monotonic seconds.
        noticed_at: when it was noticed, monotonic seconds.
        grace_s: seconds from the signal to the kill.
        address_ttl_s: time for which callers may cache an address, in seconds.
    """
    begins_s = min(
        address_ttl_s * ADDRESS_TTL_FACTOR, grace_s * MAX_BEGIN_FRACTION
    )
    ends_at = max(
        min(
            noticed_at + grace_s - ANSWER_MARGIN_S,
            signalled_after + grace_s - MIN_ANSWER_MARGIN_S,
        ),
        noticed_at,
    )
    return StopSchedule(
        begins_until=signalled_after + begins_s,
        ends_at=ends_at,
        closes_at=ends_at + CLOSE_S,
    )
