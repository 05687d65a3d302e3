"""Evacuation of data centres: nothing is sent there until it is withdrawn."""

import asyncio
import os

import pytest

from lentilbeam_core import ids
from lentilbeam_core.forwarding import evacuations
from tests.forwarding import gateway_fleet
from tests.forwarding import test_store_era

READ_S = 0.3
"""Time within which all routers have read a record, in seconds."""


@pytest.fixture
def world():
    output = os.open(os.devnull, os.O_WRONLY)
    world = test_store_era.StoreWorld(output)
    world.publish(1)
    world.put_target("t", "ready")
    world.start("r")
    world.wait(1.0)
    yield world
    world.close()
    os.close(output)


def ask(world, zone, value=b"1"):
    """Writes or deletes the key of an evacuation."""
    world.append("keyed.op", f"evacuate/{zone}", value)


def is_used(world, router="r"):
    """Whether a router uses the target."""
    return world.find_ready(router) == {"t"}


def find_zone(world):
    """Returns the data centre of the target."""
    return world.routers["r"].targets.entries["t"].data_centre


# Guards against EVAC: records are not applied, or at the wrong data centre.
def test_key_evacuates_its_data_centre_until_it_is_deleted(world):
    zone = find_zone(world)
    ask(world, "elsewhere")
    world.wait(READ_S)
    assert is_used(world)
    ask(world, zone)
    world.wait(READ_S)
    assert not is_used(world)
    ask(world, "elsewhere", b"")
    world.wait(READ_S)
    assert not is_used(world)
    ask(world, zone, b"")
    world.wait(READ_S)
    assert is_used(world)


# Guards against EVAC: a router that starts does not read what is in force.
def test_evacuation_is_in_force_at_a_router_that_starts(world):
    ask(world, find_zone(world))
    world.start("s")
    world.wait(1.0)
    assert not is_used(world, "s")
    assert world.routers["s"].is_ready


# Guards against EVAC: an outage or an older copy counts as a withdrawal.
@pytest.mark.parametrize("lost", [0, 1])
def test_evacuation_outlasts_an_outage_of_the_store(world, lost):
    zone = find_zone(world)
    ask(world, zone)
    world.wait(READ_S)
    if lost:
        world.lose(lost, away_s=3.0)
        # The list is read twice in the new era.
        world.routers["r"].configuration_watch.must_reread.set()
    else:
        world.store.set_faults({"is_down": True})
        world.wait(3.0)
        assert not is_used(world)
        world.store.set_faults({})
    world.wait(9.0)
    # The copy lacks the entry of the target as well.
    world.put_target("t", "ready")
    world.wait(2.0)
    assert not is_used(world)
    ask(world, zone, b"")
    world.wait(READ_S)
    assert is_used(world)


# Guards against a data centre that lies idle: a withdrawal that was missed.
def test_withdrawal_is_found_when_the_list_is_read_anew(world):
    zone = find_zone(world)
    ask(world, zone)
    world.wait(READ_S)
    world.store.set_faults({"is_down": True})
    world.wait(0.5)
    ask(world, zone, b"")
    world.store.set_faults({"forget": True})
    world.wait(2.0)
    assert is_used(world)


# Guards against EVAC: what happens to one data centre changes another.
def test_missing_record_counts_only_in_the_era_in_which_it_was_read():
    a, b, c = map(ids.DataCentreId, "abc")
    found = evacuations.Evacuations()
    assert found.replace({a, b}, 1).begun == (a, b)
    assert found.replace({b}, 1).withdrawn == (a,)
    assert found.replace({c}, 2) == evacuations.Changes((c,), (), (b,))
    assert found.replace({c}, 2).kept == (b,)
    assert not found.ask(b)
    assert found.replace(set(), 2).withdrawn == (b, c)


# Guards against EVAC: a router that starts after the store came back without
# an evacuation, and against one that lasts because peers repeat it.
def test_evacuation_that_the_store_lacks_is_known_from_peers():
    async def scenario(fleet):
        (a, _, _) = fleet.add_all()
        fleet.evacuate("a")
        await asyncio.sleep(1.0)
        fleet.evacuated.clear()
        for gateway in fleet.gateways.values():
            gateway.evacuations.replace(set(), 2)
        for name in ("r0", "r1"):
            fleet.stop_router(name)
            fleet.start_router(name)
            fleet.gateways[name].evacuations.replace(set(), 2)
        await asyncio.sleep(1.0)
        fleet.started = fleet.clock.monotonic()
        await fleet.load(100.0, 4.0)
        fleet.during = a.count_arrivals(fleet.started, float("inf"))
        fleet.stop_router("r0")
        fleet.start_router("r0")
        for name in fleet.entries.keys() - {"r0"}:
            fleet.gateways[name].evacuations.withdraw(ids.DataCentreId("a"))
        await asyncio.sleep(3.0)
        fleet.ended = fleet.clock.monotonic()
        await fleet.load(100.0, 2.0, routers=["r0"])
        fleet.after = a.count_arrivals(fleet.ended, float("inf"))

    for routers in (4, 20):
        fleet = make_fleet(routers).run(scenario)
        assert fleet.during == 0
        assert fleet.after > 20


def make_fleet(routers=7):
    """Returns a fleet with one target in each of three data centres."""
    fleet = gateway_fleet.Fleet(routers, targets=0)
    fleet.add_all = lambda: [
        fleet.add_target(f"t-{zone}", data_centre=ids.DataCentreId(zone))
        for zone in gateway_fleet.DATA_CENTRES
    ]
    return fleet


# Guards against EVAC under load, in flight, and at routers that restart.
def test_evacuated_targets_get_nothing_and_callers_are_served_elsewhere():
    async def scenario(fleet):
        targets = fleet.add_all()
        load = asyncio.ensure_future(fleet.load(100.0, 9.0))
        await asyncio.sleep(2.0)
        fleet.evacuate("a")
        fleet.begun = fleet.clock.monotonic()
        await asyncio.sleep(1.0)
        fleet.evacuate("b")
        fleet.part(["r1"])
        fleet.stop_router("r0")
        fleet.start_router("r0")
        await asyncio.sleep(2.0)
        fleet.withdraw_evacuation("b")
        fleet.ended = fleet.clock.monotonic()
        await load
        await asyncio.sleep(1.0)
        fleet.found = targets

    fleet = make_fleet().run(scenario)
    a, b, _ = fleet.found
    # What was written before the evacuation is still on its way.
    settled = fleet.begun + gateway_fleet.NETWORK_DELAY_S + 1e-6
    assert a.count_arrivals(0.0, settled) > 30
    assert a.count_arrivals(settled, float("inf")) == 0
    assert b.count_arrivals(fleet.begun + 1.01, fleet.ended) == 0
    assert b.count_arrivals(fleet.ended, float("inf")) > 30
    answered = [r for r in fleet.results if r.router != "r0"]
    assert all(result.status == 200 for result in answered)


# Guards against callers that wait for nothing, and streams that are cut.
def test_requests_are_refused_at_once_if_all_targets_are_evacuated():
    async def scenario(fleet):
        fleet.add_all()
        stream = fleet.send_soon("r0", path="/chat/1")
        await asyncio.sleep(0.2)
        for zone in gateway_fleet.DATA_CENTRES:
            fleet.evacuate(zone)
        fleet.refused = await fleet.send("r1")
        fleet.stream = await stream

    fleet = make_fleet(2).run(scenario)
    assert fleet.refused.status == 503
    assert fleet.refused.ended_at - fleet.refused.sent_at < 0.01
    assert fleet.refused.retry_after_s > 0
    assert fleet.stream.status == 200
    assert fleet.stream.is_complete
