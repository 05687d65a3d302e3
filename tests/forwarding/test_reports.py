"""Exchange of load reports between routers, in fleets of up to 30 routers.

Every router must soon know the work of the whole fleet, whatever its size.
"""

import asyncio
import dataclasses

import pytest

from lentilbeam_core import ids
from lentilbeam_core import messages
from tests.forwarding import in_process_router
from tests.forwarding import makers
from tests.forwarding import report_fleet

LARGE_FLEET = 30
MAX_PROPAGATION_S = 0.3
"""Longest time until all routers know of a change: half of the shortest goal of
the callers' requests."""
CONVERGENCE_S = 4.0
"""Time after which all counts are correct again. A relay that sends nothing is
replaced after 0.5 s, a relay without members chooses another one after 1.5 s,
and the work that it reported before expires after 1.5 s."""


def start_fleet(count: int) -> report_fleet.Fleet:
    fleet = report_fleet.Fleet(count)
    fleet.run(CONVERGENCE_S)
    return fleet


@pytest.mark.parametrize("count", [1, 2, 7, 16, 17, LARGE_FLEET])
def test_each_router_learns_the_work_of_all_others_in_time(count):
    fleet = start_fleet(count)
    for number, router in enumerate(fleet.routers.values()):
        router.running = number + 1
    fleet.run(MAX_PROPAGATION_S)
    assert fleet.find_wrong_counts() == {}


def test_own_work_is_never_counted_twice_while_it_changes():
    fleet = start_fleet(LARGE_FLEET)
    router = next(iter(fleet.routers.values()))
    for step in range(40):
        router.running = (step * 7) % 11
        fleet.run(0.05)
        assert router.count_running_elsewhere() == 0


def test_usage_of_a_workspace_is_summed_over_all_routers():
    fleet = start_fleet(LARGE_FLEET)
    for router in fleet.routers.values():
        router.running = 2
    fleet.run(MAX_PROPAGATION_S)
    for router in fleet.routers.values():
        assert router.get_usage_elsewhere() == pytest.approx(
            2000.0 * (LARGE_FLEET - 1), rel=0.1
        )


# Guards against FAIR: a busy router read the sums of its relay late, and took
# what it had served itself for the service of others.
@pytest.mark.parametrize("read_delay_s", [0.0, 0.3, 0.6])
def test_own_usage_is_not_counted_twice_by_a_router_that_reads_late(
    read_delay_s,
):
    fleet = start_fleet(LARGE_FLEET)
    router = fleet.routers["r5"]
    router.running = 10
    router.read_delay_s = read_delay_s
    fleet.run(CONVERGENCE_S)
    assert router.get_usage_elsewhere() <= 0.05 * router.running * 1000.0


def test_placed_parts_reach_every_router():
    fleet = start_fleet(LARGE_FLEET)
    part = messages.PlacedPart("t", "p", 100)
    fleet.routers["r5"].placed.append(part)
    fleet.run(MAX_PROPAGATION_S)
    uninformed = [
        name
        for name, router in fleet.routers.items()
        if "p" not in router.received_parts and name != "r5"
    ]
    assert uninformed == []


# Guards against BUDGET: each router sees too few crashes to block a part.
@pytest.mark.parametrize("count", [7, LARGE_FLEET])
def test_crashes_seen_by_different_routers_block_a_part_at_all(count):
    fleet = start_fleet(count)
    parts = ["dead"]
    for name in ("r1", "r3", "r5"):
        process = (ids.TargetId(name), 1)
        now = fleet.clock.monotonic()
        evidence = fleet.routers[name].crash_evidence
        evidence.note_crash("x", parts, process, now, now)
        fleet.run(0.3)
    fleet.run(MAX_PROPAGATION_S)
    assert all(
        "dead" in router.crash_evidence.list_blocks()
        for router in fleet.routers.values()
    )
    fleet.routers["r2"].crash_evidence.note_answered(
        parts, fleet.clock.monotonic()
    )
    fleet.run(MAX_PROPAGATION_S)
    assert not any(
        router.crash_evidence.list_blocks() for router in fleet.routers.values()
    )


# Guards against BUDGET: a router that starts again has forgotten the part.
@pytest.mark.parametrize("count", [7, LARGE_FLEET])
def test_router_without_state_learns_blocks_from_reports(count):
    fleet = start_fleet(count)
    for router in fleet.routers.values():
        router.crash_evidence.put_block("dead", 1, fleet.clock.monotonic())
    fleet.run(5.0)
    fleet.routers["r5"].crash_evidence.blocks.clear()
    fleet.run(1.0)
    assert "dead" in fleet.routers["r5"].crash_evidence.list_blocks()


def test_placed_parts_that_need_several_reports_reach_every_router():
    fleet = start_fleet(LARGE_FLEET)
    for number, router in enumerate(fleet.routers.values()):
        router.placed = [
            messages.PlacedPart("t", f"p{number}.{n}", 100) for n in range(30)
        ]
    fleet.run(MAX_PROPAGATION_S)
    assert {len(r.received_parts) for r in fleet.routers.values()} <= {
        30 * LARGE_FLEET,
        30 * (LARGE_FLEET - 1),
    }


def test_lost_relay_is_replaced_and_its_work_is_no_longer_counted():
    fleet = start_fleet(LARGE_FLEET)
    for router in fleet.routers.values():
        router.running = 3
    fleet.find_relay("a").is_frozen = True
    fleet.run(CONVERGENCE_S)
    assert fleet.find_wrong_counts() == {}


def test_reports_of_other_data_centres_arrive_within_a_second_of_relay_loss():
    fleet = start_fleet(LARGE_FLEET)
    fleet.find_relay("a").is_frozen = True
    fleet.routers["r1"].running = 5
    fleet.run(1.0)
    uninformed = [
        router.entry.name
        for router in fleet.routers.values()
        if router.entry.data_centre == "a"
        and not router.is_frozen
        and router.count_running_elsewhere() != 5
    ]
    assert uninformed == []


def test_work_stays_counted_while_a_leaving_relay_is_replaced():
    fleet = start_fleet(LARGE_FLEET)
    for router in fleet.routers.values():
        router.running = 1
    relay = fleet.find_relay("b")
    fleet.run(MAX_PROPAGATION_S)
    relay.is_leaving = True
    relay.report_exchange.announce(
        report_fleet.report_exchange.Status(1, 1, True, True)
    )
    for _ in range(30):
        fleet.run(0.05)
        counts = [
            router.count_running_elsewhere()
            for router in fleet.routers.values()
            if router is not relay
        ]
        # For a short time, a member may be in the sums of both relays.
        assert min(counts) >= (LARGE_FLEET - 1) * 0.6
        assert max(counts) <= (LARGE_FLEET - 1) * 1.4
    assert fleet.find_relay("b") is not relay


def test_router_that_cannot_reach_its_relay_uses_another():
    fleet = start_fleet(LARGE_FLEET)
    relay = fleet.find_relay("c")
    member = next(
        router
        for router in fleet.routers.values()
        if router.entry.data_centre == "c" and router is not relay
    )
    names = (member.entry.name, relay.entry.name)
    fleet.blocked_links = {names, names[::-1]}
    for router in fleet.routers.values():
        router.running = 2
    fleet.run(CONVERGENCE_S)
    assert member.report_exchange.relays.current not in (None, relay.entry.name)
    assert fleet.find_wrong_counts() == {}


def test_counts_are_correct_again_after_a_partition():
    fleet = start_fleet(LARGE_FLEET)
    for router in fleet.routers.values():
        router.running = 2
    fleet.blocked_links = {
        (one, other)
        for one, a in fleet.routers.items()
        for other, b in fleet.routers.items()
        if (a.entry.data_centre == "a") != (b.entry.data_centre == "a")
    }
    fleet.run(5.0)
    assert fleet.routers["r0"].count_running_elsewhere() == 2 * (
        LARGE_FLEET // 3 - 1
    )
    fleet.blocked_links = set()
    fleet.run(CONVERGENCE_S)
    assert fleet.find_wrong_counts() == {}


def test_reports_sent_by_a_router_are_bounded_in_a_large_fleet():
    fleet = start_fleet(LARGE_FLEET)
    datagrams_before = sum(
        router.datagrams_sent for router in fleet.routers.values()
    )
    fleet.run(2.0)
    datagrams_sent = (
        sum(router.datagrams_sent for router in fleet.routers.values())
        - datagrams_before
    )
    # Reports every 40 ms to each of the 29 other routers would be 725
    # datagrams per second and router.
    assert datagrams_sent / 2.0 / LARGE_FLEET < 100


def test_report_of_parts_alone_does_not_change_the_load_of_a_peer():
    router = in_process_router.InProcessRouter([makers.make_target("t")])
    kinds = messages.ReportKind
    load = messages.TargetLoad("t", 100.0, 2, 0.0, 0.0)
    for kind, loads in ((kinds.GROUP, (load,)), (kinds.PARTS, ())):
        report = messages.LoadReport(1, 1, 1, 1, False, True, kind, loads)
        router.dispatcher.apply_report("peer", report)
    now = router.dispatcher.clock.monotonic()
    assert router.dispatcher.loads.total("t", now).running == 2


def test_peer_timeout_grows_with_the_report_interval_of_the_fleet():
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


def test_last_part_of_a_prompt_is_reported_only_if_requested():
    router = in_process_router.InProcessRouter([makers.make_target("t")])
    now = router.dispatcher.clock.monotonic()
    request = makers.make_request("r", ("shared", 500), ("own", 100), now=now)

    async def place():
        await router.dispatcher.place(request)

    asyncio.run(place())
    (part,) = router.dispatcher.take_placed(include_last=False)
    assert part.prefix == "shared"
    asyncio.run(place())
    parts = router.dispatcher.take_placed(include_last=True)
    assert [part.prefix for part in parts] == ["shared", "own"]
