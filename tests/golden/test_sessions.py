"""Whole sessions with a router, byte for byte."""

import asyncio

from tests.golden import golden
from tests.golden import session as session_lib

KEYS = [f"019b8d62-7a80-7000-8000-{n:012d}" for n in range(16)]
REQUESTS = "/v1/requests"


def generate(key: int, *, stream: bool = False, tokens: int = 6) -> dict:
    return {
        "workspace": "fairway",
        "pool": "assistant",
        "call": "generate",
        "request_id": KEYS[key],
        "input": {"prompt": "Explain the spin rate.", "max_tokens": tokens},
        "stream": stream,
    }


def book(key: int, bay: int = 3, **more) -> dict:
    return {
        "workspace": "fairway",
        "pool": "bookings",
        "call": "book",
        "request_id": KEYS[key],
        "input": {"bay": bay},
        **more,
    }


def test_caller_session():
    async def converse(session: session_lib.Session) -> None:
        say = session.say
        await say("GET", "/v1/addresses", title="which routers to use")
        await say("POST", REQUESTS, generate(1), "a whole answer")
        await say("POST", REQUESTS, generate(2, stream=True), "a stream")
        path = f"{REQUESTS}/{KEYS[2]}?workspace=fairway&offset=6"
        await say("GET", path, title="attaching again, from an offset on")
        path = f"{REQUESTS}/{KEYS[2]}?workspace=fairway&offset=9999"
        await say("GET", path, title="attaching beyond the answer")
        path = f"{REQUESTS}/{KEYS[2]}?offset=-1"
        await say("GET", path, title="attaching with bad parameters")
        path = f"{REQUESTS}/{KEYS[9]}?workspace=fairway"
        await say("GET", path, title="attaching to nothing")
        await say("POST", REQUESTS, book(3), "a booking")
        await say("POST", REQUESTS, book(3), "the same booking again")
        await say("POST", REQUESTS, book(3, bay=4), "its key for another")
        session.daemon.stop.set()

    text = session_lib.record_session(converse)
    golden.compare("caller.txt", text)


def test_operator_session():
    async def converse(session: session_lib.Session) -> None:
        await session.say("GET", "/health")
        await session.say("GET", "/ready")
        await session.say("GET", "/v1/status")
        await session.say("GET", "/v1/catalogue")
        await session.say("POST", REQUESTS, generate(1))
        await session.say("GET", "/v1/timeline")

    text = session_lib.record_session(converse)
    golden.compare("operator.txt", text)


def test_failing_session():
    async def converse(session: session_lib.Session) -> None:
        say = session.say
        await say("POST", REQUESTS, b"{", "not JSON")
        faulty = {"pool": 1, "call": "", "input": [], "more": True}
        await say("POST", REQUESTS, faulty, "many faults at once")
        strange = {**book(1), "workspace": "no", "pool": "no"}
        await say("POST", REQUESTS, strange, "unknown names")
        keyless = {k: v for k, v in book(1).items() if k != "request_id"}
        await say("POST", REQUESTS, keyless, "a booking without a key")
        await say("POST", REQUESTS, {**book(1), "request_id": "x"})
        await say("POST", REQUESTS, generate(2, tokens=5000), "too large")
        old = {**book(1), "request_id": "019b8d00-0000-7000-8000-000000000000"}
        await say("POST", REQUESTS, old, "a key that is too old")
        await say("POST", REQUESTS, b"x" * 2_000_000, "a body too large")
        await _fail_targets(session)
        await session.tell("log", "/faults", {"is_down": True})
        await asyncio.sleep(1.0)
        await say("POST", REQUESTS, book(9), "a booking with the log down")
        await say("POST", REQUESTS, generate(10), "idempotent work goes on")

    text = session_lib.record_session(converse)
    golden.compare("failing.txt", text)


async def _fail_targets(session: session_lib.Session) -> None:
    say = session.say
    await session.tell("engine-1", "/faults", {"truncate": 1})
    await say("POST", REQUESTS, generate(3), "truncated once, then resumed")
    await session.tell("engine-1", "/faults", {"cross_answers": 1})
    await say("POST", REQUESTS, generate(4), "another's answer mixed in")
    await session.tell("bookings-1", "/faults", {"fail_fast": True})
    await say("POST", REQUESTS, book(5), "the target fails")
    await say("POST", REQUESTS, book(5), "the same again: never run twice")
    await session.tell("bookings-1", "/faults", {"is_silent": True})
    await say("POST", REQUESTS, book(6), "the target is silent")
    await session.tell("bookings-1", "/faults", {})
    session.cut("bookings-1")
    short = book(7, deadline_ms=2000)
    await say("POST", REQUESTS, short, "no connection to the target")
