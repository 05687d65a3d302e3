"""Tests of the claim task on the log stand-in, in one process."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random

import httpx
import pytest

from lentilbeam_core import claim_events
from lentilbeam_core import clock as clock_lib
from lentilbeam_core import ids
from lentilbeam_core import outcome
from lentilbeam_core import request_key
from lentilbeam_router import claim_task
from lentilbeam_router import platform_log
from tests.standins import log as log_standin

RETENTION_S = 3600.0
DEADLINE_S = 60.0
NOT_RUN = outcome.Exchange(False, outcome.TargetEnd.NOT_STARTED)
COMPLETED = outcome.Exchange(True, outcome.TargetEnd.WHOLE_ANSWER)
READ_ERROR = httpx.ReadError("lost")
CLOCK = clock_lib.SystemClock()


class AnswerLosingTransport(httpx.AsyncBaseTransport):
    """Raises an error instead of returning the first appends' responses.

    The appends take effect nevertheless.

    Attributes:
        inner: transport that carries out the requests.
        count: number of responses that are still to be lost.
        error: the error to raise.
    """

    def __init__(
        self,
        inner: httpx.AsyncBaseTransport,
        count: int,
        error: Exception,
    ):
        self.inner = inner
        self.count = count
        self.error = error

    async def handle_async_request(self, request):
        """Sends the request; raises `error` if its response is to be lost."""
        response = await self.inner.handle_async_request(request)
        if request.method == "POST" and self.count:
            self.count -= 1
            raise self.error
        return response


class Fleet:
    """Claim tasks of two routers, named a and b, on one log.

    Attributes:
        http: client that all tasks use for the log.
        routers: the claim tasks.
    """

    def __init__(self, lost_answers: int, error: Exception):
        log = log_standin.build(CLOCK, RETENTION_S)
        transport = httpx.ASGITransport(log)
        losing = AnswerLosingTransport(transport, lost_answers, error)
        self.http = httpx.AsyncClient(transport=losing)
        client = platform_log.LogClient("http://log", self.http)
        self.routers = [
            claim_task.ClaimTask(
                claim_events.Settings(decision_timeout_s=DEADLINE_S),
                ids.InstanceId(name),
                ids.Incarnation(1),
                client,
                CLOCK,
            )
            for name in "ab"
        ]

    async def obtain(self, router: int, key) -> claim_events.Result:
        """Claims the key at the router with index `router`."""
        deadline = CLOCK.monotonic() + DEADLINE_S
        return await self.routers[router].obtain(key, deadline)


def run_with_fleet(
    test: Callable[[Fleet], Awaitable[None]],
    lost_answers: int = 0,
    error: Exception = READ_ERROR,
):
    """Runs a test with a started fleet, then checks that all tasks stop.

    Args:
        test: the test; called with the fleet.
        lost_answers: how many of the first appends lose their responses.
        error: error that the log client sees instead of those responses.
    """

    async def run():
        fleet = Fleet(lost_answers, error)
        for router in fleet.routers:
            router.start()
        await test(fleet)
        assert all([await router.stop(DEADLINE_S) for router in fleet.routers])
        await fleet.http.aclose()

    asyncio.run(run())


def make_key() -> request_key.RequestKey:
    """Returns a key with a new request id of the current time."""
    wall_ms = int(CLOCK.now().timestamp() * 1000)
    request_id = request_key.build_request_id(wall_ms, random.getrandbits(74))
    return request_key.RequestKey(ids.WorkspaceId("w"), request_id)


@pytest.mark.parametrize("error", [READ_ERROR, RuntimeError("closed")])
def test_one_of_two_routers_wins_and_the_other_learns_the_outcome(error):
    async def test(fleet: Fleet):
        key = make_key()
        results = await asyncio.gather(
            fleet.obtain(0, key), fleet.obtain(1, key), fleet.obtain(0, key)
        )
        wins = [r for r in results if isinstance(r, claim_events.ClaimWon)]
        losses = [r for r in results if isinstance(r, claim_events.ClaimLost)]
        assert (len(wins), len(losses)) == (1, 2)
        winner = fleet.routers[wins[0].claim.instance == "b"]
        assert winner.start_run(wins[0])
        assert winner.settle(wins[0], COMPLETED) is outcome.Outcome.COMPLETED
        await winner.flushed.wait()
        for router in range(2):
            again = await fleet.obtain(router, key)
            assert again.run_outcome is outcome.Outcome.COMPLETED

    run_with_fleet(test, lost_answers=2, error=error)


def test_a_released_key_can_be_claimed_by_another_router():
    async def test(fleet: Fleet):
        key = make_key()
        first = await fleet.obtain(0, key)
        fleet.routers[0].settle(first, NOT_RUN)
        assert not fleet.routers[0].start_run(first)
        await fleet.routers[0].flushed.wait()
        second = await fleet.obtain(1, key)
        assert isinstance(second, claim_events.ClaimWon)

    run_with_fleet(test)


def test_a_cancelled_request_leaves_its_key_unclaimed():
    async def test(fleet: Fleet):
        key = make_key()
        waiting = asyncio.create_task(fleet.obtain(0, key))
        await asyncio.sleep(0)
        waiting.cancel()
        await asyncio.wait([waiting])
        assert not fleet.routers[0].state_machine.state.attempts.by_key
        second = await fleet.obtain(0, key)
        assert isinstance(second, claim_events.ClaimWon)

    run_with_fleet(test)
