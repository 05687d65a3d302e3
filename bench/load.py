"""Load patterns: closed-loop and open-loop callers of the simulated fleet."""

import dataclasses
import math
import random

from bench import sizes
from lentilbeam_core import ids

THINK_S = 0.05
"""Mean time between an answer and the next request of a closed loop."""


@dataclasses.dataclass(frozen=True, slots=True)
class CostDistribution:
    """Distribution of request costs: log-normal with an upper limit.

    Attributes:
        median: median cost in tokens.
        sigma: standard deviation of the natural logarithm of the cost.
        max_cost: upper limit of costs and cost hints, in tokens.
        hint_factor: a hint is at most this factor above or below the true
            cost.
    """

    median: float
    sigma: float
    max_cost: float
    hint_factor: float

    def sample(self, rng: random.Random, scale: float) -> float:
        """Returns a random cost in tokens; `scale` multiplies the median."""
        cost = self.median * scale * math.exp(rng.gauss(0, self.sigma))
        return min(max(1.0, cost), self.max_cost)

    def sample_hint(self, rng: random.Random, cost: float) -> float:
        """Returns a random, inexact hint for a true cost, in tokens."""
        error = self.hint_factor ** rng.uniform(-1, 1)
        return min(cost * error, self.max_cost)


@dataclasses.dataclass(frozen=True, slots=True)
class ClosedLoop:
    """Callers that wait for each answer before they send the next request.

    Attributes:
        workspace: workspace of the requests.
        router: router that the requests are sent to.
        outstanding: number of callers, each with one request at a time.
    """

    workspace: ids.WorkspaceId
    router: ids.InstanceId
    outstanding: int


@dataclasses.dataclass(frozen=True, slots=True)
class OpenLoop:
    """Callers that send requests as a Poisson process.

    They do not wait for answers.

    Attributes:
        workspace: workspace of the requests.
        router: router that the requests are sent to.
        rate_per_s: mean number of requests per second.
    """

    workspace: ids.WorkspaceId
    router: ids.InstanceId
    rate_per_s: float


Load = ClosedLoop | OpenLoop

BACKLOGGED_WORKSPACES = 12
"""Number of workspaces that always ask for more than their fair share."""

REQUESTS_PER_SLOT = 3.0
"""Open requests of a backlogged workspace per slot of its fair share."""

LIGHT_LOAD_FRACTION = 0.3
"""Load of the other workspaces, as a fraction of their fair share."""

FLOOD_FACTOR = 20.0
"""Load of a flooding workspace, as a multiple of its fair share."""

MEAN_SERVICE_S = 1.2
"""Assumed service time of a request, to convert slots to a request rate."""

FLOOD_ROUTERS = 2
"""Number of routers that a flooding workspace calls."""

LIGHT_ROUTERS = 3
"""Number of routers that a lightly loaded workspace calls."""

UNEVEN_ROUTERS = 5
"""Number of routers that an unevenly spread workspace calls."""


def compute_fair_shares(
    size: sizes.FleetSize, weights: dict[ids.WorkspaceId, float]
) -> dict[ids.WorkspaceId, float]:
    """Returns the fair share of each workspace, in slots."""
    total = sum(weights.values())
    return {n: size.slots * weight / total for n, weight in weights.items()}


def make_even_load(size: sizes.FleetSize) -> tuple[Load, ...]:
    """Returns load whose backlogged workspaces call all routers equally.

    The other workspaces are lightly loaded and call a few routers each.
    """
    routers = [*sizes.get_routers()]
    loads: list[Load] = []
    for index, (name, slots) in enumerate(_list_fair_shares(size)):
        if index < BACKLOGGED_WORKSPACES:
            count = math.ceil(slots * REQUESTS_PER_SLOT / len(routers)) + 1
            loads.extend(ClosedLoop(name, r, count) for r in routers)
        else:
            loads.extend(_make_light_loops(name, slots, index))
    return tuple(loads)


def make_uneven_load(size: sizes.FleetSize) -> tuple[Load, ...]:
    """Returns load whose backlogged workspaces call the routers unequally.

    Every second backlogged workspace calls a single router: half of them the
    first, the others the second or third. The other backlogged workspaces
    spread their requests over the first routers in the ratio 1 : 1/2 : 1/3 and
    so on. The last routers are called by lightly loaded workspaces only.
    """
    routers = [*sizes.get_routers()]
    home_indexes = (0, 0, 1, 0, 2, 1)
    weights = [1 / (i + 1) for i in range(UNEVEN_ROUTERS)]
    loads: list[Load] = []
    for index, (name, slots) in enumerate(_list_fair_shares(size)):
        request_count = math.ceil(slots * REQUESTS_PER_SLOT) + len(routers)
        if index >= BACKLOGGED_WORKSPACES:
            loads.extend(_make_light_loops(name, slots, index))
        elif index % 2:
            home_router = routers[home_indexes[index // 2]]
            loads.append(ClosedLoop(name, home_router, request_count))
        else:
            for router, weight in zip(routers, weights, strict=False):
                count = max(1, round(request_count * weight / sum(weights)))
                loads.append(ClosedLoop(name, router, count))
    return tuple(loads)


def make_flood_load(size: sizes.FleetSize) -> tuple[Load, ...]:
    """Returns even load, with the last workspace at 20 times its share."""
    routers = [*sizes.get_routers()]
    flooding_workspace, slots = _list_fair_shares(size)[-1]
    loads = [
        x for x in make_even_load(size) if x.workspace != flooding_workspace
    ]
    rate = FLOOD_FACTOR * slots / MEAN_SERVICE_S / FLOOD_ROUTERS
    loads.extend(
        OpenLoop(flooding_workspace, router, rate)
        for router in routers[:FLOOD_ROUTERS]
    )
    return tuple(loads)


def make_light_load(size: sizes.FleetSize) -> tuple[Load, ...]:
    """Returns light load of all workspaces, which leaves most slots free."""
    loads: list[Load] = []
    for index, (name, slots) in enumerate(_list_fair_shares(size)):
        loads.extend(_make_light_loops(name, slots, index))
    return tuple(loads)


def make_idle_load(size: sizes.FleetSize) -> tuple[Load, ...]:
    """Returns no load."""
    return ()


def _list_fair_shares(
    size: sizes.FleetSize,
) -> list[tuple[ids.WorkspaceId, float]]:
    return [*compute_fair_shares(size, sizes.get_weights()).items()]


def _make_light_loops(
    name: ids.WorkspaceId, slots: float, index: int
) -> list[OpenLoop]:
    routers = [*sizes.get_routers()]
    called_routers = [
        routers[(index + i) % len(routers)] for i in range(LIGHT_ROUTERS)
    ]
    rate = LIGHT_LOAD_FRACTION * slots / MEAN_SERVICE_S / len(called_routers)
    return [OpenLoop(name, router, rate) for router in called_routers]
