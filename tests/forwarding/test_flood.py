"""A router that is flooded over new connections.

Pattern: the callers of a workspace connect to one router only, send it ten
times what it can process for 30 s, and come back at once when refused. To
accept and refuse their connections alone takes more than its processor has.
"""

import dataclasses
import itertools
import types

import pytest

from lentilbeam_core.forwarding import lateness
from lentilbeam_core.forwarding import overload_budget
from tests.forwarding import flooded_router
from tests.forwarding import makers
from tests.forwarding import overloaded_router
from tests.forwarding import test_overload

FLOOD_AT_S = 5
FLOOD_END_S = 35
CALM_S = 12
RECOVERY_S = 2
WINDOW_S = 6
USUAL = 0.6


def run_flood(
    seed,
    has_quota,
    waits_as_told=False,
    factor=10,
    usual_load=USUAL,
    end_s=FLOOD_END_S,
):
    """Returns a router `CALM_S` after the end of a flood.

    Args:
        seed: seed of the arrivals.
        has_quota: see `FloodedRouter`.
        waits_as_told: see `Workspace`.
        factor: load of the flood, relative to the capacity.
        usual_load: load before and after it, likewise.
        end_s: when it ends, in seconds.
    """
    usual = flooded_router.Workspace(
        "usual",
        [usual_load] * FLOOD_AT_S
        + [0.0] * (end_s - FLOOD_AT_S)
        + [usual_load] * CALM_S,
        has_had_fair_share=False,
    )
    flood = flooded_router.Workspace(
        "flood",
        [0.0] * FLOOD_AT_S + [factor] * (end_s - FLOOD_AT_S),
        waits_as_told=waits_as_told,
        ends_at_s=end_s,
    )
    router = flooded_router.FloodedRouter([usual, flood], seed, has_quota)
    router.run(end_s + CALM_S)
    return router


def find_on_time(router, from_s, to_s):
    """Returns the fraction of calls sent in a time that were on time."""
    sent = sum(from_s <= at < to_s for _, at in router.sent_calls)
    return router.count_on_time(from_s, to_s) / sent


# Guards against a router that refuses everything for as long as a flood lasts,
# since refusing keeps it late, and against one that stays overloaded after it.
@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("has_quota", [False, True])
@pytest.mark.parametrize("waits_as_told", [False, True])
def test_flooded_router_goes_on_serving(seed, has_quota, waits_as_told):
    router = run_flood(seed, has_quota, waits_as_told)
    served = router.find_least_served(FLOOD_AT_S, FLOOD_END_S, WINDOW_S)
    assert served >= 0.6
    recovered_at = FLOOD_END_S + RECOVERY_S
    assert max(router.refused_at) < recovered_at
    assert find_on_time(router, recovered_at, recovered_at + 8) >= 0.95


# Guards against a short overload that outlasts its cause, as `test_overload`
# does for the processor load alone.
@pytest.mark.parametrize("usual_load", [0.6, 0.75, 0.85])
@pytest.mark.parametrize("factor", [3, 6])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_router_recovers_from_a_short_flood(usual_load, factor, seed):
    end_s = FLOOD_AT_S + 4
    router = run_flood(seed, False, True, factor, usual_load, end_s)
    recovered_at = end_s + RECOVERY_S
    assert find_on_time(router, recovered_at, recovered_at + 8) >= 0.95


# Guards against limits that refuse a load that the processor can bear.
@pytest.mark.parametrize("seed", range(5))
def test_usual_load_is_not_refused(seed):
    usual = flooded_router.Workspace("usual", [0.85] * 20)
    router = flooded_router.FloodedRouter([usual], seed)
    router.run(20)
    assert not router.refused_at
    assert find_on_time(router, 0, 16) == 1.0


def run_flood_beside(factor, small_load, waits_as_told, seed=1):
    """Returns a router that one workspace floods beside another, small one."""
    flood = flooded_router.Workspace(
        "flood",
        [0.0] * FLOOD_AT_S + [factor] * (FLOOD_END_S - FLOOD_AT_S),
        waits_as_told=waits_as_told,
        ends_at_s=FLOOD_END_S,
    )
    small = flooded_router.Workspace(
        "small",
        [small_load] * FLOOD_END_S,
        waits_as_told=waits_as_told,
        has_had_fair_share=False,
    )
    router = flooded_router.FloodedRouter([flood, small], seed)
    router.run(FLOOD_END_S)
    return router


def count_served(router, workspace, to_s):
    """Returns the fraction of a workspace's calls that were served whole.

    Args:
        router: a router after a flood.
        workspace: name of the workspace.
        to_s: calls that were sent from `FLOOD_AT_S` to this time count.
    """
    sent = sum(
        name == workspace and FLOOD_AT_S <= at < to_s
        for name, at in router.sent_calls
    )
    first_s = flooded_router.FIRST_S
    served = sum(
        attempt.events == overloaded_router.EVENTS
        for attempt in router.begun
        if attempt.workspace.name == workspace
        and FLOOD_AT_S <= attempt.first_sent_at - first_s < to_s
    )
    return served / sent


# Guards against a flood that crowds out another workspace at the same router:
# its requests are to be served although its callers hardly get a connection.
@pytest.mark.parametrize("waits_as_told", [False, True])
def test_small_workspace_beside_a_flood_gets_what_it_asks_for(waits_as_told):
    router = run_flood_beside(10, 0.1, waits_as_told)
    complete_by = FLOOD_END_S - overloaded_router.TIMEOUT_S - RECOVERY_S
    assert count_served(router, "small", complete_by) >= 0.95


# Guards against a workspace that gets nothing because it floods.
@pytest.mark.parametrize("waits_as_told", [False, True])
def test_workspace_that_floods_gets_half_of_what_is_left(waits_as_told):
    small_load = 0.1
    router = run_flood_beside(10, small_load, waits_as_told)
    served = router.find_least_served(
        FLOOD_AT_S, FLOOD_END_S - RECOVERY_S, WINDOW_S, "flood"
    )
    assert served >= (1 - small_load) / 2


# Guards against requests that wait in the process until they are useless.
@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("has_quota", [False, True])
def test_little_work_waits_in_the_process(seed, has_quota):
    router = run_flood(seed, has_quota)
    refusal_s = overloaded_router.REFUSAL_S / overloaded_router.CORE_SHARE
    assert router.most_waiting * refusal_s <= 0.2


# Guards against a flooded router that accepts nobody although it says that it
# is ready: the shortest window in which that counts is 3 s.
def test_flooded_router_always_accepts_some_connections():
    router = run_flood(seed=1, has_quota=True)
    during = [t for t in router.accepted_at if FLOOD_AT_S < t < FLOOD_END_S]
    assert max(b - a for a, b in itertools.pairwise(during)) < 1.0


# Guards against a router that accepts nothing any more, because a pause of its
# processor made a refusal look dearer than all that refusals may take.
def test_pause_during_a_refusal_does_not_stop_the_router():
    budget = overload_budget.OverloadBudget(overload_budget.Settings())
    for _ in range(20):
        budget.note_refused(2.0)
    for _ in range(20):
        budget.note_accepted(10.0)
    assert budget.count_acceptable(0, 0.0, is_limited=True, now=10.0) == 0
    assert budget.count_acceptable(0, 0.0, is_limited=True, now=13.0) > 0


def is_refused(late_s, backlog_s, has_had_fair_share, goal_s=2.0):
    """Whether a late router refuses a request that has just arrived.

    Args:
        late_s: how late its timers fire, in seconds.
        backlog_s: work that it has begun and not finished, in seconds.
        has_had_fair_share: whether the workspace has had its fair share.
        goal_s: goal of the route, in seconds.
    """
    found, clock = test_overload.make_overload(late_s)
    now = clock.monotonic()
    found.load = types.SimpleNamespace(
        estimate_cost=lambda: 0.05,
        read_backlog=lambda now: backlog_s,
        find_level=lambda now: lateness.Level.ON_TIME,
    )
    route = dataclasses.replace(makers.CHAT, goal_s=goal_s)
    request = makers.make_request("r", now=now, route=route)
    return found.is_too_late_for(request, lambda: has_had_fair_share)


# Guards against a late router that begins nothing although it has time, and
# against one that begins more than it can finish.
@pytest.mark.parametrize("late_s", [0.2, 0.5])
def test_late_router_begins_what_it_can_finish(late_s):
    assert not is_refused(late_s, 0.5, True)
    assert is_refused(late_s, 1.2, True)
    assert not is_refused(late_s, 1.2, False)
    assert is_refused(late_s, 1.6, False)


# Guards against work for responses that can only be late.
def test_stalled_router_refuses_what_would_be_late():
    assert is_refused(0.5, 0.5, False, goal_s=0.4)
    assert not is_refused(0.2, 0.5, False, goal_s=0.4)


# Guards against a long accept queue, whose callers leave before they are read.
def test_accept_queue_is_as_long_as_what_is_accepted_soon():
    settings = overload_budget.Settings()
    budget = overload_budget.OverloadBudget(settings)
    budget.note_refused(0.001)
    rate = settings.refusal_share / budget.estimate_refusal_cost()
    expected = rate * settings.queue_s
    assert budget.find_queue_length(10.0) == int(expected)
