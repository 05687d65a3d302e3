"""Keeps what all routers hold at a model engine below the engine's memory.

An engine that gets more than fits in its KV cache crashes or delays its
streams. `loads.Load.held` sums what the whole fleet holds, but it lacks what
other routers have sent since their last reports. While that may matter, the
free memory of an engine is divided: a router may use its even part within the
age of a report. For a request that is larger than the part it draws lots, with
a chance at which all routers together take more than is free in about one of a
thousand cases.

Far from full nothing is divided, since parts would keep requests from the
engines that have cached their prompts.
"""

import collections
from collections.abc import Callable
import dataclasses
import math
import random

from lentilbeam_core import ids
from lentilbeam_core.forwarding import configuration
from lentilbeam_core.forwarding import fleet_demand
from lentilbeam_core.forwarding import load_bounds
from lentilbeam_core.forwarding import loads as loads_lib
from lentilbeam_core.forwarding import requests
from lentilbeam_core.forwarding import target_list


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the bound.

    Attributes:
        near_fraction: the memory is divided once this fraction of it may be in
            use; set by the design page.
        report_age_s: time, in seconds, after which all routers know of a
            request, in a very small fleet.
        report_age_per_router_s: added to it for each router, in seconds. In
            emulated fleets all routers but 1% knew after 0.08 s (7 routers),
            0.24 s (27), 0.36 s (61) and 0.89 s (195).
        herd_factor: an engine gets up to this many times as large a part of
            the requests as it has of the free memory, since routers with the
            same information prefer the same engine.
        deviations: standard deviations of a number of requests that are
            allowed for.
        learning_s: time after its start for which a router divides the
            memory anyway, in seconds. It does not know the demand yet.
    """

    near_fraction: float = 0.9
    report_age_s: float = 0.08
    report_age_per_router_s: float = 0.005
    herd_factor: float = 2.0
    deviations: float = 3.2
    learning_s: float = fleet_demand.DECAY_S

    def find_report_age(self, routers: int) -> float:
        """Returns after how many seconds all routers know of a request."""
        return self.report_age_s + self.report_age_per_router_s * routers


def is_bounded(pool: configuration.Pool) -> bool:
    """Whether what the fleet holds at the engines of a pool is bounded.

    The count is too high where running requests share prompt parts. Engines of
    other pools preempted no request on the days that were played.
    """
    return pool.engine is not None and pool.cold_per_s > 0


@dataclasses.dataclass(frozen=True, slots=True)
class Lot:
    """A random number that decides about large requests for a while.

    Attributes:
        value: uniformly distributed in [0, 1).
        drawn_at: monotonic seconds.
    """

    value: float
    drawn_at: float


class TargetMemory:
    """Decides which engines of a pool have memory for a request.

    Attributes:
        settings: settings of the bound.
        loads: loads of the engines.
        demand: requests for the pool, at all routers.
        count_routers: returns the number of routers in the fleet, this one
            included.
        rng: random number generator.
        since: when the first request was considered, monotonic seconds; None
            before.
        fresh: time and request ID of this router's latest requests, by
            engine.
        lots: the current lot by engine.
    """

    def __init__(
        self,
        settings: Settings,
        loads: loads_lib.LoadTracker,
        demand: fleet_demand.FleetDemand,
        count_routers: Callable[[], int],
        rng: random.Random,
    ):
        self.settings = settings
        self.loads = loads
        self.demand = demand
        self.count_routers = count_routers
        self.rng = rng
        self.since: float | None = None
        self.fresh: dict[ids.TargetId, collections.deque[tuple[float, str]]]
        self.fresh = {}
        self.lots: dict[ids.TargetId, Lot] = {}

    def find_full(
        self,
        request: requests.Request,
        targets: list[target_list.Entry],
        cache_tokens: int,
        bounds: load_bounds.Bounds,
        now: float,
    ) -> frozenset[ids.TargetId]:
        """Returns the engines that have no memory for a request.

        A request that may need more than a whole engine has memory where
        nothing else is held: its actual length may be smaller, and it would
        never run otherwise.

        Args:
            request: the request.
            targets: engines that may get it.
            cache_tokens: size of the KV cache of an engine, in tokens.
            bounds: limits for the workspace of the request. The last of the
                memory is kept for those that may use the last slots.
            now: monotonic seconds.
        """
        if cache_tokens <= 0:
            return frozenset()
        if self.since is None:
            self.since = now
        wanted = requests.estimate_cache_tokens(request)
        routers = max(self.count_routers(), 1)
        # What routers hold that are not heard from is left to them.
        heard = self.demand.count_heard(now)
        usable = cache_tokens * min(heard / routers, 1.0)
        near = self.settings.near_fraction * usable
        if bounds.slots_fraction < 1.0:
            usable = near
        held = {e.name: self.loads.read_held(e.name, now) for e in targets}
        age_s = self.settings.find_report_age(routers)
        others_per_s = self.demand.estimate_others_per_s(now)
        own_per_s = self.demand.read_own(now) / fleet_demand.DECAY_S
        # Demand decays too slowly to show a burst. So the others are taken to
        # send, for their demand, as many as this router has just placed.
        ratio = min(others_per_s / max(own_per_s, 1e-9), routers - 1)
        expected = others_per_s * age_s
        spread = self.settings.deviations / 2
        is_known = routers == 1 or now - self.since >= self.settings.learning_s
        all_free = sum(max(near - amount, 0.0) for amount in held.values())
        full = set()
        for name, amount in held.items():
            if amount <= 0.0 and wanted > cache_tokens:
                continue
            share = max(near - amount, 0.0) / max(all_free, 1.0)
            others = math.inf
            if is_known:
                most = min(self.settings.herd_factor * share, 1.0) * expected
                others = (math.sqrt(most) + spread) ** 2 if routers > 1 else 0
                if name in self.fresh:
                    placed = self._sum_fresh(name, now - age_s) / wanted
                    others += ratio * _estimate_burst(placed)
            margin = others * wanted
            if amount + wanted + margin <= near:
                continue
            if not self._may_use_part(
                name, wanted, usable, amount, routers, now
            ):
                full.add(name)
        return frozenset(full)

    def note_placed(
        self, request_id: str, target: ids.TargetId, now: float
    ) -> None:
        """Records that this router placed a request."""
        fresh = self.fresh.setdefault(target, collections.deque())
        fresh.append((now, request_id))
        age_s = self.settings.find_report_age(self.count_routers())
        while fresh[0][0] <= now - age_s:
            fresh.popleft()

    def forget(self, target: ids.TargetId) -> None:
        """Drops what is known about an engine that is gone."""
        self.fresh.pop(target, None)
        self.lots.pop(target, None)

    def _may_use_part(
        self,
        name: ids.TargetId,
        wanted: float,
        usable: float,
        held: float,
        routers: int,
        now: float,
    ) -> bool:
        """Whether a request fits in this router's part of the free memory.

        Args:
            name: the engine.
            wanted: tokens that the request may hold.
            usable: tokens that the routers that are heard from may hold.
            held: tokens that they hold, as far as is known.
            routers: number of routers in the fleet.
            now: monotonic seconds.
        """
        age_s = self.settings.find_report_age(routers)
        fresh = self._sum_fresh(name, now - age_s)
        # What was free before this router's own latest requests, which the
        # others may not know yet.
        free = usable - held + fresh
        if held + wanted > usable:
            return False
        if fresh + wanted <= free / routers:
            return True
        if fresh > 0:
            return False
        root = math.sqrt(math.floor(free / wanted) + 1)
        # The number of routers that win is about Poisson distributed; the
        # square root of it has a standard deviation of 0.5 at most.
        expected = max(root - self.settings.deviations / 2, 0.0) ** 2
        return self._read_lot(name, age_s, now) < expected / routers

    def _read_lot(self, name: ids.TargetId, age_s: float, now: float) -> float:
        lot = self.lots.get(name)
        if lot is None or now >= lot.drawn_at + age_s:
            lot = self.lots[name] = Lot(self.rng.random(), now)
        return lot.value

    def _sum_fresh(self, name: ids.TargetId, since: float) -> float:
        """Returns the tokens of this router's requests that run, if fresh."""
        fresh = self.fresh.get(name)
        if not fresh:
            return 0.0
        while fresh and fresh[0][0] <= since:
            fresh.popleft()
        placed = self.loads.placed_requests
        return sum(placed[r].load.held for _, r in fresh if r in placed)


def _estimate_burst(placed: float) -> float:
    """Returns how many of the requests that were just placed are a burst.

    One standard deviation less, since a few requests are no burst.
    """
    return (math.sqrt(placed) - 0.5) ** 2 if placed > 1 else 0.0
