"""Targets that name a limit on the rate of their requests.

The limit counts for the requests of all routers together, for as long as
responses name it. Pattern: routers share callers evenly, some of the targets
name a limit well below what they are asked, and the rest have room.
"""

import asyncio
import dataclasses
import random

import hypothesis
from hypothesis import strategies
import pytest

from lentilbeam_core import messages
from lentilbeam_core.forwarding import decayed
from lentilbeam_core.forwarding import fleet_demand
from lentilbeam_core.forwarding import limit_parts
from lentilbeam_core.forwarding import target_limits
from lentilbeam_core.forwarding import work_sums
from lentilbeam_router import peer_codec
from tests.forwarding import gateway_fleet
from tests.forwarding import makers

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


def check_limit(fleet):
    """Checks that the limited targets got no more than is allowed."""
    for name in CAPPED:
        most = find_most(fleet.targets[name], fleet.since)
        assert most <= count_allowed(LIMIT_PER_S)


@pytest.mark.parametrize("routers", [1, 7])
def test_routers_together_send_no_more_than_a_target_takes(routers):
    # Guards against LIMIT: a target gets far more than the limit it named.
    async def scenario(fleet):
        fleet.since = name_limit(fleet, LIMIT_PER_S)
        await fleet.load(150.0, 10.0)

    fleet = gateway_fleet.Fleet(routers, targets=3).run(scenario)
    check_limit(fleet)
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
    check_limit(fleet)


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
    check_limit(fleet)


def test_limit_holds_while_routers_are_added():
    # Guards against LIMIT: routers that peers do not know yet add their part.
    async def scenario(fleet):
        fleet.since = name_limit(fleet, LIMIT_PER_S)
        load = asyncio.ensure_future(fleet.load(150.0, 12.0))
        for number in range(4, 8):
            await asyncio.sleep(2.0)
            fleet.start_router(f"r{number}")
        await load

    fleet = gateway_fleet.Fleet(4, targets=3).run(scenario)
    check_limit(fleet)


def test_limit_holds_in_a_fleet_with_relays():
    # Guards against LIMIT: demand is divided wrongly when relays sum it.
    async def scenario(fleet):
        fleet.since = name_limit(fleet, LIMIT_PER_S)
        await fleet.load(150.0, 9.0)

    fleet = gateway_fleet.Fleet(18, targets=3).run(scenario)
    check_limit(fleet)
    for name in CAPPED:
        got = fleet.targets[name].count_arrivals(fleet.since, fleet.since + 5)
        assert got >= 0.7 * 5 * LIMIT_PER_S


@pytest.mark.parametrize("routers", [1, 7])
def test_limit_is_used_while_requests_wait(routers):
    # Guards against idle capacity: all targets are limited, callers wait.
    async def scenario(fleet):
        fleet.since = name_limit(fleet, 20.0)
        await fleet.load(150.0, 10.0)

    fleet = gateway_fleet.Fleet(routers).run(scenario)
    until = fleet.since + 7.0
    for target in fleet.targets.values():
        assert find_most(target, fleet.since) <= count_allowed(20.0)
        assert target.count_arrivals(fleet.since, until) >= 0.9 * 7 * 20.0


def test_router_with_all_the_demand_uses_the_whole_limit():
    # Guards against idle capacity: parts lie unused at routers without callers.
    async def scenario(fleet):
        fleet.since = name_limit(fleet, 20.0)
        await fleet.load(150.0, 9.0, routers=["r3"])

    fleet = gateway_fleet.Fleet(7).run(scenario)
    for target in fleet.targets.values():
        got = target.count_arrivals(fleet.since, fleet.since + 6.0)
        assert 0.9 * 6 * 20.0 <= got <= 1.1 * 6 * 20.0


def test_router_that_hears_nobody_uses_its_even_part():
    # Guards against LIMIT: a router that is cut off takes what others use.
    async def scenario(fleet):
        fleet.since = name_limit(fleet, 20.0)
        load = asyncio.ensure_future(fleet.load(150.0, 12.0, routers=["r3"]))
        await asyncio.sleep(2.0)
        fleet.part(["r3"])
        await load

    fleet = gateway_fleet.Fleet(7).run(scenario)
    cut_off_at = fleet.since + 2.0
    for target in fleet.targets.values():
        got = target.count_arrivals(cut_off_at, cut_off_at + 7.0)
        assert got <= 7 * 20.0 / 7 + 1


def test_requests_beyond_the_limits_are_refused_at_once_with_a_true_time():
    # Guards against callers that wait for nothing, or return too early.
    async def scenario(fleet):
        name_limit(fleet, 2.0, ["t0"])
        await fleet.load(40.0, 4.0)
        await asyncio.sleep(3.0)
        fleet.results.clear()
        for _ in range(6):
            fleet.send_soon("r0", deadline_ms=12_000)
        await asyncio.sleep(5.0)

    fleet = gateway_fleet.Fleet(1, targets=1).run(scenario)
    refused = [result for result in fleet.results if result.status == 503]
    assert len(refused) >= 4
    # One target that takes two requests a second serves one in 0.5 s.
    delays = sorted(result.retry_after_s for result in refused)
    for number, delay_s in enumerate(delays):
        assert 0.5 * number <= delay_s <= 0.5 * (number + 3) + 0.25
    assert all(result.ended_at - result.sent_at < 0.1 for result in refused)


@pytest.mark.parametrize(("before", "after"), [(30.0, 5.0), (5.0, 30.0)])
def test_changed_limit_holds_at_all_routers(before, after):
    # Guards against LIMIT: routers keep to a limit that has changed.
    async def scenario(fleet):
        name_limit(fleet, before)
        load = asyncio.ensure_future(fleet.load(150.0, 12.0))
        await asyncio.sleep(4.0)
        fleet.since = name_limit(fleet, after)
        await load

    fleet = gateway_fleet.Fleet(4, targets=3).run(scenario)
    for name in CAPPED:
        target = fleet.targets[name]
        assert find_most(target, fleet.since) <= count_allowed(after)
        got = target.count_arrivals(fleet.since, fleet.since + 4.0)
        assert got >= 0.8 * 4 * after


def test_target_is_used_fully_again_once_it_names_no_limit():
    # Guards against idle capacity: a limit outlives its end.
    async def scenario(fleet):
        name_limit(fleet, 5.0)
        load = asyncio.ensure_future(fleet.load(150.0, 8.0))
        await asyncio.sleep(4.0)
        for name in CAPPED:
            fleet.targets[name].headers = ""
        fleet.ended_at = fleet.clock.monotonic()
        await load

    fleet = gateway_fleet.Fleet(4, targets=3).run(scenario)
    for name in CAPPED:
        target = fleet.targets[name]
        assert (
            target.count_arrivals(fleet.ended_at + 2, fleet.ended_at + 4) > 50
        )


def test_target_that_takes_no_requests_is_asked_again_now_and_then():
    # Guards against a limit of 0 that lasts for ever, and against LIMIT.
    async def scenario(fleet):
        fleet.since = name_limit(fleet, 0)
        load = asyncio.ensure_future(fleet.load(150.0, 18.0))
        await asyncio.sleep(10.0)
        for name in CAPPED:
            fleet.targets[name].headers = ""
        fleet.ended_at = fleet.clock.monotonic()
        await load

    fleet = gateway_fleet.Fleet(7, targets=3).run(scenario)
    for name in CAPPED:
        target = fleet.targets[name]
        most = find_most(target, fleet.since, fleet.ended_at)
        assert 1 <= most <= count_allowed(0)
        assert (
            target.count_arrivals(fleet.ended_at + 6, fleet.ended_at + 8) > 50
        )
    assert count_served(fleet.results) >= 0.95


@pytest.mark.parametrize(
    "headers",
    [
        "Server-Limit: -1\r\n",
        "Server-Limit: few\r\n",
        "Server-Limit: nan\r\n",
        "Server-Limit: 3\r\nServer-Limit: 3\r\n",
    ],
)
def test_invalid_limit_changes_nothing(headers):
    # Guards against rubbish that limits a target or ends its limit.
    async def scenario(fleet):
        name_limit(fleet, 10.0, ["t0"])
        fleet.targets["t1"].headers = headers
        load = asyncio.ensure_future(fleet.load(150.0, 10.0))
        await asyncio.sleep(2.0)
        fleet.since = fleet.clock.monotonic() + 1.0
        fleet.targets["t0"].headers = headers
        await load

    fleet = gateway_fleet.Fleet(2, targets=2).run(scenario)
    assert find_most(fleet.targets["t0"], fleet.since) <= count_allowed(10.0)
    assert find_most(fleet.targets["t1"], fleet.since) > count_allowed(10.0)


def test_restarted_target_has_no_limit():
    # Guards against idle capacity: a new process inherits a limit.
    async def scenario(fleet):
        name_limit(fleet, 2.0)
        load = asyncio.ensure_future(fleet.load(150.0, 6.0))
        await asyncio.sleep(3.0)
        for name in CAPPED:
            fleet.targets[name].headers = ""
            fleet.restart_target(name)
        fleet.ended_at = fleet.clock.monotonic()
        await load

    fleet = gateway_fleet.Fleet(4, targets=3).run(scenario)
    for name in CAPPED:
        target = fleet.targets[name]
        assert target.count_arrivals(fleet.ended_at, fleet.ended_at + 1) > 20


REPORTS = strategies.lists(
    strategies.tuples(strategies.floats(0.01, 1000.0), strategies.booleans()),
    min_size=1,
    max_size=12,
)


@hypothesis.given(REPORTS)
@hypothesis.settings(derandomize=True)
def test_parts_of_a_fleet_in_two_halves_never_exceed_the_whole(routers):
    # Guards against LIMIT: parts of routers that hear only some of the others.
    parts = []
    for number, (_, side) in enumerate(routers):
        demand = fleet_demand.FleetDemand()
        demand.own.add(routers[number][0], 0.0, fleet_demand.DECAY_S)
        for other, (requests, other_side) in enumerate(routers):
            if other != number and other_side == side:
                demand.apply_report(f"r{other}", requests, 1, 0.0)
        parts.append(demand.compute_part(len(routers), 0.0))
    assert sum(parts) <= 1.0 + 1e-9


def test_silent_peer_keeps_its_part():
    # Guards against LIMIT: routers divide at once what a silent peer uses.
    demand = fleet_demand.FleetDemand()
    demand.own.add(5.0, 0.0, fleet_demand.DECAY_S)
    demand.apply_report("silent", 5.0, 1, 0.0)
    for now in (0.5, 1.4, 1.6, 2.9, 3.1, 60.0):
        demand.own = decayed.DecayingSum(5.0, now)
        assert demand.compute_part(2, now) <= 0.5


def test_limit_and_demand_travel_in_reports_and_sums():
    newer = messages.TargetLoad(
        "t", 0.0, 0, 0.0, 0.0, limit_start_ms=7, limit_per_s=3.5, limit_age_ms=5
    )
    older = dataclasses.replace(newer, limit_per_s=9.0, limit_age_ms=900)
    demand = (messages.PoolDemand(makers.POOL, 0.25),)
    total = work_sums.sum_terms(
        [
            work_sums.Term(work_sums.Work((older,), (), demand), age_s=0.1),
            work_sums.Term(work_sums.Work((newer,), (), demand, routers=4)),
            work_sums.Term(work_sums.Work((), (), demand), sign=-1),
        ],
        1.0,
    )
    report = messages.LoadReport(
        incarnation=1,
        sequence=1,
        version=1,
        targets_offset=1,
        leaving=False,
        is_ready=True,
        kind=messages.ReportKind.FLEET,
        loads=total.loads,
        routers=total.routers,
        demands=total.demands,
    )
    _, decoded = peer_codec.decode(peer_codec.encode("router", report))
    (load,) = decoded.loads
    assert (load.limit_start_ms, load.limit_per_s) == (7, 3.5)
    assert load.limit_age_ms == 5
    assert decoded.routers == 4
    assert decoded.demands == demand


def test_limit_ends_if_it_is_never_named_again():
    limits = target_limits.TargetLimits()
    limits.note_response("t", 1, 4.0, 0.0, 1.0)
    assert limits.read_rate("t", 60.9) == 4.0
    assert limits.read_rate("t", 61.1) == target_limits.NO_LIMIT


def test_response_that_was_overtaken_does_not_end_a_limit():
    # Guards against LIMIT: answers from before a limit arrive after it.
    limits = target_limits.TargetLimits()
    limits.note_response("t", 1, 4.0, 0.0, 1.0)
    for _ in range(5):
        limits.note_response("t", 1, None, 0.9, 1.1)
    assert limits.read_rate("t", 1.2) == 4.0
    limits.note_response("t", 1, None, 1.05, 1.2)
    assert limits.read_rate("t", 1.3) == target_limits.NO_LIMIT


def test_credit_of_idle_routers_does_not_add_up():
    # Guards against LIMIT: a large fleet sends all unused requests at once.
    rng = random.Random(1)
    routers = [limit_parts.LimitParts(rng) for _ in range(300)]
    for now in (0.0, 60.0):
        for parts in routers:
            parts.update("t", 10.0, 1 / 300, now)
    ready = sum(parts.may_send("t") for parts in routers)
    assert 1 <= ready <= 2 * 10 * limit_parts.CREDIT_LIFETIME_S
