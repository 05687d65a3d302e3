"""Following the store: outages, lost history, bad records."""

import asyncio
import collections
import json

from lentilbeam_core import clock as clock_lib
from lentilbeam_platform import followers
from lentilbeam_platform import store as store_lib
from lentilbeam_router.forwarding import feeds
from tests import virtual_time
from tests.forwarding import test_platform

TARGETS = followers.TARGETS_TOPIC


class Beliefs:
    """Notes what it is told."""

    def __init__(self):
        self.told = []
        self.log = self
        self.configuration_watch = feeds.FeedWatch(0.3)
        self.targets_watch = feeds.FeedWatch(0.9)
        self.routers = 7

    def count_routers(self):
        """Returns the size of the fleet."""
        return self.routers

    def write_event(self, change, **inputs):
        """Notes a logged change."""
        self.told.append((change, *inputs.values()))

    def __getattr__(self, name):
        return lambda *values: self.told.append((name, *values))


class ScriptedStore:
    """Answers reads by a script, then blocks; keeps what was asked."""

    def __init__(self, *answers):
        self.answers = collections.deque(answers)
        self.asked = []
        self.is_done = asyncio.Event()

    async def read_newest(self, topic):
        """Answers by the script."""
        self.asked.append("newest")
        return await self.answer()

    async def read_from(self, topic, offset, wait_s):
        """Answers by the script."""
        self.asked.append((offset, wait_s))
        return await self.answer()

    async def answer(self):
        """Returns the next answer, or blocks."""
        if not self.answers:
            self.is_done.set()
            await asyncio.Event().wait()
        answer = self.answers.popleft()
        if isinstance(answer, Exception):
            raise answer
        return answer


def follow(store, topic=TARGETS, apply=followers.apply_target):
    """Follows a topic until the store has no more answers."""

    async def play():
        beliefs = Beliefs()
        task = asyncio.create_task(
            followers.follow(beliefs, store, topic, apply)
        )
        await store.is_done.wait()
        task.cancel()
        return beliefs.told

    return asyncio.run(play())


def page(offset, **records):
    listed = tuple(store_lib.Record(k, v) for k, v in records.items())
    return store_lib.Page(listed, offset)


def names(told):
    return [item[0] for item in told]


SERVER = json.dumps(test_platform.SERVER).encode()
DOWN = store_lib.StoreError("down")


def test_the_return_of_the_store_is_seen_without_waiting_for_a_change():
    store = ScriptedStore(page(1, a=SERVER), DOWN, DOWN, page(1))
    told = follow(store)
    long_poll = followers.LONG_POLL_S
    assert store.asked == [
        "newest",
        (1, long_poll),
        (1, 0.0),
        (1, 0.0),
        (1, long_poll),
    ]
    assert names(told).count("store_lost") == 1
    assert told[-1] == ("store_returned", TARGETS, True)


def test_lost_history_is_read_anew_and_replaces_the_list():
    gone = store_lib.HistoryGoneError()
    store = ScriptedStore(page(5, a=SERVER), gone, page(9, b=SERVER))
    told = follow(store)
    replaced = [item[1] for item in told if item[0] == "replace_targets"]
    assert [[e.name for e in entries] for entries in replaced] == [["a"], ["b"]]


def test_a_bad_record_is_reported_and_the_others_hold():
    store = ScriptedStore(page(2, a=SERVER, b=b"{"), page(3, c=None))
    told = follow(store)
    assert names(told).count("bad_record") == 1
    assert ("remove_target", "c") in told
    (entries,) = [item[1] for item in told if item[0] == "replace_targets"]
    assert [entry.name for entry in entries] == ["a"]


def test_only_the_record_of_the_configuration_is_taken():
    config = json.dumps(test_platform.CONFIG).encode()
    store = ScriptedStore(page(2, config=config, other=b"{}"))
    told = follow(
        store, followers.CONFIGURATION_TOPIC, followers.apply_configuration
    )
    assert names(told) == ["offer_configuration"]


def test_a_silent_long_poll_is_given_up_once_peers_are_further_on():
    async def play():
        beliefs = Beliefs()
        store = ScriptedStore(page(1, a=SERVER))
        task = asyncio.create_task(
            followers.follow(beliefs, store, TARGETS, followers.apply_target)
        )
        await store.is_done.wait()
        assert not beliefs.targets_watch.note_peer_position(5, 10.0)
        assert beliefs.targets_watch.note_peer_position(5, 11.0)
        store.answers.append(page(5, b=SERVER))
        store.is_done.clear()
        await store.is_done.wait()
        task.cancel()
        return store.asked, beliefs

    asked, beliefs = asyncio.run(play())
    assert asked[:3] == ["newest", (1, followers.LONG_POLL_S), "newest"]
    assert beliefs.targets_watch.lag.own_position == 5
    assert not beliefs.targets_watch.note_peer_position(5, 20.0)


def time_retries(routers, is_behind=False):
    """Returns the seconds that three failed reads in a row take."""

    async def play():
        beliefs = Beliefs()
        beliefs.routers = routers
        store = ScriptedStore(DOWN, DOWN, DOWN, page(1))
        if is_behind:
            beliefs.targets_watch.must_reread.set()
        loop = asyncio.get_running_loop()
        began = loop.time()
        task = asyncio.create_task(
            followers.follow(beliefs, store, TARGETS, followers.apply_target)
        )
        await store.is_done.wait()
        task.cancel()
        return loop.time() - began - followers.READ_PAUSE_S[TARGETS]

    clock = clock_lib.ManualClock(virtual_time.START)
    return virtual_time.run(play(), clock)


def test_a_large_fleet_calls_a_lost_store_no_more_often_than_a_small_one():
    small = min(time_retries(7) for _ in range(5))
    large = min(time_retries(85) for _ in range(5))
    assert 0.6 <= small <= 1.2
    assert large >= 2.4


def test_a_router_cut_from_the_store_calls_no_more_often_for_peers_news():
    assert min(time_retries(7, is_behind=True) for _ in range(5)) >= 0.6
    assert min(time_retries(85, is_behind=True) for _ in range(5)) >= 2.4
