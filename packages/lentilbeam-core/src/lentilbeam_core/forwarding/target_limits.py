"""Limits that targets set on the rate of their requests.

A target in need names a limit in its responses for as long as it holds: the
requests per second that it takes from all routers together. What one router
reads in a response is true for the whole fleet and travels in load reports.
"""

import dataclasses
import math

from lentilbeam_core import ids

NO_LIMIT = math.inf
"""Rate, in requests per second, of a target that has withdrawn its limit."""
MAX_AGE_S = 60.0
"""Time, in seconds, after which a limit ends if no response names it again."""


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """What a target has said about the rate of its requests.

    Attributes:
        start_ms: start of the process that said it, Unix milliseconds, see
            `target_list.Entry.start_ms`.
        per_s: requests per second that it takes from all routers together;
            `NO_LIMIT` if it has withdrawn its limit.
        noted_at: when the response with it was received, monotonic seconds.
        source: the peer that reported it; None if it was read in a response
            to this router.
    """

    start_ms: int
    per_s: float
    noted_at: float
    source: ids.InstanceId | None = None

    @property
    def ends_at(self) -> float:
        """When it no longer counts, monotonic seconds."""
        return self.noted_at + MAX_AGE_S


class TargetLimits:
    """The newest limit of each target, from responses and from peers.

    Only what this router has read itself is reported to peers. If routers
    passed on what they had learned, a limit would seem newer with each report
    and never end.

    Attributes:
        own: newest limit from responses to this router, by target.
        reported: newest limit from peers, by target.
    """

    def __init__(self):
        self.own: dict[ids.TargetId, Limit] = {}
        self.reported: dict[ids.TargetId, Limit] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no target has named a limit."""
        return not self.own and not self.reported

    def find(self, name: ids.TargetId, now: float) -> Limit | None:
        """Returns what counts for a target; None if no limit is known."""
        known = [
            limit
            for limit in (self.own.get(name), self.reported.get(name))
            if limit is not None and now < limit.ends_at
        ]
        return max(known, key=lambda limit: limit.noted_at, default=None)

    def read_rate(self, name: ids.TargetId, now: float) -> float:
        """Returns the requests per second that a target takes from the fleet.

        `NO_LIMIT` if it has named no limit.
        """
        limit = self.find(name, now)
        return limit.per_s if limit is not None else NO_LIMIT

    def note_response(
        self,
        name: ids.TargetId,
        start_ms: int,
        per_s: float | None,
        sent_at: float,
        now: float,
    ) -> None:
        """Records what a response says about the limit of its target.

        Responses may overtake each other. One without a limit counts only if
        its request was sent after the limit had been named.

        Args:
            name: the target.
            start_ms: start of its process, see `Limit.start_ms`.
            per_s: the limit that the response names; None if it names none.
            sent_at: when the request was sent, monotonic seconds.
            now: when the response was received, monotonic seconds.
        """
        if per_s is not None:
            self.own[name] = Limit(start_ms, per_s, now)
            return
        limit = self.find(name, now)
        is_limited = limit is not None and limit.per_s != NO_LIMIT
        if is_limited and sent_at >= limit.noted_at:
            self.own[name] = Limit(start_ms, NO_LIMIT, now)

    def note_reported(self, name: ids.TargetId, limit: Limit) -> None:
        """Records what a peer has reported, unless it is known to be older."""
        known = self.reported.get(name)
        if known is None or known.noted_at < limit.noted_at:
            self.reported[name] = limit

    def forget(self, name: ids.TargetId) -> None:
        """Removes all limits of a target that has restarted or is gone."""
        self.own.pop(name, None)
        self.reported.pop(name, None)
