"""Checks of the soak on made-up records, and a short run of the soak."""

import asyncio
import types

import pytest

from soak import callers
from soak import checks
from soak import disturbances
from soak import run as run_lib
from soak import world as world_lib

BODY = "".join(f"id: {n}\ndata: word{n} v1\n\n" for n in range(1, 21)).encode()
CI_SEED = 1
CI_DURATION_S = 6.0


def make_record(path="/book/x", **changes):
    """Returns the record of a call that was answered.

    Args:
        path: path of the request.
        **changes: other values for fields of the record.
    """
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
    *records,
    runs=(),
    disturbance_log=None,
    draining_since=None,
    published=(),
    evacuations=(),
    cold=(),
):
    """Returns the violations that the checks find in made-up records.

    Args:
        *records: records of calls.
        runs: target, request and monotonic seconds of each run at a target.
        disturbance_log: the disturbances; None if there were none.
        draining_since: when each draining target was listed as draining, in
            monotonic seconds.
        published: when each configuration was published, monotonic seconds,
            and the path prefix that it added.
        evacuations: data centre, begin and end of each evacuation.
        cold: target, begin and end of each time in which it was cold.
    """
    injector = types.SimpleNamespace(
        disturbance_log=disturbance_log or disturbances.DisturbanceLog(),
        draining_since=draining_since or {},
        published=list(published),
        evacuations=list(evacuations),
        world=types.SimpleNamespace(cold=list(cold)),
        exit_violations=[],
    )
    return checks.find_violations(
        checks.Observations(list(records), list(runs), injector)
    )


# Guards against a soak that overlooks EVAC, or reports what is allowed.
@pytest.mark.parametrize(
    ("zone", "since", "until", "count"),
    [
        ("east", 90.0, 110.0, 1),
        ("west", 90.0, 110.0, 0),
        ("east", 98.0, 110.0, 0),
        ("east", 90.0, 100.0, 0),
    ],
)
def test_request_to_an_evacuated_data_centre_is_a_violation(
    zone, since, until, count
):
    assert world_lib.find_zone("t1") == "east"
    found = find_violations(
        make_record(),
        runs=[("t1", "r", 100.1)],
        evacuations=[(zone, since, until)],
    )
    assert len(found) == count


# Guards against a soak that overlooks FAILBACK, or reports what is allowed.
@pytest.mark.parametrize(
    ("count", "since", "violations"),
    [(21, 99.0, 1), (20, 99.0, 0), (21, 103.0, 0)],
)
def test_too_many_requests_to_a_cold_target_are_a_violation(
    count, since, violations
):
    records = [
        make_record(request_id=f"r{n}", headers={"request-id": f"r{n}"})
        for n in range(count)
    ]
    runs = [("t1", f"r{n}", 100.0 + 0.04 * n) for n in range(count)]
    found = find_violations(*records, runs=runs, cold=[("t1", since, 104.0)])
    assert len(found) == violations


def make_taken_up(version="v1", first=11):
    """Returns the records of a stream that was cut and taken up once.

    Args:
        version: version that wrote the second half.
        first: number of the first event of the second half.
    """
    begun = BODY[: BODY.index(b"id: 11\n")]
    rest = BODY[BODY.index(b"id: %d\n" % first) :]
    cut = make_record(
        "/chat/x", body=begun, end=callers.CallEnd.ABORTED, status=200
    )
    taken_up = make_record(
        "/chat/x",
        request_id="s",
        headers={"request-id": "s"},
        body=rest.replace(b" v1", f" {version}".encode()),
        resumes="r",
        resume_after=first - 1,
    )
    return cut, taken_up


def test_a_stream_that_was_taken_up_is_no_violation():
    assert find_violations(*make_taken_up()) == []


@pytest.mark.parametrize("changes", [{"version": "v2"}, {"first": 10}])
def test_a_stream_with_two_versions_or_repeated_events_is_a_violation(changes):
    assert len(find_violations(*make_taken_up(**changes))) == 1


def test_correct_responses_are_no_violation():
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
def test_truncated_or_wrong_response_is_a_violation(record):
    assert len(find_violations(record)) == 1


def test_refusal_of_a_request_that_ran_is_a_violation():
    record = make_record(status=503, body=b"", headers={})
    assert find_violations(record) == []
    assert len(find_violations(record, runs=[("t1", "r", 100.1)])) == 1


def test_second_run_is_a_violation_only_for_a_booking():
    runs = [("t1", "r", 100.1), ("t2", "r", 100.2)]
    assert find_violations(make_record("/look/x"), runs=runs) == []
    assert len(find_violations(make_record("/book/x"), runs=runs)) == 1


def test_aborted_response_is_a_violation_unless_a_process_was_killed():
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


# Guards against LOST: a stopped router leaves its requests to its web server.
def test_answer_of_the_web_server_is_a_violation():
    answer = make_record(status=500, headers={}, body=b"")
    assert len(find_violations(answer)) == 1
    passed_on = make_record(status=500, body=b"")
    assert not find_violations(passed_on)


def test_new_request_at_a_draining_target_is_a_violation():
    runs = [("t1", "r", 100.1)]
    assert (
        find_violations(make_record(), runs=runs, draining_since={"t1": 98.0})
        == []
    )
    assert (
        len(
            find_violations(
                make_record(), runs=runs, draining_since={"t1": 90.0}
            )
        )
        == 1
    )


def test_late_or_reverted_configuration_is_a_violation():
    not_found = make_record("/v2/x", status=404, body=b"", headers={})
    assert find_violations(not_found, published=[(99.0, "/v2/")]) == []
    assert len(find_violations(not_found, published=[(90.0, "/v2/")])) == 1
    found = make_record("/v2/x", sent_at=98.0, ended_at=99.0)
    assert find_violations(found, not_found) == ["/v2/x forgotten at router-1"]


def test_short_soak_finds_no_violation(tmp_path):
    settings = run_lib.Settings(seed=CI_SEED, length_s=CI_DURATION_S)
    result = asyncio.run(run_lib.run_seed(settings, tmp_path))
    assert result.violations == []
    assert result.end_counts["200"] > 0


def test_write_is_retried_until_the_store_returns(tmp_path):
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
