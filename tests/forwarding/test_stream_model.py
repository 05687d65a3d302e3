"""Any order of faults, with all routers killed at once, mixes no stream.

The model knows which version began each stream: that of its first event. Whole
routers that follow an emulated store, in virtual time.
"""

import asyncio
import itertools

import hypothesis
from hypothesis import strategies as st

from tests.forwarding import stored_fleet
from tests.forwarding import test_stream_records as records_lib
from tests.forwarding import test_stream_versions as streams_lib

ROUTERS = ("r0", "r1", "r2")
VERSIONS = ("v1", "v1.1", "v2")
STREAM_EVENTS = 60
"""Number of events in a stream, which then runs for 3 s."""

_ROUTER = st.sampled_from(ROUTERS)
_VERSION = st.sampled_from(VERSIONS)
_DISTURBANCE = st.one_of(
    st.tuples(st.just("add"), _VERSION),
    st.tuples(st.just("replace"), _VERSION, _VERSION),
    st.tuples(st.just("replace"), _VERSION, _VERSION),
    st.tuples(st.just("remove"), _VERSION),
    st.tuples(st.just("begin"), _ROUTER),
    st.tuples(st.just("restart"), _ROUTER),
    st.tuples(st.just("part"), _ROUTER),
    st.tuples(st.just("without_store"), _ROUTER),
    st.tuples(st.just("store_down")),
    st.tuples(st.just("store_slow"), st.sampled_from([0.3, 1.5])),
    st.tuples(st.just("store_older"), st.integers(1, 4)),
    st.tuples(st.just("heal")),
    st.tuples(st.just("wait"), st.sampled_from([0.01, 0.1, 0.5, 1.0])),
)
_KILL = st.one_of(
    st.tuples(st.just("restart"), _ROUTER),
    st.tuples(st.just("kill_all"), st.sampled_from([0.0, 0.5, 3.0])),
    st.tuples(st.just("kill_all"), st.sampled_from([0.0, 0.5, 3.0])),
)
_RESUME = st.tuples(st.just("resume"), _ROUTER, st.booleans())
_LONG_WAIT = st.tuples(st.just("wait"), st.sampled_from([0.0, 3.0, 25.0]))


@st.composite
def draw_round(draw) -> list[tuple]:
    """Draws actions in which streams begin, are cut and are resumed."""
    actions = [draw(_LONG_WAIT), ("begin", draw(_ROUTER))]
    actions += draw(st.lists(_DISTURBANCE, max_size=4))
    actions.append(draw(_KILL))
    actions += draw(st.lists(_DISTURBANCE, max_size=3))
    actions += draw(st.lists(_RESUME, min_size=1, max_size=3))
    return actions


class Model:
    """The fleet, and the streams of its callers.

    Attributes:
        fleet: the routers, targets and the store.
        streams: all streams that began.
        target_count: number of targets that were ever added.
    """

    def __init__(self, fleet: stored_fleet.StoredFleet):
        self.fleet = fleet
        self.streams: list[streams_lib.Stream] = []
        self.target_count = 0

    async def act(self, kind: str, *values) -> None:
        """Carries out an action."""
        await getattr(self, kind)(*values)

    async def begin(self, router):
        """Callers begin three streams."""
        for _ in range(3):
            stream = streams_lib.Stream(self.fleet)
            stream.begin(router)
            self.streams.append(stream)
        await asyncio.sleep(0.1)

    async def add(self, version):
        """A target of a version is added."""
        self.target_count += 1
        target = self.fleet.add_target(f"t{self.target_count}", version=version)
        target.stream_length = STREAM_EVENTS

    async def remove(self, version):
        """All targets of a version end and leave the list."""
        found = [
            name
            for name, target in self.fleet.targets.items()
            if target.version == version
        ]
        for name in found:
            self.fleet.remove_target(name)

    async def kill_all(self, pause_s):
        """All routers are killed, and start after a pause."""
        names = records_lib.stop_all(self.fleet)
        await asyncio.sleep(pause_s)
        for name in names:
            self.fleet.start_router(name)

    async def replace(self, old, new):
        """Targets of a version take the place of those of another."""
        await self.add(new)
        await self.add(new)
        await self.remove(old)

    async def restart(self, router):
        """A router is killed and starts at once."""
        streams_lib.restart_router(self.fleet, router)

    async def part(self, router):
        """A router is cut off from the others."""
        self.fleet.part([router])

    async def without_store(self, router):
        """A router does not reach the store."""
        self.fleet.without_store.add(router)

    async def store_down(self):
        """The store is down."""
        self.fleet.store.set_faults({"is_down": True})

    async def store_slow(self, delay_s):
        """Each call to the store takes this long, in seconds."""
        self.fleet.store_delay_s = delay_s

    async def store_older(self, count):
        """The store comes back from an older copy."""
        self.fleet.store.set_faults({"lose": count})
        self.fleet.publish()
        for target in self.fleet.targets.values():
            self.fleet.write_entry(target)

    async def heal(self):
        """All faults end."""
        self.fleet.heal()
        self.fleet.without_store.clear()
        self.fleet.store.set_faults({})
        self.fleet.store_delay_s = 0.002

    async def resume(self, router, is_named):
        """Callers resume the streams that were cut."""
        headers = {} if is_named else {"resumes": None}
        now = asyncio.get_running_loop().time()
        for stream in self.streams:
            age_s = now - stream.tries[0].sent_at
            if (
                stream.events
                and stream.has_ended
                and not stream.tries[-1].is_complete
                and age_s < streams_lib.DEADLINE_MS / 1000
            ):
                task = asyncio.ensure_future(stream.take_up(router, **headers))
                stream.tasks.append(task)
        await asyncio.sleep(0.1)

    async def wait(self, seconds):
        """Time passes."""
        await asyncio.sleep(seconds)


# Guards against ORDER: a stream that is resumed after any faults has events of
# two versions.
@hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
@hypothesis.given(st.lists(draw_round(), min_size=1, max_size=3))
def test_no_stream_has_events_of_two_versions(rounds):
    model = Model(stored_fleet.StoredFleet(routers=len(ROUTERS)))

    async def scenario(fleet):
        del fleet
        await model.add("v1")
        await asyncio.sleep(streams_lib.RECORDED_S)
        for action in itertools.chain.from_iterable(rounds):
            await model.act(*action)
        await asyncio.sleep(2.0)

    model.fleet.run(scenario)
    for stream in model.streams:
        assert len(stream.versions) <= 1, stream.events
