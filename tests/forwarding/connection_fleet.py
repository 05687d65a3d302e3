"""Emulates the connections of a large fleet to its targets, in virtual time.

Routers place requests with their real placement and keep connections in their
real pools; targets and the network are emulated.
"""

import dataclasses
import functools
import heapq
import itertools
import random

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core.forwarding import configuration
from lentilbeam_core.forwarding import load_bounds
from lentilbeam_core.forwarding import loads
from lentilbeam_core.forwarding import placement
from lentilbeam_core.forwarding import requests
from lentilbeam_router import metrics
from lentilbeam_router.forwarding import connection as connection_lib
from lentilbeam_router.forwarding import connection_pool
from tests import virtual_time
from tests.forwarding import makers

REPORT_INTERVAL_S = 0.1
"""Time between two reports of what runs at the other routers, in seconds."""
PREFILL_S = 0.08
MAX_CONNECTIONS = 620
ENGINE = configuration.Engine(slots=32, cache_tokens=500_000)


class Connection:
    """A connection to an emulated target that closes it when idle.

    Attributes:
        idle_since: when its last request ended, in seconds.
        idle_limits: see `TargetConnection`.
    """

    def __init__(self, keep_alive_s: float):
        self.keep_alive_s = keep_alive_s
        self.idle_limits = connection_lib.IdleLimits()
        self.idle_since = 0.0
        self.process_start_ms = 1
        self.is_broken = False

    def is_reusable(self, now: float) -> bool:
        """See `TargetConnection.is_reusable`."""
        limits = self.idle_limits
        idle_s = min(self.keep_alive_s - limits.margin_s, limits.max_named_s)
        return not self.is_broken and now < self.idle_since + idle_s

    def close(self) -> None:
        """See `TargetConnection.close`."""
        self.is_broken = True


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """What callers send to one pool.

    Attributes:
        routes: routes of the requests; each gets as many as any other.
        per_s: requests per second and router.
        took_s: time for which a request runs at a target, in seconds.
        targets: number of targets.
        engine: engine of the targets; None if they are plain.
    """

    routes: tuple[configuration.Route, ...]
    per_s: float
    took_s: float
    targets: int
    engine: configuration.Engine | None = None


class Fleet:
    """Routers that send to one pool.

    Args:
        routers: number of routers.
        traffic: what callers send.
        keep_alive_s: idle timeout that targets name, in seconds.
        is_preferring: whether routers prefer targets with idle connections.

    Attributes:
        new: connections opened since `run` began to count.
        sent: requests sent since then.
        chosen: requests sent to each target since then.
        most_open: largest number of connections that one target had.
    """

    def __init__(
        self,
        routers: int,
        traffic: Traffic,
        keep_alive_s: float,
        is_preferring: bool = True,
    ):
        self.traffic = traffic
        self.keep_alive_s = keep_alive_s
        self.clock = clock_lib.ManualClock(virtual_time.START)
        self.rng = random.Random(1)
        self.targets = [
            makers.make_target(f"t{n}", slots=32, started_at_ms=1)
            for n in range(traffic.targets)
        ]
        self.pools: list[connection_pool.ConnectionPool] = []
        self.placers: list[placement.Placer] = []
        self.new = self.sent = self.most_open = 0
        self.chosen = dict.fromkeys((t.name for t in self.targets), 0)
        for number in range(routers):
            pool = connection_pool.ConnectionPool(
                self.clock, metrics.Metrics(), self._connect
            )
            if is_preferring:
                pool.note_fleet(routers)
            placer = placement.Placer(
                placement.Settings(),
                configuration.Pool(
                    makers.POOL, MAX_CONNECTIONS, traffic.engine
                ),
                loads.LoadTracker(),
                ids.DataCentreId("east"),
                random.Random(number),
            )
            if is_preferring:
                placer.connections.has_idle = pool.has_idle
                placer.connections.count_routers = lambda: routers
                placer.connections.own_name = f"router-{number}"
            self.pools.append(pool)
            self.placers.append(placer)

    async def run(self, seconds: float, counted_from_s: float) -> None:
        """Runs the fleet; counts from a time on."""
        start = self.clock.monotonic()
        order = itertools.count()
        ends = []
        rate = self.traffic.per_s * len(self.placers)
        next_at = reported_at = start
        while next_at < start + seconds:
            while ends and ends[0][0] <= next_at:
                at, _, end = heapq.heappop(ends)
                self.clock.advance(at - self.clock.monotonic())
                end()
            self.clock.advance(next_at - self.clock.monotonic())
            if next_at - reported_at >= REPORT_INTERVAL_S:
                reported_at = next_at
                self._report()
            is_counted = next_at >= start + counted_from_s
            if is_counted and not self.sent:
                self.new = 0
            self.sent += is_counted
            name = str(next(order))
            end, placer = await self._send(name, is_counted)
            heapq.heappush(
                ends,
                (
                    next_at + PREFILL_S,
                    next(order),
                    functools.partial(placer.loads.note_prefill_done, name),
                ),
            )
            heapq.heappush(
                ends, (next_at + self.traffic.took_s, next(order), end)
            )
            next_at += self.rng.expovariate(rate)

    async def _connect(self, *_) -> Connection:
        self.new += 1
        return Connection(self.keep_alive_s)

    async def _send(self, name: str, is_counted: bool):
        """Sends a request; returns what ends it, and the router's placer."""
        router = self.rng.randrange(len(self.placers))
        placer, pool = self.placers[router], self.pools[router]
        now = self.clock.monotonic()
        request = self._make_request(name, now)
        chosen = placer.choose(
            request, self.targets, load_bounds.BELOW_GUARANTEE_BOUNDS, now
        )
        target = chosen.target
        self.chosen[target.name] += is_counted
        placer.loads.start_request(name, target.name, chosen.unread, 0.0, now)
        preference = placer.connections
        connection = await pool.acquire(
            target, preference.find_longest_idle(request.route.is_retryable)
        )

        def end() -> None:
            placer.loads.end_request(name)
            connection.idle_since = self.clock.monotonic()
            pool.release(target, connection, preference.find_max_idle())
            pool.sweep()

        return end, placer

    def _make_request(self, name: str, now: float) -> requests.Request:
        parts = ()
        if self.traffic.engine is not None:
            shared = f"shared-{self.rng.randrange(20)}"
            parts = ((shared, 500), (name, 700))
        route = self.rng.choice(self.traffic.routes)
        return makers.make_request(name, *parts, now=now, route=route)

    def _report(self) -> None:
        """Tells each router the requests that run at the others."""
        now = self.clock.monotonic()
        for target in self.targets:
            count = sum(
                len(pool.open.get(target.name, ())) for pool in self.pools
            )
            self.most_open = max(self.most_open, count)
        for number, placer in enumerate(self.placers):
            others = []
            for target in self.targets:
                running = sum(
                    p.loads.own_loads[target.name].running for p in self.placers
                )
                running -= placer.loads.own_loads[target.name].running
                others.append(
                    messages.TargetLoad(target.name, 0.0, running, 0.0, 0.0)
                )
            placer.loads.apply_report(
                ids.InstanceId(f"others-of-{number}"), tuple(others), now
            )
