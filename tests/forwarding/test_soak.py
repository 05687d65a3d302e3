"""The soak test finds violated guarantees; a short run of it finds none."""

import asyncio
import types

import pytest

from soak import callers
from soak import checks
from soak import disturbances
from soak import run as run_lib
from soak import world as world_lib

BODY = "".join(f"id: {n}\ndata: word{n}\n\n" for n in range(1, 21)).encode()
CI_SEED = 1
CI_LENGTH_S = 6.0


def make_record(path="/book/x", **changes):
    """Returns the record of a request that was served."""
    values = {
        "request_id": "r",
        "path": path,
        "router": "router-1",
        "sent_at": 100.0,
        "ended_at": 101.0,
        "end": callers.CallEnd.ANSWERED,
        "status": 200,
        "body": BODY if path.startswith("/chat/") else b"done",
        "headers": {"request-id": "r"},
    }
    return callers.CallRecord(**{**values, **changes})


def find_violations(
    *records, runs=(), disturbance_log=None, leaving_since=None, published=()
):
    injector = types.SimpleNamespace(
        disturbance_log=disturbance_log or disturbances.DisturbanceLog(),
        leaving_since=leaving_since or {},
        published=list(published),
        unexpected_exits=[],
    )
    return checks.find_violations(
        checks.Observations(list(records), list(runs), injector)
    )


def test_what_was_served_as_promised_is_no_finding():
    records = (
        make_record(),
        make_record("/chat/x", request_id="s", headers={"request-id": "s"}),
    )
    assert (
        find_violations(*records, runs=[("t1", "r", 100.1), ("t1", "s", 100.1)])
        == []
    )


@pytest.mark.parametrize(
    "record",
    [
        make_record("/chat/x", body=BODY[:-40]),
        make_record(headers={"request-id": "another"}),
    ],
)
def test_cut_and_foreign_answers_are_found(record):
    assert len(find_violations(record)) == 1


def test_a_refusal_of_what_ran_is_found():
    record = make_record(status=503, body=b"", headers={})
    assert find_violations(record) == []
    assert len(find_violations(record, runs=[("t1", "r", 100.1)])) == 1


def test_a_second_run_is_found_if_it_was_a_booking():
    runs = [("t1", "r", 100.1), ("t2", "r", 100.2)]
    assert find_violations(make_record("/look/x"), runs=runs) == []
    assert len(find_violations(make_record("/book/x"), runs=runs)) == 1


def test_a_cut_is_found_beside_planned_work_but_not_beside_a_kill():
    record = make_record(end=callers.CallEnd.ABORTED, status=0, body=b"")
    runs = [("t1", "r", 100.1)]
    disturbance_log = disturbances.DisturbanceLog()
    disturbance_log.add(disturbances.Kind.TERMINATE, "router-1", 100.0)
    assert (
        len(find_violations(record, runs=runs, disturbance_log=disturbance_log))
        == 1
    )
    disturbance_log.add(disturbances.Kind.KILL, "t1", 100.5)
    assert (
        find_violations(record, runs=runs, disturbance_log=disturbance_log)
        == []
    )


def test_new_work_at_a_leaving_target_is_found():
    runs = [("t1", "r", 100.1)]
    assert (
        find_violations(make_record(), runs=runs, leaving_since={"t1": 98.0})
        == []
    )
    assert (
        len(
            find_violations(
                make_record(), runs=runs, leaving_since={"t1": 90.0}
            )
        )
        == 1
    )


def test_a_configuration_that_is_late_or_reverts_is_found():
    late = make_record("/v2/x", status=404, body=b"", headers={})
    assert find_violations(late, published=[(99.0, "/v2/")]) == []
    assert len(find_violations(late, published=[(90.0, "/v2/")])) == 1
    known = make_record("/v2/x", sent_at=98.0, ended_at=99.0)
    assert find_violations(known, late) == ["/v2/x forgotten at router-1"]


def test_a_short_soak_finds_no_broken_promise(tmp_path):
    settings = run_lib.Settings(seed=CI_SEED, length_s=CI_LENGTH_S)
    result = asyncio.run(run_lib.run_seed(settings, tmp_path))
    assert result.violations == []
    assert result.end_counts["200"] > 0


def test_a_write_goes_through_once_the_store_is_back(tmp_path):
    async def scenario():
        world = world_lib.SoakWorld(tmp_path)
        try:
            await world.start(routers=0, targets=0)
            await world.set_faults(is_down=True)
            writing = asyncio.create_task(
                world.write("keyed.servers", "t", b"{}")
            )
            await asyncio.sleep(world_lib.WRITE_RETRY_S)
            assert not writing.done()
            await world.set_faults()
            await writing
        finally:
            await world.stop()

    asyncio.run(scenario())
