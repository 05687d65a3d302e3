"""Targets that name a limit on the rate of their requests.

The limit counts for the requests of all routers together, for as long as
responses name it. Pattern: routers share callers evenly, some of the targets
name a limit well below what they are asked, and the rest have room.
"""

import asyncio

import pytest

from tests.forwarding import gateway_fleet

STABLE_WINDOW_S = 3.0
"""Time after which the fleet must keep to a new limit."""
WINDOW_S = 4.0
LIMIT_PER_S = 10.0
CAPPED = ("t0", "t1")


def count_allowed(limit_per_s):
    """Returns the most requests that a target may get in `WINDOW_S`."""
    return 1.5 * limit_per_s * WINDOW_S + 5


def name_limit(fleet, value, names=CAPPED):
    """Makes targets name a limit in all responses; returns when it holds."""
    for name in names:
        fleet.targets[name].headers = f"Server-Limit: {value}\r\n"
    return fleet.clock.monotonic() + STABLE_WINDOW_S


def find_most(target, since, until=float("inf")):
    """Returns the most requests that a target got in some 4 s."""
    return target.find_most_arrivals(WINDOW_S, since, until)


def count_served(results):
    """Returns the fraction of requests that were answered with success."""
    return sum(result.status == 200 for result in results) / len(results)


@pytest.mark.parametrize("routers", [1, 7])
def test_routers_together_send_no_more_than_a_target_takes(routers):
    # Guards against LIMIT: a target gets far more than the limit it named.
    async def scenario(fleet):
        fleet.since = name_limit(fleet, LIMIT_PER_S)
        await fleet.load(150.0, 10.0)

    fleet = gateway_fleet.Fleet(routers, targets=3).run(scenario)
    for name in CAPPED:
        most = find_most(fleet.targets[name], fleet.since)
        assert most <= count_allowed(LIMIT_PER_S)
    assert count_served(fleet.results) >= 0.95


def test_limit_holds_while_routers_restart():
    # Guards against LIMIT: a router that starts takes more than its part.
    async def scenario(fleet):
        fleet.since = name_limit(fleet, LIMIT_PER_S)
        load = asyncio.ensure_future(fleet.load(150.0, 16.0))
        for name in ("r0", "r1", "r2"):
            await asyncio.sleep(3.0)
            fleet.stop_router(name)
            await asyncio.sleep(1.5)
            fleet.start_router(name)
        await load

    fleet = gateway_fleet.Fleet(7, targets=3).run(scenario)
    for name in CAPPED:
        most = find_most(fleet.targets[name], fleet.since)
        assert most <= count_allowed(LIMIT_PER_S)


def test_limit_holds_while_routers_are_parted():
    # Guards against LIMIT: each side of a partition uses the whole limit.
    async def scenario(fleet):
        fleet.since = name_limit(fleet, LIMIT_PER_S)
        load = asyncio.ensure_future(fleet.load(150.0, 18.0))
        await asyncio.sleep(3.0)
        fleet.part(["r0", "r1", "r2"])
        await asyncio.sleep(6.0)
        fleet.heal()
        fleet.part(["r6"])
        await asyncio.sleep(6.0)
        fleet.heal()
        await load

    fleet = gateway_fleet.Fleet(7, targets=3).run(scenario)
    for name in CAPPED:
        most = find_most(fleet.targets[name], fleet.since)
        assert most <= count_allowed(LIMIT_PER_S)
