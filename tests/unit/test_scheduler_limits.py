"""Limits hold fleet-wide; only what exceeds them is refused, at once."""

from lentilbeam_core import catalogue
from lentilbeam_core import events
from lentilbeam_core import outcome
from tests.unit import fleet

Reason = outcome.RefusalReason


def run_limited(limits, requests, until, **changes):
    """Sends `requests` of workspace "a" at second 1, over all routers."""
    shape = fleet.Shape(limits={"a": limits}, **changes)
    run = fleet.Fleet(shape)
    run.run(1.0)
    for index in range(requests):
        run.submit(run.names[index % 3], "a", 500.0, 500.0)
    most = 0
    while run.now < until:
        run.run(run.now + 0.01)
        most = max(most, run.busy())
    return run, most


def test_concurrency_holds_fleet_wide():
    limits = catalogue.Limits(concurrency=3)
    run, most = run_limited(limits, 30, 8.0)
    assert most == 3
    assert len(run.dispatched) == 30


def test_concurrency_holds_through_a_cut():
    limits = catalogue.Limits(concurrency=3)
    shape = fleet.Shape(limits={"a": limits}, loss=0.0)
    run = fleet.Fleet(shape)
    run.run(1.0)
    run.cut(["r0"], ["r1", "r2"])
    run.run(3.0)
    for index in range(30):
        run.submit(run.names[index % 3], "a", 500.0, 500.0)
    most = 0
    while run.now < 8.0:
        run.run(run.now + 0.01)
        most = max(most, run.busy())
    assert most == 3


def test_rate_holds_fleet_wide():
    limits = catalogue.Limits(rate_per_s=4.0)
    run, _ = run_limited(limits, 60, 6.0)
    burst = 4
    assert 16 <= len(run.dispatched) <= 4 * 5 + burst


def test_only_the_flooding_workspace_is_refused_and_at_once():
    limits = catalogue.Limits(queue_length=32)
    shape = fleet.Shape(limits={"a": limits, "b": limits})
    run = fleet.Fleet(shape)
    run.run(1.0)
    for tick in range(200):
        run.run(1.0 + tick * 0.02)
        for name in run.names:
            run.submit(name, "a", 800.0, 800.0)
            run.submit(name, "a", 800.0, 800.0)
        if tick % 10 == 0:
            run.submit("r1", "b", 800.0, 800.0)
        queued = [
            job
            for job in run.jobs.values()
            if job.request.workspace == "a" and not job.target
        ]
        assert len(queued) <= 32 + 3 * 8
    assert run.refused
    for at, job, effect in run.refused:
        assert job.request.workspace == "a"
        assert effect.reason is Reason.QUEUE_FULL
        assert effect.retry_after_s > 0
        assert at == job.sent_at


def test_too_large_and_unknown_are_refused_at_once():
    run = fleet.Fleet(fleet.Shape(weights={"a": 1.0}))
    run.submit("r0", "a", 1.0, hint=1e9)
    run.submit("r0", "nobody", 1.0)
    reasons = [effect.reason for _, _, effect in run.refused]
    assert reasons == [Reason.TOO_LARGE, Reason.UNKNOWN_WORKSPACE]


def test_an_unreachable_deadline_is_refused_at_once():
    run = fleet.Fleet(fleet.Shape(weights={"a": 1.0}))
    run.run(1.0)
    for _ in range(50):
        run.submit("r0", "a", 1000.0, 1000.0)
    run.run(2.5)
    name = run.submit("r0", "a", 1000.0, 1000.0, patience_s=0.5)
    ((at, job, effect),) = run.refused
    assert (at, job.request.name) == (2.5, name)
    assert effect.reason is Reason.DEADLINE_UNREACHABLE
    assert effect.retry_after_s > 0.5


def test_a_failing_target_is_ejected_and_taken_back():
    run = fleet.Fleet(fleet.Shape())
    run.broken.add("t0")
    run.run(1.0)
    run.on_end = lambda job: run.submit(
        job.router, job.request.workspace, 400.0, 400.0
    )
    for index in range(40):
        run.submit(run.names[index % 3], "ab"[index % 2], 400.0, 400.0)
    run.run(5.0)
    failed = [job for job in run.dispatched if job.target == "t0"]
    assert len(failed) <= 16
    run.broken.clear()
    run.run(12.0)
    assert len(run.running["t0"]) == run.shape.slots


def test_a_pool_of_failing_targets_is_never_ejected_whole():
    run = fleet.Fleet(fleet.Shape(targets=4))
    run.broken |= {"t0", "t1", "t2", "t3"}
    run.run(1.0)
    for index in range(60):
        run.submit(run.names[index % 3], "a", 400.0, 400.0)
    run.run(3.0)
    (scheduler,) = run.schedulers()
    slot_table = run.nodes[scheduler].schedulers[fleet.POOL].slot_table
    assert (
        len([t for t in slot_table.targets if slot_table.limit(t, run.now)])
        >= 2
    )


def test_a_draining_target_gets_no_new_work():
    run = fleet.Fleet(fleet.Shape())
    run.run(1.0)
    run.draining.add("t1")
    run.run(2.0)
    for index in range(30):
        run.submit(run.names[index % 3], "a", 400.0, 400.0)
    run.run(6.0)
    assert {job.target for job in run.dispatched} == {"t0", "t2"}
    assert run.jobs == {}


def test_requests_that_reach_no_target_run_elsewhere():
    run = fleet.Fleet(fleet.Shape())
    run.run(1.0)
    run.unreachable.add("t0")
    for index in range(60):
        run.submit(run.names[index % 3], "ab"[index % 2], 400.0, 400.0)
    run.run(8.0)
    assert run.jobs == {}
    assert run.refused == []
    (scheduler,) = run.schedulers()
    slot_table = run.nodes[scheduler].schedulers[fleet.POOL].slot_table
    assert set(slot_table.occupied.values()) <= {0}


def test_a_leaving_router_that_dies_holds_no_slots():
    run = fleet.Fleet(fleet.Shape(targets=1, slots=3))
    run.run(1.0)
    (scheduler,) = run.schedulers()
    leaver, other = [name for name in run.names if name != scheduler]
    for _ in range(3):
        run.submit(leaver, "a", 60_000.0, 4000.0)
    run.run(1.5)
    run.tell(leaver, events.DrainStarted())
    run.run(2.0)
    run.kill(leaver)
    for _ in range(6):
        run.submit(other, "b", 500.0, 500.0)
    run.run(5.0)
    assert [job.request.workspace for job in run.jobs.values()] == ["a"] * 3
