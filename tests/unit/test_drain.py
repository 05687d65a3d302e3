"""A router with requests that outlast its drain limit."""

import asyncio
import dataclasses

from lentilbeam_router import drain
from tests.golden import session as session_lib
from tests.unit import test_router_faults

REQUESTS = 4
"""More than the engine takes at a time."""
LONG_DEADLINE_MS = 300_000
LIMITS = {"address_ttl_s": 0.5, "drain_limit_s": 2.0}


def make_long_body(number: int) -> dict:
    """Returns the body of a request that takes longer than the drain limit."""
    body = test_router_faults.make_body(number)
    body["input"]["max_tokens"] = 90
    return {**body, "deadline_ms": LONG_DEADLINE_MS}


# Guards against LOST: requests that run at the end of the drain limit are cut
# with no answer when the server stops.
def test_requests_that_outlast_the_drain_limit_are_answered():
    drained = []
    arrived = []
    answers = []
    counters = {}

    async def drain_router(session: session_lib.Session) -> None:
        calls = [
            asyncio.ensure_future(
                session.send_request(
                    "POST",
                    test_router_faults.PATH,
                    make_long_body(number),
                )
            )
            for number in range(REQUESTS)
        ]
        await asyncio.sleep(0.5)
        daemon = session.daemon
        shutdown = drain.Drain(
            dataclasses.replace(daemon.settings.limits, **LIMITS),
            daemon.fleet,
            daemon.node,
            daemon.pipeline,
            daemon.log,
        )
        drained.append(await shutdown.run())
        done, running = await asyncio.wait(calls, timeout=1.0)
        response = await session.http.get("http://engine-1/counts")
        arrived.append(response.json()["arrived"])
        answers.extend(call.result().json() for call in done)
        counters.update(daemon.metrics.counters)
        for call in running:
            call.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    # A failure within the session would leave its tasks running.
    session_lib.record_session(drain_router)
    assert drained == [False]
    assert len(answers) == REQUESTS
    unknown = [a for a in answers if a["outcome"] == "outcome_unknown"]
    assert {answer["reason"] for answer in unknown} == {"router_left"}
    assert len(unknown) == arrived[0] > 0
    refused = [a for a in answers if a["outcome"] == "refused_not_run"]
    assert len(refused) == REQUESTS - arrived[0]
    assert "router.faults" not in counters
