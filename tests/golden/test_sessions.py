"""Sessions of callers and operators, compared with golden files."""

import asyncio

from tests.golden import golden
from tests.golden import session as session_lib

REQUEST_IDS = [f"019b8d62-7a80-7000-8000-{n:012d}" for n in range(16)]
REQUESTS = "/v1/requests"


def generate(number: int, *, stream: bool = False, tokens: int = 6) -> dict:
    """Returns the body of an idempotent request with this request ID."""
    return {
        "workspace": "fairway",
        "pool": "assistant",
        "call": "generate",
        "request_id": REQUEST_IDS[number],
        "input": {"prompt": "Explain the spin rate.", "max_tokens": tokens},
        "stream": stream,
    }


def book(number: int, bay: int = 3, **fields) -> dict:
    """Returns the body of a booking, which isn't idempotent."""
    return {
        "workspace": "fairway",
        "pool": "bookings",
        "call": "book",
        "request_id": REQUEST_IDS[number],
        "input": {"bay": bay},
        **fields,
    }


def test_caller_session():
    async def scenario(session: session_lib.Session) -> None:
        send = session.send_request
        await send("GET", "/v1/addresses", title="addresses of the routers")
        await send("POST", REQUESTS, generate(1), "request without streaming")
        await send(
            "POST", REQUESTS, generate(2, stream=True), "request with streaming"
        )
        path = f"{REQUESTS}/{REQUEST_IDS[2]}?workspace=fairway&offset=6"
        await send("GET", path, title="resume a stream at an offset")
        path = f"{REQUESTS}/{REQUEST_IDS[2]}?workspace=fairway&offset=9999"
        await send("GET", path, title="offset after the end of the answer")
        path = f"{REQUESTS}/{REQUEST_IDS[2]}?offset=-1"
        await send("GET", path, title="invalid query parameters")
        path = f"{REQUESTS}/{REQUEST_IDS[9]}?workspace=fairway"
        await send("GET", path, title="unknown request id")
        await send("POST", REQUESTS, book(3), "booking")
        await send(
            "POST", REQUESTS, book(3), "same booking with the same request id"
        )
        await send(
            "POST",
            REQUESTS,
            book(3, bay=4),
            "other booking with the same request id",
        )
        session.daemon.stop.set()

    text = session_lib.record_session(scenario)
    golden.compare("caller.txt", text)


def test_operator_session():
    async def scenario(session: session_lib.Session) -> None:
        await session.send_request("GET", "/health")
        await session.send_request("GET", "/ready")
        await session.send_request("GET", "/v1/status")
        await session.send_request("GET", "/v1/catalogue")
        await session.send_request("POST", REQUESTS, generate(1))
        await session.send_request("GET", "/v1/timeline")

    text = session_lib.record_session(scenario)
    golden.compare("operator.txt", text)


def test_failing_session():
    async def scenario(session: session_lib.Session) -> None:
        send = session.send_request
        await send("POST", REQUESTS, b"{", "body that is not JSON")
        invalid = {"pool": 1, "call": "", "input": [], "more": True}
        await send(
            "POST", REQUESTS, invalid, "body with several invalid fields"
        )
        unknown = {**book(1), "workspace": "no", "pool": "no"}
        await send("POST", REQUESTS, unknown, "unknown workspace and pool")
        without_id = {k: v for k, v in book(1).items() if k != "request_id"}
        await send("POST", REQUESTS, without_id, "booking without a request id")
        await send("POST", REQUESTS, {**book(1), "request_id": "x"})
        await send(
            "POST",
            REQUESTS,
            generate(2, tokens=5000),
            "request above the cost limit",
        )
        outdated = {
            **book(1),
            "request_id": "019b8d00-0000-7000-8000-000000000000",
        }
        await send("POST", REQUESTS, outdated, "request id that is too old")
        await send(
            "POST", REQUESTS, b"x" * 2_000_000, "body above the size limit"
        )
        await _fail_targets(session)
        await session.configure_stand_in("log", "/faults", {"is_down": True})
        await asyncio.sleep(1.0)
        await send("POST", REQUESTS, book(9), "booking while the log is down")
        await send(
            "POST",
            REQUESTS,
            generate(10),
            "idempotent request while the log is down",
        )

    text = session_lib.record_session(scenario)
    golden.compare("failing.txt", text)


async def _fail_targets(session: session_lib.Session) -> None:
    send = session.send_request
    await session.configure_stand_in("engine-1", "/faults", {"truncate": 1})
    await send(
        "POST", REQUESTS, generate(3), "answer truncated once, then resumed"
    )
    await session.configure_stand_in(
        "engine-1", "/faults", {"cross_answers": 1}
    )
    await send(
        "POST", REQUESTS, generate(4), "answer to another request mixed in"
    )
    await session.configure_stand_in(
        "bookings-1", "/faults", {"fail_fast": True}
    )
    await send("POST", REQUESTS, book(5), "target answers with an error")
    await send("POST", REQUESTS, book(5), "same booking again, not run twice")
    await session.configure_stand_in(
        "bookings-1", "/faults", {"is_silent": True}
    )
    await send("POST", REQUESTS, book(6), "target does not answer")
    await session.configure_stand_in("bookings-1", "/faults", {})
    session.disconnect("bookings-1")
    with_deadline = book(7, deadline_ms=2000)
    await send("POST", REQUESTS, with_deadline, "no connection to the target")
