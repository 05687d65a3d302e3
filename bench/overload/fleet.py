"""Routers with stale reports of each other before engines, in virtual time."""

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
from lentilbeam_core.forwarding import admission
from lentilbeam_core.forwarding import requests
from lentilbeam_core.forwarding import target_list

NETWORK_S = 0.003
LOOK_S = 0.02
"""Time between two looks at a queue in which something waits."""
REPORT_S = 0.1
"""Time between two reports of a router, with seven of them."""
OWED_FRACTION = 0.5
"""The users owe about half of what their engines yield."""


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """How large a fleet is.

    Attributes:
        routers: each has an equal part of the callers.
        engines: in one pool.
        slots: of each engine.
        load: relative to that of the users' first sites.
    """

    routers: int = 7
    engines: int = 6
    slots: int = 64
    load: float = 1.0


@dataclasses.dataclass(slots=True)
class Outcome:
    """What became of a request.

    Attributes:
        arrival: the request.
        sent_at: when it was first sent to an engine; None if never.
        refusals: answers that told its caller to come back.
        first_s: time from its arrival to the first event at its caller.
        gap_s: longest pause between two events.
        is_whole: whether it was answered in time, late or not.
    """

    arrival: patterns.Arrival
    sent_at: float | None = None
    refusals: int = 0
    first_s: float | None = None
    gap_s: float = 0.0
    is_whole: bool = False

    @property
    def is_on_time(self) -> bool:
        """Whether the whole answer came as the sheet wants it."""
        kind = self.arrival.kind
        is_prompt = self.first_s is not None and self.first_s <= kind.goal_s
        return self.is_whole and is_prompt and self.gap_s <= kind.gap_s

    @property
    def worth(self) -> float:
        """What the request earns."""
        if not self.is_whole:
            return 0.0
        factor = 1.0 if self.is_on_time else patterns.LATE_WORTH
        return self.arrival.kind.worth * factor


class Fleet:
    """One run of a pattern under a policy."""

    def __init__(
        self,
        pattern: patterns.Pattern,
        policy: policies.Policy,
        size: Size,
        seed: int,
    ):
        self.pattern = pattern
        self.size = size
        self.settings = engine_lib.Settings(slots=size.slots)
        self.draw = random.Random(f"{policy.name} {seed}")
        self.engines = {
            ids.TargetId(f"e{n}"): engine_lib.Engine(self.settings)
            for n in range(size.engines)
        }
        self.is_stepping: set[ids.TargetId] = set()
        self.lost: set[ids.TargetId] = set()
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
        yield_per_s = size.engines * self.settings.read_tokens_per_s
        self.routers = [
            policies.build_admission(
                policy,
                self.settings.slots,
                self.settings.cache_tokens,
                yield_per_s * OWED_FRACTION,
                self.draw,
            )
            for _ in range(routers)
        ]
        self.placed: list[list[messages.PlacedPart]] = [
            [] for _ in range(routers)
        ]
        self.outcomes: dict[str, Outcome] = {}
        self.at_router: dict[str, int] = {}
        self.placements: dict[str, admission.Placed] = {}
        self.events: list[tuple[float, int, Any]] = []
        self.order = itertools.count()
        longest_s = max(kind.deadline_s for kind in patterns.KINDS)
        self.end = pattern.length_s + longest_s

    def run(self, seed: int) -> list[Outcome]:
        """Plays the pattern to its end; returns what became of requests."""
        for arrival in patterns.draw_arrivals(
            self.pattern, seed, self.size.load
        ):
            self.outcomes[arrival.request.name] = Outcome(arrival)
            self._schedule(
                arrival.request.arrived_at, self._arrive, arrival.request
            )
        for index in range(len(self.routers)):
            self._schedule(self.draw.uniform(0, REPORT_S), self._report, index)
            self._schedule(self.draw.uniform(0, LOOK_S), self._look, index)
        for name in list(self.engines)[: self.pattern.lost_engines]:
            self._schedule(self.pattern.length_s / 3, self._lose, name)
        while self.events:
            now, _, (action, argument) = heapq.heappop(self.events)
            action(argument, now)
        return list(self.outcomes.values())

    def _schedule(self, at: float, action, argument) -> None:
        event = (at, next(self.order), (action, argument))
        heapq.heappush(self.events, event)

    def _arrive(self, request: requests.Request, now: float) -> None:
        index = self.draw.randrange(len(self.routers))
        self.at_router[request.name] = index
        self.routers[index].enqueue(request, now)
        self._decide(index, now)

    def _decide(self, index: int, now: float) -> None:
        usable = [t for t in self.targets if t.name not in self.lost]
        for decision in self.routers[index].decide(usable, now):
            if isinstance(decision, admission.Placed):
                self._send(index, decision, now)
            else:
                self._refuse(decision, now)

    def _send(self, index: int, placed: admission.Placed, now: float) -> None:
        request = placed.request
        target = placed.placement.target.name
        self.outcomes[request.name].sent_at = now
        self.placements[request.name] = placed
        for part in request.prompt.parts:
            self.placed[index].append(
                messages.PlacedPart(target, part.name, part.tokens)
            )
        self._schedule(now + NETWORK_S, self._reach, placed)

    def _reach(self, placed: admission.Placed, now: float) -> None:
        name = placed.placement.target.name
        if name in self.lost:
            self._release(placed.request.name, now)
            return
        source = placed.placement.fetch_from
        if source is None:
            self._submit(placed, now)
            return
        engine = self.engines[name]
        held = self._find_held(source.name, placed.request)
        kept = engine.cache.count_cached(placed.request.prompt.parts)
        lacking = max(sum(part.tokens for part in held) - kept, 0)
        there_at = self.engines[source.name].lend(lacking, now)
        engine.borrow(held)
        self._schedule(there_at, self._submit, placed)

    def _submit(self, placed: admission.Placed, now: float) -> None:
        name = placed.placement.target.name
        outcome = self.outcomes[placed.request.name]
        job = engine_lib.Job(placed.request, outcome.arrival.output)
        self.engines[name].submit(job)
        if name not in self.is_stepping:
            self.is_stepping.add(name)
            self._step(name, now)

    def _find_held(
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
        if engine.is_idle or name in self.lost:
            self.is_stepping.discard(name)
            return
        length_s, begun, ended = engine.step(now)
        at = now + length_s + NETWORK_S
        for job in begun:
            self._schedule(at, self._begin, job.request.name)
        for job in ended:
            self._schedule(at, self._end, job)
        self._schedule(now + length_s, self._step, name)

    def _begin(self, name: str, now: float) -> None:
        outcome = self.outcomes[name]
        queue = self.routers[self.at_router[name]]
        outcome.first_s = now - outcome.arrival.request.arrived_at
        queue.placer.loads.note_prompt_read(name)
        placed = self.placements[name]
        queue.placer.update_prefill_rate(
            placed.placement, now - outcome.sent_at
        )
        self._decide(self.at_router[name], now)

    def _end(self, job: engine_lib.Job, now: float) -> None:
        outcome = self.outcomes[job.request.name]
        outcome.gap_s = job.longest_gap_s
        outcome.is_whole = now <= outcome.arrival.request.deadline_at
        self._release(job.request.name, now)

    def _release(self, name: str, now: float) -> None:
        index = self.at_router[name]
        self.routers[index].placer.loads.end_request(name)
        self._decide(index, now)

    def _refuse(self, refused: admission.Refused, now: float) -> None:
        request = refused.request
        outcome = self.outcomes[request.name]
        outcome.refusals += 1
        if outcome.refusals > 1:
            return
        wait_s = refused.retry_after_s
        if outcome.arrival.returns_at_once:
            wait_s = 0.0
        again = dataclasses.replace(request, arrived_at=now + wait_s)
        self._schedule(now + wait_s, self._arrive, again)

    def _report(self, index: int, now: float) -> None:
        queue = self.routers[index]
        loads = tuple(queue.placer.loads.export(now))
        uses = queue.usage.export(patterns.POOL, now)
        placed, self.placed[index] = self.placed[index], []
        report = (index, loads, uses, placed)
        self._schedule(now + NETWORK_S, self._hear, report)
        if now < self.end:
            self._schedule(now + REPORT_S, self._report, index)

    def _hear(self, report, now: float) -> None:
        sender, loads, uses, placed = report
        for index, queue in enumerate(self.routers):
            if index == sender:
                continue
            queue.placer.loads.apply_report(f"router-{sender}", loads, now)
            queue.usage.apply_report(f"router-{sender}", uses, now)
            for part in placed:
                kept = requests.Part(part.prefix, part.tokens)
                queue.placer.note_prompt_placed(part.target, (kept,), now)
            self._decide(index, now)

    def _look(self, index: int, now: float) -> None:
        self._decide(index, now)
        if now < self.end:
            self._schedule(now + LOOK_S, self._look, index)

    def _lose(self, name: ids.TargetId, now: float) -> None:
        self.lost.add(name)
        engine = self.engines[name]
        for job in (*engine.waiting, *engine.reading, *engine.running):
            self._schedule(now, self._release, job.request.name)
