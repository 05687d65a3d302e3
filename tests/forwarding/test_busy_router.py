"""A workspace whose callers all use one router, which is busy with them.

Passes over the queue of such a router are further apart than the short wait
of requests whose workspace has had its fair share.
"""

import dataclasses
import types

import pytest

from lentilbeam_core import messages
from lentilbeam_core.forwarding import decisions as decisions_lib
from lentilbeam_core.forwarding import load_bounds
from lentilbeam_core.forwarding import shares
from tests.forwarding import makers
from tests.forwarding import test_overload

PASS_INTERVAL_S = 0.1
"""Time between two passes, in seconds: twice the short wait."""
GUARANTEED_PER_S = 1.0
SHORT = 100
TOO_LONG = 700_000
"""Prompt tokens that no engine can read within the goal."""
UNREAD = 9_000.0
"""Prompt tokens that an engine reads in a tenth of the goal. An engine with a
shorter backlog takes prompts of any length."""
ENGINES = [makers.make_target("a"), makers.make_target("b")]
BUSY_ENGINES = tuple(
    messages.TargetLoad(engine.name, UNREAD, 2, 0.0, 0.0) for engine in ENGINES
)
LARGE_POOL = [makers.make_target(f"t{number}") for number in range(45)]


def make_queue(*workspaces):
    """Returns a queue of workspaces that have had their fair shares."""
    queue = makers.make_admission()
    queue.guaranteed_per_s = GUARANTEED_PER_S
    for workspace in workspaces:
        queue.usage.note_asked(workspace, 20_000_000.0, 0.0)
        queue.usage.note_served(workspace, 10_000_000.0, 0.0)
        status = queue.usage.find_share_status(workspace, GUARANTEED_PER_S, 0.0)
        assert status is not shares.ShareStatus.BELOW_GUARANTEE
    for workspace in workspaces:
        queue.usage.levels_updated_at = -1.0
        status = queue.usage.find_share_status(workspace, GUARANTEED_PER_S, 0.0)
        assert status is shares.ShareStatus.AT_FAIR_SHARE
    return queue


def enqueue(queue, name, tokens, workspace="ashby"):
    """Adds a request that arrives at time 0."""
    parts = ((f"{name}.part", tokens),)
    queue.enqueue(makers.make_request(name, *parts, workspace=workspace), 0.0)


def run_pass(queue, now, engines=ENGINES, loads=BUSY_ENGINES):
    """Runs a pass beside the given loads of peers; returns the decisions."""
    queue.placer.loads.apply_report("peer", loads, now)
    return {
        decision.request.request_id: decision
        for decision in queue.decide(engines, now)
    }


def run_passes(queue, until, engines=ENGINES, loads=BUSY_ENGINES):
    """Runs passes until a time; returns the decisions by request."""
    decisions = {}
    now = PASS_INTERVAL_S
    while now < until:
        decisions |= run_pass(queue, now, engines, loads)
        now += PASS_INTERVAL_S
    return decisions


def list_placed(decisions):
    return {
        name
        for name, decision in decisions.items()
        if isinstance(decision, decisions_lib.Placed)
    }


# Guards against FAIR: a busy router that refuses most of its queue because two
# of the oldest requests and the newest found no room.
def test_each_request_of_a_long_queue_is_tried_before_it_is_refused():
    queue = make_queue("ashby")
    short = {f"short{number}" for number in range(5)}
    for number in range(2):
        enqueue(queue, f"long{number}", TOO_LONG)
    for name in sorted(short):
        enqueue(queue, name, SHORT)
    enqueue(queue, "long2", TOO_LONG)
    decisions = run_passes(queue, makers.CHAT.goal_s)
    assert list_placed(decisions) == short
    assert all(decisions[f"long{number}"].tries for number in range(3))


# Guards against FAIR: a busy router that refuses the requests of workspaces
# that a pass did not get to.
def test_workspaces_that_a_pass_leaves_out_are_tried_before_they_are_refused():
    names = [f"w{number}" for number in range(24)]
    queue = make_queue(*names)
    for number, name in enumerate(names):
        # The pass begins with those that have received least.
        queue.usage.note_served(name, 1000.0 * number, 0.0)
    short = set(names[20:])
    for name in names:
        enqueue(queue, name, SHORT if name in short else TOO_LONG, name)
    decisions = run_passes(queue, makers.CHAT.goal_s)
    assert list_placed(decisions) == short
    assert all(decisions[name].tries for name in names[:20])


# Guards against FAIR: a busy router that refuses after it has looked at a
# sample of the engines, while another one is idle.
def test_request_is_not_refused_while_an_engine_beyond_the_sample_is_idle():
    queue = make_queue("ashby")
    running = round(
        LARGE_POOL[0].slots * load_bounds.AT_FAIR_SHARE_BOUNDS.slots_fraction
    )
    full = tuple(
        messages.TargetLoad(target.name, UNREAD, running + 1, 0.0, 0.0)
        for target in LARGE_POOL[:-1]
    )
    names = {f"r{number}" for number in range(3)}
    for name in sorted(names):
        enqueue(queue, name, SHORT)
    decisions = run_passes(queue, makers.CHAT.goal_s, LARGE_POOL, full)
    assert list_placed(decisions) == names


# Guards against FAIR: requests that are kept until they are tried, and then
# for longer, so that their callers can't come back within the goal.
def test_request_that_was_tried_in_vain_is_refused_after_the_short_wait():
    queue = make_queue("ashby")
    for number in range(3):
        enqueue(queue, f"long{number}", TOO_LONG)
    assert run_pass(queue, 0.01) == {}
    refused = run_pass(queue, queue.settings.at_fair_share_wait_s + 0.01)
    assert [decision.reason for decision in refused.values()] == [
        decisions_lib.RefusalReason.NO_ROOM
    ] * 3


# Guards against FAIR mended at the cost of late answers: untried requests that
# wait for as long as the queue is.
@pytest.mark.parametrize("workspaces", [1, 60])
def test_no_request_waits_beyond_its_waiting_time(workspaces):
    names = [f"w{number}" for number in range(workspaces)]
    queue = make_queue(*names)
    for number in range(120):
        enqueue(queue, f"r{number}", TOO_LONG, names[number % workspaces])
    refuse_at = max(
        queued.refuse_at
        for waiting in queue.queues.values()
        for queued in waiting
    )
    decisions = run_passes(queue, refuse_at) | run_pass(queue, refuse_at)
    assert len(decisions) == 120
    assert queue.count_waiting() == 0
    assert list_placed(decisions) == set()


# Guards against FAIR: a router that refuses the workspaces that are owed by an
# estimate of what it has begun, while little runs.
@pytest.mark.parametrize("late_s", [0.06, 0.2])
def test_ended_requests_do_not_let_a_router_refuse_an_owed_workspace(late_s):
    found, clock = test_overload.make_overload(0.0)
    # Busy all the time.
    found.poll_times = types.SimpleNamespace(busy_s=clock.monotonic())
    load = found.load = test_overload.make_loaded(0, 1.0)
    found.note_lateness(clock.monotonic(), 0)
    for _ in range(60):
        load.note_begun(clock.monotonic())
        load.note_ended(clock.monotonic())
    clock.advance(0.01)
    now = found.poll_times.busy_s = clock.monotonic()
    found.note_lateness(now - late_s, 0)
    assert load.busy_fraction >= load.settings.busy_fraction
    request = makers.make_request("r", ("p", 10), now=now)
    assert not found.is_too_late_for(request, lambda: False)
    assert found.can_finish(request)


# Guards against FAIR: a busy router that spends its time on looks at full
# engines, one by one for each request of its queue.
def test_pass_over_a_long_queue_looks_at_each_full_engine_few_times():
    queue = make_queue("ashby", "birch")
    full = tuple(
        dataclasses.replace(BUSY_ENGINES[0], target=target.name, recent=1e6)
        for target in LARGE_POOL
    )
    for number in range(40):
        name = "ashby" if number % 2 else "birch"
        enqueue(queue, f"r{number}", SHORT, name)
    looks = []
    total = queue.placer.loads.total

    def count_look(target, now):
        looks.append(target)
        return total(target, now)

    queue.placer.loads.total = count_look
    assert run_pass(queue, 0.01, LARGE_POOL, full) == {}
    assert len(looks) <= 2 * len(LARGE_POOL)
