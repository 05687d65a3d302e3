"""Simulates routers with little processor time beside engines that fill.

Events, reports, passes over the queue and new requests take processor time. A
router decides by the real `Overload` which new requests it is too busy for.
The accept queue is unlimited: what bounds it is in `tests.forwarding`.
"""

import dataclasses
import math
import os

from bench.overload import fleet as fleet_lib
from bench.overload import patterns
from bench.overload import policies
from bench.overload import processor as processor_lib
from lentilbeam_core import clock as clock_lib
from lentilbeam_core import poll_times as poll_times_lib
from lentilbeam_core.forwarding import decisions as decisions_lib
from lentilbeam_core.forwarding import requests
from lentilbeam_router.forwarding import decision_log
from lentilbeam_router.forwarding import dispatcher
from lentilbeam_router.forwarding import overload as overload_lib

TICK_S = 0.04
"""Time between two timers by which a router measures its lateness."""
NOT_BEGUN_REASONS = (
    decisions_lib.RefusalReason.ROUTER_BUSY,
    decisions_lib.RefusalReason.MEMORY,
)
"""Why requests are refused that the router didn't count as begun."""
MIN_LEFT_S = 0.1
"""Callers that have less time left do not send a request, in seconds."""


class BusyFleet(fleet_lib.Fleet):
    """A fleet whose routers have a share of a core each.

    Args:
        pattern: the load pattern.
        policy: how routers decide.
        size: dimensions of the fleet.
        core_share: share of a core of each router.
        seed: seed of the random number generator.
        max_requests: number of requests that the memory of a router holds;
            infinite if it doesn't limit them.

    Attributes:
        held: requests that each router holds.
        processors: processor of each router.
        overloads: what each router decides by its lateness and load.
        next_pass_at: earliest time of each router's next pass, in seconds.
        has_pass_timer: whether each router's next pass is scheduled.
    """

    def __init__(
        self,
        pattern: patterns.Pattern,
        policy: policies.Policy,
        size: fleet_lib.FleetSize,
        core_share: float,
        seed: int,
        max_requests: float = math.inf,
    ):
        super().__init__(pattern, policy, size, seed)
        self.max_requests = max_requests
        self.held: list[set[str]] = [set() for _ in self.routers]
        self.clock = clock_lib.ManualClock(clock_lib.SystemClock().now())
        self.started_at = self.clock.monotonic()
        log = decision_log.DecisionLog(
            self.clock, "router", os.open(os.devnull, os.O_WRONLY)
        )
        self.processors = [
            processor_lib.Processor(core_share) for _ in self.routers
        ]
        for router, processor in zip(
            self.routers, self.processors, strict=True
        ):
            router.usage.count_waiting = processor.count_unread
        self.overloads = [
            overload_lib.Overload(
                poll_times_lib.PollTimes(self.started_at), self.clock, log
            )
            for _ in self.routers
        ]
        self.next_pass_at = [0.0] * len(self.routers)
        self.has_pass_timer = [False] * len(self.routers)

    def run(self, seed: int) -> list[fleet_lib.Outcome]:
        """Simulates the pattern; returns the results of all requests."""
        for index in range(len(self.routers)):
            at = self.rng.uniform(0, TICK_S)
            self._schedule(at, self._tick, (index, at))
        return super().run(seed)

    def _add_work(self, index: int, cost_s: float, action, argument, now):
        """Queues work of a router that goes before new requests."""
        work = processor_lib.Work(cost_s, action, argument)
        self.processors[index].ready.append(work)
        self._work_on((index, None), now)

    def _work_on(self, item, now: float) -> None:
        """Ends a router's current work and begins what comes next."""
        index, ended = item
        processor = self.processors[index]
        if ended is None and processor.is_working:
            return
        if ended is not None:
            self._set_clock(index, now)
            ended.action(ended.argument, now)
        processor.is_working = True
        if processor.busy_until > now:
            # The action took time of its own: for a pass, or to send requests.
            work = processor_lib.Work(0.0, _do_nothing, None)
        elif processor.ready:
            work = processor.ready.popleft()
        else:
            work = self._accept(index)
            if work is None:
                processor.is_working = False
                return
        done_at = processor.use(work.cost_s, now)
        self._schedule(done_at, self._work_on, (index, work))

    def _accept(self, index: int) -> processor_lib.Work | None:
        """Returns the work for the first connection of the accept queue."""
        processor = self.processors[index]
        if not processor.unread:
            return None
        unread = processor.unread.popleft()
        if unread.is_left:
            return processor_lib.Work(
                processor_lib.DROP_S, self._note_left, index
            )
        unread.is_read = True
        return processor_lib.Work(
            processor_lib.READ_S, self._handle, unread.request
        )

    def _note_left(self, index: int, now: float) -> None:
        self.routers[index].usage.note_unread(now)

    def _set_clock(self, index: int, now: float) -> None:
        self.clock.advance(now + self.started_at - self.clock.monotonic())
        poll_times = self.overloads[index].poll_times
        poll_times.busy_s = self.processors[index].busy_s

    def _tick(self, item, now: float) -> None:
        index, due_at = item
        self._add_work(index, 0.0, self._note_timer, (index, due_at), now)
        if now < self.end:
            at = now + TICK_S
            self._schedule(at, self._tick, (index, at))

    def _note_timer(self, item, now: float) -> None:
        del now
        index, due_at = item
        self.overloads[index].note_lateness(self.started_at + due_at, 0)

    def _arrive(self, request: requests.Request, now: float) -> None:
        if now >= request.deadline_at - MIN_LEFT_S:
            return
        index = self._choose_router(request)
        self.router_by_request[request.request_id] = index
        unread = processor_lib.Unread(request)
        self.processors[index].unread.append(unread)
        left_s = request.deadline_at - now
        unread_s = processor_lib.find_patience(left_s)
        self._schedule(now + unread_s, self._leave, unread)
        self._work_on((index, None), now)

    def _leave(self, unread, now: float) -> None:
        """Lets a caller whose request wasn't read connect anew."""
        if not unread.is_read:
            unread.is_left = True
            self._arrive(
                dataclasses.replace(unread.request, arrived_at=now), now
            )

    def _handle(self, request: requests.Request, now: float) -> None:
        """Queues or refuses a request that was read."""
        if now >= request.deadline_at:
            return
        index = self.router_by_request[request.request_id]
        router = self.routers[index]
        overload = self.overloads[index]
        if len(self.held[index]) >= self.max_requests:
            reason = decisions_lib.RefusalReason.MEMORY
            self._refuse(router.refuse_new(request, reason, now), now)
            return
        self.held[index].add(request.request_id)
        # The decisions use the clock, which does not begin at 0.
        seen = dataclasses.replace(
            request,
            arrived_at=request.arrived_at + self.started_at,
            deadline_at=request.deadline_at + self.started_at,
        )
        if overload.is_too_late_for(
            seen, lambda: router.has_had_fair_share(request.workspace, now)
        ) or not overload.can_finish(seen):
            reason = decisions_lib.RefusalReason.ROUTER_BUSY
            self._refuse(router.refuse_new(request, reason, now), now)
            return
        overload.note_begun()
        self._enqueue(index, request, now)

    def _decide(self, index: int, now: float) -> None:
        """Runs a pass over the queue, as seldom as the dispatcher does."""
        if not self.routers[index].queues:
            return
        if now < self.next_pass_at[index]:
            if not self.has_pass_timer[index]:
                self.has_pass_timer[index] = True
                self._schedule(
                    self.next_pass_at[index], self._decide_by_timer, index
                )
            return
        cost_s = processor_lib.PASS_S
        self.processors[index].use(cost_s, now)
        duration_s = cost_s / self.processors[index].core_share
        self.next_pass_at[index] = now + (
            duration_s / dispatcher.MAX_PASS_TIME_FRACTION
        )
        super()._decide(index, now)

    def _decide_by_timer(self, index: int, now: float) -> None:
        self.has_pass_timer[index] = False
        self._add_work(index, 0.0, self._decide, index, now)

    def _decide_periodically(self, index: int, now: float) -> None:
        self._add_work(index, 0.0, self._decide, index, now)
        if now < self.end:
            self._schedule(
                now + fleet_lib.DECISION_INTERVAL_S,
                self._decide_periodically,
                index,
            )

    def _send(
        self, index: int, placed: decisions_lib.Placed, now: float
    ) -> None:
        sent_at = self.processors[index].use(processor_lib.BEGIN_S, now)
        super()._send(index, placed, sent_at)

    def _receive_report(self, item, now: float) -> None:
        self._add_work(
            item[0],
            processor_lib.REPORT_S,
            super()._receive_report,
            item,
            now,
        )

    def _note_events(self, item, now: float) -> None:
        self._add_event(item[0].request, super()._note_events, item, now)

    def _note_first_event(self, name: str, now: float) -> None:
        request = self.outcomes[name].arrival.request
        self._add_event(request, super()._note_first_event, name, now)

    def _end(self, job, now: float) -> None:
        self._add_event(job.request, self._end_run, job, now)

    def _end_run(self, job, now: float) -> None:
        index = self.router_by_request[job.request.request_id]
        self.overloads[index].load.note_ended(self.clock.monotonic())
        super()._end(job, now)

    def _refuse(self, refused: decisions_lib.Refused, now: float) -> None:
        if refused.reason not in NOT_BEGUN_REASONS:
            index = self.router_by_request[refused.request.request_id]
            self.overloads[index].load.note_ended(self.clock.monotonic())
        self._forget_held(refused.request.request_id)
        super()._refuse(refused, now)

    def _release(self, name: str, now: float) -> None:
        self._forget_held(name)
        super()._release(name, now)

    def _forget_held(self, name: str) -> None:
        self.held[self.router_by_request[name]].discard(name)

    def _add_event(
        self, request: requests.Request, action, argument, now
    ) -> None:
        index = self.router_by_request[request.request_id]
        self._add_work(index, processor_lib.EVENT_S, action, argument, now)


def _do_nothing(argument, now: float) -> None:
    del argument, now
