"""Real targets and routers that leave while requests run."""

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
NO_POLLS = {"address_ttl_s": 0.5, "load_interval_s": 86_400.0}
LONG_TOKENS = 150
CALLS_PER_ROUTER = 4
LEAVING = "engine-1"
DRAINED = "router-2"

pytest_bdd.scenarios("leaving.feature")


@dataclasses.dataclass(slots=True)
class Story:
    """What happened to the fleet.

    Attributes:
        results: of all requests, which were sent once each.
        arrived: requests that engine-1 got in each step.
        addresses: routers that each router gave to callers, before and
            while the instance list was down.
        open_streams: requests that ran at router-2 when it was drained.
        drain_status: exit status of `lentilbeam drain`.
        router_status: exit status of router-2.
        ended_badly: processes that did not end well.
        tracebacks: of any process.
    """

    results: list[caller_lib.Result] = dataclasses.field(default_factory=list)
    arrived: dict[str, int] = dataclasses.field(default_factory=dict)
    addresses: list[dict[str, set[str]]] = dataclasses.field(
        default_factory=list
    )
    open_streams: int = 0
    drain_status: int | None = None
    router_status: int | None = None
    ended_badly: list[str] = dataclasses.field(default_factory=list)
    tracebacks: list[str] = dataclasses.field(default_factory=list)


class Play:
    """Does things to a running fleet and notes what happens."""

    def __init__(self, fleet: linked_fleet.LinkedFleet):
        self.fleet = fleet
        self.story = Story()

    @property
    def engine_url(self) -> str:
        """Where engine-1 listens."""
        return self.fleet.processes.by_name[LEAVING].url

    def start(self, max_tokens: int = linked_fleet.MAX_TOKENS):
        """Starts requests at all routers."""
        running = []
        for name in self.fleet.instances:
            batch = [
                self.fleet.make_assistant(max_tokens)
                for _ in range(CALLS_PER_ROUTER)
            ]
            running += self.fleet.start_calls(name, batch)
        return running

    async def finish(
        self, running: list[asyncio.Task[caller_lib.Result]]
    ) -> None:
        """Waits for the ends of requests."""
        self.story.results += await asyncio.gather(*running)

    async def serve(self, step: str) -> None:
        """Runs requests and counts those that engine-1 gets."""
        before = await self._read_arrived()
        await self.finish(self.start())
        self.story.arrived[step] = await self._read_arrived() - before

    async def wait_for_draining(self, is_draining: bool) -> None:
        """Waits until the pool's scheduler takes engine-1 for leaving."""

        def is_right(statuses: dict[str, Any]) -> bool:
            return any(
                row["is_draining"] == is_draining
                for row in _list_scheduled(statuses)
                if row["target"] == LEAVING
            )

        await self.fleet.wait_for_status(is_right, f"leaving {is_draining}")

    async def wait_until_running(self, count: int) -> None:
        """Waits until so many requests run on the engines."""

        async def check() -> bool:
            loads = [
                await self.fleet.http.get(f"{target.url}/v1/load")
                for target in self.fleet.engines
            ]
            return sum(load.json()["running"] for load in loads) == count

        await linked_fleet.wait_until(check, f"{count} running requests")

    async def note_addresses(self) -> None:
        """Notes what callers are given by each router."""
        answers = await self.fleet.read_all("/v1/addresses")
        self.story.addresses.append(
            {
                name: {row["instance"] for row in answer["addresses"]}
                for name, answer in answers.items()
            }
        )

    async def _read_arrived(self) -> int:
        answer = await self.fleet.http.get(f"{self.engine_url}/counts")
        return answer.json()["arrived"]


def _list_scheduled(statuses: dict[str, Any]) -> list[dict[str, Any]]:
    pools = [
        s["pools"][request_specs.ASSISTANT_POOL] for s in statuses.values()
    ]
    return [
        row for pool in pools if pool["is_scheduler"] for row in pool["targets"]
    ]


async def report_and_remove(play: Play) -> None:
    """Lets engine-1 leave by its report, come back, and be removed."""
    fleet = play.fleet
    running = play.start(LONG_TOKENS)
    await play.wait_until_running(len(running))
    await fleet.set_faults(play.engine_url, draining=True)
    await play.wait_for_draining(True)
    await play.serve("reported")
    await fleet.set_faults(play.engine_url)
    await play.wait_for_draining(False)
    await play.finish(running)
    await play.serve("back")
    kept = [target for target in fleet.engines if target.name != LEAVING]
    entries = catalogue.build_entries([], kept, fleet.bookings)
    pools = [entry for entry in entries if entry["kind"] == "pool"]
    await fleet.apply(pools, "--wait")
    await play.serve("removed")


async def answer_only(play: Play) -> None:
    """Lets engine-1 refuse a request, and never report."""
    await play.fleet.set_faults(play.engine_url, draining=True)
    await play.serve("unknown")
    await play.wait_for_draining(True)
    await play.serve("answered")


async def lose_list_and_drain(play: Play) -> None:
    """Takes the list away for a while, then drains router-2."""
    fleet = play.fleet
    await play.note_addresses()
    await fleet.set_faults(fleet.instances_url, is_down=True)

    async def check() -> bool:
        stats = await fleet.read_all("/v1/stats")
        counters = [each["counters"] for each in stats.values()]
        return all(each.get("instance_list.errors", 0) > 1 for each in counters)

    await linked_fleet.wait_until(check, "all routers without the list")
    await play.finish(play.start())
    await play.note_addresses()
    await fleet.set_faults(fleet.instances_url)
    running = play.start(LONG_TOKENS)
    await play.wait_until_running(len(running))
    status = await fleet.read(DRAINED, "/v1/status")
    pool = status["pools"][request_specs.ASSISTANT_POOL]
    play.story.open_streams = pool["running"]
    command = await fleet.run_command("drain", DRAINED)
    play.story.drain_status = command.popen.returncode
    await play.finish(running)
    play.story.router_status = await fleet.processes.by_name[DRAINED].wait()


async def act(
    folder: pathlib.Path,
    script: Callable[[Play], Awaitable[None]],
    limits: dict[str, Any],
    routers: int = 2,
) -> Story:
    """Runs a fleet through a script and ends it."""
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
        play = Play(fleet)
        await script(play)
        await fleet.close()
        play.story.ended_badly = fleet.processes.list_failed_exits()
        play.story.tracebacks = fleet.processes.list_tracebacks()
        return play.story
    finally:
        fleet.processes.kill_remaining()


@pytest_bdd.when(
    "engine-1 reports that it leaves, comes back, and is removed",
    target_fixture="story",
)
def leave_by_report(tmp_path: pathlib.Path) -> Story:
    return asyncio.run(act(tmp_path, report_and_remove, LIMITS, routers=3))


@pytest_bdd.when("engine-1 answers that it leaves", target_fixture="story")
def leave_by_answer(tmp_path: pathlib.Path) -> Story:
    return asyncio.run(act(tmp_path, answer_only, NO_POLLS))


@pytest_bdd.when(
    "the instance list goes down, comes back, and router-2 is drained",
    target_fixture="story",
)
def drain(tmp_path: pathlib.Path) -> Story:
    return asyncio.run(act(tmp_path, lose_list_and_drain, LIMITS))


@pytest_bdd.then("engine-1 got no new request after its report was read")
def check_reported(story: Story):
    assert story.arrived["reported"] == 0


@pytest_bdd.then("engine-1 got new requests after it had come back")
def check_back(story: Story):
    assert story.arrived["back"] > 0


@pytest_bdd.then("engine-1 got no new request after it was removed")
def check_removed(story: Story):
    assert story.arrived["removed"] == 0


@pytest_bdd.then("a request had been sent to it")
def check_unknown(story: Story):
    assert story.arrived["unknown"] > 0


@pytest_bdd.then("engine-1 got no new request after its answer was taken in")
def check_answered(story: Story):
    assert story.arrived["answered"] == 0


@pytest_bdd.then("callers were given the same routers while the list was down")
def check_addresses(story: Story):
    before, meanwhile = story.addresses
    assert meanwhile == before
    assert all(len(given) == len(before) for given in before.values())


@pytest_bdd.then("router-2 had open streams when it was told to drain")
def check_streams(story: Story):
    assert story.open_streams == CALLS_PER_ROUTER
    assert story.drain_status == 0


@pytest_bdd.then("every request was completed at its first try")
def check_completed(story: Story):
    assert linked_fleet.find_faults(story.results) == []
    assert story.results


@pytest_bdd.then("router-2 ended by itself with status 0")
def check_router(story: Story):
    assert story.router_status == 0


@pytest_bdd.then("no process had a fault of its own")
def check_faults(story: Story):
    assert story.tracebacks == []
    assert story.ended_badly == []
