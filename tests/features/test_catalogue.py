"""Steps of `catalogue.feature`: catalogue readers on a simulated log."""

import asyncio
import itertools
import random
from urllib import parse

import httpx
import pytest
import pytest_bdd as bdd

from lentilbeam_core import catalogue_log
from lentilbeam_core import catalogue_snapshot
from lentilbeam_core import clock as clock_lib
from lentilbeam_router import catalogue_reader
from lentilbeam_router import platform_log
from tests import model_log
from tests import virtual_time
from tests.unit import catalogue_builders as builders

GOLD = builders.make_key("class", "gold")

bdd.scenarios("catalogue.feature")


class Router:
    """The catalogue reader of one router.

    Attributes:
        fleet: the fleet that the router belongs to.
        name: name of the router.
        in_force: all catalogues ever put in force, with their offsets.
        is_cut_off: whether connections to the log fail.
        is_log_silent: whether calls to the log time out.
        reader: the reader under test.
        task: runs the reader.
    """

    def __init__(self, fleet: "Fleet", name: str):
        self.fleet = fleet
        self.name = name
        self.in_force = []
        self.is_cut_off = False
        self.is_log_silent = False
        http = httpx.AsyncClient(transport=httpx.MockTransport(self.route))
        self.reader = catalogue_reader.CatalogueReader(
            platform_log.LogClient(model_log.URL, http),
            fleet.clock,
            lambda catalogue, offset: self.in_force.append((offset, catalogue)),
            catalogue_reader.Settings(log_retention_s=fleet.log.retention_s),
            self.list_peers,
            random.Random(name),
        )
        self.task = fleet.loop.create_task(self.reader.run())

    async def route(self, request: httpx.Request) -> httpx.Response:
        """Forwards a request of the reader to the log or to a peer.

        Raises:
            httpx.ConnectError: the router is cut off from the log.
            httpx.ReadTimeout: the log does not respond to the router.
        """
        host = request.url.host
        if host != parse.urlsplit(model_log.URL).hostname:
            return self.fleet.answer_peer(host, request)
        if self.is_cut_off:
            raise httpx.ConnectError("no route")
        if self.is_log_silent:
            await asyncio.sleep(request.extensions["timeout"]["read"])
            raise httpx.ReadTimeout("silent")
        return await self.fleet.log.handle(request)

    def list_peers(self) -> list[catalogue_reader.Peer]:
        """Returns all other routers, with the offsets they would announce."""
        return [
            catalogue_reader.Peer(f"http://{name}", router.reader.offset)
            for name, router in self.fleet.routers.items()
            if name != self.name
        ]

    def get_gold_weight(self) -> float:
        """Returns the weight of class gold in the catalogue in force."""
        return self.in_force[-1][1].classes["gold"].weight


class Fleet:
    """Routers that share one log, in simulated time.

    Attributes:
        runner: runs the simulated event loop.
        loop: the simulated event loop.
        clock: clock of the loop and of the log.
        log: the simulated log.
        routers: the running routers, by name.
        change_count: number of changes made so far; change ids are made from
            it.
    """

    def __init__(self, runner: asyncio.Runner, clock, retention_s: float):
        self.runner = runner
        self.loop = runner.get_loop()
        self.clock = clock
        self.log = model_log.ModelLog(clock, retention_s)
        self.routers: dict[str, Router] = {}
        self.change_count = 0

    def start(self, name: str) -> None:
        """Starts a router without state; stops it first if it runs."""
        if name in self.routers:
            self.routers[name].task.cancel()
        self.routers[name] = Router(self, name)

    def wait(self, seconds: float) -> None:
        """Advances the simulated time."""
        self.runner.run(asyncio.sleep(seconds))

    def answer_peer(self, name: str, request) -> httpx.Response:
        """Returns the response of a router to `GET /v1/catalogue`."""
        after = int(request.url.params["after"])
        export = self.routers[name].reader.build_export(after)
        return httpx.Response(200, json=export)

    def change(self, weight: float, base: int) -> None:
        """Appends an operator's change of class gold.

        Args:
            weight: new weight of the class.
            base: version of the class that the change is based on; 0 creates
                the class.
        """
        self.change_count += 1
        entry = builders.make_class("gold", weight=weight)
        change = builders.make_change(
            self.change_count, [entry], bases={GOLD: base}
        )
        self.log.append(catalogue_log.STREAM, [change])

    def check_never_reverted(self) -> None:
        """Checks that offsets and versions never decreased at a router."""
        for router in self.routers.values():
            offsets = [offset for offset, _ in router.in_force]
            assert offsets == sorted(set(offsets))
            versions = [
                catalogue.classes["gold"].version
                for _, catalogue in router.in_force
                if "gold" in catalogue.classes
            ]
            assert versions == sorted(versions)


@pytest.fixture
def runner_and_clock():
    clock = clock_lib.ManualClock(virtual_time.START)
    with asyncio.Runner(
        loop_factory=lambda: virtual_time.VirtualTimeLoop(clock)
    ) as runner:
        yield runner, clock


@bdd.given(
    bdd.parsers.parse("a log that keeps records for {seconds:d} seconds"),
    target_fixture="fleet",
)
def start_log(runner_and_clock, seconds):
    return Fleet(*runner_and_clock, float(seconds))


@bdd.given("the routers north and south")
def start_routers(fleet):
    fleet.start("north")
    fleet.start("south")


@bdd.given(bdd.parsers.parse("class gold was created with weight {weight:d}"))
def create_gold(fleet, weight):
    fleet.change(weight, base=0)
    fleet.wait(1)


@bdd.given(bdd.parsers.parse("{name} is cut off from the log"))
def cut_off(fleet, name):
    fleet.routers[name].is_cut_off = True


@bdd.given(bdd.parsers.parse("the log does not respond to {name}"))
def silence_log(fleet, name):
    fleet.routers[name].is_log_silent = True


@bdd.given("the log is down")
def take_log_down(fleet):
    fleet.log.is_down = True


@bdd.given(bdd.parsers.parse("{seconds:d} seconds pass"))
def pass_time(fleet, seconds):
    fleet.wait(seconds)


@bdd.given(bdd.parsers.parse("{name} has stopped reading the log"))
def stop_reading(fleet, name):
    fleet.routers[name].task.cancel()


@bdd.when(bdd.parsers.parse("{name} appends its snapshot"))
def append_snapshot(fleet, name):
    state = fleet.routers[name].reader.follower.state
    snapshot = catalogue_snapshot.dump_snapshot(state)
    fleet.log.append(catalogue_log.STREAM, [snapshot])


@bdd.given(bdd.parsers.parse("the weight of gold is changed to {weight:d}"))
@bdd.when(bdd.parsers.parse("the weight of gold is changed to {weight:d}"))
def change_weight(fleet, weight):
    fleet.change(weight, base=1)


@bdd.when(
    bdd.parsers.parse(
        "two operators change the weight of gold to {first:d} and {second:d}"
        " at once"
    )
)
def change_weight_twice(fleet, first, second):
    fleet.change(first, base=1)
    fleet.change(second, base=1)


@bdd.when(bdd.parsers.parse("the router {name} starts"))
def start_router(fleet, name):
    fleet.start(name)


@bdd.when("the routers north and south restart")
def restart_routers(fleet):
    start_routers(fleet)


@bdd.then(
    bdd.parsers.parse(
        "within {seconds:d} seconds gold has weight {weight:d} at {names}"
    )
)
def check_weight(fleet, seconds, weight, names):
    fleet.wait(seconds)
    for name in names.split(", "):
        assert fleet.routers[name].get_gold_weight() == weight
    # Longer than the log's retention of 600 s: expiry must not revert the
    # change.
    fleet.wait(700)
    fleet.check_never_reverted()
    for name in names.split(", "):
        assert fleet.routers[name].get_gold_weight() == weight


@bdd.then(
    bdd.parsers.parse(
        "any two snapshots in the log are more than {seconds:d} seconds apart"
    )
)
def check_snapshots(fleet, seconds):
    times = [
        record.time_s
        for record in fleet.log.streams[catalogue_log.STREAM]
        if catalogue_snapshot.read_as_of(record.value) is not None
    ]
    assert len(times) > 1
    for earlier, later in itertools.pairwise(times):
        assert later - earlier > seconds


@bdd.then("all routers rejected the second change")
def check_rejected(fleet):
    rejected_id = builders.make_change_id(fleet.change_count)
    for router in fleet.routers.values():
        verdict = router.reader.follower.state.verdicts[rejected_id]
        assert verdict.status.value == "rejected"
        assert verdict.winner.change_id == builders.make_change_id(
            fleet.change_count - 1
        )
