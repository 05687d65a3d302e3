"""Steps of `cold_start.feature`: routers start while the log is down."""

import asyncio
import dataclasses
import json
import pathlib
from typing import Any

import pytest_bdd

from demo import caller as caller_lib
from demo import fleet as fleet_lib
from lentilbeam_core import outcome as outcome_lib
from tests.processes import linked_fleet
from tests.processes import links

SETTINGS = fleet_lib.Settings(
    routers=2,
    engines=1,
    engine_slots=8,
    bookings=1,
    list_lag_s=0.1,
    limits={"address_ttl_s": 0.5},
)
ROUTER_WITH_PEERS = "router-3"
ROUTER_WITHOUT_PEERS = "router-4"
CALLS = 4
READY = 200
NOT_READY = 503
REFUSED = outcome_lib.Outcome.REFUSED_NOT_RUN

pytest_bdd.scenarios("cold_start.feature")


@dataclasses.dataclass(slots=True)
class ScenarioRecord:
    """What was observed.

    All requests are sent once, without retries.

    Attributes:
        catalogues: catalogues in force while the log was down, by router.
        results: results of idempotent requests to router-3.
        booking_result: result of a non-idempotent call, which needs the log,
            at router-3; None until it ended.
        without_peers_status: HTTP status of `/ready` at router-4 while the
            log and all peers were down.
        without_peers_result: result of a request to router-4 at that time;
            None until it ended.
        final_status: HTTP status of `/ready` at router-4 with the log.
        final_result: result of a request to router-4 with the log; None
            until it ended.
        failed_exits: names of processes with an unexpected exit status.
        tracebacks: tracebacks in the logs of the processes.
    """

    catalogues: dict[str, Any] = dataclasses.field(default_factory=dict)
    results: list[caller_lib.Result] = dataclasses.field(default_factory=list)
    booking_result: caller_lib.Result | None = None
    without_peers_status: int = 0
    without_peers_result: caller_lib.Result | None = None
    final_status: int = 0
    final_result: caller_lib.Result | None = None
    failed_exits: list[str] = dataclasses.field(default_factory=list)
    tracebacks: list[str] = dataclasses.field(default_factory=list)


class Scenario:
    """Starts routers in a running fleet and records observations."""

    def __init__(self, fleet: linked_fleet.LinkedFleet):
        self.fleet = fleet
        self.record = ScenarioRecord()

    async def run(self) -> ScenarioRecord:
        """Runs the whole scenario."""
        fleet, record = self.fleet, self.record
        await fleet.set_faults(fleet.log_url, is_down=True)
        await self._start_router(ROUTER_WITH_PEERS)
        await fleet.processes.wait_ready(ROUTER_WITH_PEERS, "/ready")
        record.catalogues = await fleet.read_all("/v1/catalogue")
        await self._call_router_with_peers()
        for name in list(fleet.instances):
            fleet.processes.by_name[name].kill()
            await fleet.processes.by_name[name].wait()
        await self._start_router(ROUTER_WITHOUT_PEERS)
        await self._wait_for_catalogue_errors()
        record.without_peers_status = await self._read_ready()
        record.without_peers_result = await self._call(
            ROUTER_WITHOUT_PEERS, fleet.make_assistant_request()
        )
        await fleet.set_faults(fleet.log_url)
        await fleet.processes.wait_ready(ROUTER_WITHOUT_PEERS, "/ready")
        record.final_status = await self._read_ready()
        record.final_result = await self._call(
            ROUTER_WITHOUT_PEERS, fleet.make_assistant_request()
        )
        return record

    async def _start_router(self, name: str) -> None:
        fleet = self.fleet
        relay = await links.open_peer_relay(name, fleet.rules)
        fleet.peer_relays[name] = relay
        fleet.ports += fleet.port_block.take(2)
        await fleet.start_router(name)

    async def _call_router_with_peers(self) -> None:
        batch = [self.fleet.make_assistant_request() for _ in range(CALLS)]
        batch.append(self.fleet.make_bookings_call(is_idempotent=True))
        running = self.fleet.start_calls(ROUTER_WITH_PEERS, batch)
        booking = self.fleet.make_bookings_call(is_idempotent=False)
        self.record.booking_result = await self._call(
            ROUTER_WITH_PEERS, booking
        )
        self.record.results = await asyncio.gather(*running)

    async def _call(self, router: str, spec) -> caller_lib.Result:
        (task,) = self.fleet.start_calls(router, [spec])
        return await task

    async def _wait_for_catalogue_errors(self) -> None:
        """Waits until router-4 has failed to read the log and its peers.

        It must have counted a failed read of the log and at least as many
        failed reads from peers as it has peers.
        """

        async def check() -> bool:
            stats = await self.fleet.read(ROUTER_WITHOUT_PEERS, "/v1/stats")
            counters = stats["counters"]
            peers = len(self.fleet.instances) - 1
            return (
                counters.get("catalogue.log_errors", 0) > 0
                and counters.get("catalogue.peer_errors", 0) >= peers
            )

        await self.fleet.processes.wait_ready(ROUTER_WITHOUT_PEERS, "/health")
        await linked_fleet.wait_until(
            check, "failed reads of the catalogue by router-4"
        )

    async def _read_ready(self) -> int:
        url = self.fleet.instances[ROUTER_WITHOUT_PEERS].url
        return (await self.fleet.http.get(f"{url}/ready")).status_code


@pytest_bdd.when(
    "router-3 starts without the log, and router-4 without log and peers",
    target_fixture="record",
)
def start_without_log(tmp_path: pathlib.Path) -> ScenarioRecord:
    fleet = linked_fleet.LinkedFleet(SETTINGS, tmp_path)
    return asyncio.run(
        linked_fleet.run_scenario(fleet, lambda fleet: Scenario(fleet).run())
    )


@pytest_bdd.then(
    "router-3 became ready with the catalogue in force at its peers"
)
def check_catalogue(record: ScenarioRecord):
    first, *others = record.catalogues.values()
    assert first["offset"] > 0
    assert len(others) == SETTINGS.routers
    assert others == [first] * len(others), json.dumps(record.catalogues)


@pytest_bdd.then(
    "every idempotent request to router-3 completed at the first attempt"
)
def check_served(record: ScenarioRecord):
    assert len(record.results) == CALLS + 1
    assert linked_fleet.list_failures(record.results) == []


@pytest_bdd.then("router-3 refused the request that needs the log as not run")
def check_booking(record: ScenarioRecord):
    answer = record.booking_result.answer
    reason = outcome_lib.RefusalReason.CLAIM_LOG_UNAVAILABLE
    assert (answer.outcome, answer.reason) == (REFUSED, reason.value)


@pytest_bdd.then("router-4 was not ready and refused its request as not run")
def check_alone(record: ScenarioRecord):
    answer = record.without_peers_result.answer
    reason = outcome_lib.RefusalReason.NOT_READY
    assert record.without_peers_status == NOT_READY
    assert (answer.outcome, answer.reason) == (REFUSED, reason.value)
    assert answer.retry_after_s > 0


@pytest_bdd.then("router-4 became ready when the log was available again")
def check_final(record: ScenarioRecord):
    assert record.final_status == READY
    assert linked_fleet.list_failures([record.final_result]) == []


@pytest_bdd.then("no process had an internal fault")
def check_faults(record: ScenarioRecord):
    assert record.tracebacks == []
    assert record.failed_exits == []
