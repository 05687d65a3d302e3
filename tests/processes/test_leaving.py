"""Steps of `leaving.feature`: targets and routers leave under load."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import pathlib
from typing import Any

import pytest_bdd

from demo import caller as caller_lib
from demo import catalogue
from demo import fleet as fleet_lib
from demo import request_specs
from tests.processes import linked_fleet

LIMITS = {"address_ttl_s": 0.5, "load_interval_s": 0.1}
LIMITS_WITHOUT_POLLS = {"address_ttl_s": 0.5, "load_interval_s": 86_400.0}
LONG_TOKENS = 150
CALLS_PER_ROUTER = 4
LEAVING_ENGINE = "engine-1"
DRAINED_ROUTER = "router-2"

pytest_bdd.scenarios("leaving.feature")


@dataclasses.dataclass(slots=True)
class ScenarioRecord:
    """What was observed.

    Attributes:
        results: results of all requests, which are sent without retries.
        arrived: number of requests that engine-1 got, by step. In the step
            "unknown" the routers don't know yet that engine-1 is draining,
            in the step "answered" they have received its refusal.
        addresses: names of the routers whose addresses each router gave to
            callers, before and while the instance list was down.
        open_requests: number of requests running at router-2 when it was
            drained.
        drain_status: exit status of `lentilbeam drain`; None until it ended.
        router_status: exit status of router-2; None until it ended.
        failed_exits: names of processes with an unexpected exit status.
        tracebacks: tracebacks in the logs of the processes.
    """

    results: list[caller_lib.Result] = dataclasses.field(default_factory=list)
    arrived: dict[str, int] = dataclasses.field(default_factory=dict)
    addresses: list[dict[str, set[str]]] = dataclasses.field(
        default_factory=list
    )
    open_requests: int = 0
    drain_status: int | None = None
    router_status: int | None = None
    failed_exits: list[str] = dataclasses.field(default_factory=list)
    tracebacks: list[str] = dataclasses.field(default_factory=list)


class Scenario:
    """Sends requests to a running fleet and records observations."""

    def __init__(self, fleet: linked_fleet.LinkedFleet):
        self.fleet = fleet
        self.record = ScenarioRecord()

    @property
    def engine_url(self) -> str:
        """URL of engine-1."""
        return self.fleet.processes.by_name[LEAVING_ENGINE].url

    def start_requests(self, max_tokens: int = linked_fleet.MAX_TOKENS):
        """Starts streamed requests at all routers; returns their tasks."""
        running = []
        for name in self.fleet.instances:
            batch = [
                self.fleet.make_assistant_request(max_tokens)
                for _ in range(CALLS_PER_ROUTER)
            ]
            running += self.fleet.start_calls(name, batch)
        return running

    async def finish_requests(
        self, running: list[asyncio.Task[caller_lib.Result]]
    ) -> None:
        """Waits for requests and records their results."""
        self.record.results += await asyncio.gather(*running)

    async def run_step(self, step: str) -> None:
        """Runs requests and records how many of them engine-1 gets."""
        before = await self._read_arrived()
        await self.finish_requests(self.start_requests())
        self.record.arrived[step] = await self._read_arrived() - before

    async def wait_for_draining(self, is_draining: bool) -> None:
        """Waits until the scheduler sees engine-1 in this state.

        Args:
            is_draining: whether to wait until the scheduler sees engine-1 as
                draining, or as no longer draining.
        """

        def is_satisfied(statuses: dict[str, Any]) -> bool:
            return any(
                row["is_draining"] == is_draining
                for row in _list_scheduler_targets(statuses)
                if row["target"] == LEAVING_ENGINE
            )

        await self.fleet.wait_for_status(
            is_satisfied, f"draining state {is_draining}"
        )

    async def wait_until_running(self, count: int) -> None:
        """Waits until exactly this many requests run on the engines."""

        async def check() -> bool:
            loads = [
                await self.fleet.http.get(f"{target.url}/v1/load")
                for target in self.fleet.engines
            ]
            return sum(load.json()["running"] for load in loads) == count

        await linked_fleet.wait_until(check, f"{count} running requests")

    async def record_addresses(self) -> None:
        """Records the routers whose addresses each router gives to callers."""
        answers = await self.fleet.read_all("/v1/addresses")
        self.record.addresses.append(
            {
                name: {row["instance"] for row in answer["addresses"]}
                for name, answer in answers.items()
            }
        )

    async def _read_arrived(self) -> int:
        answer = await self.fleet.http.get(f"{self.engine_url}/counts")
        return answer.json()["arrived"]


def _list_scheduler_targets(statuses: dict[str, Any]) -> list[dict[str, Any]]:
    pools = [
        s["pools"][request_specs.ASSISTANT_POOL] for s in statuses.values()
    ]
    return [
        row for pool in pools if pool["is_scheduler"] for row in pool["targets"]
    ]


async def report_and_remove(scenario: Scenario) -> None:
    """Makes engine-1 report that it is draining, return, and be removed."""
    fleet = scenario.fleet
    running = scenario.start_requests(LONG_TOKENS)
    await scenario.wait_until_running(len(running))
    await fleet.set_faults(scenario.engine_url, draining=True)
    await scenario.wait_for_draining(True)
    await scenario.run_step("reported")
    await fleet.set_faults(scenario.engine_url)
    await scenario.wait_for_draining(False)
    await scenario.finish_requests(running)
    await scenario.run_step("returned")
    kept = [target for target in fleet.engines if target.name != LEAVING_ENGINE]
    entries = catalogue.build_entries([], kept, fleet.bookings)
    pools = [entry for entry in entries if entry["kind"] == "pool"]
    await fleet.apply(pools, "--wait")
    await scenario.run_step("removed")


async def refuse_while_draining(scenario: Scenario) -> None:
    """Makes engine-1 refuse a request; its load reports are not read."""
    await scenario.fleet.set_faults(scenario.engine_url, draining=True)
    await scenario.run_step("unknown")
    await scenario.wait_for_draining(True)
    await scenario.run_step("answered")


async def lose_list_and_drain(scenario: Scenario) -> None:
    """Takes the instance list down for a while, then drains router-2."""
    fleet = scenario.fleet
    await scenario.record_addresses()
    await fleet.set_faults(fleet.instances_url, is_down=True)

    async def check() -> bool:
        stats = await fleet.read_all("/v1/stats")
        counters = [each["counters"] for each in stats.values()]
        return all(each.get("instance_list.errors", 0) > 1 for each in counters)

    await linked_fleet.wait_until(
        check, "failed reads of the instance list by all routers"
    )
    await scenario.finish_requests(scenario.start_requests())
    await scenario.record_addresses()
    await fleet.set_faults(fleet.instances_url)
    running = scenario.start_requests(LONG_TOKENS)
    await scenario.wait_until_running(len(running))
    status = await fleet.read(DRAINED_ROUTER, "/v1/status")
    pool = status["pools"][request_specs.ASSISTANT_POOL]
    scenario.record.open_requests = pool["running"]
    command = await fleet.run_command("drain", DRAINED_ROUTER)
    scenario.record.drain_status = command.popen.returncode
    await scenario.finish_requests(running)
    scenario.record.router_status = await fleet.processes.by_name[
        DRAINED_ROUTER
    ].wait()


async def run_scenario(
    folder: pathlib.Path,
    steps: Callable[[Scenario], Awaitable[None]],
    limits: dict[str, Any],
    routers: int = 2,
) -> ScenarioRecord:
    """Starts a fleet, runs the steps of a scenario and stops the fleet.

    Args:
        folder: directory for the fleet's files.
        steps: sends requests, changes the fleet and records observations.
        limits: limits in the settings of the routers.
        routers: number of routers.
    """
    settings = fleet_lib.Settings(
        routers=routers,
        engines=2,
        engine_slots=8,
        bookings=1,
        list_lag_s=0.1,
        limits=limits,
    )
    fleet = linked_fleet.LinkedFleet(settings, folder)
    try:
        await fleet.start(linked_fleet.WORKSPACES)
        scenario = Scenario(fleet)
        await steps(scenario)
        await fleet.close()
        scenario.record.failed_exits = fleet.processes.list_failed_exits()
        scenario.record.tracebacks = fleet.processes.list_tracebacks()
        return scenario.record
    finally:
        fleet.processes.kill_remaining()


@pytest_bdd.when(
    "engine-1 reports that it is draining, returns, and is removed",
    target_fixture="record",
)
def leave_by_report(tmp_path: pathlib.Path) -> ScenarioRecord:
    return asyncio.run(
        run_scenario(tmp_path, report_and_remove, LIMITS, routers=3)
    )


@pytest_bdd.when(
    "engine-1 refuses a request because it is draining", target_fixture="record"
)
def leave_by_answer(tmp_path: pathlib.Path) -> ScenarioRecord:
    return asyncio.run(
        run_scenario(tmp_path, refuse_while_draining, LIMITS_WITHOUT_POLLS)
    )


@pytest_bdd.when(
    "the instance list goes down, comes back, and router-2 is drained",
    target_fixture="record",
)
def drain(tmp_path: pathlib.Path) -> ScenarioRecord:
    return asyncio.run(run_scenario(tmp_path, lose_list_and_drain, LIMITS))


@pytest_bdd.then("engine-1 got no new request after its report was received")
def check_reported(record: ScenarioRecord):
    assert record.arrived["reported"] == 0


@pytest_bdd.then("engine-1 got new requests after it had returned")
def check_returned(record: ScenarioRecord):
    assert record.arrived["returned"] > 0


@pytest_bdd.then("engine-1 got no new request after it was removed")
def check_removed(record: ScenarioRecord):
    assert record.arrived["removed"] == 0


@pytest_bdd.then("engine-1 got a request before its refusal was received")
def check_before_refusal(record: ScenarioRecord):
    assert record.arrived["unknown"] > 0


@pytest_bdd.then("engine-1 got no new request after its refusal was received")
def check_after_refusal(record: ScenarioRecord):
    assert record.arrived["answered"] == 0


@pytest_bdd.then(
    "the routers gave out the same addresses while the list was down"
)
def check_addresses(record: ScenarioRecord):
    before, meanwhile = record.addresses
    assert meanwhile == before
    assert all(len(given) == len(before) for given in before.values())


@pytest_bdd.then("router-2 had open streams before the drain command succeeded")
def check_streams(record: ScenarioRecord):
    assert record.open_requests == CALLS_PER_ROUTER
    assert record.drain_status == 0


@pytest_bdd.then("every request completed at the first attempt")
def check_completed(record: ScenarioRecord):
    assert linked_fleet.list_failures(record.results) == []
    assert record.results


@pytest_bdd.then("router-2 exited by itself with status 0")
def check_router(record: ScenarioRecord):
    assert record.router_status == 0


@pytest_bdd.then("no process had an internal fault")
def check_faults(record: ScenarioRecord):
    assert record.tracebacks == []
    assert record.failed_exits == []
