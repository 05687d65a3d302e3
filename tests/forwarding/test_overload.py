"""A router whose processor is overloaded for some seconds.

Pattern: routers on 0.12 of a core get three to six times what they can process
for four seconds. The streams that begin then need more than the processor has,
all of them are late, and refused callers come back.
"""

import asyncio
import itertools

import pytest

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import poll_times
from lentilbeam_core.forwarding import decisions
from lentilbeam_core.forwarding import lateness
from lentilbeam_core.forwarding import processor_load
from lentilbeam_router.forwarding import overload
from tests.forwarding import in_process_router
from tests.forwarding import makers
from tests.forwarding import overloaded_router

OVERLOAD_AT_S = 5
OVERLOADED_S = 4
CALM_S = 14
RECOVERY_S = 2
Level = lateness.Level


def run_overload(sheds_by_load, usual_load, overload_factor, seed=1):
    """Returns a router that was overloaded, and when it should be well again.

    Args:
        sheds_by_load: see `OverloadedRouter`.
        usual_load: load before and afterwards, relative to the capacity.
        overload_factor: load in between, likewise.
        seed: seed of the arrivals.
    """
    router = overloaded_router.OverloadedRouter(sheds_by_load, seed)
    router.run(
        [usual_load] * OVERLOAD_AT_S
        + [overload_factor] * OVERLOADED_S
        + [usual_load] * CALM_S
    )
    return router, OVERLOAD_AT_S + OVERLOADED_S + RECOVERY_S


# Shows the metastable overload: with lateness alone, a router serves nobody on
# time ten seconds after the cause is gone.
@pytest.mark.parametrize("usual_load", [0.6, 0.75, 0.85])
@pytest.mark.parametrize("overload_factor", [3, 6])
def test_lateness_alone_leaves_a_router_overloaded(usual_load, overload_factor):
    router, recovered_at = run_overload(False, usual_load, overload_factor)
    assert router.count_on_time(recovered_at, recovered_at + 8) < 0.1


# Guards against an overload that outlasts its cause.
@pytest.mark.parametrize("usual_load", [0.6, 0.75, 0.85])
@pytest.mark.parametrize("overload_factor", [3, 6])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_router_recovers_within_two_seconds(usual_load, overload_factor, seed):
    router, recovered_at = run_overload(True, usual_load, overload_factor, seed)
    assert router.count_on_time(recovered_at, recovered_at + 8) >= 0.95
    # Refusals serve as many in time as the processor allows beside them.
    during = router.count_on_time(OVERLOAD_AT_S, OVERLOAD_AT_S + OVERLOADED_S)
    assert during * overload_factor >= 0.3


# Guards against refusals on a quiet day: the limit must not act on a load that
# the processor can bear.
@pytest.mark.parametrize("seed", range(5))
def test_usual_load_is_not_refused(seed):
    router = overloaded_router.OverloadedRouter(True, seed)
    router.run([0.85] * 20)
    assert router.attempts == len(router.calls)
    assert router.count_on_time(0, 16) == 1.0


def make_loaded(begun, busy_fraction):
    """Returns the load of a router whose requests cost 0.1 s, as of 10 s."""
    load = processor_load.ProcessorLoad(processor_load.Settings())
    ticks = 100
    for tick in range(ticks + 1):
        now = 10.0 * tick / ticks
        load.note_busy(now * busy_fraction, now)
        load.note_begun(now)
        load.note_ended(now)
    for _ in range(begun):
        load.note_begun(10.0)
    return load


# Guards against refusals by a router that has time to spare, whatever it began.
def test_backlog_counts_only_while_the_processor_is_busy():
    assert make_loaded(60, 0.5).find_level(10.0) is Level.ON_TIME
    assert make_loaded(0, 1.0).find_level(10.0) is Level.ON_TIME
    assert make_loaded(45, 1.0).find_level(10.0) is not Level.ON_TIME
    assert make_loaded(90, 1.0).find_level(10.0) is Level.STALLED
    # The backlog drains at the rate of the processor.
    assert make_loaded(90, 1.0).find_level(25.0) is Level.ON_TIME


# Guards against refused callers that all return at once.
def test_refused_callers_are_told_times_at_which_they_can_be_served():
    load = make_loaded(90, 1.0)
    cost_s = load.estimate_cost()
    delays = [load.promise(10.0, 30.0) for _ in range(5)]
    gaps = [b - a for a, b in itertools.pairwise(delays)]
    assert delays[0] == pytest.approx(load.read_backlog(10.0))
    assert gaps == pytest.approx([cost_s] * 4)
    # A caller that would not return does not take the place of another.
    assert load.promise(10.0, 0.1) == pytest.approx(delays[-1] + cost_s)
    assert load.promise(10.0, 30.0) == pytest.approx(delays[-1] + cost_s)


def make_overload(late_s):
    """Returns the overload decisions of a router that is late, at 100 s."""
    clock = clock_lib.ManualClock(clock_lib.SystemClock().now())
    log = in_process_router.InProcessRouter([makers.make_target("t")])
    found = overload.Overload(
        poll_times.PollTimes(clock.monotonic()),
        clock,
        log.request_handler.log,
    )
    found.note_lateness(clock.monotonic() - late_s, 0)
    return found, clock


# Guards against work for answers that would be late: a late router sent on what
# had waited for longer than its goal.
def test_late_router_refuses_what_has_used_up_its_goal():
    found, clock = make_overload(late_s=0.2)
    now = clock.monotonic()
    fresh = makers.make_request("fresh", ("p", 10), now=now)
    stale = makers.make_request(
        "stale", ("p", 10), now=now - fresh.route.goal_s * 0.7
    )
    assert not found.is_too_late_for(fresh, lambda: False)
    assert found.is_too_late_for(fresh, lambda: True)
    assert found.is_too_late_for(stale, lambda: False)


# Guards against FAIR: callers who wait unread until their deadline at a router
# whose timers are on time, instead of being refused.
def test_router_that_leaves_requests_unread_is_late():
    found, clock = make_overload(late_s=0.0)
    found.note_unread(0.05)
    assert found.takes_callers
    found.note_unread(0.3)
    assert not found.takes_callers
    now = clock.monotonic()
    goal_s = makers.make_request("any", ("p", 10), now=now).route.goal_s
    waited = makers.make_request("r", ("p", 10), now=now - 0.7 * goal_s)
    assert found.is_too_late_for(waited, lambda: False)
    fresh = makers.make_request("fresh", ("p", 10), now=now)
    assert not found.is_too_late_for(fresh, lambda: False)


# Guards against callers of one busy router that are kept from the others.
def test_callers_return_soon_if_other_routers_keep_up():
    found, clock = make_overload(late_s=0.5)
    now = clock.monotonic()
    request = makers.make_request("r", ("p", 10), now=now)
    refused = decisions.Refused(
        request, decisions.RefusalReason.ROUTER_BUSY, 0.3
    )
    found.load = make_loaded(0, 1.0)
    found.load.promised_until = now + 9.0
    assert found.find_retry_delay(refused, can_retry_elsewhere=True) == 0.3
    assert found.find_retry_delay(refused, can_retry_elsewhere=False) >= 9.0


# Guards against requests that count as begun for ever.
def test_ended_requests_are_counted_however_they_end():
    router = in_process_router.InProcessRouter([])
    load = router.gateway.overload.load
    counted = []
    load.note_begun = lambda now: counted.append("begun")
    load.note_ended = lambda now: counted.append("ended")
    asyncio.run(router.call(path="/look/1"))
    assert counted == ["begun", "ended"]
