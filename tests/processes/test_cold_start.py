"""Real routers that start while the log is down."""

import asyncio
import dataclasses
import json
import pathlib
from typing import Any

import pytest_bdd

from demo import caller as caller_lib
from demo import fleet as fleet_lib
from demo import processes
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
HELPED = "router-3"
ALONE = "router-4"
CALLS = 4
READY = 200
NOT_READY = 503
REFUSED = outcome_lib.Outcome.REFUSED_NOT_RUN

pytest_bdd.scenarios("cold_start.feature")


@dataclasses.dataclass(slots=True)
class Story:
    """What happened to the fleet.

    Attributes:
        catalogues: in force while the log was down, by router.
        results: of idempotent requests to router-3, sent once each.
        booking: of a call that needs the log, sent once to router-3.
        alone_status: of `/ready` of router-4 while it reached nobody.
        alone: of a request that was sent once to router-4 then.
        final_status: of `/ready` of router-4 at the end.
        final: of a request that was sent once to router-4 at the end.
        ended_badly: processes that did not end well.
        tracebacks: of any process.
    """

    catalogues: dict[str, Any] = dataclasses.field(default_factory=dict)
    results: list[caller_lib.Result] = dataclasses.field(default_factory=list)
    booking: caller_lib.Result | None = None
    alone_status: int = 0
    alone: caller_lib.Result | None = None
    final_status: int = 0
    final: caller_lib.Result | None = None
    ended_badly: list[str] = dataclasses.field(default_factory=list)
    tracebacks: list[str] = dataclasses.field(default_factory=list)


class Play:
    """Starts routers in a fleet that runs, and notes what happens."""

    def __init__(self, fleet: linked_fleet.LinkedFleet):
        self.fleet = fleet
        self.story = Story()

    async def run(self) -> Story:
        """Runs the whole scenario."""
        fleet, story = self.fleet, self.story
        await fleet.set_faults(fleet.log_url, is_down=True)
        await self._start_router(HELPED)
        await fleet.processes.wait_ready(HELPED, "/ready")
        story.catalogues = await fleet.read_all("/v1/catalogue")
        await self._call_helped()
        for name in list(fleet.instances):
            fleet.processes.by_name[name].kill()
            await fleet.processes.by_name[name].wait()
        await self._start_router(ALONE)
        await self._wait_until_tried()
        story.alone_status = await self._read_ready()
        story.alone = await self._call(ALONE, fleet.make_assistant())
        await fleet.set_faults(fleet.log_url)
        await fleet.processes.wait_ready(ALONE, "/ready")
        story.final_status = await self._read_ready()
        story.final = await self._call(ALONE, fleet.make_assistant())
        return story

    async def _start_router(self, name: str) -> None:
        fleet = self.fleet
        relay = await links.open_peer_relay(name, fleet.rules)
        fleet.peer_relays[name] = relay
        fleet.ports += processes.find_free_ports(2)
        await fleet.start_router(name)

    async def _call_helped(self) -> None:
        batch = [self.fleet.make_assistant() for _ in range(CALLS)]
        batch.append(self.fleet.make_booking(is_idempotent=True))
        running = self.fleet.start_calls(HELPED, batch)
        booking = self.fleet.make_booking(is_idempotent=False)
        self.story.booking = await self._call(HELPED, booking)
        self.story.results = await asyncio.gather(*running)

    async def _call(self, router: str, order) -> caller_lib.Result:
        (task,) = self.fleet.start_calls(router, [order])
        return await task

    async def _wait_until_tried(self) -> None:
        """Waits until router-4 asked the log and each of its peers."""

        async def check() -> bool:
            stats = await self.fleet.read(ALONE, "/v1/stats")
            counters = stats["counters"]
            peers = len(self.fleet.instances) - 1
            return (
                counters.get("catalogue.log_errors", 0) > 0
                and counters.get("catalogue.peer_errors", 0) >= peers
            )

        await self.fleet.processes.wait_ready(ALONE, "/health")
        await linked_fleet.wait_until(check, "tries of router-4")

    async def _read_ready(self) -> int:
        url = self.fleet.instances[ALONE].url
        return (await self.fleet.http.get(f"{url}/ready")).status_code


@pytest_bdd.when(
    "router-3 starts while the log is down, and router-4 without anybody",
    target_fixture="story",
)
def start_without_log(tmp_path: pathlib.Path) -> Story:
    fleet = linked_fleet.LinkedFleet(SETTINGS, tmp_path)
    return asyncio.run(
        linked_fleet.run_story(fleet, lambda fleet: Play(fleet).run())
    )


@pytest_bdd.then(
    "router-3 became ready with the catalogue that its peers have in force"
)
def check_catalogue(story: Story):
    first, *others = story.catalogues.values()
    assert first["offset"] > 0
    assert len(others) == SETTINGS.routers
    assert others == [first] * len(others), json.dumps(story.catalogues)


@pytest_bdd.then(
    "every idempotent request to router-3 was completed at its first try"
)
def check_served(story: Story):
    assert len(story.results) == CALLS + 1
    assert linked_fleet.find_faults(story.results) == []


@pytest_bdd.then("router-3 refused as not run what needs the log")
def check_booking(story: Story):
    answer = story.booking.answer
    reason = outcome_lib.RefusalReason.CLAIM_LOG_UNAVAILABLE
    assert (answer.outcome, answer.reason) == (REFUSED, reason.value)


@pytest_bdd.then("router-4 stayed not ready and refused as not run")
def check_alone(story: Story):
    answer = story.alone.answer
    reason = outcome_lib.RefusalReason.NOT_READY
    assert story.alone_status == NOT_READY
    assert (answer.outcome, answer.reason) == (REFUSED, reason.value)
    assert answer.retry_after_s > 0


@pytest_bdd.then("router-4 became ready once the log was back")
def check_final(story: Story):
    assert story.final_status == READY
    assert linked_fleet.find_faults([story.final]) == []


@pytest_bdd.then("no process had a fault of its own")
def check_faults(story: Story):
    assert story.tracebacks == []
    assert story.ended_badly == []
