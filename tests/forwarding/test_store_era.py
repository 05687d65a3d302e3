"""The store comes back from an older copy: its era rises, offsets go back.

A router notices the rise in any response. It keeps the configuration in force,
reads everything anew, keeps running targets that the copy lacks, and doesn't
use targets again that it knows as leaving or removed.
"""

import asyncio
import contextlib
import json
import os

import httpcore
import httpx
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import ids
from lentilbeam_core import poll_times
from lentilbeam_platform import call_wire
from lentilbeam_platform import followers
from lentilbeam_platform import node_file
from lentilbeam_platform import store as store_lib
from lentilbeam_router import addresses
from lentilbeam_router.forwarding import gateway as gateway_lib
from tests import virtual_time
from tests.forwarding import test_platform
from tests.standins import keyed_store

ADDRESS = addresses.Address("127.0.0.1", 1)
EXPIRY_S = 3.6
"""Time after which the platform removes entries that are not renewed."""


class HttpxPool:
    """Connection pool whose requests an httpx transport answers."""

    def __init__(self, transport: httpx.AsyncBaseTransport):
        self.http = httpx.AsyncClient(transport=transport)

    @contextlib.asynccontextmanager
    async def stream(self, method, url, content, extensions):
        """Opens the response of the transport."""
        yield await self.request(method, url, content, extensions)

    async def request(self, method, url, content, extensions):
        """Returns the response of the transport."""
        del extensions
        response = await self.http.request(method, url, content=content)
        return httpcore.Response(
            response.status_code,
            headers=response.headers.raw,
            content=response.content,
        )


def make_client(respond):
    """Returns a client of a store, and the list of the events that it logs.

    Args:
        respond: returns the response to an `httpx.Request`.
    """
    events = []
    client = store_lib.StoreClient(
        ADDRESS, lambda event, **fields: events.append((event, fields))
    )
    client.pool = HttpxPool(httpx.MockTransport(respond))
    return client, events


def call_with_eras(*eras):
    """Makes one call for each list of era headers.

    Returns:
        The client, the events that it logged, and for each call whether the
        response was used.
    """
    left = list(eras)

    def respond(request):
        del request
        headers = [("store-era", era) for era in left.pop(0)]
        return httpx.Response(200, headers=headers, content=bytes(16))

    client, events = make_client(respond)

    async def read() -> bool:
        try:
            await client.read_from("topic", 0, 0.0)
        except store_lib.StoreError:
            return False
        return True

    async def run():
        return [await read() for _ in eras]

    return client, events, asyncio.run(run())


def test_response_of_an_earlier_era_is_not_used():
    client, _, used = call_with_eras(["3"], ["4"], ["3"], ["4"])
    assert used == [True, True, False, True]
    assert client.era == 4


@pytest.mark.parametrize("bad", [["x"], ["-1"], ["1.5"], [""], ["5", "6"]])
def test_invalid_era_is_logged_once_and_the_last_one_holds(bad):
    client, events, used = call_with_eras(["4"], bad, bad, ["4"])
    assert used == [True] * 4
    assert client.era == 4
    assert [name for name, _ in events] == ["store_era", "bad_store_era"]


def test_missing_era_leaves_the_last_one_in_force():
    client, events, used = call_with_eras(["4"], [], ["4"])
    assert used == [True] * 3
    assert (client.era, len(events)) == (4, 1)


@pytest.mark.parametrize("headers", [{}, {"store-era": "2"}])
def test_offset_that_the_store_lacks_means_to_read_anew(headers):
    client, _ = make_client(lambda _: httpx.Response(410, headers=headers))
    with pytest.raises(store_lib.HistoryGoneError):
        asyncio.run(client.read_from("topic", 7, 0.0))


def test_era_that_rises_between_two_pages_invalidates_both():
    pages = [("1", True), ("2", False)]

    def respond(request):
        del request
        era, has_more = pages.pop(0)
        item = {"key": era, "value": "YQ==", "offset": 0}
        body = {"items": [item], "has_more": has_more, "end_offset": 9}
        return httpx.Response(200, headers={"store-era": era}, json=body)

    client, _ = make_client(respond)
    with pytest.raises(store_lib.StoreError):
        asyncio.run(client.read_newest("topic"))


class StoreWorld:
    """A store with its writers, and routers that follow it in virtual time.

    Attributes:
        loop: the event loop of all tasks.
        store: the stand-in of the store.
        version: newest version that the operator has published.
        states: what each running target has written last: "ready" or
            "draining".
        starts: start of each target's process, Unix milliseconds.
        routers: the routers, by name.
        tasks: tasks of each router, by its name.
    """

    def __init__(self, output: int):
        self.clock = clock_lib.ManualClock(virtual_time.START)
        self.loop = virtual_time.VirtualTimeLoop(self.clock)
        self.store = keyed_store.Store()
        self.output = output
        self.version = 0
        self.states: dict[str, str] = {}
        self.starts: dict[str, int] = {}
        self.routers: dict[str, gateway_lib.Gateway] = {}
        self.tasks: dict[str, list[asyncio.Task]] = {}

    def close(self) -> None:
        """Cancels all tasks and closes the loop."""
        for name in list(self.tasks):
            self.kill(name)
        self.wait(0.1)
        self.loop.close()

    def wait(self, seconds: float) -> None:
        """Lets this time pass."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def append(self, topic: str, key: str, value: bytes) -> None:
        """Writes a record, whether or not the routers reach the store."""
        record = bytes([len(key)]) + key.encode() + value
        length = len(record).to_bytes(4, "big")

        async def write():
            topics = self.store.topics
            topics.setdefault(topic, keyed_store.Topic()).append(
                length + record
            )

        self.loop.run_until_complete(write())

    def publish(self, version: int) -> None:
        """Writes a version of the configuration."""
        self.version = max(self.version, version)
        config = {**test_platform.CONFIG, "version": version}
        self.append("keyed.op", "config", json.dumps(config).encode())

    def put_target(self, name: str, state: str) -> None:
        """Writes the entry of a running target."""
        self.states[name] = state
        entry = {
            **test_platform.SERVER,
            "state": state,
            "born": self.starts.setdefault(name, 1000),
        }
        self.append("keyed.servers", name, json.dumps(entry).encode())

    def remove_target(self, name: str) -> None:
        """Ends a target; the platform removes its entry."""
        self.states.pop(name, None)
        self.append("keyed.servers", name, b"")

    def start(self, name: str) -> None:
        """Starts a router without state."""
        settings = node_file.decode_node_file(
            json.dumps({**test_platform.NODE, "node": name}).encode()
        )
        gateway = gateway_lib.Gateway(
            settings.router,
            call_wire.CODEC,
            self.clock,
            poll_times.PollTimes(self.clock.monotonic()),
            self.output,
        )
        client = store_lib.StoreClient(ADDRESS, gateway.log.write_event)
        client.pool = HttpxPool(httpx.ASGITransport(self.store))
        jobs = followers.build_jobs(gateway, client)
        self.routers[name] = gateway
        self.tasks[name] = [self.loop.create_task(job) for job in jobs]

    def kill(self, name: str) -> None:
        """Ends a router."""
        for task in self.tasks.pop(name):
            task.cancel()
        del self.routers[name]

    def lose(self, count: int, away_s: float) -> None:
        """The store is away for a while and comes back from an older copy."""
        self.store.set_faults({"is_down": True})
        self.wait(away_s)
        self.store.set_faults({"lose": count})

    def rewrite(self) -> None:
        """Operator and targets write again; entries of others lapse."""
        self.publish(self.version)
        for name, state in self.states.items():
            self.put_target(name, state)
        self.wait(EXPIRY_S)
        for name in self.starts.keys() - self.states.keys():
            self.append("keyed.servers", name, b"")

    def find_ready(self, router: str) -> set[str]:
        """Returns the targets that a router uses."""
        pool = test_platform.SERVER["service"]
        targets = self.routers[router].targets
        return {entry.name for entry in targets.find_ready(pool)}


@pytest.fixture
def world():
    output = os.open(os.devnull, os.O_WRONLY)
    world = StoreWorld(output)
    yield world
    world.close()
    os.close(output)


def test_older_copy_neither_reverts_the_configuration_nor_loses_targets(world):
    world.publish(7)
    world.put_target("a", "ready")
    world.start("r")
    world.wait(1.0)
    world.publish(9)
    world.put_target("b", "ready")
    world.wait(1.0)
    assert world.find_ready("r") == {"a", "b"}
    world.lose(1, away_s=1.0)
    world.wait(1.5)
    assert world.routers["r"].configuration.current.version == 9
    assert world.find_ready("r") == {"a", "b"}
    world.publish(9)
    world.put_target("b", "ready")
    world.wait(8.0)
    assert world.find_ready("r") == {"a", "b"}
    world.publish(11)
    world.put_target("c", "ready")
    world.wait(1.0)
    assert world.routers["r"].configuration.current.version == 11
    assert world.find_ready("r") == {"a", "b", "c"}


def block_part(world, router):
    """Lets one router see three targets crash because of a part."""
    gateway = world.routers[router]
    parts = ["dead"]
    for number in range(3):
        now = gateway.clock.monotonic()
        process = (ids.TargetId(f"t{number}"), 1)
        gateway.prompt_blocks.evidence.note_crash("x", parts, process, now, now)
        world.wait(0.5)
    return parts


def list_blocked(world, router):
    """Returns the parts that a router blocks."""
    blocks = world.routers[router].prompt_blocks
    return list(blocks.evidence.list_blocks())


# Guards against BUDGET: all routers stop, and none knows the part any more.
def test_block_outlives_a_stop_of_all_routers(world):
    world.publish(7)
    world.put_target("a", "ready")
    world.start("r")
    world.wait(1.0)
    block_part(world, "r")
    world.wait(2.0)
    world.kill("r")
    world.start("r2")
    world.wait(1.0)
    assert list_blocked(world, "r2") == ["dead"]


# Guards against LOST: a part that was answered is blocked after a restart.
def test_lifted_block_is_not_read_from_the_store(world):
    world.publish(7)
    world.put_target("a", "ready")
    world.start("r")
    world.wait(1.0)
    parts = block_part(world, "r")
    world.wait(2.0)
    world.routers["r"].prompt_blocks.evidence.note_answered(
        parts, world.clock.monotonic()
    )
    world.wait(2.0)
    world.kill("r")
    world.start("r2")
    world.wait(1.0)
    assert list_blocked(world, "r2") == []


# Guards against a fault of our own: a malformed block ends the router.
@pytest.mark.parametrize(
    "value", [b"x", b"{}", b'{"level":-1}', b'{"level":999}']
)
def test_malformed_block_in_the_store_is_ignored(world, value):
    world.publish(7)
    world.put_target("a", "ready")
    world.append("keyed.routers", "blocked-part/dead", value)
    world.start("r")
    world.wait(2.0)
    assert list_blocked(world, "r") == []
    assert world.find_ready("r") == {"a"}


# Guards against BUDGET: the store comes back from a copy without the block.
def test_block_is_written_again_in_a_new_era_of_the_store(world):
    world.publish(7)
    world.put_target("a", "ready")
    world.start("r")
    world.wait(1.0)
    block_part(world, "r")
    world.wait(2.0)
    world.lose(5, away_s=1.0)
    world.rewrite()
    world.wait(3.0)
    world.kill("r")
    world.start("r2")
    world.wait(1.0)
    assert list_blocked(world, "r2") == ["dead"]


def test_target_that_the_copy_lacks_and_that_does_not_return_is_gone(world):
    world.publish(7)
    world.put_target("a", "ready")
    world.start("r")
    world.wait(1.0)
    world.put_target("b", "ready")
    world.wait(1.0)
    world.lose(1, away_s=1.0)
    world.wait(4.0)
    assert world.find_ready("r") == {"a"}


def test_leaving_and_removed_targets_of_the_copy_are_not_used_again(world):
    world.publish(7)
    for name in ("a", "b", "c"):
        world.put_target(name, "ready")
    world.start("r")
    world.wait(1.0)
    world.put_target("a", "draining")
    world.remove_target("b")
    world.wait(1.0)
    assert world.find_ready("r") == {"c"}
    world.lose(2, away_s=1.0)
    for _ in range(20):
        world.wait(0.1)
        assert world.find_ready("r") == {"c"}
    # Only a record that was written later shows that a target runs again.
    world.put_target("b", "ready")
    world.wait(1.0)
    assert world.find_ready("r") == {"b", "c"}


def test_older_copy_that_is_read_twice_is_still_not_believed(world):
    world.publish(7)
    for name in ("a", "b"):
        world.put_target(name, "ready")
    world.start("r")
    world.wait(1.0)
    world.remove_target("b")
    world.wait(1.0)
    world.lose(1, away_s=1.0)
    world.wait(1.0)
    # Peers have read further, so the list is read anew.
    world.routers["r"].targets_watch.must_reread.set()
    world.wait(1.0)
    assert world.find_ready("r") == {"a"}


def test_each_router_writes_its_entry_once_in_each_era(world):
    world.publish(7)
    for name in ("r", "s"):
        world.start(name)
    world.wait(2.0)
    topic = world.store.topics["keyed.routers"]
    assert len(topic.records) == 2
    world.lose(2, away_s=1.0)
    world.wait(5.0)
    assert sorted(topic.read_newest()) == ["r", "s"]
    assert len(topic.records) == 2


class OlderCopies(stateful.RuleBasedStateMachine):
    """Any order of writes, losses, returns and restarts.

    Attributes:
        world: the store and the routers.
        versions: version that each router had in force at the last look.
        listed: targets that each router has had on its list.
        gone: those of them that it knows as leaving or removed.
    """

    def __init__(self):
        super().__init__()
        self.output = os.open(os.devnull, os.O_WRONLY)
        self.world = StoreWorld(self.output)
        self.versions: dict[str, int] = {}
        self.listed: dict[str, set[str]] = {}
        self.gone: dict[str, set[str]] = {}
        self.world.publish(1)
        self.world.put_target("t0", "ready")
        for name in ("r", "s"):
            self.world.start(name)
        self.world.wait(1.0)

    @stateful.rule(steps=strategies.integers(1, 3))
    def publish(self, steps):
        """The operator publishes a newer version."""
        self.world.publish(self.world.version + steps)

    @stateful.rule()
    def add_target(self):
        """A new target registers."""
        self.world.put_target(f"t{len(self.world.starts)}", "ready")

    @stateful.precondition(lambda self: self.world.states)
    @stateful.rule(data=strategies.data(), is_announced=strategies.booleans())
    def end_target(self, data, is_announced):
        """A target leaves, or its entry lapses."""
        name = data.draw(strategies.sampled_from(sorted(self.world.states)))
        if is_announced:
            self.world.put_target(name, "draining")
        else:
            self.world.remove_target(name)

    @stateful.rule(seconds=strategies.sampled_from([0.05, 0.5, 3.0]))
    def wait(self, seconds):
        """Time passes."""
        self.world.wait(seconds)

    @stateful.rule(
        count=strategies.integers(1, 4),
        away_s=strategies.sampled_from([0.05, 1.0, 4.0]),
    )
    def lose_and_rewrite(self, count, away_s):
        """The store loses its newest records; its writers write again."""
        self.note_gone()
        self.world.lose(count, away_s)
        self.world.wait(0.2)
        self.check_gone()
        self.world.rewrite()

    @stateful.rule(name=strategies.sampled_from(["r", "s"]))
    def restart(self, name):
        """A router restarts without state."""
        self.world.kill(name)
        self.world.start(name)
        # It can't know what it has not seen since its start.
        for seen in (self.versions, self.listed, self.gone):
            seen.pop(name, None)
        self.world.wait(0.5)

    def note_gone(self):
        """Records which targets each router has stopped using for good."""
        for name in self.world.routers:
            ready = self.world.find_ready(name)
            running = {
                target
                for target, state in self.world.states.items()
                if state == "ready"
            }
            listed = self.listed.get(name, set())
            known = self.gone.setdefault(name, set())
            known |= listed - running - ready

    @stateful.invariant()
    def check_versions(self):
        """No router goes back to an older configuration."""
        for name, router in self.world.routers.items():
            current = router.configuration.current
            version = current.version if current else 0
            assert version >= self.versions.get(name, 0)
            self.versions[name] = version

    @stateful.invariant()
    def check_gone(self):
        """No router uses a target again that it knows as gone."""
        for name, router in self.world.routers.items():
            listed = self.listed.setdefault(name, set())
            listed |= router.targets.entries.keys()
            assert not self.world.find_ready(name) & self.gone.get(name, set())

    def teardown(self):
        """In the end, all routers know what is true."""
        self.world.rewrite()
        self.world.wait(8.0)
        ready = {n for n, s in self.world.states.items() if s == "ready"}
        for name, router in self.world.routers.items():
            assert router.configuration.current.version == self.world.version
            assert self.world.find_ready(name) == ready
        self.world.close()
        os.close(self.output)


TestOlderCopies = OlderCopies.TestCase
TestOlderCopies.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=12, deadline=None
)
