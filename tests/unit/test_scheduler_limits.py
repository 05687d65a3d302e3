"""Limits, refusals and target faults in a simulated fleet.

Limits apply to the whole fleet, and a request that exceeds one is refused
immediately.
"""

from lentilbeam_core import catalogue
from lentilbeam_core import events
from lentilbeam_core import outcome
from tests.unit import fleet as fleet_lib

Reason = outcome.RefusalReason


def run_limited(limits, requests, until, **changes):
    """Runs a fleet whose workspace "a" has limits.

    Args:
        limits: limits of workspace "a".
        requests: number of requests of "a", submitted at second 1 to the
            three routers in turn.
        until: end of the run in simulated seconds.
        **changes: further fields of `FleetConfig`.

    Returns:
        The fleet, and the highest number of busy slots.
    """
    config = fleet_lib.FleetConfig(limits={"a": limits}, **changes)
    fleet = fleet_lib.Fleet(config)
    fleet.run_until(1.0)
    for index in range(requests):
        fleet.submit(fleet.router_names[index % 3], "a", 500.0, 500.0)
    max_busy = 0
    while fleet.now < until:
        fleet.run_until(fleet.now + 0.01)
        max_busy = max(max_busy, fleet.count_busy_slots())
    return fleet, max_busy


def test_concurrency_limit_applies_to_the_whole_fleet():
    limits = catalogue.Limits(concurrency=3)
    fleet, max_busy = run_limited(limits, 30, 8.0)
    assert max_busy == 3
    assert len(fleet.dispatched) == 30


def test_concurrency_limit_holds_during_a_partition():
    limits = catalogue.Limits(concurrency=3)
    config = fleet_lib.FleetConfig(limits={"a": limits}, loss_probability=0.0)
    fleet = fleet_lib.Fleet(config)
    fleet.run_until(1.0)
    fleet.partition(["r0"], ["r1", "r2"])
    fleet.run_until(3.0)
    for index in range(30):
        fleet.submit(fleet.router_names[index % 3], "a", 500.0, 500.0)
    max_busy = 0
    while fleet.now < 8.0:
        fleet.run_until(fleet.now + 0.01)
        max_busy = max(max_busy, fleet.count_busy_slots())
    assert max_busy == 3


def test_rate_limit_applies_to_the_whole_fleet():
    limits = catalogue.Limits(rate_per_s=4.0)
    fleet, _ = run_limited(limits, 60, 6.0)
    burst = 4
    assert 16 <= len(fleet.dispatched) <= 4 * 5 + burst


def test_only_the_flooding_workspace_is_refused_and_immediately():
    limits = catalogue.Limits(queue_length=32)
    config = fleet_lib.FleetConfig(limits={"a": limits, "b": limits})
    fleet = fleet_lib.Fleet(config)
    fleet.run_until(1.0)
    for tick in range(200):
        fleet.run_until(1.0 + tick * 0.02)
        for name in fleet.router_names:
            fleet.submit(name, "a", 800.0, 800.0)
            fleet.submit(name, "a", 800.0, 800.0)
        if tick % 10 == 0:
            fleet.submit("r1", "b", 800.0, 800.0)
        queued = [
            job
            for job in fleet.jobs.values()
            if job.request.workspace == "a" and not job.target
        ]
        assert len(queued) <= 32 + 3 * 8
    assert fleet.refused
    for refused_at, job, effect in fleet.refused:
        assert job.request.workspace == "a"
        assert effect.reason is Reason.QUEUE_FULL
        assert effect.retry_after_s > 0
        assert refused_at == job.sent_at


def test_too_large_and_unknown_workspace_are_refused_immediately():
    fleet = fleet_lib.Fleet(fleet_lib.FleetConfig(weights={"a": 1.0}))
    fleet.submit("r0", "a", 1.0, hint=1e9)
    fleet.submit("r0", "nobody", 1.0)
    reasons = [effect.reason for _, _, effect in fleet.refused]
    assert reasons == [Reason.TOO_LARGE, Reason.UNKNOWN_WORKSPACE]


def test_an_unreachable_deadline_is_refused_immediately():
    fleet = fleet_lib.Fleet(fleet_lib.FleetConfig(weights={"a": 1.0}))
    fleet.run_until(1.0)
    for _ in range(50):
        fleet.submit("r0", "a", 1000.0, 1000.0)
    fleet.run_until(2.5)
    name = fleet.submit("r0", "a", 1000.0, 1000.0, deadline_s=0.5)
    ((refused_at, job, effect),) = fleet.refused
    assert (refused_at, job.request.name) == (2.5, name)
    assert effect.reason is Reason.DEADLINE_UNREACHABLE
    assert effect.retry_after_s > 0.5


def test_a_failing_target_is_ejected_and_used_again_after_recovery():
    fleet = fleet_lib.Fleet(fleet_lib.FleetConfig())
    fleet.failing_targets.add("t0")
    fleet.run_until(1.0)
    fleet.on_run_ended = lambda job: fleet.submit(
        job.router, job.request.workspace, 400.0, 400.0
    )
    for index in range(40):
        fleet.submit(
            fleet.router_names[index % 3], "ab"[index % 2], 400.0, 400.0
        )
    fleet.run_until(5.0)
    failed = [job for job in fleet.dispatched if job.target == "t0"]
    assert len(failed) <= 16
    fleet.failing_targets.clear()
    fleet.run_until(12.0)
    assert len(fleet.running["t0"]) == fleet.config.slots


def test_at_least_half_of_a_failing_pool_stays_in_use():
    fleet = fleet_lib.Fleet(fleet_lib.FleetConfig(targets=4))
    fleet.failing_targets |= {"t0", "t1", "t2", "t3"}
    fleet.run_until(1.0)
    for index in range(60):
        fleet.submit(fleet.router_names[index % 3], "a", 400.0, 400.0)
    fleet.run_until(3.0)
    (scheduler,) = fleet.list_schedulers()
    slot_table = fleet.nodes[scheduler].schedulers[fleet_lib.POOL].slot_table
    assert (
        len([t for t in slot_table.targets if slot_table.limit(t, fleet.now)])
        >= 2
    )


def test_a_draining_target_gets_no_new_requests():
    fleet = fleet_lib.Fleet(fleet_lib.FleetConfig())
    fleet.run_until(1.0)
    fleet.draining_targets.add("t1")
    fleet.run_until(2.0)
    for index in range(30):
        fleet.submit(fleet.router_names[index % 3], "a", 400.0, 400.0)
    fleet.run_until(6.0)
    assert {job.target for job in fleet.dispatched} == {"t0", "t2"}
    assert fleet.jobs == {}


def test_requests_to_an_unreachable_target_run_on_others():
    fleet = fleet_lib.Fleet(fleet_lib.FleetConfig())
    fleet.run_until(1.0)
    fleet.unreachable_targets.add("t0")
    for index in range(60):
        fleet.submit(
            fleet.router_names[index % 3], "ab"[index % 2], 400.0, 400.0
        )
    fleet.run_until(8.0)
    assert fleet.jobs == {}
    assert fleet.refused == []
    (scheduler,) = fleet.list_schedulers()
    slot_table = fleet.nodes[scheduler].schedulers[fleet_lib.POOL].slot_table
    assert set(slot_table.occupied.values()) <= {0}


def test_a_killed_draining_router_frees_its_slots():
    fleet = fleet_lib.Fleet(fleet_lib.FleetConfig(targets=1, slots=3))
    fleet.run_until(1.0)
    (scheduler,) = fleet.list_schedulers()
    draining_router, other = [
        name for name in fleet.router_names if name != scheduler
    ]
    for _ in range(3):
        fleet.submit(draining_router, "a", 60_000.0, 4000.0)
    fleet.run_until(1.5)
    fleet.send_event(draining_router, events.DrainStarted())
    fleet.run_until(2.0)
    fleet.kill_router(draining_router)
    for _ in range(6):
        fleet.submit(other, "b", 500.0, 500.0)
    fleet.run_until(5.0)
    assert [job.request.workspace for job in fleet.jobs.values()] == ["a"] * 3
