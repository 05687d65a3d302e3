"""Divides the processor time of an overloaded router.

Refusals take time as well. A router that refuses whatever arrives, and whose
callers come back at once, may spend all of its time on refusals and then serves
nobody for as long as the flood lasts. Refusals therefore get a bounded share of
the time, the rest is for serving. The share is kept by accepting connections at
a bounded rate: what isn't accepted waits in the accept queue, where it costs
nothing. That queue is kept short, since callers leave it after a second.

Nothing is limited beyond `Settings.inside_s` while the router is on time.
"""

import dataclasses
import math

from lentilbeam_core.forwarding import decayed
from lentilbeam_core.forwarding import processor_load

UNMEASURED_FACTOR = 1.5
"""Processor time of a refused request, including its connection, relative to
the time from its turn to its response."""
INITIAL_REFUSAL_S = 0.0045
"""Cost of a refusal until some were measured, in seconds: 0.45 ms of a core, by
the measurements in docs/design/router-resources.md, on 0.1 of a core."""
REFUSAL_RANGE_S = (0.0001, 0.02)
"""Limits of the estimated cost of a refusal, in seconds. On 0.1 of a core it is
4.5 ms; what is beyond is a pause of the processor."""
MEASUREMENT_WEIGHT = 0.01
"""Weight of a refusal in the mean of their costs. Where a quota pauses the
processor, a few refusals take the time of all pauses."""
RATE_DECAY_S = 4.0
"""Time constant of the rate at which requests begin, in seconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the division.

    Attributes:
        refusal_share: largest share of the time that refusals get.
        inside_s: longest time of work that waits in the process, in seconds.
        queue_s: longest time for which a connection is to wait in the accept
            queue, in seconds; a third of usual goals.
        min_queue: shortest length of the accept queue.
        backlog_s: work that is begun ahead, in seconds of the processor.
        fair_share_backlog_s: the same for requests of workspaces that have had
            their fair share, so that others find room.
    """

    refusal_share: float = 1 / 3
    inside_s: float = 0.1
    queue_s: float = 0.1
    min_queue: int = 4
    backlog_s: float = 1.5
    fair_share_backlog_s: float = 1.0


class OverloadBudget:
    """Processor time for serving, refusing and accepting.

    Attributes:
        settings: settings of the division.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        self._refusal_s = INITIAL_REFUSAL_S
        self._begun = decayed.DecayingSum()
        self._left_s = settings.inside_s
        self._refilled_at = -math.inf

    def estimate_refusal_cost(self) -> float:
        """Returns the time of a refusal and its connection, in seconds."""
        shortest_s, longest_s = REFUSAL_RANGE_S
        return min(max(self._refusal_s, shortest_s), longest_s)

    def note_refused(self, took_s: float) -> None:
        """Records a refusal.

        Args:
            took_s: seconds that it took, with its connection.
        """
        self._refusal_s += (took_s - self._refusal_s) * MEASUREMENT_WEIGHT

    def note_accepted(self, now: float) -> None:
        """Records that a connection was accepted while they are limited."""
        self._refill(now)
        self._left_s -= self.estimate_refusal_cost()

    def note_begun(self, now: float) -> None:
        """Records that a request is forwarded while they are limited."""
        self._refill(now)
        self._left_s += self.estimate_refusal_cost()
        self._begun.add(1.0, now, RATE_DECAY_S)

    def count_acceptable(
        self,
        waiting: int,
        waited_s: float,
        is_limited: bool,
        now: float,
        request_s: float = 0.0,
    ) -> int:
        """Returns how many connections may be accepted now.

        Args:
            waiting: number of requests that were read and are not yet handled.
            waited_s: for how long the first of these has waited, in seconds.
            is_limited: whether this router was late recently.
            now: monotonic seconds.
            request_s: cost of a request, in seconds; 0 if it is unknown. Until
                refusals were measured, theirs follows from it.
        """
        cost_s = self.estimate_refusal_cost()
        if not is_limited:
            # What waits inside makes the router late, which limits it. What
            # waits in the accept queue does not show.
            if request_s > 0:
                weight = UNMEASURED_FACTOR * processor_load.REFUSAL_WEIGHT
                cost_s = min(cost_s, weight * request_s)
            return max(int(self.settings.inside_s / cost_s) - waiting, 1)
        if waited_s >= self.settings.inside_s:
            return 0
        self._refill(now)
        return max(int(self._left_s / cost_s), 0)

    def count_openable(self, waiting: int, request_s: float) -> int:
        """Returns how many requests may begin to wait for their turn.

        Args:
            waiting: number of those that wait.
            request_s: cost of a request, in seconds; 0 if it is unknown.
        """
        begin_s = processor_load.BEGIN_WEIGHT * request_s
        cost_s = max(begin_s, self.estimate_refusal_cost())
        return max(int(self.settings.inside_s / cost_s), 1) - waiting

    def find_queue_length(self, now: float) -> int:
        """Returns the length of the accept queue of an overloaded router.

        It is what is accepted within `Settings.queue_s`.

        Args:
            now: monotonic seconds.
        """
        rate = self.settings.refusal_share / self.estimate_refusal_cost()
        rate += self._begun.read(now, RATE_DECAY_S) / RATE_DECAY_S
        return max(int(rate * self.settings.queue_s), self.settings.min_queue)

    def is_full(self, backlog_s: float, has_had_fair_share: bool) -> bool:
        """Whether an overloaded router has begun what it can finish.

        Args:
            backlog_s: work that was begun and is left, in seconds.
            has_had_fair_share: whether the workspace of the next request has
                had its fair share.
        """
        if has_had_fair_share:
            return backlog_s >= self.settings.fair_share_backlog_s
        return backlog_s >= self.settings.backlog_s

    def _refill(self, now: float) -> None:
        elapsed_s = max(now - self._refilled_at, 0.0)
        self._refilled_at = now
        added_s = elapsed_s * self.settings.refusal_share
        self._left_s = min(self._left_s + added_s, self.settings.inside_s)
