"""Load patterns on emulated routers and engines, without a network.

In any six seconds, each workspace must receive more than half of its fair
share, which is the lesser of what it asked for and what the most-served
workspace received. See `bench.overload.report.compute_min_fair_fraction`.
"""

import functools

import pytest

from bench.overload import fleet as fleet_lib
from bench.overload import patterns
from bench.overload import policies
from bench.overload import report

PATTERNS = {pattern.name: pattern for pattern in patterns.PATTERNS}
POLICIES = {policy.name: policy for policy in policies.POLICIES}
MIN_FAIR_FRACTION = 0.5
SEEDS = (1, 2)


@functools.cache
def simulate(pattern: str, policy: str, seed: int, engines: int = 6):
    """Returns the summary of a pattern of load under a routing policy."""
    fleet = fleet_lib.Fleet(
        PATTERNS[pattern],
        POLICIES[policy],
        fleet_lib.FleetSize(engines=engines),
        seed,
    )
    return report.summarize(fleet, fleet.run(seed))


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("pattern", ["burst", "lost_engines", "flood"])
def test_each_workspace_gets_half_its_fair_share_in_any_six_seconds(
    pattern, seed
):
    summary = simulate(pattern, "shipped", seed)
    assert summary["worst_due"] > MIN_FAIR_FRACTION


# Guards against FAIR when five of eight engines are gone, four times what the
# others can begin is asked for, and the callers of a workspace or of two come
# to one router only.
@pytest.mark.parametrize("seed", (1, 2, 3))
@pytest.mark.parametrize("pattern", ["few_engines", "few_engines_two"])
def test_each_workspace_gets_half_its_fair_share_of_few_engines(pattern, seed):
    summary = simulate(pattern, "shipped", seed, engines=8)
    assert summary["worst_due"] > MIN_FAIR_FRACTION


# Guards against FAIR when prompts are long enough to keep all engines busy, one
# workspace floods all routers, and the callers of two others come to one router
# each.
@pytest.mark.parametrize("seed", range(1, 7))
def test_each_workspace_gets_half_its_fair_share_of_flooded_prefill(seed):
    summary = simulate("flooded_prefill", "shipped", seed)
    assert summary["worst_due"] > MIN_FAIR_FRACTION


@pytest.mark.parametrize("pattern", ["burst", "lost_engines", "flood"])
def test_worth_is_much_closer_to_the_limit_than_with_prefix_hashing(pattern):
    by_hash = simulate(pattern, "prefix_hash", 1)
    shipped = simulate(pattern, "shipped", 1)
    limit = simulate(pattern, "one_queue", 1)
    # Worth is the value of the complete answers, of which late ones count less,
    # relative to the value if all requests were answered on time. Its distance
    # to the upper limit (one queue for the whole fleet) is at most half of that
    # of the best plain proxy, which hashes prefixes.
    distance = limit["worth"] - shipped["worth"]
    assert distance <= 0.5 * (limit["worth"] - by_hash["worth"])


def test_requests_are_on_time_under_calm_load():
    assert simulate("calm", "shipped", 1)["on_time"] > 0.99
