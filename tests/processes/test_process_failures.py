"""Real processes that die or stop while requests run."""

import asyncio
from collections.abc import Callable
import pathlib
import random

import httpx
import pytest_bdd

from demo import addresses
from demo import caller as caller_lib
from demo import catalogue
from demo import fleet as fleet_lib
from demo import processes
from demo import request_specs
from demo import verdict
from lentilbeam_core import clock as clock_lib
from lentilbeam_core import outcome as outcome_lib
from tests.processes import happenings

SETTINGS = fleet_lib.Settings(
    routers=3,
    engines=1,
    engine_slots=16,
    bookings=1,
    busy_ms=1000.0,
    list_lag_s=0.1,
    limits={"address_ttl_s": 1.0},
)
CALLER = caller_lib.Settings(max_attempts=2, retry_limit_s=20.0)
WORKSPACES = catalogue.list_workspaces()[:2]
ROUNDS = 2
MAX_TOKENS = 100
DEADLINE_MS = 4000
POLL_S = 0.02

pytest_bdd.scenarios("process_failures.feature")


class Requests:
    """The callers of a test, one for each router, and their requests."""

    def __init__(self, fleet: fleet_lib.Fleet):
        self.clock = clock_lib.SystemClock()
        self.rng = random.Random(1)
        known = fleet.list_addresses()
        self.callers = [self._make_caller(known, i) for i in range(len(known))]
        self.tasks: list[asyncio.Task] = []

    def _make_caller(
        self, known: list[addresses.Address], number: int
    ) -> caller_lib.Caller:
        first = known[number:] + known[:number]
        return caller_lib.Caller(self.clock, first, CALLER)

    def start(self) -> None:
        """Starts a mixed batch of requests at every caller."""
        for caller in self.callers:
            for _ in range(ROUNDS):
                for order in self._make_orders():
                    self.tasks.append(asyncio.create_task(caller.run(order)))

    def _make_orders(self) -> list[request_specs.RequestSpec]:
        name = self.rng.choice(WORKSPACES).name
        return [
            request_specs.make_assistant_request(
                self._make_id(),
                name,
                MAX_TOKENS,
                is_streamed=is_streamed,
                deadline_ms=DEADLINE_MS,
            )
            for is_streamed in (True, False)
        ] + [
            request_specs.make_booking_request(
                self._make_id(),
                name,
                "book",
                is_idempotent=False,
                deadline_ms=DEADLINE_MS,
            )
        ]

    def _make_id(self) -> str:
        return request_specs.make_request_id(self.clock, self.rng)

    async def finish(self) -> list[caller_lib.Result | BaseException]:
        """Waits for all ends and returns them."""
        ends = await asyncio.gather(*self.tasks, return_exceptions=True)
        for caller in self.callers:
            await caller.close()
        return ends


async def wait_until_busy(fleet: fleet_lib.Fleet, bookings: int) -> None:
    """Waits until so many bookings were begun, at every router."""
    while True:
        if len(await fleet.read_run_counts()) >= bookings:
            return
        await asyncio.sleep(POLL_S)


async def disturb(
    folder: pathlib.Path,
    victim: str,
    act: Callable[[processes.Process], None],
) -> happenings.Happening:
    """Runs a fleet with requests before and after an act on the victim."""
    fleet = fleet_lib.Fleet(SETTINGS, folder)
    try:
        await fleet.start(WORKSPACES)
        requests = Requests(fleet)
        requests.start()
        await asyncio.wait_for(
            wait_until_busy(fleet, ROUNDS * len(requests.callers)),
            processes.READY_TIMEOUT_S,
        )
        process = fleet.processes.by_name[victim]
        acted_at = requests.clock.monotonic()
        act(process)
        requests.start()
        ends = await requests.finish()
        status = await process.wait()
        return happenings.Happening(
            results=[e for e in ends if isinstance(e, caller_lib.Result)],
            untyped=[repr(e) for e in ends if isinstance(e, BaseException)],
            counts=await read_counts(fleet),
            tracebacks=fleet.processes.list_tracebacks(),
            status=status,
            victim=victim,
            acted_at=acted_at,
        )
    finally:
        fleet.processes.kill_remaining()
        await fleet.http.aclose()


async def read_counts(fleet: fleet_lib.Fleet) -> dict[str, int]:
    """Returns the counts of the bookings services that still run."""
    try:
        return await fleet.read_run_counts()
    except httpx.ConnectError:
        return {}


@pytest_bdd.when(
    pytest_bdd.parsers.parse("{victim} is killed while requests run"),
    target_fixture="happening",
)
def kill(tmp_path: pathlib.Path, victim: str) -> happenings.Happening:
    return asyncio.run(disturb(tmp_path, victim, processes.Process.kill))


@pytest_bdd.when(
    pytest_bdd.parsers.parse("{victim} is asked to stop while requests run"),
    target_fixture="happening",
)
def stop(tmp_path: pathlib.Path, victim: str) -> happenings.Happening:
    return asyncio.run(disturb(tmp_path, victim, processes.Process.terminate))


@pytest_bdd.then("every request was completed")
def check_completed(happening: happenings.Happening):
    completed = outcome_lib.Outcome.COMPLETED
    answers = [r.answer for r in happening.results]
    assert [a for a in answers if a.outcome is not completed] == []


@pytest_bdd.then("the stop cut no request")
def check_cuts(happening: happenings.Happening):
    observations = verdict.FleetObservations(
        run_counts=happening.counts,
        stopped_instance=happening.victim,
        stopped_at=happening.acted_at,
        failed_exits=[],
        tracebacks=happening.tracebacks,
    )
    assert verdict.count_broken_by_stop(happening.results, observations) == 0


@pytest_bdd.then("router-1 ended by itself with status 0")
def check_status(happening: happenings.Happening):
    assert happening.status == 0
