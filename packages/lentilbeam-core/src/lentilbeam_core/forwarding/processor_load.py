"""Limits the requests that a router begins to what its processor can finish.

Most of the work for a stream comes after it has begun, with its events. A
router that only notices its lateness has then begun several times what it can
finish in time: all of it is late, and callers that are refused or give up come
back. This module therefore learns what a request costs from begin to end, and
counts the work of the requests that were begun as a backlog, which drains at
the rate of the processor.

Nothing is limited while the processor has time to spare.
"""

import dataclasses
import math

from lentilbeam_core.forwarding import decayed
from lentilbeam_core.forwarding import lateness

BEGIN_WEIGHT = 0.4
"""Part of a request's cost that counts when it begins, the rest when it ends.
Handling a request takes about as long as 20 events; streams have 30 to 60."""

REFUSAL_WEIGHT = 0.12
"""Cost of a refusal relative to that of a request, by the measurements that are
in docs/design/router-resources.md."""

MAX_COST_S = 0.1
"""Upper limit of the estimated cost of a request, in seconds. A stream of 30
events takes 4.3 ms of a core, and an instance has 0.1 of one or more; what is
beyond twice that is other work, such as the reports of a relay."""

CALM_S = 0.5
"""Time after the last refusal, in seconds, from which costs are learned."""
MAX_UNLEARNED_S = 30.0
"""Longest time without learning, in seconds. Refusals then count as part of the
cost, which begins fewer requests."""
DURATION_DECAY_S = 10.0
"""Time constant of the mean time for which a route's requests are served, in
seconds: long enough for some requests at a router that serves few."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the limit.

    Attributes:
        busy_fraction: the limit applies while at least this fraction of the
            recent time was busy.
        planned_fraction: fraction of the time that requests are begun for; the
            rest makes up for errors of the estimate.
        recent_s: time constant of what counts as recent, in seconds.
        mean_s: time constant of the mean of which other routers are told, in
            seconds. It outlasts single bursts.
        hold_s: shortest time for which they are told a peak of it, in seconds.
            Callers would otherwise come back as soon as they have left.
        cost_decay_s: time constant of the estimated cost of a request, in
            seconds; longer than most streams.
        min_requests: number of requests within `cost_decay_s` from which their
            cost is estimated.
        late_backlog_s: backlog from which the router is `LATE`, in seconds of
            the processor.
        stalled_backlog_s: the same for `STALLED`.
    """

    busy_fraction: float = 0.9
    planned_fraction: float = 1.0
    recent_s: float = 0.2
    mean_s: float = 0.5
    hold_s: float = 2.0
    cost_decay_s: float = 4.0
    min_requests: float = 4.0
    late_backlog_s: float = 2.0
    stalled_backlog_s: float = 3.0


class ProcessorLoad:
    """Work that a router has begun, relative to what it can do.

    Attributes:
        settings: settings of the limit.
        busy_fraction: fraction of the recent time that was busy.
        mean_busy_fraction: the same over a longer time, see `Settings.mean_s`.
        running: number of requests that were begun and have not ended.
        promised_until: when the last of the refused callers that were told to
            return does so, monotonic seconds.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        self.busy_fraction = 0.0
        self.mean_busy_fraction = 0.0
        self._peaks = (0.0, 0.0)
        self._peak_since = -math.inf
        self.running = 0
        self.promised_until = -math.inf
        self._busy = decayed.DecayingSum()
        self._requests = decayed.DecayingSum()
        self._backlog_s = 0.0
        self._drained_at = 0.0
        self._total_busy_s = 0.0
        self._noted_at: float | None = None
        self._new_requests = 0.0
        self._new_refused_s = 0.0
        self._refused_at = -math.inf
        # The sums decay with the time from which was learned.
        self._learned_s = 0.0
        self._learned_at = -math.inf
        self._durations: dict[
            str, tuple[decayed.DecayingSum, decayed.DecayingSum]
        ] = {}

    def note_busy(self, total_busy_s: float, now: float) -> None:
        """Records how long the router has been busy; called at intervals.

        Args:
            total_busy_s: seconds in which it was busy since its start, pauses
                of its processor included.
            now: monotonic seconds.
        """
        busy_s = total_busy_s - self._total_busy_s
        self._total_busy_s = total_busy_s
        if self._noted_at is not None and now > self._noted_at:
            elapsed_s = now - self._noted_at
            fraction = min(busy_s / elapsed_s, 1.0)
            kept = math.exp(-elapsed_s / self.settings.recent_s)
            self.busy_fraction += (1 - kept) * (fraction - self.busy_fraction)
            kept = math.exp(-elapsed_s / self.settings.mean_s)
            self.mean_busy_fraction += (1 - kept) * (
                fraction - self.mean_busy_fraction
            )
            self._note_peak(now)
            self._learn(busy_s, elapsed_s, now)
        self._noted_at = now

    @property
    def told_busy_fraction(self) -> float:
        """The highest `mean_busy_fraction` of the last seconds.

        It covers once to twice `Settings.hold_s`.
        """
        return max(self._peaks)

    def _note_peak(self, now: float) -> None:
        before, current = self._peaks
        if now - self._peak_since >= self.settings.hold_s:
            self._peak_since = now
            before, current = current, 0.0
        self._peaks = (before, max(current, self.mean_busy_fraction))

    def note_begun(self, now: float) -> None:
        """Records that a request is forwarded."""
        self.running += 1
        self._new_requests += BEGIN_WEIGHT
        self._add_backlog(self.estimate_cost(), now)

    def note_refused(self, now: float, cost_s: float | None = None) -> None:
        """Records that a request was refused because of the load.

        Args:
            now: monotonic seconds.
            cost_s: time that the refusal took, in seconds; None if unknown.
        """
        if cost_s is None:
            self._refused_at = now
            cost_s = REFUSAL_WEIGHT * self.estimate_cost()
        else:
            self._new_refused_s += cost_s
        self._add_backlog(cost_s, now)

    def note_ended(self, now: float) -> None:
        """Records that a forwarded request has ended in any way."""
        del now
        self.running -= 1
        self._new_requests += 1 - BEGIN_WEIGHT

    def note_served(self, route: str, took_s: float, now: float) -> None:
        """Records how long a request was served, from its begin to its end.

        Args:
            route: name of its route.
            took_s: seconds.
            now: monotonic seconds.
        """
        count, total = self._durations.setdefault(
            route, (decayed.DecayingSum(), decayed.DecayingSum())
        )
        count.add(1.0, now, DURATION_DECAY_S)
        total.add(took_s, now, DURATION_DECAY_S)

    def can_finish(self, route: str, left_s: float, now: float) -> bool:
        """Whether a request can be served before its deadline.

        Always true while the router has time to spare: the request may be
        shorter than others of its route, and nobody has to wait for it.

        Args:
            route: name of its route.
            left_s: seconds until its deadline.
            now: monotonic seconds.
        """
        if self.busy_fraction < self.settings.busy_fraction:
            return True
        duration_s = self.find_duration_s(route, now)
        return duration_s is None or left_s >= duration_s

    def find_duration_s(self, route: str, now: float) -> float | None:
        """Returns for how long requests of a route were served lately.

        Args:
            route: name of the route.
            now: monotonic seconds.

        Returns:
            The mean in seconds; None if there were too few.
        """
        if route not in self._durations:
            return None
        count, total = self._durations[route]
        requests = count.read(now, DURATION_DECAY_S)
        if requests < 1.0:
            return None
        return total.read(now, DURATION_DECAY_S) / requests

    def estimate_cost(self) -> float:
        """Returns the processor time of a request in seconds; 0 if unknown.

        What the router does besides is part of it, except for refusals.
        """
        if self._requests.value < self.settings.min_requests:
            return 0.0
        busy_s = max(self._busy.value, 0.0)
        return min(busy_s / self._requests.value, MAX_COST_S)

    def read_backlog(self, now: float) -> float:
        """Returns the work that was begun and is left, in seconds.

        It is a sum of estimates: an error of the cost stays in it for as long
        as the router is busy. So no more counts than what the requests cost
        that still run.
        """
        running_s = self.running * self.estimate_cost()
        return min(self.estimate_backlog(now), running_s)

    def estimate_backlog(self, now: float) -> float:
        """Returns the estimates of what was begun, less the time since, in s.

        Unlike `read_backlog`, it includes the time of refusals. It is what a
        router goes by that is late, and may be late because of them.
        """
        done_s = (now - self._drained_at) * self.settings.planned_fraction
        return max(self._backlog_s - done_s, 0.0)

    def _learn(self, busy_s: float, elapsed_s: float, now: float) -> None:
        """Adds an interval to the estimated cost of a request.

        Intervals with refusals are left out, since their time would count as
        that of requests; in a long overload they are used nevertheless.
        """
        requests, self._new_requests = self._new_requests, 0.0
        busy_s -= self._new_refused_s
        self._new_refused_s = 0.0
        if (
            now - self._refused_at < CALM_S
            and now - self._learned_at < MAX_UNLEARNED_S
        ):
            return
        self._learned_at = now
        self._learned_s += elapsed_s
        decay_s = self.settings.cost_decay_s
        self._busy.add(busy_s, self._learned_s, decay_s)
        self._requests.add(requests, self._learned_s, decay_s)

    def _add_backlog(self, added_s: float, now: float) -> None:
        self._backlog_s = self.estimate_backlog(now) + added_s
        self._drained_at = now

    def find_level(self, now: float) -> lateness.Level:
        """Returns what the router should do about its load."""
        if self.busy_fraction < self.settings.busy_fraction:
            return lateness.Level.ON_TIME
        backlog_s = self.estimate_backlog(now)
        if backlog_s >= self.settings.stalled_backlog_s:
            return lateness.Level.STALLED
        if backlog_s >= self.settings.late_backlog_s:
            return lateness.Level.LATE
        return lateness.Level.ON_TIME

    def promise(self, now: float, longest_s: float) -> float:
        """Returns after how many seconds a refused caller should return.

        It is the time when the router can begin its request, after those that
        were refused before and return.

        Args:
            now: monotonic seconds.
            longest_s: longest time that the caller waits, in seconds. A caller
                that would have to wait for longer does not return.
        """
        per_request_s = self.estimate_cost() / self.settings.planned_fraction
        begins_at = now + self.read_backlog(now)
        at = max(begins_at, self.promised_until + per_request_s)
        if at - now <= longest_s:
            self.promised_until = at
        return at - now
