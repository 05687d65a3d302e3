"""What a router does for a request costs the same under a flood.

Pattern: three workspaces send 4 to 12 times their usual to the routers of one
data centre until all engines are full. The passes over the queue then must not
grow with its length, since a router that stalls sends on what its callers have
long given up.
"""

import asyncio
import itertools

import hypothesis
from hypothesis import strategies
import pytest

from lentilbeam_core import messages
from lentilbeam_core.forwarding import admission
from lentilbeam_core.forwarding import decisions as decisions_lib
from lentilbeam_core.forwarding import placement
from lentilbeam_router.forwarding import dispatcher as dispatcher_lib
from tests.forwarding import in_process_router
from tests.forwarding import makers

TARGETS = [makers.make_target(f"t{n}", slots=32) for n in range(45)]
FULL_LOADS = tuple(
    messages.TargetLoad(target.name, 0.0, 32, 0.0, 0.0) for target in TARGETS
)
BUSY_LOADS = tuple(
    messages.TargetLoad(target.name, 90_000.0, 8, 0.0, 90_000.0)
    for target in TARGETS
)
"""Targets with free slots that have too much to read for any goal."""


class CountingPlacer(placement.Placer):
    """A placer that counts the calls of `choose`."""

    def __init__(self, placer: placement.Placer):
        vars(self).update(vars(placer))
        self.choices = 0

    def choose(self, request, targets, bounds, now):
        """Counts the call."""
        self.choices += 1
        return super().choose(request, targets, bounds, now)


def make_flooded(loads, workspaces: int, length: int):
    """Returns an admission queue with waiting requests, and its placer."""
    placer = CountingPlacer(makers.make_placer())
    placer.loads.apply_report("peer", loads, 0.0)
    queue = makers.make_admission(placer)
    for workspace, n in itertools.product(range(workspaces), range(length)):
        request = makers.make_request(
            f"r{workspace}-{n}", ("p", 9000), workspace=f"w{workspace}"
        )
        queue.enqueue(request, 0.0)
    return queue, placer


MAX_CANDIDATES = (
    admission.MAX_OLDEST_CANDIDATES + admission.MAX_NEWEST_CANDIDATES
)


@pytest.mark.parametrize("workspaces", [6, 30, 300])
@pytest.mark.parametrize("length", [3, 30])
def test_pass_over_full_targets_tries_no_request(workspaces, length):
    queue, placer = make_flooded(FULL_LOADS, workspaces, length)
    assert queue.decide(TARGETS, 0.01) == []
    assert placer.choices == 0


@pytest.mark.parametrize("workspaces", [6, 30, 300])
def test_pass_over_busy_targets_tries_a_bounded_number(workspaces):
    queue, placer = make_flooded(BUSY_LOADS, workspaces, 30)
    assert queue.decide(TARGETS, 0.01) == []
    most = admission.MAX_FAILED_CHOICES + MAX_CANDIDATES
    assert placer.choices <= most


def test_each_workspace_has_its_turn_within_a_few_passes():
    queue, placer = make_flooded(BUSY_LOADS, 30, 3)
    queue.enqueue(makers.make_request("r", ("q", 10), workspace="z"), 0.0)
    passes = 0
    decisions = []
    while not decisions:
        passes += 1
        # The first target has time for a short prompt, but not for a long one.
        free = messages.TargetLoad("t0", 40_000.0, 8, 0.0, 20_000.0)
        placer.loads.apply_report("peer", (free, *BUSY_LOADS[1:]), 0.0)
        decisions = queue.decide(TARGETS[:5], 0.001 * passes)
    assert [d.request.workspace for d in decisions] == ["z"]
    assert passes <= 7


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 2.0), strategies.floats(0.01, 1.0)
        ),
        min_size=1,
        max_size=30,
    )
)
def test_no_request_is_placed_after_its_deadline(arrivals):
    queue = makers.make_admission()
    targets = [makers.make_target("t", slots=2)]
    for n, (arrived_at, allowed_s) in enumerate(arrivals):
        request = makers.make_request(
            f"r{n}",
            ("p", 100),
            workspace=f"w{n % 3}",
            now=arrived_at,
            deadline_at=arrived_at + allowed_s,
        )
        queue.enqueue(request, arrived_at)
    # A router that was paused looks at its queue late.
    now = 2.0
    decisions = queue.decide(targets, now)
    for decision in decisions:
        if isinstance(decision, decisions_lib.Placed):
            assert decision.request.deadline_at > now
    waiting = [q.request for w in queue.queues.values() for q in w]
    assert all(request.deadline_at > now for request in waiting)


class SlowClock:
    """A clock that a pass over the queue advances.

    Attributes:
        now: monotonic seconds.
    """

    def __init__(self):
        self.now = 100.0

    def monotonic(self) -> float:
        """Returns `now`."""
        return self.now


def test_slow_passes_leave_most_of_the_time_to_other_work(monkeypatch):
    """On half a core, each event of a stream called for a pass of 30 ms."""
    router = in_process_router.InProcessRouter([makers.make_target("t")])
    dispatcher = router.dispatcher
    clock = dispatcher.clock = SlowClock()
    passes = 0

    def decide_slowly(*_):
        nonlocal passes
        passes += 1
        clock.now += 0.03
        return []

    monkeypatch.setattr(dispatcher.admission, "decide", decide_slowly)

    async def flood():
        request = makers.make_request("r", ("p", 100), now=clock.now)
        dispatcher.admission.enqueue(request, clock.now)
        until = clock.now + 3.0
        while clock.now < until:
            dispatcher.decide()
            clock.now += 0.001
        dispatcher.timer.cancel()

    asyncio.run(flood())
    most = 3.0 * dispatcher_lib.MAX_PASS_TIME_FRACTION / 0.03
    assert 0.8 * most <= passes <= most + 1
