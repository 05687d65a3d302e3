"""Tests of the bench's measures on cases whose results are known."""

import dataclasses

import pytest

from bench import emulator as emulator_lib
from bench import gap
from bench import lateness
from bench import load
from bench import policies
from bench import scenarios
from bench import sizes
from bench import utilisation
from lentilbeam_core import ids

ONE = ids.WorkspaceId("one")
OTHER = ids.WorkspaceId("other")
COST_PER_S = 10.0
MAX_COST = 100.0

# The median exceeds the largest cost, so that every request has the latter.
EQUAL_COSTS = load.CostDistribution(
    median=2048.0 * 10, sigma=0.0, max_cost=2048.0, hint_factor=1.0
)


def make_gap_meter(weight: float = 1.0) -> gap.GapMeter:
    """Returns a meter of two backlogged workspaces.

    Args:
        weight: weight of workspace `ONE`; that of `OTHER` is 1.
    """
    meter = gap.GapMeter({ONE: weight, OTHER: 1.0}, MAX_COST, COST_PER_S)
    meter.set_backlogged(ONE, True, 0.0)
    meter.set_backlogged(OTHER, True, 0.0)
    return meter


def make_closed_loops(size: sizes.FleetSize) -> tuple[load.Load, ...]:
    """Returns only the closed-loop loads of the even load."""
    loads = load.make_even_load(size)
    return tuple(x for x in loads if isinstance(x, load.ClosedLoop))


def run_equal_costs(policy: str) -> emulator_lib.Emulator:
    """Runs 30 s of the steady scenario with requests of equal cost.

    Args:
        policy: name of the scheduling policy.

    Returns:
        The emulator after the run.
    """
    scenario = dataclasses.replace(
        scenarios.SCENARIOS["steady"],
        make_load=make_closed_loops,
        costs=EQUAL_COSTS,
    )
    experiment = emulator_lib.Experiment(
        scenario=scenario,
        size=sizes.SIZES["golfslag"],
        policy=policies.POLICIES[policy],
        seed=1,
        seconds=30.0,
    )
    emulator = emulator_lib.Emulator(experiment)
    emulator.run()
    return emulator


def test_gap_includes_the_service_of_running_requests():
    meter = make_gap_meter()
    meter.start(ONE, 1.0)
    meter.update(6.0)
    assert meter.peak.gap == pytest.approx(5 * COST_PER_S / MAX_COST)
    meter.stop(ONE, 1.0, 11.0)
    meter.update(100.0)
    assert meter.peak.gap == pytest.approx(1.0)
    assert (meter.peak.ahead, meter.peak.behind) == (ONE, OTHER)


def test_gap_is_divided_by_the_weight():
    meter = make_gap_meter(weight=4.0)
    meter.start(ONE, 0.0)
    meter.stop(ONE, 0.0, 10.0)
    assert meter.peak.gap == pytest.approx(0.25)


def test_peak_gap_counts_from_the_start_and_max_range_is_max_minus_min():
    meter = make_gap_meter()
    meter.start(ONE, 0.0)
    meter.stop(ONE, 0.0, 10.0)
    meter.start(OTHER, 10.0)
    meter.stop(OTHER, 10.0, 25.0)
    assert meter.peak.gap == pytest.approx(1.0)
    assert meter.max_range == pytest.approx(1.5)


def test_gap_restarts_after_an_interruption_of_the_backlog():
    meter = make_gap_meter()
    meter.start(ONE, 0.0)
    meter.set_backlogged(OTHER, False, 4.0)
    meter.set_backlogged(OTHER, True, 8.0)
    meter.update(10.0)
    assert meter.peak.gap == pytest.approx(0.4)
    assert meter.find_last_above(0.3, 0.0) == pytest.approx(4.0)
    assert meter.find_max(9.0, 10.0) == pytest.approx(0.2)


def test_utilisation_counts_only_while_work_waits():
    meter = utilisation.UtilisationMeter(start=0.0)
    meter.set_state(busy=4, available=8, is_waiting=True, now=0.0)
    meter.set_state(busy=0, available=8, is_waiting=False, now=3.0)
    meter.set_state(busy=8, available=8, is_waiting=True, now=9.0)
    meter.advance(12.0)
    assert meter.get_overall() == pytest.approx(0.75)
    assert meter.find_lowest_window(0.0, 12.0) == pytest.approx(0.5)
    assert meter.find_lowest_window(9.0, 12.0) == pytest.approx(1.0)


def test_lateness_is_the_time_after_the_fair_start():
    meter = lateness.LatenessMeter({ONE: 1.0, OTHER: 1.0})
    meter.set_capacity(2 * COST_PER_S, {ONE, OTHER}, 5.0)
    meter.set_backlogged(ONE, True, 5.0)
    meter.start(ONE, cost=30.0, now=5.0)
    meter.start(ONE, cost=30.0, now=8.0)
    assert meter.max_lateness.seconds == pytest.approx(0.0)
    meter.start(ONE, cost=30.0, now=13.0)
    assert meter.max_lateness.seconds == pytest.approx(2.0)
    meter.finish(20.0)
    assert meter.max_lateness.seconds == pytest.approx(4.0)


def test_fair_queue_with_known_costs_keeps_the_gap_small():
    recorder = run_equal_costs("omniscient").recorder
    assert 0 < recorder.gap.peak.gap <= 1.5
    assert recorder.utilisation.get_overall() == pytest.approx(1.0)


def test_serving_in_arrival_order_gives_a_large_gap():
    recorder = run_equal_costs("arrival_order").recorder
    assert recorder.gap.peak.gap > 5
    assert recorder.utilisation.get_overall() == pytest.approx(1.0)
