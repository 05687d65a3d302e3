"""A fault of the router itself costs one request, and no slot."""

from tests.golden import session as session_lib

PATH = "/v1/requests"
FAULTY = 3
"""More than the engine has slots."""


def generate(number: int) -> dict:
    return {
        "workspace": "fairway",
        "pool": "assistant",
        "call": "generate",
        "request_id": f"019b8d62-7a80-7000-8000-{number:012d}",
        "input": {"prompt": "Explain the spin rate.", "max_tokens": 6},
    }


def test_a_request_that_fails_in_the_router_frees_its_slot():
    async def scenario(session: session_lib.Session) -> None:
        targets = session.daemon.targets
        run = targets.run

        def fail(*_):
            raise RuntimeError("a fault of the router")

        targets.run = fail
        for number in range(FAULTY):
            response = await session.send_request(
                "POST", PATH, generate(number)
            )
            assert response.json()["outcome"] == "outcome_unknown"
        targets.run = run
        response = await session.send_request("POST", PATH, generate(FAULTY))
        assert response.json()["outcome"] == "completed"
        status = (await session.send_request("GET", "/v1/status")).json()
        assert status["pools"]["assistant"]["running"] == 0
        assert session.daemon.metrics.counters["router.faults"] == FAULTY

    session_lib.record_session(scenario)
