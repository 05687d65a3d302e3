"""Tests that an exception in the router fails one request only.

The slot of the failed request must become free again.
"""

from lentilbeam_router import caller_protocol
from tests.golden import session as session_lib

PATH = "/v1/requests"
FAULT_COUNT = 3
"""More requests than the engine has slots."""


def make_body(number: int) -> dict:
    """Returns a request body; `number` makes its request id unique."""
    return {
        "workspace": "fairway",
        "pool": "assistant",
        "call": "generate",
        "request_id": f"019b8d62-7a80-7000-8000-{number:012d}",
        "input": {"prompt": "Explain the spin rate.", "max_tokens": 6},
    }


def test_a_request_that_fails_in_the_router_releases_its_slot():
    async def send_requests(session: session_lib.Session) -> None:
        targets = session.daemon.targets
        original_run = targets.run

        def fail(*_):
            raise RuntimeError("fault of the router")

        targets.run = fail
        for number in range(FAULT_COUNT):
            response = await session.send_request(
                "POST", PATH, make_body(number)
            )
            assert response.json()["outcome"] == "outcome_unknown"
        targets.run = original_run
        response = await session.send_request(
            "POST", PATH, make_body(FAULT_COUNT)
        )
        assert response.json()["outcome"] == "completed"
        status = (await session.send_request("GET", "/v1/status")).json()
        assert status["pools"]["assistant"]["running"] == 0
        assert session.daemon.metrics.counters["router.faults"] == FAULT_COUNT

    session_lib.record_session(send_requests)


# Guards against work for callers that gave up while the router read late.
def test_deadline_counts_from_the_arrival_of_a_request():
    async def send_request(session: session_lib.Session) -> None:
        app = session.daemon.server.config.app

        async def serve_late(scope, receive, send):
            arrived_at = session.clock.monotonic() - 2.0
            caller = caller_protocol.Caller(arrived_at)
            scope["state"] = {caller_protocol.CALLER: caller}
            await app(scope, receive, send)

        session.network.add("router-1", serve_late)
        body = {**make_body(0), "deadline_ms": 1500}
        response = await session.send_request("POST", PATH, body)
        assert response.json()["reason"] == "deadline_unreachable"

    session_lib.record_session(send_request)
