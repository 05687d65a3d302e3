"""Targets whose answers don't end, fall silent, or end with the connection."""

import asyncio
import time

import pytest

from tests.forwarding import fake_target
from tests.forwarding import test_forwarding

DEADLINE_MS = "4000"
MAX_ENDLESS_S = 2.0
"""Time, in seconds, within which a router must have closed a connection on
which bytes come without end; well before the deadline of the request."""
PIECE = b"x" * 4096


def send_endlessly(first, piece):
    """Returns a script that sends `piece` until the router closes."""

    async def script(head, reader, writer):
        del head, reader
        writer.write(first)
        while True:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)

    return script


HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r\r\nResponse-Seal: s\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


# Guards against endless bytes: a router that reads them until the deadline
# fills its memory and has no time for its other callers.
@pytest.mark.parametrize(
    ("first", "piece"),
    [
        (b"HTTP/1.1 200 OK\r\nX-Long: ", PIECE),
        (HEAD, b"X-Many: 1\r\n" * 100),
        (b"", PIECE),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
        (CHUNKED, fake_target.encode_chunk(PIECE)),
        (CHUNKED + b"5;", PIECE),
        (HEAD + b"\r\n", PIECE),
    ],
    ids=[
        "header",
        "headers",
        "no-head",
        "interim-heads",
        "event",
        "chunk-extension",
        "event-until-close",
    ],
)
def test_endless_bytes_end_the_attempt_early(first, piece):
    async def scenario(router, targets):
        started_at = time.monotonic()
        call = asyncio.ensure_future(router.call(request_deadline=DEADLINE_MS))
        await asyncio.wait_for(targets[0].closed.wait(), MAX_ENDLESS_S)
        closed_s = time.monotonic() - started_at
        return closed_s, await call

    closed_s, response = test_forwarding.run(
        [send_endlessly(first, piece)], scenario
    )
    assert closed_s <= MAX_ENDLESS_S
    assert response.status in (502, 503)


# Guards against LOST: a sound target that falls silent for a second and goes
# on is given up or avoided.
@pytest.mark.parametrize("path", ["/chat/x", "/book/1"])
def test_target_that_falls_silent_for_a_while_is_waited_for(path):
    async def answer_late(head, reader, writer):
        del reader
        await asyncio.sleep(1.3)
        if b"/chat/" not in head:
            writer.write(fake_target.make_response(b"done"))
            return
        writer.write(fake_target.make_stream_head())
        writer.write(fake_target.encode_chunk(fake_target.make_event(1)))
        await asyncio.sleep(1.3)
        writer.write(fake_target.encode_chunk(fake_target.make_event(2)))
        writer.write(fake_target.encode_chunk(b""))

    async def scenario(router, targets):
        responses = [await router.call(path=path) for _ in range(2)]
        return responses, targets[0].connections

    responses, _ = test_forwarding.run([answer_late], scenario)
    assert [(r.status, r.is_complete) for r in responses] == [(200, True)] * 2


UNTIL_CLOSE = HEAD + b"Content-Type: text/event-stream\r\n\r\n"


# Guards against MIXED and ORDER: an answer without a length that ends with its
# connection is taken for broken, or a broken one for complete.
@pytest.mark.parametrize(
    ("events", "then", "is_complete"),
    [
        (test_forwarding.EVENTS, "end", True),
        (test_forwarding.EVENTS, "reset", False),
        (test_forwarding.EVENTS + b"id: 4\nda", "end", False),
        (b"", "end", False),
    ],
    ids=["whole", "reset", "inside-an-event", "no-event"],
)
def test_stream_without_a_length_ends_with_its_connection(
    events, then, is_complete
):
    response, _ = test_forwarding.call(
        fake_target.make_script(UNTIL_CLOSE, events, then=then)
    )
    assert (response.status == 200 and response.is_complete) == is_complete
