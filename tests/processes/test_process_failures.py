"""Steps of `process_failures.feature`: processes are killed or stopped."""

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
from tests.processes import scenario_record

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
POLL_INTERVAL_S = 0.02

pytest_bdd.scenarios("process_failures.feature")


class CallerGroup:
    """The callers of a scenario and their requests.

    There is one caller for each router, which prefers that router.

    Attributes:
        clock: clock of the callers.
        rng: generator of request ids and of the choice of workspaces.
        callers: the callers, in the order of the routers.
        tasks: the requests that were started.
    """

    def __init__(self, fleet: fleet_lib.Fleet):
        self.clock = clock_lib.SystemClock()
        self.rng = random.Random(1)
        router_addresses = fleet.list_addresses()
        self.callers = [
            self._make_caller(router_addresses, i)
            for i in range(len(router_addresses))
        ]
        self.tasks: list[asyncio.Task] = []

    def _make_caller(
        self, router_addresses: list[addresses.Address], number: int
    ) -> caller_lib.Caller:
        first = router_addresses[number:] + router_addresses[:number]
        return caller_lib.Caller(self.clock, first, CALLER)

    def start(self) -> None:
        """Starts `ROUNDS` batches of requests with every caller."""
        for caller in self.callers:
            for _ in range(ROUNDS):
                for spec in self._make_specs():
                    self.tasks.append(asyncio.create_task(caller.run(spec)))

    def _make_specs(self) -> list[request_specs.RequestSpec]:
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
        """Waits for all requests; returns their results or exceptions."""
        results = await asyncio.gather(*self.tasks, return_exceptions=True)
        for caller in self.callers:
            await caller.close()
        return results


async def wait_until_busy(fleet: fleet_lib.Fleet, bookings: int) -> None:
    """Waits until at least this many bookings have started to run."""
    while True:
        if len(await fleet.read_run_counts()) >= bookings:
            return
        await asyncio.sleep(POLL_INTERVAL_S)


async def disturb(
    folder: pathlib.Path,
    process_name: str,
    disturbance: Callable[[processes.Process], None],
) -> scenario_record.ScenarioRecord:
    """Runs a fleet with requests before and after a disturbance.

    Args:
        folder: directory for the fleet's files.
        process_name: name of the process to disturb.
        disturbance: kills or terminates that process.
    """
    fleet = fleet_lib.Fleet(SETTINGS, folder)
    try:
        await fleet.start(WORKSPACES)
        requests = CallerGroup(fleet)
        requests.start()
        await asyncio.wait_for(
            wait_until_busy(fleet, ROUNDS * len(requests.callers)),
            processes.READY_TIMEOUT_S,
        )
        process = fleet.processes.by_name[process_name]
        disturbed_at = requests.clock.monotonic()
        disturbance(process)
        requests.start()
        task_results = await requests.finish()
        status = await process.wait()
        return scenario_record.ScenarioRecord(
            results=[
                e for e in task_results if isinstance(e, caller_lib.Result)
            ],
            untyped_errors=[
                repr(e) for e in task_results if isinstance(e, BaseException)
            ],
            run_counts=await read_run_counts(fleet),
            tracebacks=fleet.processes.list_tracebacks(),
            status=status,
            process_name=process_name,
            disturbed_at=disturbed_at,
        )
    finally:
        fleet.processes.kill_remaining()
        await fleet.release()


async def read_run_counts(fleet: fleet_lib.Fleet) -> dict[str, int]:
    """Returns the runs by booking, or {} if a bookings service is down."""
    try:
        return await fleet.read_run_counts()
    except httpx.ConnectError:
        return {}


@pytest_bdd.when(
    pytest_bdd.parsers.parse("{process_name} is killed while requests run"),
    target_fixture="record",
)
def kill(
    tmp_path: pathlib.Path, process_name: str
) -> scenario_record.ScenarioRecord:
    return asyncio.run(disturb(tmp_path, process_name, processes.Process.kill))


@pytest_bdd.when(
    pytest_bdd.parsers.parse(
        "{process_name} is asked to stop while requests run"
    ),
    target_fixture="record",
)
def stop(
    tmp_path: pathlib.Path, process_name: str
) -> scenario_record.ScenarioRecord:
    return asyncio.run(
        disturb(tmp_path, process_name, processes.Process.terminate)
    )


@pytest_bdd.then("every request was completed")
def check_completed(record: scenario_record.ScenarioRecord):
    completed = outcome_lib.Outcome.COMPLETED
    answers = [r.answer for r in record.results]
    assert [a for a in answers if a.outcome is not completed] == []


@pytest_bdd.then("stopping the router interrupted no request")
def check_broken_by_stop(record: scenario_record.ScenarioRecord):
    observations = verdict.FleetObservations(
        run_counts=record.run_counts,
        stopped_instance=record.process_name,
        stopped_at=record.disturbed_at,
        failed_exits=[],
        tracebacks=record.tracebacks,
    )
    assert verdict.count_broken_by_stop(record.results, observations) == 0


@pytest_bdd.then("router-1 exited by itself with status 0")
def check_status(record: scenario_record.ScenarioRecord):
    assert record.status == 0
