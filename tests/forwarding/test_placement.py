"""Where work goes: least unread ahead, kept parts, room for the others."""

import collections

from lentilbeam_core import messages
from lentilbeam_core.forwarding import configuration
from lentilbeam_core.forwarding import placement
from tests.forwarding import makers

WITHIN = placement.BELOW_GUARANTEE_BOUNDS
BEYOND = placement.AT_FAIR_SHARE_BOUNDS


def load(placer, target, unread=0.0, running=0, held=0.0, recent=0.0):
    report = messages.TargetLoad(target, unread, running, held, recent)
    placer.loads.apply_report(f"peer of {target}", (report,), 0.0)


def test_long_prompts_ahead_send_a_request_elsewhere():
    placer = makers.make_placer()
    targets = [makers.make_target("a"), makers.make_target("b")]
    load(placer, "a", unread=30_000)
    request = makers.make_request("r", ("p", 500))
    assert placer.choose(request, targets, WITHIN, 0.0).target.name == "b"


def test_a_hot_part_stays_where_it_is_kept_while_there_is_room():
    placer = makers.make_placer()
    targets = [makers.make_target("a"), makers.make_target("b")]
    request = makers.make_request("r", ("hot", 5000), ("own", 500))
    for holder in ("a", "b"):
        placer.forget("a")
        placer.forget("b")
        placer.note_prompt_sent(holder, request.prompt.parts[:1], 0.0)
        found = placer.choose(request, targets, WITHIN, 0.0)
        assert found.target.name == holder
        assert found.unread == 500
        assert found.fetch_from is None


def test_a_hot_part_is_fetched_by_a_second_target_before_the_first_queues():
    placer = makers.make_placer()
    targets = [makers.make_target("a"), makers.make_target("b")]
    request = makers.make_request("r", ("hot", 5000), ("own", 500))
    placer.note_prompt_sent("a", request.prompt.parts[:1], 0.0)
    load(placer, "a", unread=20_000)
    found = placer.choose(request, targets, WITHIN, 0.0)
    assert found.target.name == "b"
    assert found.fetch_from.name == "a"
    assert found.unread == 500


def test_fetches_of_a_hot_part_are_spread_over_its_holders_near_by():
    placer = makers.make_placer()
    holders = [
        makers.make_target("far", data_centre="west"),
        *(makers.make_target(f"near{n}") for n in range(3)),
    ]
    for holder in holders:
        placer.note_prompt_sent(
            holder.name, makers.make_parts(("hot", 5000)), 0.0
        )
        load(placer, holder.name, unread=50_000)
    targets = [*holders, makers.make_target("new")]
    request = makers.make_request("r", ("hot", 5000), ("own", 500))
    sources = set()
    for _ in range(60):
        found = placer.choose(request, targets, WITHIN, 0.0)
        assert found.target.name == "new"
        sources.add(found.fetch_from.name)
    assert sources == {"near0", "near1", "near2"}


def test_routers_agree_on_the_home_of_a_part_that_nobody_holds():
    targets = [makers.make_target(f"t{n}") for n in range(6)]
    request = makers.make_request("r", ("new", 8000), ("own", 50))
    homes = set()
    for _ in range(4):
        found = makers.make_placer().choose(request, targets, WITHIN, 0.0)
        homes.add(found.target.name)
    assert len(homes) == 1


def test_no_target_is_chosen_whose_first_event_would_miss_the_goal():
    placer = makers.make_placer()
    targets = [makers.make_target("a")]
    load(placer, "a", unread=60_000)
    request = makers.make_request("r", ("p", 500))
    assert placer.choose(request, targets, WITHIN, 0.0) is None


def test_a_prompt_that_alone_misses_the_goal_still_goes_to_an_idle_target():
    placer = makers.make_placer()
    request = makers.make_request("r", ("giant", 80_000))
    targets = [makers.make_target("a")]
    assert placer.choose(request, targets, WITHIN, 0.0) is not None
    load(placer, "a", unread=10_000)
    assert placer.choose(request, targets, WITHIN, 0.0) is None


def test_full_slots_take_nothing_and_some_are_held_back():
    placer = makers.make_placer()
    targets = [makers.make_target("a")]
    request = makers.make_request("r", ("p", 100))
    load(placer, "a", running=60)
    assert placer.choose(request, targets, BEYOND, 0.0) is None
    assert placer.choose(request, targets, WITHIN, 0.0) is not None
    load(placer, "a", running=64)
    assert placer.choose(request, targets, WITHIN, 0.0) is None


def test_continuous_reading_is_bounded_so_that_streams_go_on():
    placer = makers.make_placer()
    targets = [makers.make_target("a")]
    request = makers.make_request("r", ("p", 5000))
    load(placer, "a", unread=8_000, recent=30_000)
    assert placer.choose(request, targets, BEYOND, 0.0) is None
    assert placer.choose(request, targets, WITHIN, 0.0) is not None


def test_a_slow_engine_gets_less():
    placer = makers.make_placer()
    targets = [makers.make_target("a"), makers.make_target("b")]
    slow = placement.Placement(targets[0], 0.0, 20_000.0, None)
    for _ in range(10):
        placer.update_prefill_rate(slow, 0.06 + 0.5)
    request = makers.make_request("r", ("p", 6000))
    assert placer.choose(request, targets, WITHIN, 0.0).target.name == "b"


def test_bookings_go_to_the_plain_target_with_fewest_running():
    placer = makers.make_placer(engine=None)
    targets = [
        makers.make_target("a", slots=6),
        makers.make_target("b", slots=6),
    ]
    load(placer, "a", running=3)
    request = makers.make_request("r", route=makers.BOOK)
    assert placer.choose(request, targets, WITHIN, 0.0).target.name == "b"
    load(placer, "a", running=9)
    load(placer, "b", running=9)
    assert placer.choose(request, targets, WITHIN, 0.0) is None


def test_routers_that_have_not_heard_of_each_other_rush_to_no_target():
    targets = [makers.make_target(f"t{n}", slots=12) for n in range(56)]
    request = makers.make_request("r", ("hot", 500), ("own", 500))
    chosen = collections.Counter()
    for seed in range(60):
        placer = makers.make_placer(seed=seed)
        for target in targets[1:]:
            load(placer, target.name, running=8, held=30_000)
        found = placer.choose(request, targets, WITHIN, 0.0)
        chosen[found.target.name] += 1
    # No more of them than the empty target has slots.
    assert chosen["t0"] <= 12


def test_the_holder_of_a_long_prompt_is_found_in_a_large_pool():
    targets = [makers.make_target(f"t{n}") for n in range(56)]
    request = makers.make_request("r", ("session", 5000), ("own", 500))
    for seed in range(20):
        placer = makers.make_placer(seed=seed)
        placer.note_prompt_sent("t7", request.prompt.parts[:1], 0.0)
        found = placer.choose(request, targets, WITHIN, 0.0)
        assert found.target.name == "t7"


def test_a_changed_engine_counts_for_the_next_request():
    placer = makers.make_placer()
    smaller = configuration.Engine(slots=64, cache_tokens=1000)
    placer.update_pool(configuration.Pool(makers.POOL, 300, smaller))
    parts = makers.make_parts(("a", 600), ("b", 600))
    for part in parts:
        placer.note_prompt_sent("t", (part,), 0.0)
    assert placer.caches.count_cached("t", parts[:1]) == 0
    assert placer.caches.count_cached("t", parts[1:]) == 600
