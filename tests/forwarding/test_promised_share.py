"""Each workspace gets half of its fair share, whatever its router is short of.

The callers of one workspace all use one router. The other workspaces come to
all routers. The bound is the operators' own: in any six seconds in all of which
the workspace waits, half of what it asked for or of what the best served
workspace received, second by second, less three requests.
"""

import dataclasses
import functools

import pytest

from bench.overload import busy_fleet
from bench.overload import fleet as fleet_lib
from bench.overload import report
from tests.forwarding import test_busy_fleet

PROMISED_FRACTION = 0.5
WHOLE_CORE = 1.0
HALF_CORE = 0.5
TENTH_OF_A_CORE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Shortage:
    """A fleet and what it is short of.

    Attributes:
        pattern: name of the load pattern.
        load: load relative to the users' initial deployments.
        guaranteed_fraction: see `fleet_lib.FleetSize`.
        core_share: share of a core of each router.
        max_requests: number of requests that a router's memory holds.
    """

    pattern: str
    load: float
    guaranteed_fraction: float
    core_share: float
    max_requests: float = float("inf")


SHORTAGES = {
    "engines": Shortage("busy_router", 1.6, 0.5, WHOLE_CORE),
    "processor": Shortage("busy_router", 1.6, 0.5, TENTH_OF_A_CORE),
    "processor_notes": Shortage(
        "busy_router_notes", 1.3, 0.25, TENTH_OF_A_CORE
    ),
    "memory": Shortage("busy_router_notes", 1.3, 0.25, HALF_CORE, 8),
}
SEEDS = (1, 2)


@functools.cache
def simulate(name: str, seed: int) -> list[fleet_lib.Outcome]:
    shortage = SHORTAGES[name]
    size = dataclasses.replace(
        test_busy_fleet.SIZE,
        load=shortage.load,
        guaranteed_fraction=shortage.guaranteed_fraction,
    )
    fleet = busy_fleet.BusyFleet(
        test_busy_fleet.PATTERNS[shortage.pattern],
        test_busy_fleet.POLICIES["shipped"],
        size,
        shortage.core_share,
        seed,
        shortage.max_requests,
    )
    return fleet.run(seed)


# Guards against FAIR: the routers with room to spare fill the engines for
# others, however little a workspace gets whose router has none.
@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("name", SHORTAGES)
def test_each_workspace_gets_half_its_fair_share(name, seed):
    outcomes = simulate(name, seed)
    fraction = report.compute_min_fair_fraction(outcomes)
    assert fraction >= PROMISED_FRACTION
