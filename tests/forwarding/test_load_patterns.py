"""Patterns of load on emulated routers and engines, without a network.

Each workspace is owed half of what it asked, or of what the one served most
got, over any six seconds; see `compute_min_fair_fraction` in
`bench.overload.report`.
"""

import functools

import pytest

from bench.overload import fleet as fleet_lib
from bench.overload import patterns
from bench.overload import policies
from bench.overload import report

PATTERNS = {pattern.name: pattern for pattern in patterns.PATTERNS}
POLICIES = {policy.name: policy for policy in policies.POLICIES}
PROMISED_PART = 0.5
SEEDS = (1, 2)


@functools.cache
def play(pattern: str, policy: str, seed: int):
    fleet = fleet_lib.Fleet(
        PATTERNS[pattern], POLICIES[policy], fleet_lib.FleetSize(), seed
    )
    return report.summarize(fleet, fleet.run(seed))


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("pattern", ["burst", "lost_engines", "flood"])
def test_every_workspace_gets_its_part_whatever_it_had_before(pattern, seed):
    found = play(pattern, "shipped", seed)
    assert found["worst_due"] > PROMISED_PART


@pytest.mark.parametrize("pattern", ["burst", "lost_engines", "flood"])
def test_callers_are_served_far_better_than_by_a_hash_of_the_prompt(pattern):
    by_hash = play(pattern, "prefix_hash", 1)
    shipped = play(pattern, "shipped", 1)
    limit = play(pattern, "one_queue", 1)
    # At most half of the distance of the best plain proxy is left.
    left = limit["worth"] - shipped["worth"]
    assert left <= 0.5 * (limit["worth"] - by_hash["worth"])


def test_a_calm_day_is_on_time():
    assert play("calm", "shipped", 1)["on_time"] > 0.99
