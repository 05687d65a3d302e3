"""Cold targets: they get at most their rate from the whole fleet.

The bound counts the requests in any one second at a cold target, from the
moment at which it turns cold: 1.5 times the rate and 5.
"""

import asyncio
import dataclasses
import json
import random

import hypothesis
from hypothesis import strategies
import pytest

from lentilbeam_core import hash_ring
from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core import rendezvous
from lentilbeam_core.forwarding import cold_pace
from lentilbeam_core.forwarding import cold_targets
from lentilbeam_core.forwarding import loads as loads_lib
from lentilbeam_core.forwarding import work_sums
from lentilbeam_platform import node_file
from lentilbeam_platform import records
from lentilbeam_router import peer_codec
from tests.forwarding import gateway_fleet
from tests.forwarding import makers
from tests.forwarding import test_platform

PER_S = 17.0
MOST_IN_1_S = PER_S * 1.5 + 5
"""Rule FAILBACK with the figures of the known deployment."""
COLD_S = 4.0
MAX_READ_DELAY_S = 0.8
"""Longest pause between two reads of the targets' topic."""


def run(scenario, routers, targets=4, seed=1, load_per_s=120.0, asked=None):
    """Runs a scenario under load, with targets that write their entries.

    Args:
        scenario: gets the fleet when all targets are warm and loaded.
        routers: number of routers.
        targets: number of targets.
        seed: seed of the random times.
        load_per_s: requests per second.
        asked: the routers that get them; None for all.
    """

    async def main(fleet):
        writer = asyncio.ensure_future(
            fleet.write_entries(60.0, MAX_READ_DELAY_S)
        )
        await asyncio.sleep(3.0)
        loader = asyncio.ensure_future(fleet.load(load_per_s, 60.0, asked))
        await asyncio.sleep(2.0)
        await scenario(fleet)
        writer.cancel()
        loader.cancel()

    fleet = gateway_fleet.Fleet(
        routers, targets=targets, seed=seed, cold_per_s=PER_S
    )
    return fleet.run(main)


def turn_cold(fleet, *names, seconds=COLD_S):
    """Makes targets cold from now on, without telling anybody."""
    now = fleet.clock.monotonic()
    fleet.cold_from = now
    for name in names or list(fleet.targets):
        fleet.targets[name].cold_until = now + seconds


def check(fleet, *names):
    """Checks that no target got too many requests while it was cold."""
    for name in names or list(fleet.targets):
        target = fleet.targets[name]
        most = target.find_most_arrivals(
            1.0, fleet.cold_from, target.cold_until
        )
        assert most <= MOST_IN_1_S, name


async def restart(fleet, *names, away_s=0.7):
    """Crashes targets, which come back together, cold."""
    for name in names:
        fleet.targets[name].crash()
    await asyncio.sleep(away_s)
    turn_cold(fleet, *names)
    for name in names:
        target = fleet.targets[name]
        target.is_up = True
        target.born_ms += 1000
        # The first entry is read up to 2 s late.
        fleet.write_entry(name, 2.0)


# Guards against FAILBACK: 61 routers send one request each at the same time,
# or go on as before to a new process of a target.
@pytest.mark.parametrize("routers", [7, 61])
def test_restarted_target_gets_at_most_its_rate(routers):
    async def scenario(fleet):
        await restart(fleet, "t0")
        await asyncio.sleep(COLD_S)

    fleet = run(scenario, routers, load_per_s=160.0)
    check(fleet, "t0")
    assert fleet.targets["t0"].count_arrivals(fleet.cold_from, 1e9) >= 10


# Guards against FAILBACK: routers that start without state take what others
# use, or send to targets that they have not seen warm.
def test_rate_holds_while_most_of_61_routers_restart():
    async def scenario(fleet):
        await restart(fleet, "t0", "t1")
        for first in range(0, 60, 6):
            await asyncio.sleep(0.3)
            for number in range(first, first + 6):
                fleet.stop_router(f"r{number}")
                fleet.start_router(f"r{number}")
        await asyncio.sleep(COLD_S - 3.0)

    check(run(scenario, 61), "t0", "t1")


# Guards against FAILBACK: all routers are killed and start at once while a
# third of all targets is cold.
def test_rate_holds_when_all_routers_start_again():
    async def scenario(fleet):
        await restart(fleet, "t0", "t1")
        await asyncio.sleep(2.0)
        for name in list(fleet.gateways):
            fleet.stop_router(name)
            fleet.start_router(name)
        await asyncio.sleep(COLD_S - 2.0)

    check(run(scenario, 61, targets=6, load_per_s=200.0), "t0", "t1")


# Guards against FAILBACK: the process stays and turns cold again under load.
# Nobody can know it before the target writes its next entry.
@pytest.mark.parametrize("seed", [1, 2])
def test_target_that_turns_cold_again_gets_at_most_its_rate(seed):
    async def scenario(fleet):
        turn_cold(fleet, "t0")
        await asyncio.sleep(COLD_S)

    check(run(scenario, 61, seed=seed, load_per_s=240.0), "t0")


# Guards against FAILBACK: each side of a partition uses the whole rate.
def test_rate_holds_while_routers_are_parted():
    async def scenario(fleet):
        await restart(fleet, "t0", "t1", "t2", "t3")
        fleet.part(["r0", "r1", "r2"])
        await asyncio.sleep(2.0)
        fleet.heal()
        fleet.part(["r6"])
        await asyncio.sleep(COLD_S - 2.0)

    check(run(scenario, 7))


# Guards against idle capacity: the rate is not used while requests wait.
def test_rate_is_used_when_all_targets_are_cold():
    async def scenario(fleet):
        turn_cold(fleet, seconds=8.0)
        await asyncio.sleep(8.0)

    fleet = run(scenario, 7, targets=3)
    since = fleet.cold_from + 3.0
    for target in fleet.targets.values():
        assert target.count_arrivals(since, since + 5.0) >= 0.9 * 5.0 * PER_S
        assert target.find_most_arrivals(1.0, since) <= MOST_IN_1_S
    late = [
        r
        for r in fleet.results
        if r.status == 503 and r.ended_at - r.sent_at > 0.45
    ]
    assert not late


# Guards against idle capacity: parts lie unused at routers without callers.
def test_router_with_all_the_demand_uses_the_whole_rate():
    async def scenario(fleet):
        turn_cold(fleet, seconds=8.0)
        await asyncio.sleep(8.0)

    fleet = run(scenario, 7, targets=2, asked=["r3"])
    since = fleet.cold_from + 3.0
    for target in fleet.targets.values():
        assert target.count_arrivals(since, since + 5.0) >= 0.8 * 5.0 * PER_S
        assert target.find_most_arrivals(1.0, since) <= MOST_IN_1_S


# Guards against FAILBACK: a router believes that time alone warms a target
# while the store is down, and against targets that stay cold afterwards.
def test_cold_target_stays_so_while_the_store_is_down():
    async def scenario(fleet):
        await restart(fleet, "t0")
        await asyncio.sleep(2.5)
        fleet.is_store_up = False
        fleet.targets["t0"].cold_until += 6.0
        await asyncio.sleep(COLD_S + 2.0)
        fleet.is_store_up = True
        for gateway in fleet.gateways.values():
            gateway.store_returned("targets", True)
        fleet.warm_from = fleet.clock.monotonic() + 4.0
        await asyncio.sleep(6.0)

    fleet = run(scenario, 7)
    check(fleet, "t0")
    until = fleet.warm_from + 2.0
    got = fleet.targets["t0"].count_arrivals(fleet.warm_from, until)
    assert got > 2 * PER_S


# Guards against FAILBACK: all routers send at once to the idle targets of a
# data centre whose evacuation ends, which turned cold a moment before.
def test_targets_that_were_evacuated_get_at_most_their_rate():
    async def scenario(fleet):
        target = fleet.add_target("e0", data_centre=ids.DataCentreId("b"))
        fleet.evacuate("b")
        writer = asyncio.ensure_future(fleet._write_entries("e0", 0.8))
        await asyncio.sleep(4.0)
        turn_cold(fleet, "e0")
        fleet.withdraw_evacuation("b")
        await asyncio.sleep(COLD_S + 4.0)
        writer.cancel()
        fleet.since = target.cold_until + 2.5

    fleet = run(scenario, 27, targets=3)
    check(fleet, "e0")
    assert fleet.targets["e0"].count_arrivals(fleet.since, 1e9) > 20


# Guards against earlier deployments that are served differently.
def test_nothing_changes_in_pools_without_a_rate():
    async def scenario(fleet):
        turn_cold(fleet, seconds=60.0)
        writer = asyncio.ensure_future(fleet.write_entries(9.0, 0.8))
        await fleet.load(150.0, 5.0)
        writer.cancel()

    fleet = gateway_fleet.Fleet(4, targets=2).run(scenario)
    assert all(result.status == 200 for result in fleet.results[:-20])
    for target in fleet.targets.values():
        assert target.find_most_arrivals(1.0, 0.0) > 2 * PER_S


def test_fields_of_cold_targets_are_decoded():
    entry = json.dumps({**test_platform.SERVER, "cold_left_ms": 2500}).encode()
    assert records.decode_target("t", entry).cold_left_s == 2.5
    entry = json.dumps(test_platform.SERVER).encode()
    assert records.decode_target("t", entry).cold_left_s == 0.0
    config = json.loads(json.dumps(test_platform.CONFIG))
    config["services"][0] |= {"cold_start_s": 6, "cold_per_s": 17}
    found = records.decode_configuration(json.dumps(config).encode())
    pool = found.pools[config["services"][0]["name"]]
    assert (pool.cold_start_s, pool.cold_per_s) == (6.0, 17.0)
    bounds = {**test_platform.NODE.get("bounds", {}), "cold_excess": 2.0}
    settings = {**test_platform.NODE, "bounds": bounds}
    router = node_file.decode_node_file(json.dumps(settings).encode()).router
    assert router.cold == cold_pace.Settings(2.0, 5.0)


# Guards against news that get lost in sums or on the way.
def test_target_that_turned_cold_travels_in_reports_and_sums():
    (own,) = loads_lib.LoadTracker().export(0.0, {}, {}, {"t": 17})
    other = messages.TargetLoad("t", 5.0, 1, 0.0, 0.0)
    terms = [work_sums.Term(work_sums.Work((item,))) for item in (own, other)]
    (total,) = work_sums.sum_terms(terms, 1.0).loads
    report = messages.LoadReport(
        incarnation=1,
        sequence=1,
        version=1,
        targets_offset=1,
        leaving=False,
        is_ready=True,
        kind=messages.ReportKind.GROUP,
        loads=(total,),
    )
    _, decoded = peer_codec.decode(peer_codec.encode("router", report))
    assert decoded.loads[0].cold_start_ms == 17


SENDERS = strategies.lists(
    strategies.tuples(
        strategies.floats(0.0, 3.0),  # When it begins, in seconds.
        strategies.floats(0.01, 0.6),  # Time between two passes.
    ),
    min_size=1,
    max_size=72,
)


# Guards against FAILBACK: routers that wait send together, whatever the times
# at which they learn that a target is cold.
@hypothesis.given(SENDERS)
@hypothesis.settings(derandomize=True, deadline=None)
def test_no_second_has_more_than_the_margin_allows(senders):
    settings = cold_pace.Settings()
    sharers = settings.count_sharers(PER_S, len(senders))
    rng = random.Random(1)
    sent = []
    for begins_at, step_s in senders[:sharers]:
        pace = cold_pace.Pace(PER_S / sharers, -rng.random(), begins_at)
        now = begins_at
        while now < 12.0:
            pace.update(PER_S / sharers, now)
            if pace.may_send:
                pace.note_sent()
                sent.append(now)
            now += step_s
    for at in sent:
        assert sum(at <= other < at + 1.0 for other in sent) <= MOST_IN_1_S


# Guards against FAILBACK: more routers share a target than intended.
def test_each_target_has_its_number_of_sharers():
    names = [f"r{number}" for number in range(72)]
    ring = hash_ring.HashRing(names)
    counts = dict.fromkeys(names, 0)
    for target in range(33):
        key = int.from_bytes(rendezvous.score("cold", f"t{target}"))
        for name in ring.find(key, 8, lambda name: True):
            counts[name] += 1
    assert sum(counts.values()) == 33 * 8


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["cold", "warm", "listed", "broken", "down"]),
        strategies.integers(1, 2),
        strategies.floats(0.0, 1.0),
    ),
    max_size=20,
)


# Guards against FAILBACK: a process counts as warm that no record of its own
# has called so since its last connection broke or its last cold record.
@hypothesis.given(STEPS)
@hypothesis.settings(derandomize=True)
def test_only_a_new_record_makes_a_process_warm(steps):
    known = cold_targets.ColdTargets()
    warm = None
    broken = {1: -10.0, 2: -10.0}
    valid_from = now = 0.0
    for step, start_ms, pause_s in steps:
        now += pause_s
        if step == "cold":
            known.note_record("t", start_ms, 1.0, now)
            warm = None
        elif step == "listed":
            known.note_listed("t", start_ms, 0.0, now)
            warm = warm if warm == start_ms else None
        elif step == "broken":
            known.note_broken("t", start_ms, True, now)
            warm = None
            broken = {1: -10.0, 2: -10.0, start_ms: now}
        elif step == "down":
            known.note_store_returned(now)
            valid_from = now + cold_targets.REWRITE_S
        else:
            known.note_record("t", start_ms, 0.0, now)
            delay_s = cold_targets.MAX_RECORD_DELAY_S
            is_new = now >= max(broken[start_ms] + delay_s, valid_from)
            if is_new or warm != start_ms:
                warm = start_ms if is_new else None
        for other in (1, 2):
            if known.is_warm("t", other, now):
                assert other == warm


def test_entries_that_differ_only_in_the_time_left_are_equal():
    # Guards against a log line for each heartbeat of each target.
    entry = makers.make_target("t", cold_left_s=3.0)
    assert entry == dataclasses.replace(entry, cold_left_s=1.8)
