"""The product's own interface: answers of targets that break off."""

import asyncio
import hashlib
import json
import types

import pytest

from lentilbeam_core import catalogue
from lentilbeam_core import outcome
from lentilbeam_router import answer_feed
from lentilbeam_router import environment
from lentilbeam_router import metrics
from lentilbeam_router import node_task
from lentilbeam_router import relay as relay_lib
from lentilbeam_router import runs
from lentilbeam_router import settings as settings_lib
from lentilbeam_router import target_client
from tests.forwarding import fake_target

MODEL = catalogue.ServiceKind.MODEL
PLAIN = catalogue.ServiceKind.PLAIN
TEXT = "birdie"
DIGEST = hashlib.sha256(TEXT.encode()).hexdigest()
STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"


def encode_event(**fields):
    """Returns an event of a model engine's stream."""
    return f"data: {json.dumps({'request_id': 'r', **fields})}\n\n".encode()


CHUNK = encode_event(type="chunk", offset=0, text=TEXT)
END = encode_event(type="end", length=len(TEXT), sha256=DIGEST)
PLAIN_BODY = json.dumps(
    {
        "request_id": "r",
        "output": TEXT,
        "length": len(TEXT),
        "sha256": DIGEST,
        "busy_ms": 1.0,
    }
).encode()
INTERIM = b"HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n"
ANSWERS = {
    "plain-length": (PLAIN, fake_target.make_response(PLAIN_BODY)),
    "plain-close": (PLAIN, b"HTTP/1.1 200 OK\r\n\r\n" + PLAIN_BODY),
    "plain-interim": (PLAIN, INTERIM + fake_target.make_response(PLAIN_BODY)),
    "model-chunked": (
        MODEL,
        STREAM
        + b"Transfer-Encoding: chunked\r\n\r\n"
        + fake_target.encode_chunk(CHUNK)
        + fake_target.encode_chunk(END)
        + fake_target.encode_chunk(b""),
    ),
    "model-close": (MODEL, STREAM + b"\r\n" + CHUNK + END),
}


def relay_answers(kind, is_idempotent, *cases):
    """Sends requests through relays; the scripts of a case answer one of them.

    Returns the result of `relay_answer` for each case.
    """

    async def relay_all():
        # A client takes tens of milliseconds to create.
        client = target_client.TargetClient(
            settings_lib.Limits(), environment.open_http
        )
        try:
            return await asyncio.gather(
                *(relay_answer(client, s, kind, is_idempotent) for s in cases)
            )
        finally:
            await client.close()

    return asyncio.run(relay_all())


async def relay_answer(client, scripts, kind, is_idempotent):
    """Sends a request through a relay to a target, which answers by scripts.

    Returns:
        The end of the answer (None: queued again), the answer, and the number
        of requests that the target received.
    """
    left = list(scripts)

    async def script(head, reader, writer):
        await left.pop(0)(head, reader, writer)

    target = fake_target.FakeTarget(script)
    entry = await target.start("t0")
    node = types.SimpleNamespace(
        post=lambda event: None,
        metrics=metrics.Metrics(),
        timeline=types.SimpleNamespace(record=lambda *fields: None),
    )
    store = types.SimpleNamespace(
        append=lambda request, feed, data: feed.append(data)
    )
    request = types.SimpleNamespace(
        request_id="r",
        target_request_id="r",
        scoped_id="r",
        workspace="fairway",
        call="generate",
        input={},
        is_idempotent=is_idempotent,
        pool=types.SimpleNamespace(kind=kind, name="assistant"),
        cost_hint=1.0,
        prefix=(),
    )
    feed = answer_feed.AnswerFeed("r")
    run = runs.Run(request, feed, 10.0)
    url = f"http://127.0.0.1:{entry.port}"
    granted = node_task.Granted(catalogue.Target("t0", url, "east", 1))
    try:
        relay = relay_lib.Relay(node, client, store)
        end = await relay.dispatch(run, granted)
        return end, bytes(feed.data), len(target.heads)
    finally:
        await target.stop()


# Guards against MIXED, ORDER and TWICE: an answer that was cut at any byte, in
# its head or after it, is taken for a complete one, or the request runs again.
@pytest.mark.parametrize("then", ["end", "reset"])
@pytest.mark.parametrize("name", ANSWERS)
def test_answer_cut_at_any_byte_is_not_complete(name, then):
    kind, answer = ANSWERS[name]
    # A stream is complete with its end mark, before the last chunk.
    last = answer.rindex(b"}")

    cases = [
        [fake_target.make_script(answer[:cut], then=then)]
        for cut in range(last)
    ]
    whole = [fake_target.make_script(answer, then="end")]
    *cut_answers, (end, data, _) = relay_answers(kind, False, *cases, whole)
    assert isinstance(end, answer_feed.Completed)
    assert data == TEXT.encode()
    for end, data, sent in cut_answers:
        assert end.outcome is outcome.Outcome.OUTCOME_UNKNOWN
        assert TEXT.startswith(data.decode())
        assert sent == 1


# Guards against ORDER and MIXED: a stream broke off, and what the target then
# answers is written into it or ends it as complete.
@pytest.mark.parametrize(
    "answer",
    [
        fake_target.make_response(b"error", 500),
        fake_target.make_response(b"error", 404),
        fake_target.make_response(b"error"),
        STREAM + b"Content-Length: 0\r\n\r\n",
        STREAM + b"\r\n",
        STREAM + b"\r\nerror\n\n",
        STREAM + b"\r\n" + END,
        STREAM[:-9],
        b"",
    ],
)
def test_stream_that_began_takes_nothing_from_another_answer(answer):
    part = encode_event(type="chunk", offset=0, text=TEXT[:3])
    first = fake_target.make_script(STREAM + b"\r\n" + part, then="end")
    other = fake_target.make_script(answer, then="end")
    ((end, data, _),) = relay_answers(MODEL, True, [first, other, other])
    assert not isinstance(end, answer_feed.Completed)
    assert end is not None
    assert data == TEXT[:3].encode()
