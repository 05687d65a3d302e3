"""Choice of a target by load, cached prompt parts and reserved capacity."""

import collections
import dataclasses

from lentilbeam_core import messages
from lentilbeam_core.forwarding import configuration
from lentilbeam_core.forwarding import load_bounds
from lentilbeam_core.forwarding import placement
from tests.forwarding import makers

BELOW_GUARANTEE = load_bounds.BELOW_GUARANTEE_BOUNDS
AT_FAIR_SHARE = load_bounds.AT_FAIR_SHARE_BOUNDS


def report_load(placer, target, unread=0.0, running=0, held=0.0, recent=0.0):
    """Applies a peer's report of its load on a target.

    Args:
        placer: the placer under test.
        target: name of the target.
        unread: prompt tokens that the target has not processed yet.
        running: number of running requests.
        held: tokens that running requests hold in the target's memory.
        recent: prompt tokens sent to the target recently.
    """
    report = messages.TargetLoad(target, unread, running, held, recent)
    placer.loads.apply_report(f"peer of {target}", (report,), 0.0)


def test_target_with_many_unread_tokens_is_not_chosen():
    placer = makers.make_placer()
    targets = [makers.make_target("a"), makers.make_target("b")]
    report_load(placer, "a", unread=30_000)
    request = makers.make_request("r", ("p", 500))
    assert (
        placer.choose(request, targets, BELOW_GUARANTEE, 0.0).target.name == "b"
    )


def test_request_goes_to_the_target_that_has_its_part_cached():
    placer = makers.make_placer()
    targets = [makers.make_target("a"), makers.make_target("b")]
    request = makers.make_request("r", ("hot", 5000), ("own", 500))
    for holder in ("a", "b"):
        placer.forget("a")
        placer.forget("b")
        placer.note_prompt_placed(holder, request.prompt.parts[:1], 0.0)
        choice = placer.choose(request, targets, BELOW_GUARANTEE, 0.0)
        assert choice.target.name == holder
        assert choice.unread == 500
        assert choice.fetch_from is None


def test_cached_part_is_fetched_from_a_target_with_a_long_backlog():
    placer = makers.make_placer()
    targets = [makers.make_target("a"), makers.make_target("b")]
    request = makers.make_request("r", ("hot", 5000), ("own", 500))
    placer.note_prompt_placed("a", request.prompt.parts[:1], 0.0)
    report_load(placer, "a", unread=20_000)
    choice = placer.choose(request, targets, BELOW_GUARANTEE, 0.0)
    assert choice.target.name == "b"
    assert choice.fetch_from.name == "a"
    assert choice.unread == 500


def test_fetches_are_spread_over_the_holders_in_the_same_data_centre():
    placer = makers.make_placer()
    holders = [
        makers.make_target("far", data_centre="west"),
        *(makers.make_target(f"near{n}") for n in range(3)),
    ]
    for holder in holders:
        placer.note_prompt_placed(
            holder.name, makers.make_parts(("hot", 5000)), 0.0
        )
        report_load(placer, holder.name, unread=50_000)
    targets = [*holders, makers.make_target("new")]
    request = makers.make_request("r", ("hot", 5000), ("own", 500))
    sources = set()
    for _ in range(60):
        choice = placer.choose(request, targets, BELOW_GUARANTEE, 0.0)
        assert choice.target.name == "new"
        sources.add(choice.fetch_from.name)
    assert sources == {"near0", "near1", "near2"}


def test_routers_choose_the_same_target_for_a_part_that_is_not_cached():
    targets = [makers.make_target(f"t{n}") for n in range(6)]
    request = makers.make_request("r", ("new", 8000), ("own", 50))
    chosen = set()
    for _ in range(4):
        choice = makers.make_placer().choose(
            request, targets, BELOW_GUARANTEE, 0.0
        )
        chosen.add(choice.target.name)
    assert len(chosen) == 1


def test_no_target_is_chosen_if_the_first_event_would_miss_the_goal():
    placer = makers.make_placer()
    targets = [makers.make_target("a")]
    report_load(placer, "a", unread=60_000)
    request = makers.make_request("r", ("p", 500))
    assert placer.choose(request, targets, BELOW_GUARANTEE, 0.0) is None


def test_prompt_too_long_for_the_goal_goes_to_an_idle_target_only():
    placer = makers.make_placer()
    request = makers.make_request("r", ("giant", 80_000))
    targets = [makers.make_target("a")]
    assert placer.choose(request, targets, BELOW_GUARANTEE, 0.0) is not None
    report_load(placer, "a", unread=10_000)
    assert placer.choose(request, targets, BELOW_GUARANTEE, 0.0) is None


def test_free_slots_are_reserved_for_workspaces_below_their_guarantee():
    placer = makers.make_placer()
    targets = [makers.make_target("a")]
    request = makers.make_request("r", ("p", 100))
    report_load(placer, "a", running=60)
    assert placer.choose(request, targets, AT_FAIR_SHARE, 0.0) is None
    assert placer.choose(request, targets, BELOW_GUARANTEE, 0.0) is not None
    report_load(placer, "a", running=64)
    assert placer.choose(request, targets, BELOW_GUARANTEE, 0.0) is None


def test_prefill_limit_is_lower_for_workspaces_at_their_fair_share():
    placer = makers.make_placer()
    targets = [makers.make_target("a")]
    request = makers.make_request("r", ("p", 5000))
    # Prefill delays the streams that run at the target.
    report_load(placer, "a", unread=8_000, recent=30_000)
    assert placer.choose(request, targets, AT_FAIR_SHARE, 0.0) is None
    assert placer.choose(request, targets, BELOW_GUARANTEE, 0.0) is not None


def test_target_with_a_low_prefill_rate_is_not_chosen():
    placer = makers.make_placer()
    targets = [makers.make_target("a"), makers.make_target("b")]
    slow = placement.Placement(targets[0], 0.0, 20_000.0, None)
    for _ in range(10):
        placer.update_prefill_rate(slow, 0.06 + 0.5, 0.0)
    request = makers.make_request("r", ("p", 6000))
    assert (
        placer.choose(request, targets, BELOW_GUARANTEE, 0.0).target.name == "b"
    )


def test_plain_target_with_the_fewest_running_requests_is_chosen():
    placer = makers.make_placer(engine=None)
    targets = [
        makers.make_target("a", slots=6),
        makers.make_target("b", slots=6),
    ]
    report_load(placer, "a", running=3)
    request = makers.make_request("r", route=makers.BOOK)
    assert (
        placer.choose(request, targets, BELOW_GUARANTEE, 0.0).target.name == "b"
    )
    report_load(placer, "a", running=9)
    report_load(placer, "b", running=9)
    assert placer.choose(request, targets, BELOW_GUARANTEE, 0.0) is None


def test_routers_without_reports_of_each_other_do_not_overload_a_target():
    targets = [makers.make_target(f"t{n}", slots=12) for n in range(56)]
    request = makers.make_request("r", ("hot", 500), ("own", 500))
    chosen = collections.Counter()
    for seed in range(60):
        placer = makers.make_placer(seed=seed)
        for target in targets[1:]:
            report_load(placer, target.name, running=8, held=30_000)
        choice = placer.choose(request, targets, BELOW_GUARANTEE, 0.0)
        chosen[choice.target.name] += 1
    # The routers must not all choose the idle target, which has 12 slots.
    assert chosen["t0"] <= 12


def test_target_with_a_long_part_cached_is_chosen_in_a_large_pool():
    targets = [makers.make_target(f"t{n}") for n in range(56)]
    request = makers.make_request("r", ("session", 5000), ("own", 500))
    for seed in range(20):
        placer = makers.make_placer(seed=seed)
        placer.note_prompt_placed("t7", request.prompt.parts[:1], 0.0)
        choice = placer.choose(request, targets, BELOW_GUARANTEE, 0.0)
        assert choice.target.name == "t7"


def test_changed_engine_of_a_pool_takes_effect_at_once():
    placer = makers.make_placer()
    smaller = configuration.Engine(slots=64, cache_tokens=1000)
    placer.update_pool(configuration.Pool(makers.POOL, 300, smaller))
    parts = makers.make_parts(("a", 600), ("b", 600))
    for part in parts:
        placer.note_prompt_placed("t", (part,), 0.0)
    assert placer.caches.count_cached_by_target(parts[:1]) == {}
    assert placer.caches.count_cached_by_target(parts[1:]) == {"t": 600}


def choose_with_backlogs(near_s, far_s, body_bytes):
    """Returns the target of a request, given backlogs in seconds."""
    placer = makers.make_placer()
    near = makers.make_target("near")
    far = makers.make_target("far", data_centre="west")
    rate = placer.rates.initial_tokens_per_s
    loads = tuple(
        messages.TargetLoad(name, backlog_s * rate, 1, 0.0, 0.0)
        for name, backlog_s in (("near", near_s), ("far", far_s))
    )
    placer.loads.apply_report("peer", loads, 0.0)
    request = makers.make_request("r", ("own", 1000), body_bytes=body_bytes)
    bounds = load_bounds.BELOW_GUARANTEE_BOUNDS
    return placer.choose(request, [near, far], bounds, 0.0).target.name


def test_long_body_stays_in_its_data_centre_while_the_goal_is_met():
    assert choose_with_backlogs(0.1, 0.0, body_bytes=18_000) == "near"
    assert choose_with_backlogs(0.1, 0.0, body_bytes=1_000) == "far"


def test_long_body_goes_elsewhere_rather_than_miss_its_goal():
    assert choose_with_backlogs(0.6, 0.0, body_bytes=100_000) == "far"


def test_streams_avoid_the_only_target_of_a_version():
    placer = makers.make_placer()
    targets = [
        makers.make_target("a", version="v2"),
        makers.make_target("b"),
        makers.make_target("c"),
    ]
    report_load(placer, "b", running=5)
    report_load(placer, "c", running=5)
    request = makers.make_request("r", ("p", 500))
    chosen = placer.choose(request, targets, BELOW_GUARANTEE, 0.0).target
    assert chosen.name != "a"
    plain = dataclasses.replace(request.route, is_resumable=False)
    request = dataclasses.replace(request, route=plain)
    chosen = placer.choose(request, targets, BELOW_GUARANTEE, 0.0).target
    assert chosen.name == "a"


def test_part_is_fetched_from_a_target_that_gets_no_requests():
    """Guards against parts read again when their only holder leaves."""
    placer = makers.make_placer()
    leaving = makers.make_target("leaving")
    targets = [makers.make_target("a"), makers.make_target("b")]
    request = makers.make_request("r", ("hot", 5000), ("own", 500))
    placer.note_prompt_placed("leaving", request.prompt.parts[:1], 0.0)
    placer.list_sources = lambda: [leaving, *targets]
    choice = placer.choose(request, targets, BELOW_GUARANTEE, 0.0)
    assert choice.fetch_from.name == "leaving"
    assert choice.unread == 500


def test_part_is_not_fetched_from_a_target_that_is_no_source():
    """Guards against a fetch from a target that is gone or fails."""
    placer = makers.make_placer()
    targets = [makers.make_target("a"), makers.make_target("b")]
    request = makers.make_request("r", ("hot", 5000), ("own", 500))
    placer.note_prompt_placed("gone", request.prompt.parts[:1], 0.0)
    choice = placer.choose(request, targets, BELOW_GUARANTEE, 0.0)
    assert choice.fetch_from is None
    assert choice.unread == 5500
