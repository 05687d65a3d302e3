"""Connections of routers to targets in a large fleet.

Pattern: 61 routers send eight requests a second each to 33 targets, which close
connections that are idle for 3 or 5 s.
"""

import asyncio
import math

import pytest

from lentilbeam_core.forwarding import configuration
from lentilbeam_core.forwarding import connection_preference
from lentilbeam_core.forwarding import load_bounds
from tests.forwarding import connection_fleet
from tests.forwarding import fake_target
from tests.forwarding import makers
from tests.forwarding import test_forwarding

ROUTERS = 61
STREAMS = connection_fleet.Traffic(
    (makers.CHAT,), 4.0, 1.5, 20, connection_fleet.ENGINE
)
CALLS = connection_fleet.Traffic((makers.LOOK_UP, makers.BOOK), 4.0, 0.05, 13)


def run_fleets(is_preferring, keep_alive_s):
    """Returns the fleets of two pools after some seconds of usual load."""
    fleets = [
        connection_fleet.Fleet(ROUTERS, traffic, keep_alive_s, is_preferring)
        for traffic in (STREAMS, CALLS)
    ]
    for fleet in fleets:
        asyncio.run(fleet.run(seconds=12.0, counted_from_s=6.0))
    return fleets


def count_new(fleets):
    """Returns the new connections for each request."""
    return sum(f.new for f in fleets) / sum(f.sent for f in fleets)


# Guards against a new connection for most requests, which costs the targets
# time and the requests round trips. Without the preference it is one for two.
@pytest.mark.parametrize("keep_alive_s", [3, 5])
def test_new_connections_are_fewer_than_one_for_ten_requests(keep_alive_s):
    fleets = run_fleets(True, keep_alive_s)
    assert count_new(fleets) < 0.1
    for fleet in fleets:
        mean = fleet.sent / len(fleet.targets)
        assert max(fleet.chosen.values()) < 1.5 * mean
        assert fleet.most_open < connection_fleet.MAX_CONNECTIONS
    assert count_new(run_fleets(False, keep_alive_s)) > 0.5


def make_preference(routers=ROUTERS, max_connections=620, idle_s=None):
    """Returns the preference of a router with one idle connection, to "a"."""
    placer = makers.make_placer()
    preference = placer.connections
    preference.pool = configuration.Pool(
        makers.POOL, max_connections, makers.ENGINE
    )
    preference.count_routers = lambda: routers
    preference.has_idle = lambda name, longest_s: (
        name == "a" and idle_s is not None and idle_s <= longest_s
    )
    return placer, preference


TARGETS = [
    makers.make_target("a", started_at_ms=1),
    makers.make_target("b", started_at_ms=1),
]


# Guards against a change for deployments that need none: small fleets, and
# services whose connections the operators do not limit.
@pytest.mark.parametrize(("routers", "limit"), [(16, 620), (61, 0)])
def test_nothing_is_preferred_in_small_fleets_or_without_a_limit(
    routers, limit
):
    _, preference = make_preference(routers, limit, idle_s=0.1)
    request = makers.make_request("r", ("p", 10))
    assert preference.estimate_cost(request, TARGETS[1]) == 0.0
    assert preference.find_longest_idle(is_retryable=False) == 0.0
    assert preference.find_longest_idle(is_retryable=True) == math.inf
    assert preference.find_max_idle() is None


# Guards against requests that wait at a busy target for the sake of its
# connection: the preference is worth no more than the connection.
@pytest.mark.parametrize(
    ("backlog_s", "expected"), [(0.0, "a"), (0.015, "a"), (0.03, "b")]
)
def test_connection_outweighs_no_longer_wait(backlog_s, expected):
    placer, _ = make_preference(idle_s=0.1)
    now = 0.0
    placer.loads.start_request("other", "a", backlog_s * 90_000, 0.0, now)
    placer.loads.start_request("another", "b", 0.0, 0.0, now)
    chosen = placer.choose(
        makers.make_request("r", ("p", 10)),
        TARGETS,
        load_bounds.BELOW_GUARANTEE_BOUNDS,
        now,
    )
    assert chosen.target.name == expected


# Guards against requests that must not run twice on connections that may have
# been closed unnoticed.
def test_requests_that_must_not_run_twice_get_fresh_connections_only():
    booking = makers.make_request("r", route=makers.BOOK)
    for idle_s, is_costly in ((0.5, False), (2.0, True)):
        _, preference = make_preference(idle_s=idle_s)
        cost_s = preference.estimate_cost(booking, TARGETS[0])
        assert (cost_s > 0) is is_costly
    assert preference.find_longest_idle(False) == connection_preference.FRESH_S


# Guards against idle connections that together exceed what a target accepts.
def test_router_keeps_its_part_of_the_connections_of_a_target():
    _, preference = make_preference()
    assert preference.find_max_idle() == 620 // ROUTERS
    _, preference = make_preference(routers=2500)
    assert preference.find_max_idle() == 2


# Guards against a failure for the caller, and a doubt whether the request ran,
# if the target has closed an idle connection that is about to be used.
def test_connection_that_was_closed_meanwhile_is_replaced():
    async def scenario(router, targets):
        await router.call(path="/look/1")
        (idle,) = router.pool.idle[targets[0].entry.name]
        acquire = router.pool.acquire

        async def acquire_late(target, longest_idle_s):
            connection = await acquire(target, longest_idle_s)
            if connection is idle:
                connection.close()
            return connection

        router.pool.acquire = acquire_late
        second = await router.call(path="/look/1")
        return second.status, len(targets[0].heads), targets[0].connections

    script = fake_target.make_script(fake_target.make_response(b"done"))
    assert test_forwarding.run([script], scenario) == (200, 2, 2)
