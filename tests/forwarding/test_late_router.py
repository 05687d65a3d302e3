"""A router that gets more requests than its processor can handle.

Pattern: users of one data centre send ten times what its routers can process,
over few connections, so that a few routers get most of it. A router must refuse
what it can't do in time instead of stalling, and send callers elsewhere.
"""

import asyncio
import collections

import pytest

from lentilbeam_core import rendezvous
from lentilbeam_core.forwarding import lateness as lateness_lib
from lentilbeam_platform import directory
from lentilbeam_router import addresses
from lentilbeam_router.forwarding import turns
from tests.forwarding import fake_target
from tests.forwarding import in_process_router
from tests.forwarding import makers
from tests.forwarding import test_forwarding

Level = lateness_lib.Level
REQUEST_S = 0.007
"""Processor time of a request that is forwarded."""
REFUSAL_S = 0.0007
"""Processor time of a request that is refused at once."""
TICK_S = 0.04
MAX_TURN_S = turns.MAX_TURN_S


def make_arrivals(load, flood_s, calm_s):
    """Returns the times of the requests of a flood, see `simulate`."""
    arrivals = collections.deque()
    at = 0.0
    while at < flood_s + calm_s:
        arrivals.append(at)
        at += REQUEST_S / (load if at < flood_s else 0.5)
    return arrivals


def simulate(load, flood_s, sheds=True, calm_s=4.0):
    """Runs an event loop of one router in virtual processor time.

    Args:
        load: requests sent during the flood, relative to what the router can
            process.
        flood_s: length of the flood, in seconds; half of the load follows.
        sheds: whether the router refuses requests while it is late.
        calm_s: length of the time after the flood, in seconds.

    Returns:
        For each accepted request, when it arrived and how long it waited, in
        seconds, and the times at which the router was late.
    """
    lateness = lateness_lib.Lateness(lateness_lib.Settings())
    now = 0.0
    next_tick = TICK_S
    arrivals = make_arrivals(load, flood_s, calm_s)
    accepted = []
    late_at = []
    waiting = collections.deque()
    longest_turn_s = 0.0
    while arrivals or waiting:
        # One turn of the loop: requests that wait, then sockets and timers.
        began_at = now
        while waiting and now - began_at <= MAX_TURN_S:
            arrived_at, read_at = waiting.popleft()
            if read_at < began_at:
                lateness.note_timer(read_at, now)
            if lateness.level is not Level.ON_TIME:
                late_at.append(now)
                if sheds:
                    now += REFUSAL_S
                    continue
            accepted.append((arrived_at, now - arrived_at))
            now += REQUEST_S
        longest_turn_s = max(longest_turn_s, now - began_at)
        while arrivals and arrivals[0] <= now:
            waiting.append((arrivals.popleft(), now))
        if now >= next_tick:
            lateness.note_timer(next_tick, now)
            next_tick = now + TICK_S
            if lateness.level is not Level.ON_TIME:
                late_at.append(now)
        if not waiting:
            now = min(arrivals[0] if arrivals else now, next_tick)
    assert longest_turn_s <= MAX_TURN_S + REQUEST_S
    return accepted, late_at


@pytest.mark.parametrize("load", [1.5, 3.0, 10.0])
def test_accepted_requests_never_wait_long(load):
    accepted, _ = simulate(load, flood_s=10.0)
    assert max(waited_s for _, waited_s in accepted) < 1.0
    stalled, _ = simulate(load, flood_s=10.0, sheds=False)
    assert max(waited_s for _, waited_s in stalled) > 3.0


@pytest.mark.parametrize("load", [1.5, 3.0])
def test_router_serves_nearly_as_much_as_it_could_under_a_flood(load):
    accepted, _ = simulate(load, flood_s=10.0)
    served_fraction = sum(at < 10.0 for at, _ in accepted) * REQUEST_S / 10.0
    # The rest of the requests are refused, which takes time, too.
    offered = load / REQUEST_S
    best_per_s = (1 - offered * REFUSAL_S) / (REQUEST_S - REFUSAL_S)
    assert served_fraction >= 0.95 * min(best_per_s * REQUEST_S, 1.0)


def test_router_is_on_time_within_two_seconds_of_the_end_of_a_flood():
    _, late_at = simulate(10.0, flood_s=5.0)
    assert late_at
    assert max(late_at) < 7.0


def make_late(late_s):
    lateness = lateness_lib.Lateness(lateness_lib.Settings())
    lateness.note_timer(1.0, 1.0 + late_s)
    return lateness


def test_short_pauses_of_the_processor_are_not_lateness():
    assert make_late(0.1).level is Level.ON_TIME
    assert make_late(0.2).level is Level.LATE
    assert make_late(0.5).level is Level.STALLED


def test_callers_are_sent_to_a_router_again_once_it_keeps_up():
    lateness = make_late(0.5)
    assert not lateness.takes_callers(1.5)
    now = 1.5
    while not lateness.takes_callers(now):
        now += TICK_S
        lateness.note_timer(now, now)
    assert 1.0 < now - 1.5 < 2.0


def test_router_that_falls_behind_asks_callers_to_connect_elsewhere():
    """A flood on kept connections must not stay at the router it met first."""

    async def scenario(router, _):
        kept = await router.call(path="/look/1")
        router.gateway.takes_callers = False
        return kept, await router.call(path="/look/1")

    script = fake_target.make_script(fake_target.make_response(b"done"))
    kept, closed = test_forwarding.run([script], scenario)
    assert (kept.status, closed.status) == (200, 200)
    assert b"connection" not in kept.headers
    assert closed.headers[b"connection"] == b"close"


ADDRESSES = [addresses.Address(f"10.0.0.{n}", 8000) for n in range(66)]


def test_callers_of_one_workspace_do_not_all_meet_the_same_router():
    """Pattern: all callers of a workspace prefer one of common addresses."""
    met = collections.Counter(
        rendezvous.choose(
            "workspace",
            (
                address.host
                for address in directory.choose_addresses(
                    ADDRESSES, f"100.65.0.{n}"
                )
            ),
        )
        for n in range(70)
    )
    assert max(met.values()) <= 70 / 3
    assert len(met) >= 5


def test_addresses_of_a_caller_change_only_with_the_routers():
    found = directory.choose_addresses(ADDRESSES, "100.65.0.1")
    assert len(found) == directory.MAX_ADDRESSES
    without_one = [a for a in reversed(ADDRESSES) if a != found[0]]
    changed = directory.choose_addresses(without_one, "100.65.0.1")
    assert set(found) - set(changed) == {found[0]}


def test_small_fleet_gives_all_addresses():
    assert directory.choose_addresses(ADDRESSES[:7], "c") == ADDRESSES[:7]


def test_request_at_a_busy_router_is_refused_with_a_retry_delay():
    router = in_process_router.InProcessRouter([makers.make_target("t")])
    router.gateway.is_too_late_for = lambda request: True
    response = asyncio.run(router.call(path="/look/1"))
    assert response.status == 503
    assert 0.2 <= float(response.headers[b"retry-after"]) <= 0.7
    assert response.headers[b"connection"] == b"close"
    assert b'"reason":"router_busy"' in router.read_log()
    # The refused request counts in what its workspace has asked for.
    assert router.dispatcher.usage.asked
