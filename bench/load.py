"""Load on the fleet: callers that wait for answers, and callers that don't."""

import dataclasses
import math
import random

from bench import sizes
from lentilbeam_core import ids

THINK_S = 0.05
"""Mean time between an answer and the caller's next request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Costs:
    """Distribution of true costs: log-normal, cut off at the largest.

    Attributes:
        median: in tokens.
        sigma: standard deviation of the logarithm.
        largest: in tokens.
        hint_factor: hints are wrong by up to this factor either way.
    """

    median: float
    sigma: float
    largest: float
    hint_factor: float

    def draw(self, rng: random.Random, scale: float) -> float:
        """Returns a cost in tokens; `scale` moves the median."""
        cost = self.median * scale * math.exp(rng.gauss(0, self.sigma))
        return min(max(1.0, cost), self.largest)

    def hint(self, rng: random.Random, cost: float) -> float:
        """Returns a rough hint at the cost, at most the largest."""
        error = self.hint_factor ** rng.uniform(-1, 1)
        return min(cost * error, self.largest)


@dataclasses.dataclass(frozen=True, slots=True)
class ClosedLoop:
    """Callers that hold a number of requests open at one router."""

    workspace: ids.WorkspaceId
    router: ids.InstanceId
    outstanding: int


@dataclasses.dataclass(frozen=True, slots=True)
class OpenLoop:
    """Callers that send requests at a rate, come what may."""

    workspace: ids.WorkspaceId
    router: ids.InstanceId
    rate_per_s: float


Load = ClosedLoop | OpenLoop

BACKLOGGED = 12
"""Workspaces that always want more than their share."""

BACKLOG_FACTOR = 3.0
"""Requests that such a workspace holds open, over its share of slots."""

LIGHT_SHARE = 0.3
"""Load of the other workspaces, as a part of their share of slots."""

FLOOD_FACTOR = 20.0
MEAN_SERVICE_S = 1.2
FLOOD_ROUTERS = 2
LIGHT_ROUTERS = 3
SPREAD_ROUTERS = 5
"""Routers that see workspaces which are spread unevenly."""


def share_slots(
    size: sizes.Size, weights: dict[ids.WorkspaceId, float]
) -> dict[ids.WorkspaceId, float]:
    """Returns the fair share of each workspace, in slots."""
    total = sum(weights.values())
    return {n: size.slots * weight / total for n, weight in weights.items()}


def make_even(size: sizes.Size) -> tuple[Load, ...]:
    """Returns load that is spread evenly over all routers."""
    routers = [*sizes.name_routers()]
    loads: list[Load] = []
    for index, (name, slots) in enumerate(_shares(size)):
        if index < BACKLOGGED:
            count = math.ceil(slots * BACKLOG_FACTOR / len(routers)) + 1
            loads.extend(ClosedLoop(name, r, count) for r in routers)
        else:
            loads.extend(_make_light(name, slots, index))
    return tuple(loads)


def make_uneven(size: sizes.Size) -> tuple[Load, ...]:
    """Returns load that is spread unevenly.

    Every other workspace is seen by one router only, most of them by the
    first; the others are spread in the ratio 1 : 1/2 : 1/3 ... over the
    first routers. The last routers see light workspaces only.
    """
    routers = [*sizes.name_routers()]
    homes = (0, 0, 1, 0, 2, 1)
    ratio = [1 / (i + 1) for i in range(SPREAD_ROUTERS)]
    loads: list[Load] = []
    for index, (name, slots) in enumerate(_shares(size)):
        wanted = math.ceil(slots * BACKLOG_FACTOR) + len(routers)
        if index >= BACKLOGGED:
            loads.extend(_make_light(name, slots, index))
        elif index % 2:
            home = routers[homes[index // 2]]
            loads.append(ClosedLoop(name, home, wanted))
        else:
            for router, part in zip(routers, ratio, strict=False):
                count = max(1, round(wanted * part / sum(ratio)))
                loads.append(ClosedLoop(name, router, count))
    return tuple(loads)


def make_flood(size: sizes.Size) -> tuple[Load, ...]:
    """Returns even load with one workspace at 20 times its share."""
    routers = [*sizes.name_routers()]
    flooding, slots = _shares(size)[-1]
    loads = [x for x in make_even(size) if x.workspace != flooding]
    rate = FLOOD_FACTOR * slots / MEAN_SERVICE_S / FLOOD_ROUTERS
    loads.extend(
        OpenLoop(flooding, router, rate) for router in routers[:FLOOD_ROUTERS]
    )
    return tuple(loads)


def make_light(size: sizes.Size) -> tuple[Load, ...]:
    """Returns load of all workspaces that leaves most slots free."""
    loads: list[Load] = []
    for index, (name, slots) in enumerate(_shares(size)):
        loads.extend(_make_light(name, slots, index))
    return tuple(loads)


def make_idle(size: sizes.Size) -> tuple[Load, ...]:
    """Returns no load."""
    return ()


def _shares(size: sizes.Size) -> list[tuple[ids.WorkspaceId, float]]:
    return [*share_slots(size, sizes.name_workspaces()).items()]


def _make_light(
    name: ids.WorkspaceId, slots: float, index: int
) -> list[OpenLoop]:
    routers = [*sizes.name_routers()]
    chosen = [routers[(index + i) % len(routers)] for i in range(LIGHT_ROUTERS)]
    rate = LIGHT_SHARE * slots / MEAN_SERVICE_S / len(chosen)
    return [OpenLoop(name, router, rate) for router in chosen]
