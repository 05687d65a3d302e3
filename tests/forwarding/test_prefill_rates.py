"""Prefill rates that routers learn together from first events."""

import pytest

from lentilbeam_core.forwarding import load_bounds
from tests.forwarding import makers

ENGINE = makers.make_target("engine")
RATE = 80_000.0
ROUTERS = ("fast", "slow", "new")


def exchange(placers, now: float) -> None:
    """Sends the loads of each router to all others."""
    for name, placer in placers.items():
        report = tuple(placer.loads.export(now, {}, {}))
        for other_name, other in placers.items():
            if other_name != name:
                other.loads.apply_report(name, report, now)


def run_request(placer, name: str, seconds: float, now: float) -> None:
    """Runs a request of 4,000 tokens, given the time to its first event."""
    request = makers.make_request(name, (name, 4000), now=now)
    bounds = load_bounds.BELOW_GUARANTEE_BOUNDS
    placement = placer.choose(request, [ENGINE], bounds, now)
    placer.loads.start_request(name, ENGINE.name, placement.unread, 0.0, now)
    elapsed_s = seconds + placer.settings.first_event_overhead_s
    placer.update_prefill_rate(placement, elapsed_s, now)
    placer.loads.end_request(name)


def make_routers() -> dict:
    """Returns placers, of which one saw slow first events and one saw none."""
    placers = {name: makers.make_placer() for name in ROUTERS}
    for number in range(60):
        now = number * 0.05
        run_request(placers["fast"], f"f{number}", 4000 / RATE, now)
        if number % 15 == 0:
            run_request(placers["slow"], f"s{number}", 4 * 4000 / RATE, now)
        exchange(placers, now)
    return placers


def find_largest_backlog(placer, now: float) -> int:
    """Returns the unread tokens up to which a router begins a request."""
    largest = 0
    for unread in range(0, 80_000, 1000):
        placer.loads.own_loads[ENGINE.name].unread = unread
        placer.loads.totals.clear()
        request = makers.make_request("r", ("r", 1000), now=now)
        bounds = load_bounds.BELOW_GUARANTEE_BOUNDS
        if placer.choose(request, [ENGINE], bounds, now) is not None:
            largest = unread
    return largest


# Guards against FAIR: a router that saw few and slow first events takes the
# only engine for slow, begins nothing there and never sees that it is not.
@pytest.mark.parametrize("name", ROUTERS)
def test_all_routers_begin_requests_up_to_the_same_backlog(name):
    placers = make_routers()
    backlogs = {
        each: find_largest_backlog(placer, 4.0)
        for each, placer in placers.items()
    }
    assert backlogs[name] == pytest.approx(max(backlogs.values()), rel=0.05)


def test_router_that_hears_nobody_uses_what_it_has_seen():
    placer = makers.make_placer()
    for number in range(40):
        run_request(placer, f"r{number}", 2 * 4000 / RATE, number * 0.05)
    load = placer.loads.total(ENGINE.name, 2.0)
    assert load.expected_s / load.timed_s == pytest.approx(
        RATE / 2 / placer.rates.initial_tokens_per_s, rel=0.01
    )


def test_engine_that_was_slow_counts_as_usual_after_some_seconds():
    placer = makers.make_placer()
    for number in range(40):
        run_request(placer, f"r{number}", 8 * 4000 / RATE, number * 0.05)
    before = find_largest_backlog(placer, 2.0)
    assert find_largest_backlog(placer, 20.0) > 2 * before
