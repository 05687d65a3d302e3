"""Answers that break off, and what the answer of the next target adds to them.

Callers whose bytes matter read them from a real connection.
"""

import asyncio
import re

import pytest

from lentilbeam_router.forwarding import caller_channel
from tests.forwarding import fake_target
from tests.forwarding import raw_caller
from tests.forwarding import test_forwarding

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r\r\nResponse-Seal: s\r\n"
STREAM = HEAD + b"Content-Type: text/event-stream\r\n"
JSON = "Content-Type: application/json\r\n"
EVENTS = [fake_target.make_event(number) for number in range(1, 6)]
ERROR = b"id: 2\ndata: error\n\n"
LARGE = ERROR * 5_000
NO_BODY = b"Content-Length: 0\r\n\r\n"
LAST_CHUNK = fake_target.encode_chunk(b"")


def make_broken_stream(number=1):
    """Returns a script of a stream that breaks off after an event."""
    data = EVENTS[number - 1] + b"id: 9\nda"
    return fake_target.make_script(
        fake_target.make_stream_head(),
        fake_target.encode_chunk(data),
        then="reset",
    )


def make_stream(*events, head=None, end=LAST_CHUNK):
    """Returns the bytes of a stream; each event is a chunk of its own."""
    head = head or fake_target.make_stream_head()
    return head + b"".join(map(fake_target.encode_chunk, events)) + end


NEXT_ANSWERS = {
    "404": fake_target.make_response(ERROR, 404),
    "400-large": fake_target.make_response(LARGE, 400),
    "302": fake_target.make_response(ERROR, 302, "Location: /x\r\n"),
    "304": HEAD.replace(b"200", b"304") + b"\r\n",
    "429-not-run": fake_target.make_response(
        ERROR, 429, "Not-Executed: 1\r\n", seal=""
    ),
    "421": fake_target.make_response(ERROR, 421, seal=""),
    "500": fake_target.make_response(ERROR, 500),
    "500-large": fake_target.make_response(LARGE, 500),
    "503-large": fake_target.make_response(LARGE, 503, seal=""),
    "200-json": fake_target.make_response(ERROR, 200, JSON),
    "200-json-large": fake_target.make_response(LARGE, 200, JSON),
    "200-json-empty": fake_target.make_response(b"", 200, JSON),
    "200-no-type": fake_target.make_response(ERROR),
    "200-no-type-empty": HEAD + NO_BODY,
    "204": HEAD.replace(b"200", b"204") + b"\r\n",
    "206": (STREAM + NO_BODY).replace(b"200", b"206"),
    "200-no-seal": fake_target.make_response(ERROR, seal=""),
    "200-other-id": make_stream(
        ERROR, head=fake_target.make_stream_head("other")
    ),
    "200-encoded": STREAM + b"Content-Encoding: gzip\r\n" + NO_BODY,
    "200-by-close-empty": STREAM + b"\r\n",
    "error-event": make_stream(b"event: error\ndata: error\n\n"),
    "error-text": make_stream(b"error\n\n"),
    "no-head": b"",
    "half-a-head": STREAM,
    "not-http": b"error\r\n\r\n",
    "interim-only": b"HTTP/1.1 103 Early Hints\r\nX-Error: 1\r\n\r\n",
    "chunk-cut": make_stream(end=b"20\r\nid: 2\nda"),
    "last-chunk-cut": make_stream(end=b"0\r\n"),
}


# Guards against ORDER and MIXED: the answer of the next target, which is none
# that goes on with the stream, is written into it or ends it as complete.
@pytest.mark.parametrize("answer", NEXT_ANSWERS.values(), ids=NEXT_ANSWERS)
def test_stream_that_began_takes_nothing_from_another_answer(answer):
    response, heads, log = raw_caller.exchange(
        make_broken_stream(), fake_target.make_script(answer, then="end")
    )
    assert (response.status, response.body) == (200, EVENTS[0])
    assert not response.is_whole
    assert b"rror" not in response.raw
    assert response.raw.count(b"HTTP/1.1") == 1
    assert [b"last-event-id: 1\r\n" in head for head in heads].count(True) == 1
    assert b'"event":"fault"' not in log


# Guards against ORDER: a target that had only opened its answer, by a comment,
# when it closed is taken for one that has only the end of the stream left.
def test_stream_that_began_is_not_ended_by_a_comment_and_a_close():
    answer = STREAM + b"\r\n: hello\n\n"
    response, _, _ = raw_caller.exchange(
        make_broken_stream(), fake_target.make_script(answer, then="end")
    )
    assert response.status == 200
    assert not response.is_whole


# Guards against LOST: a stream is given up though an attempt is left after an
# answer that does not go on with it.
@pytest.mark.parametrize("name", ["404", "421", "500-large", "200-json", "204"])
def test_stream_goes_on_at_a_third_target_after_another_answer(name):
    response, heads, _ = raw_caller.exchange(
        make_broken_stream(),
        fake_target.make_script(NEXT_ANSWERS[name]),
        fake_target.make_script(make_stream(*EVENTS[1:3])),
        attempts=3,
    )
    assert (response.body, response.is_whole) == (b"".join(EVENTS[:3]), True)
    assert len(heads) == 3


# Guards against LOST: the answer of a target that has only the end of a stream
# left, or that opens with a comment, is taken for another one.
@pytest.mark.parametrize(
    ("answer", "events"),
    [
        (make_stream(), 1),
        (STREAM + NO_BODY, 1),
        (make_stream(end=b"0\r\nX-Trailer: error\r\n\r\n"), 1),
        (make_stream(b": hello\nretry: 9\n\n", EVENTS[1]), 2),
        (make_stream(EVENTS[1]).replace(b"-stream", b"-Stream; a=b"), 2),
    ],
    ids=["last-chunk", "no-length", "trailer", "opening", "parameter"],
)
def test_stream_goes_on_with_a_whole_event_stream(answer, events):
    response, _, log = raw_caller.exchange(
        make_broken_stream(), fake_target.make_script(answer)
    )
    assert response.is_whole
    body = response.body.replace(b": hello\nretry: 9\n\n", b"")
    assert body == b"".join(EVENTS[:events])
    assert b"error" not in response.raw and b'"event":"fault"' not in log


# Guards against MIXED: after a large answer that breaks off, a second answer
# follows in the same response, since the caller's request names an event.
@pytest.mark.parametrize(
    ("path", "first"),
    [
        ("/look/1", fake_target.make_response(LARGE)),
        ("/chat/x", fake_target.make_response(LARGE, 404)),
        ("/chat/x", fake_target.make_response(LARGE, 500)),
    ],
)
@pytest.mark.parametrize("second", ["stream", "plain"])
def test_plain_answer_that_began_takes_nothing_from_another_answer(
    path, first, second
):
    answers = {
        "stream": make_stream(EVENTS[1]),
        "plain": fake_target.make_response(b"again"),
    }
    response, heads, log = raw_caller.exchange(
        fake_target.make_script(first[:-10], then="reset"),
        fake_target.make_script(answers[second]),
        path=path,
        headers="Last-Event-Id: 1\r\nResumes: q\r\n",
    )
    assert not response.is_whole
    assert LARGE.startswith(response.body)
    assert response.raw.count(b"HTTP/1.1") == 1
    assert len(heads) == 1
    assert b'"event":"fault"' not in log


# Guards against ORDER: events that came with an invalid one were not passed on,
# but the next target is asked for what follows them.
@pytest.mark.parametrize(
    "invalid",
    [EVENTS[4], b"id: 3\ndata: " + b"x" * 70_000],
    ids=["out-of-order", "too-long"],
)
def test_events_beside_an_invalid_one_are_not_lost(invalid):
    async def first(head, reader, writer):
        del head, reader
        writer.write(make_stream(EVENTS[0], end=b""))
        await asyncio.sleep(0.05)
        writer.write(fake_target.encode_chunk(EVENTS[1] + invalid))

    async def second(head, reader, writer):
        del reader
        found = re.search(rb"last-event-id: (\d+)", head)
        writer.write(make_stream(*EVENTS[int(found[1]) : 4]))

    response, _, _ = raw_caller.exchange(first, second)
    assert response.body == b"".join(EVENTS[:4])
    assert response.is_whole


# Guards against MIXED: any path that begins a second answer in a response.
def test_response_is_begun_only_once():
    messages = []

    async def send(message):
        messages.append(message)

    channel = caller_channel.CallerChannel(
        send, "r", lambda *_: (), lambda: False
    )

    async def start_twice():
        await channel.start(200, ())
        with pytest.raises(caller_channel.AlreadyStartedError):
            await channel.respond(502)

    asyncio.run(start_twice())
    assert [message["type"] for message in messages] == ["http.response.start"]


INTERIM = b"HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\nX: 1\r\n\r\n"
PLAIN = fake_target.make_response(b"0123456789")
CHUNKED = (
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n" + LAST_CHUNK
)
CUT_ANSWERS = {
    "book": ("/book/1", PLAIN),
    "book-chunked": ("/book/1", CHUNKED),
    "look": ("/look/1", PLAIN.replace(b"Length", b"length")),
    "look-interim": ("/look/1", INTERIM + PLAIN),
    "look-close": (
        "/look/1",
        PLAIN.replace(b"Req", b"Connection: close\r\nReq"),
    ),
    "chat": ("/chat/x", make_stream(*EVENTS[:2])),
    "chat-interim": ("/chat/x", INTERIM + make_stream(*EVENTS[:2])),
    "chat-length": (
        "/chat/x",
        STREAM + b"Content-Length: 14\r\n\r\n" + EVENTS[0] + b"\n",
    ),
}


# Guards against MIXED and ORDER: an answer that was cut at any byte, in its
# head or after it, is passed on as a whole success. Guards against TWICE, too.
@pytest.mark.parametrize("then", ["end", "reset"])
@pytest.mark.parametrize("name", CUT_ANSWERS)
def test_answer_cut_at_any_byte_is_no_whole_success(name, then):
    path, answer = CUT_ANSWERS[name]
    for cut in range(len(answer)):
        script = fake_target.make_script(answer[:cut], then=then)
        response, targets = test_forwarding.call(script, script, path=path)
        is_success = response.status is not None and response.status < 300
        assert not (is_success and response.is_complete), cut
        assert b"".join(EVENTS[:2]).startswith(response.body), cut
        sent = test_forwarding.count_received(targets)
        assert sent == 1 if path == "/book/1" else sent <= 2, cut


# Guards against MIXED: a target that stopped after its head, which names no
# length, and closed is taken for one whose answer has an empty body.
@pytest.mark.parametrize(("path", "sent"), [("/book/1", 1), ("/look/1", 2)])
def test_head_without_a_length_and_a_close_is_no_whole_success(path, sent):
    script = fake_target.make_script(HEAD + b"\r\n", then="end")
    response, heads, _ = raw_caller.exchange(script, script, path=path)
    assert (response.status, len(heads)) == (502, sent)
    assert b"seal" not in response.raw.lower()


# Guards against MIXED on a kept connection.
@pytest.mark.parametrize("then", ["end", "reset"])
def test_answer_cut_on_a_kept_connection_is_no_whole_success(then):
    async def scenario(router, targets):
        first = await router.call(path="/look/1")
        second = await router.call(path="/look/1")
        return first.status, second.status, targets[0].connections

    async def run_all():
        scripts = [
            raw_caller.answer_in_turn(
                fake_target.make_script(PLAIN),
                fake_target.make_script(PLAIN[:cut], then=then),
            )
            for cut in range(len(PLAIN))
        ]
        return await asyncio.gather(
            *(test_forwarding.run_async([s], scenario) for s in scripts)
        )

    assert asyncio.run(run_all()) == [(200, 502, 1)] * len(PLAIN)


# Guards against MIXED: the same, in the bytes that a caller reads.
@pytest.mark.parametrize("end", [b"", b"\r", b"\r\n", b"\r\nContent-Length: 9"])
@pytest.mark.parametrize("path", ["/book/1", "/chat/x"])
def test_caller_of_an_answer_cut_in_its_head_reads_a_failure(path, end):
    script = fake_target.make_script(STREAM[:-2] + end, then="end")
    response, heads, _ = raw_caller.exchange(script, script, path=path)
    assert (response.status, response.body) == (502, b"")
    assert b"seal" not in response.raw.lower()
    assert len(heads) == (1 if path == "/book/1" else 2)
