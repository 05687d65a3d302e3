"""Targets that say they are leaving, or that they want no requests for a while.

Both come with responses. That a target leaves is true for the whole fleet and
travels in load reports; a quiet time is asked of one router.
"""

import asyncio
import json

import hypothesis
from hypothesis import strategies
import pytest

from lentilbeam_core import messages
from lentilbeam_core.forwarding import decisions as decisions_lib
from lentilbeam_core.forwarding import limit_parts
from lentilbeam_core.forwarding import loads as loads_lib
from lentilbeam_core.forwarding import target_list
from lentilbeam_core.forwarding import work_sums
from lentilbeam_platform import call_wire
from lentilbeam_router import peer_codec
from tests.forwarding import fake_target
from tests.forwarding import makers
from tests.forwarding import test_forwarding

LEAVING = "Server-Leaving: 1\r\n"
PLAIN = fake_target.make_response(b"done")


def make_turned_away(headers: str) -> bytes:
    """Returns a 503 that says the request was not run."""
    return fake_target.make_response(
        b"", 503, f"Not-Executed: 1\r\n{headers}", seal=""
    )


def make_list(*entries):
    """Returns a target list with these entries."""
    targets = target_list.TargetList()
    for entry in entries:
        targets.put(entry)
    return targets


def list_ready(targets):
    """Returns the names of the ready targets."""
    return [entry.name for entry in targets.find_ready(makers.POOL)]


def call_repeatedly(count, *scripts, **arguments):
    """Sends requests one after the other; returns the targets."""

    async def scenario(router, targets):
        for _ in range(count):
            await router.call(**arguments)
        return targets

    return test_forwarding.run(scripts, scenario)


@pytest.mark.parametrize(
    "leaving",
    [
        fake_target.make_response(b"done", headers=LEAVING),
        fake_target.make_response(b"failed", 500, LEAVING),
        make_turned_away(LEAVING),
    ],
)
def test_target_gets_no_request_after_any_response_that_says_it_leaves(leaving):
    first, second = call_repeatedly(
        12,
        fake_target.make_script(leaving),
        fake_target.make_script(PLAIN),
        path="/look/1",
    )
    assert len(first.heads) <= 1
    assert len(second.heads) >= 11


def test_stream_of_a_target_that_leaves_is_passed_on_to_its_end():
    head = fake_target.make_stream_head()[:-2] + LEAVING.encode() + b"\r\n"
    script = fake_target.make_script(
        head,
        fake_target.encode_chunk(test_forwarding.EVENTS),
        fake_target.encode_chunk(b""),
    )
    response, _ = test_forwarding.call(script)
    assert response.is_complete
    assert response.body == test_forwarding.EVENTS


def test_notice_of_another_instance_at_the_address_does_not_count():
    other = fake_target.make_response(b"", 421, LEAVING, seal="")

    async def scenario(router, _):
        await router.call(path="/look/1")
        return router.dispatcher.targets.leaving

    scripts = [fake_target.make_script(other), fake_target.make_script(PLAIN)]
    assert test_forwarding.run(scripts, scenario) == {}


def test_quiet_target_gets_no_request_until_the_time_ends():
    async def scenario(router, targets):
        for _ in range(8):
            await router.call(path="/look/1")
        during = len(targets[0].heads)
        await asyncio.sleep(0.5)
        for _ in range(8):
            await router.call(path="/look/1")
        return during, len(targets[0].heads)

    scripts = [
        fake_target.make_script(make_turned_away("Retry-After: 0.4\r\n")),
        fake_target.make_script(PLAIN),
    ]
    during, after = test_forwarding.run(scripts, scenario)
    assert during <= 1
    assert after > during


def test_caller_is_told_the_time_left_if_all_targets_are_quiet():
    async def scenario(router, targets):
        await router.call(path="/look/1")
        response = await router.call(path="/look/1")
        return response, sum(len(target.heads) for target in targets)

    busy = fake_target.make_script(make_turned_away("Retry-After: 7.5\r\n"))
    response, received = test_forwarding.run([busy, busy], scenario)
    assert response.status == 503
    assert 7.0 < float(response.headers[b"retry-after"]) < 7.8
    assert received == 2


def test_requests_wait_if_a_quiet_target_returns_in_time():
    queue = makers.make_admission()
    queue.enqueue(makers.make_request("r"), 0.0)
    soon = limit_parts.Supply(unlimited_from=0.2)
    assert queue.decide([], 0.01, lambda: soon) == []
    late = limit_parts.Supply(unlimited_from=0.5)
    (refused,) = queue.decide([], 0.02, lambda: late)
    assert isinstance(refused, decisions_lib.Refused)
    assert refused.retry_after_s >= 0.48


@pytest.mark.parametrize(
    ("headers", "is_leaving", "quiet_s", "bad"),
    [
        (((b"Server-Leaving", b"1"),), True, None, 0),
        (((b"server-leaving", b"0"),), False, None, 1),
        (((b"server-leaving", b"yes"),), False, None, 1),
        (
            ((b"server-leaving", b"1"), (b"server-leaving", b"1")),
            False,
            None,
            1,
        ),
        (((b"Retry-After", b"2.5"),), False, 2.5, 0),
        (((b"retry-after", b"-1"),), False, None, 1),
        (((b"retry-after", b"Fri, 04 Dec 2026 10:00:00 GMT"),), False, None, 1),
        (((b"retry-after", b"1"), (b"retry-after", b"9")), False, None, 1),
        (((b"retry-after", b"nan"),), False, None, 1),
    ],
)
def test_notices_are_decoded_and_invalid_ones_reported(
    headers, is_leaving, quiet_s, bad
):
    response = call_wire.decode_response(503, headers)
    assert response.is_leaving is is_leaving
    assert response.quiet_s == quiet_s
    assert len(response.bad_notices) == bad


@pytest.mark.parametrize(
    ("values", "limit_per_s", "bad"),
    [
        ((b"12",), 12.0, 0),
        ((b" 0.75 ",), 0.75, 0),
        ((b"0",), 0.0, 0),
        ((b"-3",), None, 1),
        ((b"",), None, 1),
        ((b"ten",), None, 1),
        ((b"nan",), None, 1),
        ((b"inf",), None, 1),
        ((b"1e3",), None, 1),
        ((b"9" * 400,), None, 1),
        ((b"5", b"5"), None, 1),
        ((b"5", b"80"), None, 1),
        ((), None, 0),
    ],
)
def test_limits_are_decoded_and_invalid_ones_reported(values, limit_per_s, bad):
    headers = tuple((b"Server-Limit", value) for value in values)
    response = call_wire.decode_response(200, headers)
    assert response.limit_per_s == limit_per_s
    assert len(response.bad_notices) == bad


def test_each_change_of_a_limit_is_logged_once():
    limits = iter(["8", "8", "5", "soon", "5", "5", None, None, None, None])

    async def answer(head, reader, writer):
        del head, reader
        limit = next(limits)
        header = "" if limit is None else f"Server-Limit: {limit}\r\n"
        writer.write(fake_target.make_response(b"done", headers=header))

    async def scenario(router, _):
        for _ in range(10):
            await router.call(path="/look/1")
        return router.read_log()

    log = test_forwarding.run([answer], scenario)
    lines = [json.loads(line) for line in log.splitlines()]
    found = [x["limit_per_s"] for x in lines if x["event"] == "target_limit"]
    assert found == [8.0, 5.0, None]


def test_retry_after_counts_only_with_status_503():
    headers = ((b"retry-after", b"2"),)
    assert call_wire.decode_response(200, headers).quiet_s is None


def test_invalid_notice_is_logged_once_for_each_target():
    bad = fake_target.make_response(b"", headers="Server-Leaving: soon\r\n")

    async def scenario(router, _):
        for _ in range(3):
            await router.call(path="/look/1")
        return router.read_log()

    log = test_forwarding.run([fake_target.make_script(bad)], scenario)
    assert log.count(b"bad_notice") == 1


def test_senseless_quiet_time_is_capped():
    targets = make_list(makers.make_target("t"))
    until = targets.note_quiet("t", 1e9, 10.0)
    assert until == 10.0 + target_list.MAX_QUIET_S


def test_restarted_target_is_used_again():
    targets = make_list(makers.make_target("t", started_at_ms=1))
    assert targets.note_leaving("t", 1)
    targets.note_quiet("t", 5.0, 0.0)
    targets.put(makers.make_target("t", started_at_ms=2))
    assert list_ready(targets) == ["t"]
    assert not targets.is_quiet("t", 0.1)
    assert not targets.note_leaving("t", 1)


def test_leaving_target_stays_so_if_its_entry_says_ready_again():
    leaving = target_list.TargetState.LEAVING
    targets = make_list(makers.make_target("t", state=leaving))
    targets.put(makers.make_target("t"))
    assert list_ready(targets) == []


def test_leaving_target_travels_in_reports_and_sums():
    tracker = loads_lib.LoadTracker()
    (own,) = tracker.export(0.0, {"t": 17}, {})
    assert own.leaving_start_ms == 17
    other = messages.TargetLoad("t", 5.0, 1, 0.0, 0.0)
    terms = [
        work_sums.Term(work_sums.Work((own,))),
        work_sums.Term(work_sums.Work((other,))),
        work_sums.Term(work_sums.Work((own,)), sign=-1),
    ]
    (total,) = work_sums.sum_terms(terms, 1.0).loads
    assert total.leaving_start_ms == 17
    report = messages.LoadReport(
        incarnation=1,
        sequence=1,
        version=1,
        targets_offset=1,
        leaving=False,
        is_ready=True,
        kind=messages.ReportKind.GROUP,
        loads=(total,),
    )
    _, decoded = peer_codec.decode(peer_codec.encode("router", report))
    assert decoded.loads[0].leaving_start_ms == 17


NAMES = strategies.sampled_from(["a", "b"])
EVENTS = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just("start"), NAMES),
        strategies.tuples(strategies.just("leave"), NAMES),
        strategies.tuples(strategies.just("list ready"), NAMES),
        strategies.tuples(strategies.just("remove"), NAMES),
        strategies.tuples(strategies.just("peer knows"), NAMES),
    ),
    max_size=20,
)


@hypothesis.given(EVENTS)
def test_process_that_leaves_is_never_ready_again(events):
    targets = target_list.TargetList()
    starts = dict.fromkeys("ab", 1)
    left = set()
    for event, name in events:
        if event == "start":
            starts[name] += 1
        if event in ("start", "list ready"):
            entry = makers.make_target(name, started_at_ms=starts[name])
            targets.put(entry)
        elif event == "remove":
            targets.remove(name, 0.0)
            # Only a later record of the target shows that it runs again.
            left.discard((name, starts[name]))
        elif targets.note_leaving(name, starts[name]):
            left.add((name, starts[name]))
        for entry in targets.find_ready(makers.POOL):
            assert (entry.name, entry.started_at_ms) not in left
