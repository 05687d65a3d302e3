"""A workspace whose callers all use one of many routers with little time.

The engines are full, and the other routers have time to begin requests of
other workspaces. Routers are emulated with a processor, engines with slots.
"""

import dataclasses
import functools

import pytest

from bench.overload import busy_fleet
from bench.overload import fleet as fleet_lib
from bench.overload import patterns
from bench.overload import policies
from bench.overload import report

PATTERNS = {pattern.name: pattern for pattern in patterns.PATTERNS}
POLICIES = {policy.name: policy for policy in policies.POLICIES}
SIZE = fleet_lib.FleetSize(
    routers=34, engines=9, slots=16, load=1.6, report_interval_s=0.3
)
"""The guarantee is beyond what engines with so few slots can begin."""
NOTES_SIZE = dataclasses.replace(SIZE, load=1.3, guaranteed_fraction=0.25)
"""The guarantee is about half of what the engines begin."""
LOADS = {
    "busy_router": (SIZE, (1, 2)),
    "busy_router_notes": (NOTES_SIZE, (1, 2, 3)),
}
CASES = [
    (pattern, seed) for pattern, (_, seeds) in LOADS.items() for seed in seeds
]
WORKSPACE = "w1"
BUSY_CORE_SHARE = 0.1
FROM_S = 2
SERVED_FRACTION = 0.9
MAX_LEAD = 1.5


@functools.cache
def simulate(pattern, seed):
    size, _ = LOADS[pattern]
    fleet = busy_fleet.BusyFleet(
        PATTERNS[pattern], POLICIES["shipped"], size, BUSY_CORE_SHARE, seed
    )
    return fleet.run(seed)


# Guards against FAIR: routers with time to spare fill the engines for other
# workspaces, however little one receives whose router has no time.
@pytest.mark.parametrize(("pattern", "seed"), CASES)
def test_no_workspace_gets_far_ahead_of_one_that_a_router_cannot_carry(
    pattern, seed
):
    outcomes = simulate(pattern, seed)
    unfair = [
        window
        for window in report.list_windows(outcomes, WORKSPACE, FROM_S)
        if window.served < SERVED_FRACTION * window.asked
        and window.best_served > MAX_LEAD * window.served
    ]
    assert unfair == []


# Guards against FAIR mended at the cost of callers that get no answer.
@pytest.mark.parametrize(("pattern", "seed"), CASES)
def test_callers_of_routers_on_time_get_an_answer(pattern, seed):
    outcomes = simulate(pattern, seed)
    unanswered = [
        outcome.arrival.request.request_id
        for outcome in outcomes
        if outcome.sent_at is None
        and not outcome.refusals
        and outcome.arrival.request.workspace != WORKSPACE
    ]
    assert unanswered == []
