"""Cold engines are slow, and warm ones do not get everything at once."""

import asyncio
import dataclasses

import pytest

from lentilbeam_core import messages
from lentilbeam_core.forwarding import cold_pace
from lentilbeam_core.forwarding import cold_speed
from lentilbeam_core.forwarding import load_bounds
from lentilbeam_core.forwarding import loads
from tests.forwarding import gateway_fleet
from tests.forwarding import makers
from tests.forwarding import test_cold_targets

PER_S = test_cold_targets.PER_S
LOAD_PER_S = 300.0
BOUNDS = load_bounds.BELOW_GUARANTEE_BOUNDS
LONG = 15_000
SHORT = 500
PREFILL_PER_S = 60_000.0
LOOK_UP = dataclasses.replace(makers.LOOK_UP, attempts=1)


def write_entry(fleet, name, cold_s):
    """Lets all routers read at the same moment how cold a target is."""
    now = fleet.clock.monotonic()
    fleet.targets[name].cold_until = now + cold_s
    fleet.write_entry(name, 0.0)


# Guards against a burst: all routers learn at the same moment that the only
# target is warm, while requests wait at each of them.
@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("routers", [7, 61])
def test_rate_grows_when_a_target_becomes_warm(routers, seed):
    async def scenario(fleet):
        write_entry(fleet, "t0", 4.0)
        loader = asyncio.ensure_future(fleet.load(LOAD_PER_S, 7.0))
        await asyncio.sleep(4.0)
        fleet.since = fleet.clock.monotonic()
        write_entry(fleet, "t0", 0.0)
        await loader

    fleet = gateway_fleet.Fleet(
        routers, targets=1, seed=seed, cold_per_s=PER_S
    ).run(scenario)
    target = fleet.targets["t0"]
    for step in range(200):
        since = fleet.since + step * 0.01
        per_s = cold_pace.find_ramp_rate(PER_S, LOAD_PER_S, step * 0.01 + 0.1)
        got = target.count_arrivals(since, since + 0.1)
        # The margin of the rule FAILBACK.
        assert got <= 0.1 * per_s * 1.5 + 5, step
    served = target.count_arrivals(fleet.since + 1.5, fleet.since + 3.0)
    assert served >= 0.95 * 1.5 * LOAD_PER_S


def run_mixed(routers, seed):
    """Runs a load of long and short prompts while a third of six is cold.

    Returns:
        The fleet; `since` is when the two targets turned cold.
    """

    async def scenario(fleet):
        for target in fleet.targets.values():
            target.prefill_per_s = PREFILL_PER_S
        writer = asyncio.ensure_future(
            fleet.write_entries(60.0, test_cold_targets.MAX_READ_DELAY_S)
        )
        await asyncio.sleep(3.0)
        loaders = [
            asyncio.ensure_future(
                fleet.load(per_s, 8.0, token_count=f"{prompt},1")
            )
            for per_s, prompt in ((80.0, SHORT), (8.0, LONG))
        ]
        await asyncio.sleep(2.0)
        await test_cold_targets.restart(fleet, "t0", "t1")
        await asyncio.gather(*loaders)
        await asyncio.sleep(1.0)
        writer.cancel()

    return gateway_fleet.Fleet(
        routers,
        targets=6,
        seed=seed,
        routes=(LOOK_UP,),
        engine=makers.ENGINE,
        cold_per_s=PER_S,
    ).run(scenario)


def count_prompts(target, tokens, since, until):
    """Returns the number of prompts of a length that a target got."""
    needle = b"oken-count: %d," % tokens
    return sum(
        since <= arrival.at < until and needle in arrival.head.lower()
        for arrival in target.arrivals
    )


# Guards against long prompts that are late at cold engines while warm ones
# could serve them in time, and against short ones that wait behind them.
@pytest.mark.parametrize("routers", [7, 61])
def test_long_prompts_avoid_the_cold_third(routers):
    fleet = run_mixed(routers, seed=1)
    span = (fleet.cold_from, fleet.cold_from + test_cold_targets.COLD_S)
    test_cold_targets.check(fleet, "t0", "t1")
    long_count = short_count = 0
    for name in ("t0", "t1"):
        long_count += count_prompts(fleet.targets[name], LONG, *span)
        short_count += count_prompts(fleet.targets[name], SHORT, *span)
    assert long_count <= 2
    assert short_count >= 5
    late = {
        result.request_id.encode()
        for result in fleet.results
        if result.ended_at - result.sent_at > LOOK_UP.goal_s
    }
    for name in ("t0", "t1"):
        for arrival in fleet.targets[name].arrivals:
            assert not span[0] <= arrival.at < span[1] or not late & set(
                arrival.head.split()
            )


def make_placer(warm_unread=0.0, cold_unread=0.0):
    """Returns a placer and the targets `warm` and `cold`."""
    placer = makers.make_placer()
    report = tuple(
        messages.TargetLoad(name, unread, 1, 0.0, 0.0)
        for name, unread in (("warm", warm_unread), ("cold", cold_unread))
    )
    placer.loads.apply_report("peer", report, 0.0)
    targets = [makers.make_target("warm"), makers.make_target("cold")]
    placer.cold_speed.update(["cold"], ["warm", "cold"], placer.loads, 0.0)
    return placer, targets


@pytest.mark.parametrize(
    ("tokens", "warm_unread", "cold_unread", "chosen"),
    [
        (LONG, 10_000, 0, "warm"),
        # The warm one can't serve it in time.
        (LONG, 60_000, 0, "cold"),
        (SHORT, 10_000, 0, "cold"),
        # Guards against a few long prompts that take all of a cold engine.
        (LONG, 60_000, 6_000, None),
    ],
)
def test_long_prompt_goes_to_a_cold_engine_only_if_it_must(
    tokens, warm_unread, cold_unread, chosen
):
    placer, targets = make_placer(warm_unread, cold_unread)
    request = makers.make_request("r", ("p", tokens))
    choice = placer.choose(request, targets, BOUNDS, 0.0)
    assert (choice.target.name if choice else None) == chosen


def learn(speed, tracker, factor, seconds):
    """Lets a cold engine take longer by a factor for some time."""
    for step in range(int(seconds / 0.25)):
        now = step * 0.25
        report = (
            messages.TargetLoad(
                "cold", 0.0, 1, 0.0, 0.0, timed_s=2.0 * factor, expected_s=2.0
            ),
            messages.TargetLoad(
                "warm", 0.0, 1, 0.0, 0.0, timed_s=2.0, expected_s=2.0
            ),
        )
        tracker.apply_report("peer", report, now)
        speed.update(["cold"], ["warm", "cold"], tracker, now)
    return now


# Guards against a factor that differs between routers or is never learned:
# it follows from what the reports of all routers say.
@pytest.mark.parametrize("factor", [1.1, 3.0])
def test_factor_is_learned_from_all_routers(factor):
    speed = cold_speed.ColdSpeed()
    assert speed.find_factor(0.0) == cold_speed.INITIAL_FACTOR
    now = learn(speed, loads.LoadTracker(), factor, 12.0)
    assert speed.find_factor(now) == pytest.approx(factor, rel=0.1)
    assert speed.correct("cold", 1.0, 1.0, now) == speed.find_factor(now)
    assert speed.correct("warm", 1.2, 1.0, now) == 1.2


# Guards against samples from before an engine turned cold.
def test_first_seconds_teach_nothing():
    speed = cold_speed.ColdSpeed()
    now = learn(speed, loads.LoadTracker(), 1.0, 2.5)
    assert speed.find_factor(now) == cold_speed.INITIAL_FACTOR
