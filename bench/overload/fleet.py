"""Simulates engines and the routers that share them, with stale reports."""

import dataclasses
import heapq
import itertools
import random
from typing import Any

from bench.overload import engine as engine_lib
from bench.overload import patterns
from bench.overload import policies
from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core.forwarding import decisions as decisions_lib
from lentilbeam_core.forwarding import output_estimate
from lentilbeam_core.forwarding import requests
from lentilbeam_core.forwarding import target_list

NETWORK_DELAY_S = 0.003
"""One-way network delay."""
DECISION_INTERVAL_S = 0.02
"""Time between two periodic admission decisions of a router."""
REPORT_INTERVAL_S = 0.1
"""Time between two load reports of a router in a fleet of seven, in seconds."""
GUARANTEED_FRACTION = 0.5
"""The users guarantee about half of their engines' prefill capacity."""


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSize:
    """Dimensions of a fleet.

    Attributes:
        routers: number of routers; each receives an equal share of the
            requests.
        engines: number of engines, all in one pool.
        slots: slots of each engine.
        load: load relative to the users' initial deployments.
        report_interval_s: time between two load reports of a router, in
            seconds.
        guaranteed_fraction: guaranteed service as a fraction of the engines'
            prefill rate.
    """

    routers: int = 7
    engines: int = 6
    slots: int = 64
    load: float = 1.0
    report_interval_s: float = REPORT_INTERVAL_S
    guaranteed_fraction: float = GUARANTEED_FRACTION


@dataclasses.dataclass(slots=True)
class Outcome:
    """Result of a request.

    Attributes:
        arrival: the request and its caller's behaviour.
        sent_at: time at which it was sent to an engine; None if never.
        refusals: number of refusals with Retry-After.
        first_s: time from its arrival to its first event at the caller, in
            seconds; None if there was no event.
        gap_s: longest pause between two events, in seconds.
        is_complete: whether the complete answer arrived before the deadline.
        events: number of events of the answer.
        largest_other_tokens: see `engine.Job`.
    """

    arrival: patterns.Arrival
    sent_at: float | None = None
    refusals: int = 0
    first_s: float | None = None
    gap_s: float = 0.0
    is_complete: bool = False
    events: int = 0
    largest_other_tokens: int = 0

    @property
    def is_on_time(self) -> bool:
        """Whether the answer met the kind's time limits for events."""
        kind = self.arrival.kind
        is_first_event_on_time = (
            self.first_s is not None and self.first_s <= kind.goal_s
        )
        return (
            self.is_complete
            and is_first_event_on_time
            and self.gap_s <= kind.gap_s
        )

    @property
    def worth(self) -> float:
        """Value of the answer: full, reduced if late, 0 if incomplete."""
        if not self.is_complete:
            return 0.0
        factor = 1.0 if self.is_on_time else patterns.LATE_WORTH
        return self.arrival.kind.worth * factor


class Fleet:
    """Event-driven simulation of one load pattern under one policy.

    Attributes:
        pattern: the load pattern.
        size: dimensions of the fleet.
        settings: performance figures of each engine.
        rng: random number generator.
        engines: engines by name.
        stepping_engines: engines with a scheduled step.
        failed_engines: engines that have failed.
        targets: target list entries of all engines.
        routers: admission queue of each router.
        unreported_parts: for each router, prompt parts sent to engines since
            its last report.
        outcomes: results by request name.
        router_by_request: index of the router of each request, by request
            name.
        placements: latest placement of each request, by request name.
        events: heap of (time, sequence number, (action, argument)).
        order: sequence numbers that keep events of the same time in order.
        end: time at which the periodic events stop.
    """

    def __init__(
        self,
        pattern: patterns.Pattern,
        policy: policies.Policy,
        size: FleetSize,
        seed: int,
    ):
        self.pattern = pattern
        self.size = size
        self.settings = pattern.engine or engine_lib.Settings(slots=size.slots)
        self.rng = random.Random(f"{policy.name} {seed}")
        self.engines = {
            ids.TargetId(f"e{n}"): engine_lib.Engine(
                _find_engine_settings(self.settings, pattern, n), f"e{n} {seed}"
            )
            for n in range(size.engines)
        }
        self.stepping_engines: set[ids.TargetId] = set()
        self.failed_engines: set[ids.TargetId] = set()
        self.targets = [
            target_list.Entry(
                name=name,
                pool=patterns.POOL,
                host="127.0.0.1",
                port=1,
                data_centre=ids.DataCentreId("east"),
                slots=self.settings.slots,
                state=target_list.TargetState.READY,
            )
            for name in self.engines
        ]
        routers = 1 if policy.is_one_queue else size.routers
        prefill_tokens_per_s = size.engines * self.settings.prefill_tokens_per_s
        self.routers = [
            policies.build_admission(
                policy,
                self.settings,
                prefill_tokens_per_s * size.guaranteed_fraction,
                min(kind.gap_s for kind in pattern.kinds),
                self.rng,
            )
            for _ in range(routers)
        ]
        if policy.knows_outputs:
            for router in self.routers:
                router.placer.work_left.estimate = self._find_output
        self.unreported_parts: list[list[messages.PlacedPart]] = [
            [] for _ in range(routers)
        ]
        self.outcomes: dict[str, Outcome] = {}
        self.router_by_request: dict[str, int] = {}
        self.placements: dict[str, decisions_lib.Placed] = {}
        self.events: list[tuple[float, int, Any]] = []
        self.order = itertools.count()
        max_deadline_s = max(kind.deadline_s for kind in pattern.kinds)
        self.end = pattern.duration_s + max_deadline_s

    def run(self, seed: int) -> list[Outcome]:
        """Simulates the pattern; returns the results of all requests."""
        for arrival in patterns.generate_arrivals(
            self.pattern, seed, self.size.load
        ):
            self.outcomes[arrival.request.request_id] = Outcome(arrival)
            self._schedule(
                arrival.request.arrived_at, self._arrive, arrival.request
            )
        for index in range(len(self.routers)):
            self._schedule(
                self.rng.uniform(0, self.size.report_interval_s),
                self._send_report,
                index,
            )
            self._schedule(
                self.rng.uniform(0, DECISION_INTERVAL_S),
                self._decide_periodically,
                index,
            )
        for name in list(self.engines)[: self.pattern.lost_engines]:
            self._schedule(self.pattern.duration_s / 3, self._fail_engine, name)
        while self.events:
            now, _, (action, argument) = heapq.heappop(self.events)
            action(argument, now)
        return list(self.outcomes.values())

    def _find_output(
        self, request: requests.Request, now: float
    ) -> output_estimate.Estimate:
        del now
        output = self.outcomes[request.request_id].arrival.output
        return output_estimate.make_estimate([(output, 1.0)], output)

    def _schedule(self, at: float, action, argument) -> None:
        event = (at, next(self.order), (action, argument))
        heapq.heappush(self.events, event)

    def _arrive(self, request: requests.Request, now: float) -> None:
        index = self._choose_router(request)
        self.router_by_request[request.request_id] = index
        self._enqueue(index, request, now)

    def _enqueue(
        self, index: int, request: requests.Request, now: float
    ) -> None:
        refused = self.routers[index].refuse_ahead(request, now)
        if refused is not None:
            self._refuse(refused, now)
            return
        self.routers[index].enqueue(request, now)
        self._decide(index, now)

    def _choose_router(self, request: requests.Request) -> int:
        index = self.rng.randrange(len(self.routers))
        for rank in self.pattern.one_router:
            if request.workspace == f"w{rank}":
                index = rank % len(self.routers)
        return index

    def _decide(self, index: int, now: float) -> None:
        usable = [t for t in self.targets if t.name not in self.failed_engines]
        for decision in self.routers[index].decide(usable, now):
            if isinstance(decision, decisions_lib.Placed):
                self._send(index, decision, now)
            else:
                self._refuse(decision, now)

    def _send(
        self, index: int, placed: decisions_lib.Placed, now: float
    ) -> None:
        request = placed.request
        target = placed.placement.target.name
        self.outcomes[request.request_id].sent_at = now
        self.placements[request.request_id] = placed
        for part in request.prompt.parts:
            self.unreported_parts[index].append(
                messages.PlacedPart(target, part.name, part.tokens)
            )
        self._schedule(now + NETWORK_DELAY_S, self._deliver, placed)

    def _deliver(self, placed: decisions_lib.Placed, now: float) -> None:
        name = placed.placement.target.name
        if name in self.failed_engines:
            self._release(placed.request.request_id, now)
            return
        source = placed.placement.fetch_from
        if source is None:
            self._submit(placed, now)
            return
        engine = self.engines[name]
        cached_parts = self._find_cached_parts(source.name, placed.request)
        cached_tokens = engine.cache.count_cached(placed.request.prompt.parts)
        missing_tokens = max(
            sum(part.tokens for part in cached_parts) - cached_tokens, 0
        )
        received_at = self.engines[source.name].send_parts(missing_tokens, now)
        engine.receive_parts(cached_parts)
        self._schedule(received_at, self._submit, placed)

    def _submit(self, placed: decisions_lib.Placed, now: float) -> None:
        name = placed.placement.target.name
        outcome = self.outcomes[placed.request.request_id]
        job = engine_lib.Job(placed.request, outcome.arrival.output)
        self.engines[name].submit(job)
        if name not in self.stepping_engines:
            self.stepping_engines.add(name)
            self._step(name, now)

    def _find_cached_parts(
        self, source: ids.TargetId, request: requests.Request
    ) -> tuple[requests.Part, ...]:
        parts = []
        for part in request.prompt.parts:
            if part.name not in self.engines[source].cache.parts:
                break
            parts.append(part)
        return tuple(parts)

    def _step(self, name: ids.TargetId, now: float) -> None:
        engine = self.engines[name]
        if engine.is_idle or name in self.failed_engines:
            self.stepping_engines.discard(name)
            return
        duration_s, started, ended = engine.step(now)
        at = now + duration_s + NETWORK_DELAY_S
        for job in started:
            self._schedule(
                at + engine.settings.first_event_s,
                self._note_first_event,
                job.request.request_id,
            )
        for job in engine.running:
            if job.generated_tokens % engine.settings.event_tokens == 0:
                self._schedule(at, self._note_events, (job, job.events))
        for job in ended:
            self._schedule(at, self._end, job)
        self._schedule(now + duration_s, self._step, name)

    def _note_events(self, item, now: float) -> None:
        job, events = item
        name = job.request.request_id
        router = self.routers[self.router_by_request[name]]
        router.placer.work_left.note_events(name, events, now)

    def _note_first_event(self, name: str, now: float) -> None:
        outcome = self.outcomes[name]
        router = self.routers[self.router_by_request[name]]
        outcome.first_s = now - outcome.arrival.request.arrived_at
        router.placer.loads.note_prefill_done(name)
        router.placer.work_left.note_events(name, 1, now)
        placed = self.placements[name]
        router.placer.update_prefill_rate(
            placed.placement, now - outcome.sent_at, now
        )
        self._decide(self.router_by_request[name], now)

    def _end(self, job: engine_lib.Job, now: float) -> None:
        outcome = self.outcomes[job.request.request_id]
        outcome.gap_s = job.longest_gap_s
        outcome.events = job.events
        outcome.largest_other_tokens = job.largest_other_tokens
        outcome.is_complete = now <= outcome.arrival.request.deadline_at
        name = job.request.request_id
        router = self.routers[self.router_by_request[name]]
        router.placer.work_left.note_end(name, job.events, now)
        self._release(job.request.request_id, now)

    def _release(self, name: str, now: float) -> None:
        index = self.router_by_request[name]
        self.routers[index].placer.work_left.note_end(name, None, now)
        self.routers[index].placer.loads.end_request(name)
        self._decide(index, now)

    def _refuse(self, refused: decisions_lib.Refused, now: float) -> None:
        request = refused.request
        outcome = self.outcomes[request.request_id]
        outcome.refusals += 1
        if outcome.refusals > 1:
            return
        wait_s = refused.retry_after_s
        if outcome.arrival.ignores_retry_after:
            wait_s = 0.0
        retry = dataclasses.replace(request, arrived_at=now + wait_s)
        self._schedule(now + wait_s, self._arrive, retry)

    def _send_report(self, index: int, now: float) -> None:
        router = self.routers[index]
        loads = tuple(router.placer.loads.export(now, {}, {}))
        uses = router.usage.export(patterns.POOL, now)
        placed, self.unreported_parts[index] = self.unreported_parts[index], []
        demand = router.placer.long_prompts.export(
            messages.PoolDemand(patterns.POOL, 0.0), now
        )
        report = (index, loads, uses, placed, demand)
        self._schedule(now + NETWORK_DELAY_S, self._apply_report, report)
        if now < self.end:
            next_at = now + self.size.report_interval_s
            self._schedule(next_at, self._send_report, index)

    def _apply_report(self, report, now: float) -> None:
        sender = report[0]
        for index in range(len(self.routers)):
            if index != sender:
                self._receive_report((index, report), now)

    def _receive_report(self, item, now: float) -> None:
        index, (sender, loads, uses, placed, demand) = item
        router = self.routers[index]
        router.placer.loads.apply_report(f"router-{sender}", loads, now)
        router.usage.apply_report(f"router-{sender}", uses, now)
        router.placer.long_prompts.apply_report(f"router-{sender}", demand, now)
        for part in placed:
            sent_part = requests.Part(part.prefix, part.tokens)
            router.placer.note_prompt_placed(part.target, (sent_part,), now)
        self._decide(index, now)

    def _decide_periodically(self, index: int, now: float) -> None:
        self._decide(index, now)
        if now < self.end:
            self._schedule(
                now + DECISION_INTERVAL_S, self._decide_periodically, index
            )

    def _fail_engine(self, name: ids.TargetId, now: float) -> None:
        self.failed_engines.add(name)
        engine = self.engines[name]
        for job in (*engine.waiting, *engine.prefilling, *engine.running):
            self._schedule(now, self._release, job.request.request_id)


def _find_engine_settings(
    settings: engine_lib.Settings, pattern: patterns.Pattern, index: int
) -> engine_lib.Settings:
    """Returns the settings of one engine of a pattern."""
    speed = pattern.speeds[index % len(pattern.speeds)]
    settings = dataclasses.replace(settings, speed=speed)
    if index > 0:
        return settings
    start, end = pattern.slow_engine_s
    return dataclasses.replace(
        settings, slow_speed=0.2, slow_from_s=start, slow_until_s=end
    )
