"""Simulates plain targets that many routers share, with stale reports.

A target runs as many requests at once as it has slots. A few more wait there,
and it rejects others; a rejected request is tried once at another target. Each
router knows what the others have sent only from reports.
"""

import collections
from collections.abc import Iterator
import dataclasses
import heapq
import itertools
import random
from typing import Any

from lentilbeam_core import ids
from lentilbeam_core.forwarding import admission
from lentilbeam_core.forwarding import configuration
from lentilbeam_core.forwarding import decisions as decisions_lib
from lentilbeam_core.forwarding import loads
from lentilbeam_core.forwarding import placement as placement_lib
from lentilbeam_core.forwarding import requests
from lentilbeam_core.forwarding import shares
from lentilbeam_core.forwarding import target_list

POOL = ids.PoolId("plain")
REPORT_INTERVAL_S = 0.1
"""Time between two reports of a router."""
REPORT_DELAY_S = (0.02, 0.2)
"""Range of the time that a report takes through relays. Reports are therefore
0.02 to 0.3 s old when they are used."""
NETWORK_DELAY_S = 0.002
"""One-way network delay between a router and a target."""
DECISION_INTERVAL_S = 0.02
"""Time between two periodic passes of a router that has waiting requests."""
USAGE_DECAY_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """Requests of one route.

    Attributes:
        name: name of the route.
        work_s: mean time that a request takes in a slot, in seconds. The
            times of single requests have a coefficient of variation of 0.35.
        part: part of all requests.
    """

    name: str
    work_s: float
    part: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Pattern:
    """A load pattern for a pool of plain targets.

    Attributes:
        name: name of the pattern.
        routers: number of routers.
        targets: number of targets.
        slots: slots of each target.
        queue: requests that wait at a target, beyond its slots, before it
            rejects others.
        per_s: requests per second in the whole fleet.
        burst: factor on the rate in the middle third.
        works: routes of the requests.
        goal_s: response-time goal, in seconds.
        duration_s: time during which requests arrive, in seconds.
    """

    name: str
    routers: int = 61
    targets: int = 3
    slots: int = 6
    queue: int = 36
    per_s: float = 125.0
    burst: float = 2.0
    works: tuple[Work, ...] = (Work("render", 0.072),)
    goal_s: float = 0.3
    duration_s: float = 18.0


PATTERNS = (
    Pattern("few_plain_targets"),
    Pattern(
        "mixed_plain_work",
        works=(Work("look-up", 0.024, 0.8), Work("render", 0.264, 0.2)),
    ),
    Pattern("small_fleet", routers=7),
)
"""Loads of plain targets. The first is that of a heavy day of
`teselas-uy-grown`: 168 requests a second on average for 18 slots, 72 ms of work
each, goal 0.3 s; with 36 places in the queue of a target, rejected and late
requests are closest to those of that day."""


@dataclasses.dataclass(slots=True)
class Outcome:
    """Result of a request.

    Attributes:
        request: the request.
        work_s: time that it takes in a slot, in seconds.
        router: index of its router.
        rejections: number of targets that rejected it.
        ended_s: time from its arrival to its end, in seconds; None if it was
            not served.
    """

    request: requests.Request
    work_s: float
    router: int
    rejections: int = 0
    ended_s: float | None = None

    @property
    def is_on_time(self) -> bool:
        """Whether it was served within its goal."""
        goal_s = self.request.route.goal_s
        return self.ended_s is not None and self.ended_s <= goal_s


@dataclasses.dataclass(slots=True)
class Target:
    """A plain target.

    Attributes:
        running: number of requests in its slots.
        waiting: names of the requests that wait for a slot.
    """

    running: int = 0
    waiting: collections.deque[str] = dataclasses.field(
        default_factory=collections.deque
    )


class Fleet:
    """Event-driven simulation of one load pattern.

    Attributes:
        pattern: the load pattern.
        rng: random number generator.
        targets: state of each target.
        entries: target list entries of all targets.
        routers: admission queue of each router.
        outcomes: results by request name.
        sent_to: target of each request that is on its way or runs.
        events: heap of (time, sequence number, (action, argument)).
        order: sequence numbers that keep events of the same time in order.
    """

    def __init__(
        self,
        pattern: Pattern,
        settings: placement_lib.Settings,
        seed: int,
        is_one_queue: bool = False,
    ):
        self.pattern = pattern
        self.rng = random.Random(f"{pattern.name} {seed}")
        self.targets = {
            ids.TargetId(f"p{n}"): Target() for n in range(pattern.targets)
        }
        self.entries = [
            target_list.Entry(
                name=name,
                pool=POOL,
                host="127.0.0.1",
                port=1,
                data_centre=ids.DataCentreId("east"),
                slots=pattern.slots,
                state=target_list.TargetState.READY,
            )
            for name in self.targets
        ]
        count = 1 if is_one_queue else pattern.routers
        self.routers = [self._build_router(settings) for _ in range(count)]
        self.outcomes: dict[str, Outcome] = {}
        self.sent_to: dict[str, ids.TargetId] = {}
        self.events: list[tuple[float, int, Any]] = []
        self.order = itertools.count()

    def _build_router(
        self, settings: placement_lib.Settings
    ) -> admission.Admission:
        placer = placement_lib.Placer(
            settings,
            configuration.Pool(POOL, 0, None),
            loads.LoadTracker(),
            ids.DataCentreId("east"),
            self.rng,
        )
        placer.plain_work.count_routers = lambda: len(self.routers)
        return admission.Admission(
            admission.Settings(), placer, shares.Usage(USAGE_DECAY_S), self.rng
        )

    def run(self) -> list[Outcome]:
        """Simulates the pattern; returns the results of all requests."""
        for outcome in self._generate():
            name = outcome.request.request_id
            self.outcomes[name] = outcome
            self._schedule(outcome.request.arrived_at, self._arrive, name)
        for index in range(len(self.routers)):
            self._schedule(
                self.rng.uniform(0, REPORT_INTERVAL_S), self._report, index
            )
            self._schedule(
                self.rng.uniform(0, DECISION_INTERVAL_S), self._tick, index
            )
        while self.events:
            now, _, (action, argument) = heapq.heappop(self.events)
            action(argument, now)
        return list(self.outcomes.values())

    def _generate(self) -> Iterator[Outcome]:
        pattern = self.pattern
        routes = [self._make_route(work) for work in pattern.works]
        parts = [work.part for work in pattern.works]
        at = 0.0
        for number in itertools.count():
            is_peak = pattern.duration_s <= at * 3 < pattern.duration_s * 2
            rate = pattern.per_s * (pattern.burst if is_peak else 1.0)
            at += self.rng.expovariate(rate)
            if at >= pattern.duration_s:
                return
            (index,) = self.rng.choices(range(len(routes)), parts)
            route = routes[index]
            request = requests.Request(
                request_id=f"r{number}",
                workspace=ids.WorkspaceId(f"w{self.rng.randrange(30)}"),
                route=route,
                pool=POOL,
                arrived_at=at,
                deadline_at=at + route.timeout_s,
                prompt=None,
                configuration_version=1,
            )
            mean_s = pattern.works[index].work_s
            work_s = self.rng.gammavariate(8, mean_s / 8)
            router = self.rng.randrange(len(self.routers))
            yield Outcome(request, work_s, router)

    def _make_route(self, work: Work) -> configuration.Route:
        return configuration.Route(
            name=work.name,
            host="studio.example",
            path_prefix=f"/{work.name}/",
            kind=configuration.RouteKind.IDEMPOTENT,
            timeout_s=2.0,
            goal_s=self.pattern.goal_s,
            gap_goal_s=0.0,
            pool_weights=(configuration.PoolWeight(POOL, 1.0),),
            attempts=2,
            is_public=False,
            is_resumable=False,
        )

    def _schedule(self, at: float, action, argument) -> None:
        event = (at, next(self.order), (action, argument))
        heapq.heappush(self.events, event)

    def _arrive(self, name: str, now: float) -> None:
        outcome = self.outcomes[name]
        self.routers[outcome.router].enqueue(outcome.request, now)
        self._decide(outcome.router, now)

    def _decide(self, index: int, now: float) -> None:
        if not self.routers[index].queues:
            return
        for decision in self.routers[index].decide(self.entries, now):
            if isinstance(decision, decisions_lib.Placed):
                name = decision.request.request_id
                self.sent_to[name] = decision.placement.target.name
                self._schedule(now + NETWORK_DELAY_S, self._deliver, name)

    def _deliver(self, name: str, now: float) -> None:
        target = self.targets[self.sent_to[name]]
        if target.running < self.pattern.slots:
            self._begin(name, now)
        elif len(target.waiting) < self.pattern.queue:
            target.waiting.append(name)
        else:
            self._schedule(now + NETWORK_DELAY_S, self._reject, name)

    def _begin(self, name: str, now: float) -> None:
        self.targets[self.sent_to[name]].running += 1
        work_s = self.outcomes[name].work_s
        self._schedule(now + work_s, self._end, name)

    def _end(self, name: str, now: float) -> None:
        target = self.targets[self.sent_to[name]]
        target.running -= 1
        if target.waiting:
            self._begin(target.waiting.popleft(), now)
        self._schedule(now + NETWORK_DELAY_S, self._respond, name)

    def _respond(self, name: str, now: float) -> None:
        outcome = self.outcomes[name]
        outcome.ended_s = now - outcome.request.arrived_at
        self._release(name, True, now)

    def _reject(self, name: str, now: float) -> None:
        outcome = self.outcomes[name]
        outcome.rejections += 1
        target = self.sent_to[name]
        self._release(name, False, now)
        if outcome.rejections < outcome.request.route.attempts:
            router = self.routers[outcome.router]
            router.enqueue(outcome.request, now, frozenset({target}))
            self._decide(outcome.router, now)

    def _release(self, name: str, is_served: bool, now: float) -> None:
        index = self.outcomes[name].router
        placer = self.routers[index].placer
        placer.plain_work.note_end(name, is_served, now)
        placer.loads.end_request(name)
        self._decide(index, now)

    def _report(self, index: int, now: float) -> None:
        placer = self.routers[index].placer
        placer.plain_work.refresh(now)
        report = tuple(placer.loads.export(now, {}, {}))
        delay_s = self.rng.uniform(*REPORT_DELAY_S)
        self._schedule(now + delay_s, self._apply_report, (index, report))
        if now < self.pattern.duration_s + 2:
            self._schedule(now + REPORT_INTERVAL_S, self._report, index)

    def _apply_report(self, item, now: float) -> None:
        sender, report = item
        for index, router in enumerate(self.routers):
            if index != sender:
                router.placer.loads.apply_report(f"r{sender}", report, now)

    def _tick(self, index: int, now: float) -> None:
        self._decide(index, now)
        if now < self.pattern.duration_s + 2:
            self._schedule(now + DECISION_INTERVAL_S, self._tick, index)


def summarize(outcomes: list[Outcome]) -> dict[str, float]:
    """Returns fractions of the requests, by name.

    `on_time` were served within their goal, `late` after it; `rejected` is the
    number of rejections by targets for each request.
    """
    count = len(outcomes)
    on_time = sum(o.is_on_time for o in outcomes)
    served = sum(o.ended_s is not None for o in outcomes)
    rejected = sum(o.rejections for o in outcomes)
    return {
        "requests": count,
        "on_time": round(on_time / count, 3),
        "late": round((served - on_time) / count, 3),
        "rejected": round(rejected / count, 3),
    }
