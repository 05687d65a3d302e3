"""Fairness, utilisation and slot accounting of a simulated fleet.

LENTILBEAM_EXAMPLES sets the number of examples of each property test.
"""

import os

import hypothesis
from hypothesis import strategies
import pytest

from tests.unit import fleet as fleet_lib

PROPERTY_SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=int(os.environ.get("LENTILBEAM_EXAMPLES", "6")),
    suppress_health_check=list(hypothesis.HealthCheck),
)
WEIGHTS = {f"w{i}": 4.0 if i < 2 else 1.0 for i in range(8)}


def draw_short_cost(rng):
    """Draws the cost of a request that runs for 20 to 60 ms."""
    return rng.uniform(20.0, 60.0)


def make_config(seed, **changes):
    """Returns a config with 4 routers, 12 slots and 8 workspaces."""
    sizes = {"routers": 4, "targets": 4, "slots": 3, "weights": WEIGHTS}
    return fleet_lib.FleetConfig(seed=seed, **(sizes | changes))


@PROPERTY_SETTINGS
@hypothesis.given(
    seed=strategies.integers(0, 10**6),
    home_routers=strategies.dictionaries(
        strategies.sampled_from(sorted(WEIGHTS)),
        strategies.lists(
            strategies.sampled_from(["r0", "r1", "r2", "r3"]),
            min_size=1,
            max_size=2,
            unique=True,
        ),
    ),
    draw_cost=strategies.sampled_from(
        [fleet_lib.draw_heavy_tailed_cost, fleet_lib.draw_bimodal_cost]
    ),
)
def test_gap_is_bounded_and_no_slot_idles_while_work_waits(
    seed, home_routers, draw_cost
):
    load = fleet_lib.Load(
        home_routers=home_routers, depth=8, draw_cost=draw_cost
    )
    observation = fleet_lib.run_saturated(make_config(seed), load, until=9.0)
    assert observation.largest_gap() <= 2.0
    assert observation.utilisation() >= 0.98
    assert observation.refused == []


@PROPERTY_SETTINGS
@hypothesis.given(
    seed=strategies.integers(0, 10**6),
    fault=strategies.sampled_from(["kill", "pause", "cut", "restart"]),
    victim_role=strategies.sampled_from(["scheduler", "other"]),
)
def test_gap_and_utilisation_recover_after_a_fault(seed, fault, victim_role):
    def schedule_faults(fleet):
        (scheduler,) = fleet.list_schedulers()
        others = [name for name in fleet.router_names if name != scheduler]
        victim = scheduler if victim_role == "scheduler" else others[0]
        if fault in ("kill", "restart"):
            fleet.schedule(3.0, fleet.kill_router, victim)
        if fault == "restart":
            fleet.schedule(5.0, fleet.start_router, victim)
            fleet.schedule(5.0, fleet.publish_instance_list, fleet.router_names)
        if fault == "pause":
            fleet.schedule(3.0, fleet.pause_router, victim, 6.0)
        if fault == "cut":
            rest = [name for name in fleet.router_names if name != victim]
            fleet.schedule(3.0, fleet.partition, [victim], rest)
            fleet.schedule(6.0, fleet.heal_partition)

    observation = fleet_lib.run_saturated(
        make_config(seed), fleet_lib.Load(depth=6), 11.0, schedule_faults
    )
    assert observation.largest_gap() <= 4.0
    assert observation.largest_gap(start=9.0) <= 2.0
    assert observation.utilisation(start=9.0) >= 0.98
    assert len(observation.fleet.list_schedulers()) == 1


@PROPERTY_SETTINGS
@hypothesis.given(
    seed=strategies.integers(0, 10**6),
    loss_probability=strategies.sampled_from([0.0, 0.1, 0.3]),
    duplicate_probability=strategies.sampled_from([0.0, 0.2]),
    pause_s=strategies.sampled_from([0.0, 0.2, 1.0]),
)
def test_no_slot_leaks_when_messages_are_lost_or_duplicated(
    seed, loss_probability, duplicate_probability, pause_s
):
    def schedule_faults(fleet):
        scheduler = fleet.list_schedulers()[0]
        if pause_s:
            fleet.schedule(2.5, fleet.pause_router, scheduler, 2.5 + pause_s)
        # Stops the closed-loop load, so that all jobs can end.
        fleet.schedule(4.0, setattr, fleet, "on_run_ended", None)

    config = make_config(
        seed,
        loss_probability=loss_probability,
        duplicate_probability=duplicate_probability,
        jitter_s=0.02,
    )
    observation = fleet_lib.run_saturated(
        config, fleet_lib.Load(), 20.0, schedule_faults
    )
    fleet = observation.fleet
    assert fleet.jobs == {}
    for name in fleet.list_schedulers():
        slot_table = fleet.nodes[name].schedulers[fleet_lib.POOL].slot_table
        assert set(slot_table.occupied.values()) <= {0}
    names = [job.request.name for job in fleet.dispatched]
    assert len(names) == len(set(names))


@pytest.mark.parametrize("seed", range(1, 9))
def test_two_schedulers_in_a_partition_share_each_target(seed):
    config = make_config(seed)
    waiting_counts = []

    def sample(fleet):
        waiting_counts.append([len(jobs) for jobs in fleet.waiting.values()])

    def schedule_faults(fleet):
        (scheduler,) = fleet.list_schedulers()
        others = [name for name in fleet.router_names if name != scheduler]
        fleet.schedule(3.0, fleet.partition, [scheduler, others[0]], others[1:])
        for step in range(70):
            fleet.schedule(5.0 + step / 10, sample, fleet)

    observation = fleet_lib.run_saturated(
        config, fleet_lib.Load(depth=8), 12.0, schedule_faults
    )
    assert len(observation.fleet.list_schedulers()) == 2
    assert observation.utilisation(start=5.0) >= 0.95
    # Each scheduler uses two of a target's three slots and keeps one more
    # request waiting there. It also uses the third slot while that slot seems
    # idle; on average only one of the two does.
    assert max(map(max, waiting_counts)) <= config.slots + 2
    all_counts = [count for counts in waiting_counts for count in counts]
    assert sum(all_counts) / len(all_counts) <= config.slots + 1


@PROPERTY_SETTINGS
@hypothesis.given(seed=strategies.integers(0, 10**6))
def test_short_requests_leave_no_slot_idle(seed):
    load = fleet_lib.Load(depth=8, hint_error=1.0, draw_cost=draw_short_cost)
    observation = fleet_lib.run_saturated(make_config(seed), load, until=7.0)
    assert observation.utilisation(start=4.0) >= 0.98
    assert observation.refused == []


def test_an_idle_workspace_accumulates_no_credit():
    config = make_config(3, weights={"busy": 1.0, "late": 1.0})
    fleet = fleet_lib.Fleet(config)
    fleet.on_run_ended = lambda job: fleet.submit(
        job.router, job.request.workspace, job.cost, job.cost
    )
    fleet.run_until(1.0)
    for _ in range(40):
        fleet.submit("r0", "busy", 800.0, 800.0)
    fleet.run_until(8.0)
    for _ in range(40):
        fleet.submit("r1", "late", 800.0, 800.0)
    observation = fleet_lib.observe(fleet, 14.0)
    assert observation.largest_gap() <= 2.0


def test_a_draining_scheduler_hands_over_its_role_and_finishes_its_work():
    def schedule_faults(fleet):
        (scheduler,) = fleet.list_schedulers()
        fleet.drained = scheduler
        fleet.send_event(scheduler, fleet_lib.events.DrainStarted())
        # Stops the closed-loop load, so that all jobs can end.
        fleet.schedule(3.0, setattr, fleet, "on_run_ended", None)

    observation = fleet_lib.run_saturated(
        make_config(9), fleet_lib.Load(), 15.0, schedule_faults
    )
    fleet = observation.fleet
    (successor,) = fleet.list_schedulers()
    assert successor != fleet.drained
    scheduled_at = [
        at for at, name, e in fleet.recorded_events if e.name == "schedule"
    ]
    assert max(scheduled_at) < 2.1
    assert observation.utilisation(start=2.0, end=3.0) >= 0.95
    assert fleet.jobs == {}
