"""Real routers whose connections are cut and healed."""

import asyncio
import contextlib
import dataclasses
import pathlib
from typing import Any

import pytest_bdd

from demo import caller as caller_lib
from demo import catalogue
from demo import fleet as fleet_lib
from demo import request_specs
from tests.processes import linked_fleet

SETTINGS = fleet_lib.Settings(
    routers=5,
    engines=2,
    engine_slots=8,
    bookings=1,
    list_lag_s=0.1,
    limits={"address_ttl_s": 0.5},
)
MAJORITY = ("router-1", "router-2", "router-3")
MINORITY = ("router-4", "router-5")
OFF_LOG = ("router-3", *MINORITY)
LONG_TOKENS = 150
QUEUE_LENGTHS = (65, 66)

pytest_bdd.scenarios("partitions.feature")


@dataclasses.dataclass(slots=True)
class Story:
    """What happened to the fleet.

    Attributes:
        results: of requests that were sent once each.
        bookings: results of calls that may run once, made after the healing
            and sent again after a refusal.
        counts: runs of each booking.
        views: states of the peers that a router saw during the cut, by
            router and peer.
        change: offset of the change that was made during the cut.
        offsets_cut: offsets in force at the end of the cut, by router.
        peer_offers: offers of peers taken by each router before the log
            was within reach again.
        samples: offsets that each router showed, in the order of time.
        catalogues: what is in force at the end, by router.
        statuses: at the end, by router.
        ended_badly: processes that did not end well.
        tracebacks: of any process.
    """

    results: list[caller_lib.Result] = dataclasses.field(default_factory=list)
    bookings: list[caller_lib.Result] = dataclasses.field(default_factory=list)
    counts: dict[str, int] = dataclasses.field(default_factory=dict)
    views: dict[str, dict[str, str]] = dataclasses.field(default_factory=dict)
    change: int = 0
    offsets_cut: dict[str, int] = dataclasses.field(default_factory=dict)
    peer_offers: dict[str, int] = dataclasses.field(default_factory=dict)
    samples: dict[str, list[int]] = dataclasses.field(default_factory=dict)
    catalogues: dict[str, Any] = dataclasses.field(default_factory=dict)
    statuses: dict[str, Any] = dataclasses.field(default_factory=dict)
    ended_badly: list[str] = dataclasses.field(default_factory=list)
    tracebacks: list[str] = dataclasses.field(default_factory=list)


def read_views(statuses: dict[str, Any]) -> dict[str, dict[str, str]]:
    """Returns the state of each peer in each router's view."""
    return {
        name: {peer["name"]: peer["state"] for peer in status["peers"]}
        for name, status in statuses.items()
    }


def read_offsets(statuses: dict[str, Any]) -> dict[str, int]:
    """Returns the offset in force at each router."""
    return {n: status["catalogue_offset"] for n, status in statuses.items()}


def is_split(views: dict[str, dict[str, str]]) -> bool:
    """Whether each side takes just the other for unreachable."""
    return all(
        (state == "unreachable") == ((name in MINORITY) != (peer in MINORITY))
        for name, view in views.items()
        for peer, state in view.items()
    )


def is_joined(statuses: dict[str, Any]) -> bool:
    """Whether all follow one scheduler per pool and see all others live."""
    views = read_views(statuses)
    if any(set(view.values()) != {"live"} for view in views.values()):
        return False
    pools = next(iter(statuses.values()))["pools"]
    return all(
        [n for n, s in statuses.items() if s["pools"][pool]["is_scheduler"]]
        == list({s["pools"][pool]["scheduler"] for s in statuses.values()})
        for pool in pools
    )


def build_change(queue_length: int) -> list[dict[str, Any]]:
    """Returns a workspace's entry with another queue length."""
    changed = dataclasses.replace(
        linked_fleet.WORKSPACES[0], queue_length=queue_length
    )
    return [
        entry
        for entry in catalogue.build_entries([changed], [], [])
        if entry["kind"] == "workspace"
    ]


class Play:
    """Cuts and heals a running fleet and notes what happens."""

    def __init__(self, fleet: linked_fleet.LinkedFleet):
        self.fleet = fleet
        self.story = Story(samples={name: [] for name in fleet.instances})

    async def run(self) -> Story:
        """Runs the whole scenario."""
        sampling = asyncio.create_task(self._sample())
        await self.fleet.wait_for_status(is_joined, "the fleet stands")
        running = self._start(max_tokens=LONG_TOKENS)
        self._cut()
        running += self._start()
        await self._finish(running)
        await self._serve_and_change()
        await self._heal()
        sampling.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await sampling
        return self.story

    async def _serve_and_change(self) -> None:
        story = self.story
        running = self._start()
        story.change = await self.fleet.apply(build_change(QUEUE_LENGTHS[0]))
        await self.fleet.wait_for_status(
            lambda statuses: all(
                read_offsets(statuses)[name] >= story.change
                for name in MAJORITY
            ),
            "the change at the majority",
        )
        await self.fleet.wait_for_status(
            lambda statuses: is_split(read_views(statuses)), "a split"
        )
        await self._finish(running + self._start())
        statuses = await self.fleet.read_all("/v1/status")
        story.views = read_views(statuses)
        story.offsets_cut = read_offsets(statuses)

    async def _heal(self) -> None:
        fleet, story = self.fleet, self.story
        fleet.rules.heal()
        await self.fleet.wait_for_status(
            lambda statuses: (
                min(read_offsets(statuses).values()) >= story.change
            ),
            "the change at all routers",
        )
        stats = await fleet.read_all("/v1/stats")
        story.peer_offers = {
            name: each["counters"].get("catalogue.peer_offers_taken", 0)
            for name, each in stats.items()
        }
        for relay in fleet.log_relays.values():
            relay.heal()
        await fleet.apply(build_change(QUEUE_LENGTHS[1]), "--wait")
        await self.fleet.wait_for_status(is_joined, "one fleet")
        await self._finish(self._start())
        await self._book()
        story.statuses = await fleet.read_all("/v1/status")
        story.catalogues = await fleet.read_all("/v1/catalogue")

    async def _book(self) -> None:
        fleet = self.fleet
        running = []
        for name in fleet.instances:
            booking = fleet.make_booking(is_idempotent=False)
            running += fleet.start_calls(name, [booking], linked_fleet.PATIENT)
        self.story.bookings = await asyncio.gather(*running)
        self.story.counts = await fleet.read_run_counts()

    def _cut(self) -> None:
        self.fleet.rules.cut(MINORITY)
        for relay in self.fleet.log_relays.values():
            relay.cut()

    def _start(
        self, max_tokens: int = linked_fleet.MAX_TOKENS
    ) -> list[asyncio.Task[caller_lib.Result]]:
        fleet = self.fleet
        running = []
        for name in fleet.instances:
            batch = [
                fleet.make_assistant(max_tokens),
                fleet.make_assistant(max_tokens),
                fleet.make_booking(is_idempotent=True),
            ]
            if name not in OFF_LOG:
                batch.append(fleet.make_booking(is_idempotent=False))
            running += fleet.start_calls(name, batch)
        return running

    async def _finish(
        self, running: list[asyncio.Task[caller_lib.Result]]
    ) -> None:
        self.story.results += await asyncio.gather(*running)

    async def _sample(self) -> None:
        while True:
            offsets = read_offsets(await self.fleet.read_all("/v1/status"))
            for name, offset in offsets.items():
                self.story.samples[name].append(offset)
            await asyncio.sleep(linked_fleet.POLL_S)


@pytest_bdd.when(
    "the two routers are cut off while requests run, and joined again",
    target_fixture="story",
)
def cut_and_heal(tmp_path: pathlib.Path) -> Story:
    fleet = linked_fleet.LinkedFleet(SETTINGS, tmp_path, OFF_LOG)
    return asyncio.run(
        linked_fleet.run_story(fleet, lambda fleet: Play(fleet).run())
    )


@pytest_bdd.then("every request at both sides was completed at its first try")
def check_served(story: Story):
    assert linked_fleet.find_faults(story.results) == []
    assert story.results


@pytest_bdd.then("every booking made after the healing ran once")
def check_bookings(story: Story):
    assert linked_fleet.find_faults(story.bookings) == []
    names = [
        request_specs.build_scoped_id(
            result.spec.workspace, result.spec.request_id
        )
        for result in story.bookings
    ]
    assert [story.counts.get(name) for name in names] == [1] * len(names)


@pytest_bdd.then("each side took the other for unreachable")
def check_split(story: Story):
    assert is_split(story.views)


@pytest_bdd.then("the change made meanwhile reached whoever could hear of it")
def check_reached(story: Story):
    reached = [n for n, at in story.offsets_cut.items() if at >= story.change]
    assert reached == list(MAJORITY)


@pytest_bdd.then("it reached the others through their peers after the healing")
def check_offers(story: Story):
    asked = [name for name, count in story.peer_offers.items() if count]
    assert asked == list(OFF_LOG)


@pytest_bdd.then("no router ever went back to an earlier catalogue")
def check_order(story: Story):
    for offsets in story.samples.values():
        assert offsets == sorted(offsets)
        assert offsets[-1] > story.change


@pytest_bdd.then("all routers have the same catalogue in force")
def check_catalogues(story: Story):
    first, *others = story.catalogues.values()
    assert others == [first] * len(others)


@pytest_bdd.then(
    "all follow one scheduler for each pool and take all others for live"
)
def check_joined(story: Story):
    assert is_joined(story.statuses)


@pytest_bdd.then("no process had a fault of its own")
def check_faults(story: Story):
    assert story.tracebacks == []
    assert story.ended_badly == []
