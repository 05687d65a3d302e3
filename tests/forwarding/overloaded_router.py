"""Emulates a router whose processor is overloaded for some seconds.

Time is virtual: each piece of work advances the clock by its processor time,
divided by the router's share of a core. Callers that are refused come back
after the time that the router names, as long as their deadline allows it; those
that get no whole response by their deadline send their request anew.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from bench.overload import processor
from lentilbeam_core.forwarding import lateness as lateness_lib
from lentilbeam_core.forwarding import processor_load
from lentilbeam_router.forwarding import turns

CORE_SHARE = 0.12
"""Share of a core that a router has."""
REPORTS_FRACTION = 0.027
"""Fraction of a core that reports and timers take."""
REQUEST_S = 0.0018
"""Processor time, in seconds, to read, place and send a request (bench of the
request handler with streams of one event: 2.0 ms of a core in all)."""
EVENT_S = processor.EVENT_S
REFUSAL_S = 0.0006
"""Processor time to accept a connection and refuse its request, in seconds."""
EVENTS = 50
EVENT_GAP_S = 0.03
"""Time between two events of a stream, in seconds."""
PREFILL_S = 0.08
GOAL_S = 0.8
"""Time to the first event for which a response is on time, in seconds."""
TIMEOUT_S = 4.0
TICK_S = 0.04
ROUTE = "chat"
RETRY_AFTER_RANGE_S = (0.25, 0.7)
RETRY_AFTER_FRACTION = 0.3
CAPACITY_PER_S = (CORE_SHARE - REPORTS_FRACTION) / (
    REQUEST_S + EVENTS * EVENT_S
)
"""Requests per second that the router could serve if it refused none."""


@dataclasses.dataclass(slots=True)
class Call:
    """A request of a caller, with its retries.

    Attributes:
        first_sent_at: when the caller first sent it, in seconds.
        sent_at: when its current attempt arrived, in seconds.
        read_at: when the router read it, in seconds.
        begun_at: when it was forwarded, in seconds.
        events: events passed on.
        first_event_at: when the first one was passed on; None before.
        longest_gap_s: longest time between two events, in seconds.
        last_event_at: when the last event was passed on, in seconds.
    """

    first_sent_at: float
    sent_at: float
    read_at: float = 0.0
    begun_at: float = 0.0
    events: int = 0
    first_event_at: float | None = None
    longest_gap_s: float = 0.0
    last_event_at: float = 0.0

    @property
    def deadline_at(self) -> float:
        """When the caller gives up, in seconds."""
        return self.first_sent_at + TIMEOUT_S

    @property
    def is_on_time(self) -> bool:
        """Whether the response was whole and kept the goals."""
        return (
            self.events == EVENTS
            and self.first_event_at - self.first_sent_at <= GOAL_S
            and self.longest_gap_s <= 0.4
        )


class OverloadedRouter:
    """The event loop of one router.

    Args:
        sheds_by_load: whether it refuses by its processor load, not only by
            its lateness.
        seed: seed of arrivals and retry delays.

    Attributes:
        now: virtual time, in seconds.
        calls: all calls that callers have sent.
        attempts: number of requests that the router has read.
    """

    def __init__(self, sheds_by_load: bool, seed: int = 1):
        self.sheds_by_load = sheds_by_load
        self.rng = random.Random(seed)
        self.now = 0.0
        self.lateness = lateness_lib.Lateness(lateness_lib.Settings())
        self.load = processor_load.ProcessorLoad(processor_load.Settings())
        self.calls: list[Call] = []
        self.attempts = 0
        self.order = itertools.count()
        self.arrivals: list[tuple[float, int, Call]] = []
        self.events: list[tuple[float, int, Call]] = []
        self.waiting: collections.deque[Call] = collections.deque()
        self.busy_s = 0.0

    def run(self, load_by_second: list[float]) -> None:
        """Runs until the load ends.

        Args:
            load_by_second: requests sent in each second, relative to
                `CAPACITY_PER_S`.
        """
        for second, load in enumerate(load_by_second):
            at = float(second)
            while True:
                at += self.rng.expovariate(load * CAPACITY_PER_S)
                if at >= second + 1:
                    break
                call = Call(at, at)
                self.calls.append(call)
                self._push(self.arrivals, at, call)
        next_tick = TICK_S
        while self.now < len(load_by_second):
            self._handle_waiting()
            self._read_sockets()
            if self.now >= next_tick:
                self.lateness.note_timer(next_tick, self.now)
                self._work(TICK_S * REPORTS_FRACTION)
                self.load.note_busy(self.busy_s, self.now)
                next_tick = self.now + TICK_S
            if not self.waiting:
                upcoming = [q[0][0] for q in (self.arrivals, self.events) if q]
                self.now = max(self.now, min([next_tick, *upcoming]))

    def count_on_time(self, from_s: float, to_s: float) -> float:
        """Returns the fraction of calls sent in a time that were on time."""
        sent = [c for c in self.calls if from_s <= c.first_sent_at < to_s]
        return sum(c.is_on_time for c in sent) / len(sent)

    def _work(self, processor_s: float) -> None:
        self.now += processor_s / CORE_SHARE
        self.busy_s += processor_s / CORE_SHARE

    def _push(self, queue, at: float, call: Call) -> None:
        heapq.heappush(queue, (at, next(self.order), call))

    def _handle_waiting(self) -> None:
        """Handles the requests that were read in earlier iterations."""
        began_at = self.now
        while self.waiting and self.now - began_at <= turns.MAX_TURN_S:
            call = self.waiting.popleft()
            if call.read_at < began_at:
                self.lateness.note_timer(call.read_at, self.now)
            if self.now >= call.deadline_at:
                self._call_again(call)
                continue
            self.attempts += 1
            if self._is_refused(call):
                self._work(REFUSAL_S)
                self.load.note_refused(self.now)
                self._refuse(call)
            else:
                call.begun_at = self.now
                self._work(REQUEST_S)
                self.load.note_begun(self.now)
                self._push(self.events, self.now + PREFILL_S, call)

    def _is_refused(self, call: Call) -> bool:
        if not self.sheds_by_load:
            return self.lateness.level is not lateness_lib.Level.ON_TIME
        left_s = call.deadline_at - self.now
        if not self.load.can_finish(ROUTE, left_s, self.now):
            return True
        levels = (self.lateness.level, self.load.find_level(self.now))
        return any(level is not lateness_lib.Level.ON_TIME for level in levels)

    def _refuse(self, call: Call) -> None:
        left_s = call.deadline_at - self.now
        wanted_s = self.rng.uniform(*RETRY_AFTER_RANGE_S)
        longest_s = left_s * RETRY_AFTER_FRACTION
        retry_s = min(wanted_s, longest_s)
        if self.sheds_by_load:
            retry_s = max(retry_s, self.load.promise(self.now, longest_s))
        retry_at = self.now + retry_s
        if retry_s <= longest_s and retry_at < call.deadline_at - 0.1:
            call.sent_at = retry_at
            self._push(self.arrivals, retry_at, call)

    def _call_again(self, call: Call) -> None:
        """Sends the request anew of a caller that got no whole response."""
        again = Call(call.deadline_at, self.now)
        self.calls.append(again)
        self._push(self.arrivals, self.now, again)

    def _read_sockets(self) -> None:
        polled_at = self.now
        while self.arrivals and self.arrivals[0][0] <= polled_at:
            _, _, call = heapq.heappop(self.arrivals)
            call.read_at = polled_at
            self.waiting.append(call)
        ready = []
        while self.events and self.events[0][0] <= polled_at:
            ready.append(heapq.heappop(self.events))
        for sent_at, _, call in ready:
            if self.now >= call.deadline_at:
                self.load.note_ended(self.now)
                self._call_again(call)
                continue
            self._work(EVENT_S)
            if call.first_event_at is None:
                call.first_event_at = self.now
            else:
                gap_s = self.now - call.last_event_at
                call.longest_gap_s = max(call.longest_gap_s, gap_s)
            call.last_event_at = self.now
            call.events += 1
            if call.events < EVENTS:
                self._push(self.events, sent_at + EVENT_GAP_S, call)
            else:
                took_s = self.now - call.begun_at
                self.load.note_served(ROUTE, took_s, self.now)
                self.load.note_ended(self.now)
