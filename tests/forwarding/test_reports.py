"""Every router knows the fleet's work soon, however many routers there are."""

import asyncio
import dataclasses

import pytest

from lentilbeam_core import messages
from tests.forwarding import in_process_router
from tests.forwarding import makers
from tests.forwarding import report_fleet

LARGE = 30
SOON_S = 0.3
"""Half of the shortest goal of the users' requests."""
SETTLED_S = 4.0
"""A silent relay is replaced, who found no relay joins the others, and what it
reported before is forgotten: 0.5 s and twice 1.5 s."""


def start(count: int) -> report_fleet.Fleet:
    fleet = report_fleet.Fleet(count)
    fleet.run(SETTLED_S)
    return fleet


@pytest.mark.parametrize("count", [1, 2, 7, 16, 17, LARGE])
def test_each_router_knows_the_work_of_all_others_soon(count):
    fleet = start(count)
    for number, router in enumerate(fleet.routers.values()):
        router.running = number + 1
    fleet.run(SOON_S)
    assert fleet.find_wrong() == {}


def test_own_work_is_never_counted_twice_while_it_changes():
    fleet = start(LARGE)
    router = next(iter(fleet.routers.values()))
    for step in range(40):
        router.running = (step * 7) % 11
        fleet.run(0.05)
        assert router.count_others() == 0


def test_usage_of_workspaces_is_summed_as_well():
    fleet = start(LARGE)
    for router in fleet.routers.values():
        router.running = 2
    fleet.run(SOON_S)
    for router in fleet.routers.values():
        assert router.read_usage() == pytest.approx(
            2000.0 * (LARGE - 1), rel=0.1
        )


def test_placed_parts_reach_every_router():
    fleet = start(LARGE)
    part = messages.PlacedPart("t", "p", 100)
    fleet.routers["r5"].placed.append(part)
    fleet.run(SOON_S)
    unaware = [
        name
        for name, router in fleet.routers.items()
        if "p" not in router.seen_parts and name != "r5"
    ]
    assert unaware == []


def test_more_placed_parts_than_a_report_holds_reach_every_router():
    fleet = start(LARGE)
    for number, router in enumerate(fleet.routers.values()):
        router.placed = [
            messages.PlacedPart("t", f"p{number}.{n}", 100) for n in range(30)
        ]
    fleet.run(SOON_S)
    assert {len(r.seen_parts) for r in fleet.routers.values()} <= {
        30 * LARGE,
        30 * (LARGE - 1),
    }


def test_a_lost_relay_is_replaced_and_its_work_no_more_counted():
    fleet = start(LARGE)
    for router in fleet.routers.values():
        router.running = 3
    fleet.find_relay("a").is_frozen = True
    fleet.run(SETTLED_S)
    assert fleet.find_wrong() == {}


def test_other_data_centres_are_heard_again_within_a_second_of_a_loss():
    fleet = start(LARGE)
    fleet.find_relay("a").is_frozen = True
    fleet.routers["r1"].running = 5
    fleet.run(1.0)
    unaware = [
        router.entry.name
        for router in fleet.routers.values()
        if router.entry.data_centre == "a"
        and not router.is_frozen
        and router.count_others() != 5
    ]
    assert unaware == []


def test_a_leaving_relay_hands_over_without_a_gap():
    fleet = start(LARGE)
    for router in fleet.routers.values():
        router.running = 1
    relay = fleet.find_relay("b")
    fleet.run(SOON_S)
    relay.is_leaving = True
    relay.report_exchange.announce(
        report_fleet.report_exchange.Status(1, 1, True, True)
    )
    for _ in range(30):
        fleet.run(0.05)
        seen = [
            router.count_others()
            for router in fleet.routers.values()
            if router is not relay
        ]
        # For a moment a member may be in the sums of both relays.
        assert min(seen) >= (LARGE - 1) * 0.6
        assert max(seen) <= (LARGE - 1) * 1.4
    assert fleet.find_relay("b") is not relay


def test_a_router_cut_from_its_relay_uses_another():
    fleet = start(LARGE)
    relay = fleet.find_relay("c")
    member = next(
        router
        for router in fleet.routers.values()
        if router.entry.data_centre == "c" and router is not relay
    )
    names = (member.entry.name, relay.entry.name)
    fleet.cut = {names, names[::-1]}
    for router in fleet.routers.values():
        router.running = 2
    fleet.run(SETTLED_S)
    assert member.report_exchange.relays.current not in (None, relay.entry.name)
    assert fleet.find_wrong() == {}


def test_routers_back_after_a_partition_of_data_centres_agree_again():
    fleet = start(LARGE)
    for router in fleet.routers.values():
        router.running = 2
    fleet.cut = {
        (one, other)
        for one, a in fleet.routers.items()
        for other, b in fleet.routers.items()
        if (a.entry.data_centre == "a") != (b.entry.data_centre == "a")
    }
    fleet.run(5.0)
    assert fleet.routers["r0"].count_others() == 2 * (LARGE // 3 - 1)
    fleet.cut = set()
    fleet.run(SETTLED_S)
    assert fleet.find_wrong() == {}


def test_messages_of_a_router_do_not_grow_with_the_square_of_the_fleet():
    fleet = start(LARGE)
    before = sum(router.sent for router in fleet.routers.values())
    fleet.run(2.0)
    sent = sum(router.sent for router in fleet.routers.values()) - before
    # Direct reports every 40 ms would take 725 a second and router.
    assert sent / 2.0 / LARGE < 100


def test_parts_that_come_by_themselves_leave_a_peers_work_as_it_was():
    router = in_process_router.InProcessRouter([makers.make_target("t")])
    kinds = messages.ReportKind
    load = messages.TargetLoad("t", 100.0, 2, 0.0, 0.0)
    for kind, loads in ((kinds.GROUP, (load,)), (kinds.PARTS, ())):
        report = messages.LoadReport(1, 1, 1, 1, False, True, kind, loads)
        router.dispatcher.apply_report("peer", report)
    now = router.dispatcher.clock.monotonic()
    assert router.dispatcher.loads.total("t", now).running == 2


def test_in_a_large_fleet_a_router_is_not_silent_between_two_reports():
    fleet = report_fleet.Fleet(1)
    router = fleet.routers["r0"]
    for number in range(260):
        entry = dataclasses.replace(router.entry, name=f"x{number}")
        router.peers.put(entry)
    presence = messages.LoadReport(
        1, 1, 1, 1, False, True, messages.ReportKind.PRESENCE
    )
    router.peers.note_report("x7", presence)
    fleet.clock.advance(router.peers.min_interval_s * 1.5)
    serving = [entry.name for entry in router.peers.find_serving()]
    assert serving == ["x7"]
    fleet.clock.advance(router.peers.min_interval_s * 1.5)
    assert router.peers.find_serving() == []


def test_the_last_part_of_a_prompt_is_left_out_of_a_large_fleets_reports():
    router = in_process_router.InProcessRouter([makers.make_target("t")])
    request = makers.make_request("r", ("shared", 500), ("own", 100))

    async def place():
        await router.dispatcher.place(request)

    asyncio.run(place())
    (part,) = router.dispatcher.take_placed(include_last=False)
    assert part.prefix == "shared"
    asyncio.run(place())
    parts = router.dispatcher.take_placed(include_last=True)
    assert [part.prefix for part in parts] == ["shared", "own"]
