"""Emulates a router that some workspaces flood over new connections.

Like `overloaded_router`, with the accept queue of the listening socket, the
cost of accepting a connection, and callers that retry on new connections. Time
is virtual. The router decides by the real `Overload`.
"""

import collections
import dataclasses
import heapq
import itertools
import math
import os
import random

from bench.overload import processor
from lentilbeam_core import clock as clock_lib
from lentilbeam_core import poll_times as poll_times_lib
from lentilbeam_core.forwarding import configuration
from lentilbeam_router.forwarding import accept_control
from lentilbeam_router.forwarding import decision_log
from lentilbeam_router.forwarding import overload as overload_lib
from lentilbeam_router.forwarding import turns
from tests.forwarding import makers
from tests.forwarding import overloaded_router as base

ACCEPT_S = 0.0002
"""Processor time, in seconds, to accept a connection, open its transport and
close it."""
REFUSAL_S = base.REFUSAL_S - ACCEPT_S
"""Processor time, in seconds, to read and refuse a request."""
EARLY_REFUSAL_S = 0.00028
"""Processor time, in seconds, to accept a connection, read its request and
refuse it before the connection is opened (bench.flood: 0.25 to 0.28 ms)."""
CONNECT_TIMEOUT_S = 1.0
"""Time, in seconds, after which a caller gives up a connection that the full
accept queue doesn't take."""
QUOTA_PERIOD_S = 0.1
FIRST_S = 100.0
"""Virtual time of the start, in seconds."""


@dataclasses.dataclass(frozen=True)
class Workspace:
    """A workspace that sends requests.

    Attributes:
        name: its name.
        load: requests sent in each second, relative to the capacity of the
            router, by second.
        waits_as_told: whether its callers wait for `Retry-After` after a
            refusal; else they come back at once.
        has_had_fair_share: whether it counts as one that has had its share.
        ends_at_s: when its callers stop to send, in seconds since the start.
    """

    name: str
    load: list[float]
    waits_as_told: bool = False
    has_had_fair_share: bool = True
    ends_at_s: float = math.inf


@dataclasses.dataclass(eq=False, slots=True)
class Attempt:
    """A request as the router sees it, and what becomes of it.

    Attributes:
        workspace: the workspace that sends it.
        first_sent_at: when the caller sent the first attempt, in seconds.
        arrived_at: when it sent this one, in seconds.
        deadline_at: when it gives up, in seconds.
        route: route of the request.
        is_given_up: whether the caller has left.
        is_read: whether the router has read it.
        begun_at: when it was forwarded; None if it wasn't.
        events: events passed on.
        first_event_at: when the first event was passed on; None before.
        last_event_at: when the last one was, in seconds.
        longest_gap_s: longest time between two events, in seconds.
    """

    workspace: Workspace
    first_sent_at: float
    arrived_at: float
    deadline_at: float
    route: configuration.Route
    is_given_up: bool = False
    is_read: bool = False
    begun_at: float | None = None
    events: int = 0
    first_event_at: float | None = None
    last_event_at: float = 0.0
    longest_gap_s: float = 0.0

    @property
    def is_on_time(self) -> bool:
        """Whether the response to this attempt was whole and kept the goals."""
        return (
            self.events == base.EVENTS
            and self.first_event_at - self.arrived_at <= base.GOAL_S
            and self.longest_gap_s <= self.route.gap_goal_s
        )


class FloodedRouter:
    """The event loop of one router and its callers.

    Args:
        workspaces: the workspaces that send requests.
        seed: seed of arrivals and retry delays.
        has_quota: whether the processor runs at full speed in a part of each
            `QUOTA_PERIOD_S` only, instead of slowly all the time.

    Attributes:
        clock: virtual time, in seconds.
        overload: the decisions.
        begun: the attempts that were forwarded.
        sent_calls: workspace of each call, and when it was sent.
        attempts: number of attempts that were read.
        dead: number of accepted connections that callers had left.
        refused_at: times at which a request was refused.
        accepted_at: times at which a connection was accepted.
        inside_s: longest time for which an attempt waited after it was read,
            in seconds.
        most_waiting: largest number of attempts that waited at a time.
    """

    def __init__(
        self,
        workspaces: list[Workspace],
        seed: int = 1,
        has_quota: bool = False,
    ):
        self.workspaces = workspaces
        self.has_quota = has_quota
        self.rng = random.Random(seed)
        self.clock = clock_lib.ManualClock(clock_lib.SystemClock().now())
        self.clock.advance(FIRST_S)
        self.poll_times = poll_times_lib.PollTimes(self.clock.monotonic())
        log = decision_log.DecisionLog(
            self.clock, "router", os.open(os.devnull, os.O_WRONLY)
        )
        self.overload = overload_lib.Overload(self.poll_times, self.clock, log)
        self.route = dataclasses.replace(
            makers.CHAT,
            name=base.ROUTE,
            timeout_s=base.TIMEOUT_S,
            goal_s=base.GOAL_S,
        )
        self.begun: list[Attempt] = []
        self.sent_calls: list[tuple[str, float]] = []
        self.most_waiting = 0
        self.attempts = 0
        self.dead = 0
        self.refused_at: list[float] = []
        self.accepted_at: list[float] = []
        self.inside_s = 0.0
        self.order = itertools.count()
        self.connects: list[tuple[float, int, Attempt]] = []
        self.events: list[tuple[float, int, Attempt]] = []
        self.leaving: list[tuple[float, int, Attempt]] = []
        self.unaccepted: collections.deque[Attempt] = collections.deque()
        self.accepted: list[Attempt] = []
        self.waiting: collections.deque[tuple[float, Attempt]] = (
            collections.deque()
        )
        self.used_s = 0.0

    @property
    def now(self) -> float:
        """Virtual time since the start, in seconds."""
        return self.clock.monotonic() - FIRST_S

    def run(self, seconds: int) -> None:
        """Runs for a number of seconds."""
        for workspace in self.workspaces:
            for second, load in enumerate(workspace.load):
                at = FIRST_S + second
                rate = load * base.CAPACITY_PER_S
                while rate > 0:
                    at += self.rng.expovariate(rate)
                    if at >= FIRST_S + second + 1:
                        break
                    self.sent_calls.append((workspace.name, at - FIRST_S))
                    self._connect(workspace, at, at)
        next_tick = self.clock.monotonic() + base.TICK_S
        while self.now < seconds:
            self._handle_waiting()
            self._poll()
            now = self.clock.monotonic()
            if now >= next_tick:
                self.overload.note_lateness(next_tick, 0)
                self._work(base.TICK_S * base.REPORTS_FRACTION)
                next_tick = self.clock.monotonic() + base.TICK_S
            if not self.waiting and not self.accepted:
                queues = (self.connects, self.events, self.leaving)
                upcoming = min([next_tick, *(q[0][0] for q in queues if q)])
                self._idle_until(upcoming)

    def count_on_time(
        self, from_s: float, to_s: float, workspace: str | None = None
    ) -> int:
        """Returns how many responses that began in a time were on time."""
        return sum(
            from_s <= a.begun_at - FIRST_S < to_s and a.is_on_time
            for a in self.begun
            if workspace in (None, a.workspace.name)
        )

    def find_least_served(
        self, from_s: int, to_s: int, window_s: int, workspace=None
    ) -> float:
        """Returns the least that was served on time in a window of a time.

        Relative to the capacity of the router.
        """
        return min(
            self.count_on_time(at, at + window_s, workspace)
            / (window_s * base.CAPACITY_PER_S)
            for at in range(from_s, to_s - window_s + 1)
        )

    def _work(self, processor_s: float) -> None:
        before = self.clock.monotonic()
        if not self.has_quota:
            self.clock.advance(processor_s / base.CORE_SHARE)
        else:
            quota_s = QUOTA_PERIOD_S * base.CORE_SHARE
            period = before // QUOTA_PERIOD_S
            self.used_s += processor_s
            self.clock.advance(processor_s)
            if self.clock.monotonic() // QUOTA_PERIOD_S != period:
                self.used_s = 0.0
            if self.used_s >= quota_s:
                self.used_s -= quota_s
                end = (period + 1) * QUOTA_PERIOD_S
                self.clock.advance(max(end - self.clock.monotonic(), 0.0))
        self.poll_times.busy_s += self.clock.monotonic() - before

    def _idle_until(self, at: float) -> None:
        now = self.clock.monotonic()
        if at // QUOTA_PERIOD_S != now // QUOTA_PERIOD_S:
            self.used_s = 0.0
        self.clock.advance(max(at - now, 0.0))

    def _push(self, queue, at: float, attempt: Attempt) -> None:
        heapq.heappush(queue, (at, next(self.order), attempt))

    def _connect(
        self, workspace: Workspace, first_sent_at: float, at: float
    ) -> None:
        deadline_at = first_sent_at + base.TIMEOUT_S
        ends_at = FIRST_S + workspace.ends_at_s
        if at >= min(deadline_at - 0.1, ends_at):
            return
        attempt = Attempt(workspace, first_sent_at, at, deadline_at, self.route)
        self._push(self.connects, at, attempt)

    def _let_callers_act(self) -> None:
        """Connects and gives up what is due by now."""
        now = self.clock.monotonic()
        due = []
        for queue in (self.connects, self.leaving):
            while queue and queue[0][0] <= now:
                due.append((*heapq.heappop(queue), queue is self.connects))
        for at, _, attempt, is_new in sorted(due, key=lambda d: d[:2]):
            if not is_new:
                self._leave(attempt, at)
            elif len(self.unaccepted) <= self.overload.find_listen_backlog(
                accept_control.BACKLOG
            ):
                self.unaccepted.append(attempt)
                left_s = attempt.deadline_at - at
                unread_s = processor.find_patience(left_s)
                self._push(self.leaving, at + unread_s, attempt)
            else:
                again_at = at + CONNECT_TIMEOUT_S
                self._connect(
                    attempt.workspace, attempt.first_sent_at, again_at
                )

    def _leave(self, attempt: Attempt, at: float) -> None:
        if not attempt.is_read:
            attempt.is_given_up = True
            self._connect(attempt.workspace, attempt.first_sent_at, at)

    def _poll(self) -> None:
        """Reads sockets, as an iteration of the event loop does."""
        self._let_callers_act()
        self.poll_times.returned_at = self.clock.monotonic()
        polled_at = self.clock.monotonic()
        for attempt in self.accepted:
            if not attempt.is_given_up:
                attempt.is_read = True
                self.waiting.append((polled_at, attempt))
        self.most_waiting = max(self.most_waiting, len(self.waiting))
        self.accepted.clear()
        self._accept(polled_at)
        # What has arrived of a stream meanwhile is read at once.
        while self.events and self.events[0][0] <= polled_at:
            sent_at, _, attempt = heapq.heappop(self.events)
            self._pass_on(sent_at, attempt)

    def _accept(self, polled_at: float) -> None:
        """Accepts what may be accepted, if connections wait."""
        if not self.unaccepted:
            return
        waited_s = polled_at - self.waiting[0][0] if self.waiting else 0.0
        waiting = len(self.waiting)
        acceptable = self.overload.count_acceptable(waiting, waited_s)
        is_limited = not self.overload.takes_callers
        openable = accept_control.BACKLOG
        if is_limited:
            openable = self.overload.count_openable(waiting)
        reserve = max(openable, 1)
        until = polled_at + turns.MAX_TURN_S
        while self.unaccepted:
            now = self.clock.monotonic()
            if min(acceptable, openable + reserve) <= 0 or now > until:
                self.overload.note_unaccepted()
                return
            attempt = self.unaccepted.popleft()
            self.accepted_at.append(self.now)
            if attempt.is_given_up:
                self.dead += 1
                self._work(processor.DROP_S)
                continue
            acceptable -= 1
            if is_limited:
                self.overload.note_accepted()
                if self._refuse_early(attempt, openable <= 0):
                    continue
            openable -= 1
            self._work(ACCEPT_S)
            self.accepted.append(attempt)

    def _refuse_early(self, attempt: Attempt, is_full: bool) -> bool:
        """Reads a request before its connection is opened.

        Returns whether it is refused.
        """
        began_at = self.clock.monotonic()
        attempt.is_read = True
        self._work(EARLY_REFUSAL_S)
        if not self._is_refused(attempt) and not (
            is_full and attempt.workspace.has_had_fair_share
        ):
            return False
        self.attempts += 1
        self.refused_at.append(self.now)
        took_s = self.clock.monotonic() - began_at
        self.overload.note_refused(took_s, is_whole=True)
        self._come_back(attempt)
        return True

    def _pass_on(self, sent_at: float, attempt: Attempt) -> None:
        """Passes on an event of a stream."""
        now = self.clock.monotonic()
        load = self.overload.load
        if now >= attempt.deadline_at:
            load.note_ended(now)
            return
        self._work(base.EVENT_S)
        now = self.clock.monotonic()
        if attempt.first_event_at is None:
            attempt.first_event_at = now
        else:
            gap_s = now - attempt.last_event_at
            attempt.longest_gap_s = max(attempt.longest_gap_s, gap_s)
        attempt.last_event_at = now
        attempt.events += 1
        if attempt.events < base.EVENTS:
            self._push(self.events, sent_at + base.EVENT_GAP_S, attempt)
        else:
            load.note_served(base.ROUTE, now - attempt.begun_at, now)
            load.note_ended(now)

    def _handle_waiting(self) -> None:
        """Handles the requests that were read in earlier iterations."""
        began_at = self.clock.monotonic()
        while (
            self.waiting
            and self.clock.monotonic() - began_at <= turns.MAX_TURN_S
        ):
            read_at, attempt = self.waiting.popleft()
            now = self.clock.monotonic()
            self.inside_s = max(self.inside_s, now - read_at)
            if read_at < began_at:
                self.overload.note_lateness(read_at, 0)
            if now >= attempt.deadline_at:
                continue
            self.attempts += 1
            if self._is_refused(attempt):
                self.refused_at.append(self.now)
                self._work(REFUSAL_S)
                self._refuse(attempt, now)
            else:
                attempt.begun_at = now
                self.begun.append(attempt)
                self._work(base.REQUEST_S)
                now = self.clock.monotonic()
                self.overload.note_begun()
                self._push(self.events, now + base.PREFILL_S, attempt)

    def _is_refused(self, attempt: Attempt) -> bool:
        return self.overload.is_too_late_for(
            attempt, lambda: attempt.workspace.has_had_fair_share
        ) or not self.overload.can_finish(attempt)

    def _refuse(self, attempt: Attempt, began_at: float) -> None:
        self.overload.note_refused(self.clock.monotonic() - began_at)
        self._come_back(attempt)

    def _come_back(self, attempt: Attempt) -> None:
        """Sends a refused request again."""
        now = self.clock.monotonic()
        retry_s = 0.0
        if attempt.workspace.waits_as_told:
            left_s = attempt.deadline_at - now
            retry_s = min(
                self.rng.uniform(*base.RETRY_AFTER_RANGE_S),
                left_s * base.RETRY_AFTER_FRACTION,
            )
        self._connect(attempt.workspace, attempt.first_sent_at, now + retry_s)
