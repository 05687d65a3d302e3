"""Output that running streams have left, and placement by it."""

import dataclasses
import functools

import pytest

from bench.overload import fleet as fleet_lib
from bench.overload import patterns
from bench.overload import policies
from bench.overload import report
from lentilbeam_core import messages
from lentilbeam_core.forwarding import load_bounds
from lentilbeam_core.forwarding import work_sums
from tests.forwarding import makers

BOUNDS = load_bounds.BELOW_GUARANTEE_BOUNDS
PATTERNS = {pattern.name: pattern for pattern in patterns.PATTERNS}
POLICIES = {policy.name: policy for policy in policies.POLICIES}
EVENT_TOKENS = 7
ENGINE = dataclasses.replace(makers.ENGINE, event_tokens=EVENT_TOKENS)
TARGETS = [makers.make_target(f"t{n}") for n in range(12)]
MAX_TOKENS = 2_000


@functools.cache
def simulate(pattern: str, policy: str, seed: int):
    """Returns the results of a pattern on 15 engines."""
    fleet = fleet_lib.Fleet(
        PATTERNS[pattern],
        POLICIES[policy],
        fleet_lib.FleetSize(routers=9, engines=15, slots=32),
        seed,
    )
    return report.summarize(fleet, fleet.run(seed))


def make_request(name: str, now: float = 0.0):
    """Returns a request for a stream."""
    return makers.make_request(
        name, (name, 500), now=now, max_output_tokens=MAX_TOKENS
    )


def run_stream(placer, name: str, target, events: int, now: float):
    """Begins a stream at a target; returns what is left there after events."""
    request = make_request(name, now)
    placer.work_left.pool_size = len(TARGETS)
    held = placer.work_left.estimate_held(request, now)
    placer.loads.start_request(name, target, 500, held, now)
    placer.work_left.note_start(request, now)
    for number in range(1, events + 1):
        placer.work_left.note_events(name, number, now + number * 0.035)
    return placer.loads.total(target, now + 10).decode_s


def end_stream(placer, name: str, events: int | None, now: float):
    """Ends a stream."""
    placer.work_left.note_end(name, events, now)
    placer.loads.end_request(name)


def make_placer(events: int = 20):
    """Returns a placer that has seen whole streams of so many events."""
    placer = makers.make_placer(ENGINE)
    for number in range(20):
        run_stream(placer, f"s{number}", "t0", events, 0.0)
        end_stream(placer, f"s{number}", events, events * 0.035)
    return placer


# Guards against a stream that counts in full until it ends, against one whose
# end leaves a remainder, and against work that other routers do not see.
def test_what_is_left_falls_with_events_and_reaches_other_routers():
    placer = make_placer()
    left = {
        events: run_stream(placer, f"r{events}", f"t{events}", events, 10.0)
        for events in (0, 8, 16)
    }
    whole_s = 20 * EVENT_TOKENS * 0.005
    assert left[0] == pytest.approx(whole_s, rel=0.15)
    assert left[8] == pytest.approx(left[0] * 0.6, rel=0.15)
    assert left[16] == pytest.approx(left[0] * 0.2, rel=0.5)
    reported = tuple(placer.loads.export(20.0, {}, {}))
    (item,) = (item for item in reported if item.target == "t8")
    assert item.decode_s == pytest.approx(left[8])
    doubled = work_sums.sum_terms(
        [work_sums.Term(work_sums.Work(reported))] * 2, 4.0
    )
    peer = makers.make_placer(ENGINE)
    peer.loads.apply_report("relay", doubled.loads, 20.0)
    assert peer.loads.total("t8", 20.0).decode_s == pytest.approx(2 * left[8])
    end_stream(placer, "r8", None, 20.0)
    assert placer.loads.total("t8", 20.0).decode_s == pytest.approx(0.0)


# Guards against a choice by the count alone: as many streams are about to end
# at one target as have just begun at the others.
def test_target_whose_streams_end_soon_is_preferred():
    placer = make_placer()
    reports = tuple(
        messages.TargetLoad(
            entry.name, 0.0, 30, 0.0, 0.0, decode_s=3.0 if n == 5 else 30.0
        )
        for n, entry in enumerate(TARGETS)
    )
    placer.loads.apply_report("peer", reports, 1.0)
    placer.settings = dataclasses.replace(placer.settings, sampled_targets=12)
    for number in range(5):
        new = makers.make_request(f"r{number}", ("new", 100), now=1.0)
        choice = placer.choose(new, TARGETS, BOUNDS, 1.0)
        assert choice.target.name == "t5"
    load = placer.loads.total("t5", 1.0)
    other = placer.loads.total("t6", 1.0)
    request = make_request("r", 1.0)
    batches = [
        placer.work_left.expect_batch(request, item, 1.0)
        for item in (load, other)
    ]
    assert batches[0] < 0.3 * batches[1] <= 30


# Guards against memory that is left idle since each request counts with the
# longest answer it may get, and against memory that counts too little before
# anything is known.
def test_memory_is_counted_by_what_answers_had_lately():
    request = make_request("r")
    unknown = makers.make_placer(ENGINE)
    unknown.work_left.pool_size = len(TARGETS)
    assert unknown.work_left.estimate_held(request, 1.0) == 2_500
    known = make_placer()
    held = known.work_left.estimate_held(request, 1.0)
    assert held == pytest.approx(500 + 20 * EVENT_TOKENS, rel=0.05)


# Guards against a change of pools without the data, and of small ones.
@pytest.mark.parametrize(
    ("event_tokens", "targets", "gap_goal_s"),
    [(0, 12, 0.4), (EVENT_TOKENS, 11, 0.4), (EVENT_TOKENS, 12, 0.0)],
)
def test_nothing_is_counted_without_the_data(event_tokens, targets, gap_goal_s):
    engine = dataclasses.replace(ENGINE, event_tokens=event_tokens)
    placer = makers.make_placer(engine)
    route = dataclasses.replace(makers.CHAT, gap_goal_s=gap_goal_s)
    for number in range(20):
        request = makers.make_request(f"r{number}", ("p", 500), route=route)
        choice = placer.choose(request, TARGETS[:targets], BOUNDS, 1.0)
        held = placer.work_left.estimate_held(request, 1.0)
        assert held == 600
        placer.loads.start_request(
            request.request_id, choice.target.name, 0.0, held, 1.0
        )
        placer.work_left.note_start(request, 1.0)
        placer.work_left.note_events(request.request_id, 5, 1.2)
        placer.work_left.note_end(request.request_id, 5, 1.2)
    loads = placer.loads.export(1.0, {}, {})
    assert all(item.decode_s == 0.0 for item in loads)
    assert not placer.work_left.estimates.by_route


# Guards against placement by estimates that are far off.
def test_estimates_that_are_far_off_are_not_used():
    placer = make_placer()
    request = make_request("r", 1.0)
    assert placer.work_left.is_used(request, 1.0)
    for number in range(40):
        placer.work_left.estimates.error.add(100.0, 10.0 + number % 2, 1.0)
    assert not placer.work_left.is_used(request, 1.0)
    assert placer.work_left.estimate_held(request, 1.0) == 2_500
    load = placer.loads.total("t0", 1.0)
    assert placer.work_left.expect_batch(request, load, 1.0) == 0.0
    # The estimates are tried again once the samples are old.
    assert placer.work_left.is_used(request, 90.0)


# Guards against estimates that lose: each pattern is to be within 10% of one
# queue for the whole fleet that knows the length of each answer, and not below
# placement by the count of running requests.
@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("pattern", ["varied_outputs", "wrong_hints"])
def test_placement_is_close_to_that_with_known_lengths(pattern, seed):
    before = simulate(pattern, "by_count", seed)
    after = simulate(pattern, "shipped", seed)
    limit = simulate(pattern, "omniscient", seed)
    assert after["worth"] >= 0.9 * limit["worth"]
    assert after["worth"] >= before["worth"]
