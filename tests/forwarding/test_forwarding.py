"""One request on its way, against targets that keep or break the protocol."""

import asyncio

import pytest

from lentilbeam_core.forwarding import configuration
from tests.forwarding import fake_target
from tests.forwarding import path as path_lib

ENGINE = configuration.Engine(64, 800_000)
EVENTS = fake_target.event(1) + fake_target.event(2) + fake_target.event(3)
STREAM = (
    fake_target.stream_head(),
    fake_target.chunk(EVENTS),
    fake_target.chunk(b""),
)
REFUSAL = fake_target.answer(b"", 503, "Not-Executed: 1\r\n", seal="")


def run(scripts, scenario, engine=None):
    """Runs a scenario against targets that answer by these scripts."""

    async def play():
        targets = [fake_target.FakeTarget(script) for script in scripts]
        entries = [
            await target.start(f"t{n}") for n, target in enumerate(targets)
        ]
        path = path_lib.Path(entries, engine=engine)
        try:
            return await asyncio.wait_for(scenario(path, targets), 20)
        finally:
            path.pool.close()
            for target in targets:
                await target.stop()

    return asyncio.run(play())


def call(*scripts, **arguments):
    """Sends one request; returns what the caller and the targets saw."""

    async def scenario(path, targets):
        return await path.call(**arguments), targets

    return run(scripts, scenario)


def count_runs(targets):
    return sum(len(target.heads) for target in targets)


def test_an_answer_comes_back_unchanged_with_its_proof():
    seen, _ = call(
        fake_target.saying(fake_target.answer(b"hello")), path="/book/1"
    )
    assert (seen.status, seen.body, seen.is_whole) == (200, b"hello", True)
    assert seen.headers[b"response-seal"] == b"s"


def test_a_target_gets_the_request_as_sent_and_what_the_system_sets():
    seen, (target,) = call(
        fake_target.saying(fake_target.answer(b"")),
        path="/book/1",
        body=b"two bays",
        tenant_id="forged",
        kv_from="forged",
        request_deadline="1500",
        x_note="kept",
    )
    assert seen.status == 200
    (head,) = target.heads
    assert head.startswith(b"POST /book/1 HTTP/1.1\r\n")
    assert b"x-note: kept" in head
    assert b"tenant-id: ashby" in head
    assert b"expected-instance: t0" in head
    assert b"forged" not in head
    assert path_lib.KEY.encode() not in head
    assert target.bodies == [b"two bays"]


def test_events_are_passed_on_to_the_end_mark():
    seen, _ = call(fake_target.saying(*STREAM))
    assert (seen.status, seen.body, seen.is_whole) == (200, EVENTS, True)


def test_a_stream_that_breaks_goes_on_at_another_target():
    first = fake_target.saying(
        fake_target.stream_head(),
        fake_target.chunk(fake_target.event(1) + b"id: 2\nda"),
        then="reset",
    )

    async def second(head, reader, writer):
        assert b"last-event-id: 1\r\n" in head.lower()
        rest = fake_target.event(2) + fake_target.event(3)
        for piece in (
            fake_target.stream_head(),
            fake_target.chunk(rest),
            fake_target.chunk(b""),
        ):
            writer.write(piece)

    async def either(head, reader, writer):
        script = second if b"last-event-id" in head.lower() else first
        await script(head, reader, writer)

    seen, targets = call(either, either)
    assert (seen.body, seen.is_whole) == (EVENTS, True)
    assert [len(target.heads) for target in targets] == [1, 1]


@pytest.mark.parametrize("then", ["reset", "end"])
def test_a_stream_that_ends_early_never_looks_complete(then):
    script = fake_target.saying(
        fake_target.stream_head(),
        fake_target.chunk(fake_target.event(1)),
        then=then,
    )
    seen, _ = call(script, script)
    assert not seen.is_whole


def test_a_booking_whose_answer_is_lost_is_not_sent_again():
    script = fake_target.saying(then="reset")
    seen, targets = call(script, script, path="/book/1")
    assert seen.status == 502
    assert count_runs(targets) == 1


def test_a_booking_that_was_not_run_is_tried_elsewhere():
    async def script(head, reader, writer):
        writer.write(fake_target.answer(b"done") if script.called else REFUSAL)
        script.called = True

    script.called = False
    seen, targets = call(script, script, path="/book/1")
    assert (seen.status, seen.body) == (200, b"done")
    assert count_runs(targets) == 2


def test_a_booking_that_no_target_ran_is_refused_with_a_time_to_return():
    script = fake_target.saying(REFUSAL)
    seen, _ = call(script, script, path="/book/1")
    assert seen.status == 503
    assert float(seen.headers[b"retry-after"]) > 0


def test_a_failure_of_the_target_keeps_its_status_and_proof():
    script = fake_target.saying(fake_target.answer(b"no", 500))
    seen, targets = call(script, path="/book/1")
    assert (seen.status, seen.body) == (500, b"no")
    assert seen.headers[b"response-seal"] == b"s"
    assert count_runs(targets) == 1


def test_a_look_up_that_failed_is_tried_at_another_target():
    async def script(head, reader, writer):
        status = 200 if script.called else 500
        script.called = True
        writer.write(fake_target.answer(b"x", status))

    script.called = False
    seen, targets = call(script, script, path="/look/1")
    assert seen.status == 200
    assert [len(target.heads) for target in targets] == [1, 1]


def test_an_answer_to_another_request_is_nobodys():
    script = fake_target.saying(fake_target.answer(b"other", name="late"))
    seen, _ = call(script, path="/book/1")
    assert seen.status == 502
    assert b"other" not in seen.body


def test_a_success_without_a_proof_is_not_passed_on():
    script = fake_target.saying(fake_target.answer(b"x", seal=""))
    seen, _ = call(script, path="/book/1")
    assert seen.status == 502


def test_a_truncated_answer_is_not_passed_on():
    whole = fake_target.answer(b"0123456789")
    script = fake_target.saying(whole[:-3], then="end")
    seen, _ = call(script, path="/book/1")
    assert seen.status == 502


def test_an_answer_without_a_length_ends_with_its_connection():
    head = b"HTTP/1.1 200 OK\r\nRequest-Id: r\r\nResponse-Seal: s\r\n\r\n"
    seen, _ = call(fake_target.saying(head, b"abc", then="end"), path="/book/1")
    assert (seen.status, seen.body, seen.is_whole) == (200, b"abc", True)
    seen, _ = call(
        fake_target.saying(head, b"abc", then="reset"), path="/book/1"
    )
    assert seen.status == 502


def test_bytes_after_a_whole_answer_reach_no_later_request():
    extra = fake_target.answer(b"first") + fake_target.answer(b"extra")

    async def scenario(path, targets):
        first = await path.call(path="/look/1")
        await asyncio.sleep(0.05)
        second = await path.call(path="/look/1")
        return first, second, targets[0].connections

    first, second, connections = run([fake_target.saying(extra)], scenario)
    assert (first.body, second.body) == (b"first", b"first")
    assert connections == 2


def test_another_instance_at_the_address_is_not_run_there():
    moved = fake_target.saying(fake_target.answer(b"", 421, seal=""))
    seen, _ = call(moved, path="/book/1")
    assert seen.status == 503


def test_a_caller_that_leaves_ends_the_work_at_the_target():
    async def scenario(path, targets):
        await path.call(leave_after_s=0.05)
        await asyncio.wait_for(targets[0].closed.wait(), 1.0)
        return path.dispatcher.loads.sent_requests

    head = fake_target.stream_head() + fake_target.chunk(fake_target.event(1))
    assert run([fake_target.saying(head, then="hang")], scenario) == {}


def test_the_time_of_a_route_ends_with_a_final_answer():
    hang = fake_target.saying(then="hang")
    seen, _ = call(hang, path="/book/1", request_deadline="200")
    assert seen.status == 504


def test_no_target_is_refused_as_not_run():
    seen, _ = call(path="/look/1")
    assert seen.status == 503
    assert b"retry-after" in seen.headers


@pytest.mark.parametrize(
    ("arguments", "status"),
    [
        ({"path": "/none/1"}, 404),
        ({"host": "other.example"}, 404),
        ({"api_key": "unknown"}, 401),
        ({"api_key": None}, 401),
        ({"request_id": None}, 400),
        ({"body": b"x" * 5_000_000}, 413),
    ],
)
def test_what_no_configuration_allows_is_denied(arguments, status):
    script = fake_target.saying(fake_target.answer(b""))
    seen, targets = call(script, **{"path": "/book/1", **arguments})
    assert seen.status == status
    assert count_runs(targets) == 0


def test_bookings_get_fresh_connections_and_look_ups_reuse_them():
    script = fake_target.saying(fake_target.answer(b"x"))

    async def scenario(path, targets):
        for route in ("/look/1", "/look/1", "/book/1", "/book/1"):
            assert (await path.call(path=route)).status == 200
        return targets[0].connections

    assert run([script], scenario) == 3


def test_each_decision_on_a_request_is_logged_with_its_id():
    async def scenario(path, targets):
        del targets
        await path.call()
        return path.read_log()

    log = run([fake_target.saying(*STREAM)], scenario, ENGINE)
    assert b'"request":"r","event":"sent","target":"t0"' in log
    assert b'"event":"completed"' in log
