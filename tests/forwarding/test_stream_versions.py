"""Streams go on only at the software version that began them.

Whole routers with emulated targets in virtual time. The text of each event
tells the version that wrote it, so a joined answer is seen in the answer.
"""

import asyncio
import re

import pytest

from tests.forwarding import gateway_fleet
from tests.forwarding import makers
from tests.forwarding import stored_fleet

OLD = "v1"
NEW = "v1.1"
DEADLINE_MS = 15_000
AT_ONCE_S = 0.5
"""A refusal within this time, in seconds, is made without waiting for room."""
RECORDED_S = 4.0
"""Time, in seconds, after which the first versions of a pool are recorded in
the store."""
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S*)/\d+\n\n")


class Stream:
    """A stream as its caller sees it, over all of the caller's tries.

    Attributes:
        fleet: the routers and targets.
        tries: what each try got.
        tasks: tries that may not have ended yet.
    """

    def __init__(self, fleet: gateway_fleet.Fleet):
        self.fleet = fleet
        self.tries: list[gateway_fleet.Result] = []
        self.tasks: list[asyncio.Task] = []

    @property
    def events(self) -> list[tuple[int, str]]:
        """Number and version of each event, over all tries."""
        return [
            (int(number), version.decode())
            for each in self.tries
            for number, version in _EVENT.findall(each.body)
        ]

    @property
    def versions(self) -> set[str]:
        """The versions that wrote the events."""
        return {version for _, version in self.events}

    @property
    def has_ended(self) -> bool:
        """Whether no try goes on."""
        return all(task.done() for task in self.tasks)

    @property
    def is_whole(self) -> bool:
        """Whether all events came, each once, and the end."""
        numbers = [number for number, _ in self.events]
        last = self.tries[-1]
        return (
            last.status == 200
            and last.is_complete
            and numbers == list(range(1, len(numbers) + 1))
        )

    def begin(self, router: str) -> None:
        """Sends the first try."""
        self.tasks.append(self._send(router))

    async def take_up(self, router: str, **headers: str) -> None:
        """Sends the next try, as callers do; returns when it has ended.

        Args:
            router: the router that is asked.
            **headers: headers that differ from what callers send.
        """
        first = self.tries[0].request_id
        last_event = str(self.events[-1][0])
        task = self._send(
            router,
            **{"resumes": first, "last_event_id": last_event, **headers},
        )
        await asyncio.wait({task})

    def _send(self, router: str, **headers: str) -> asyncio.Task:
        result = gateway_fleet.Result(router, 0.0)
        self.tries.append(result)
        return self.fleet.send_soon(
            router,
            path="/chat/1",
            deadline_ms=DEADLINE_MS,
            result=result,
            **headers,
        )


def build_fleet(routers: int = 4, **options) -> gateway_fleet.Fleet:
    """Returns a fleet without targets."""
    return gateway_fleet.Fleet(
        routers=routers, targets=0, engine=makers.ENGINE, **options
    )


def add_targets(fleet: gateway_fleet.Fleet, **versions: str) -> None:
    """Adds targets, given as names and versions."""
    for name, version in versions.items():
        fleet.add_target(name, version=version)


async def begin_streams(
    fleet: gateway_fleet.Fleet, count: int, router: str = "r0"
) -> list[Stream]:
    """Begins streams; returns them once all have events."""
    streams = [Stream(fleet) for _ in range(count)]
    for stream in streams:
        stream.begin(router)
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.3)
    return streams


def restart_router(fleet: gateway_fleet.Fleet, router: str = "r0") -> None:
    """Kills a router, which cuts its streams, and starts it without state."""
    fleet.stop_router(router)
    fleet.start_router(router)


# Guards against ORDER: the second attempt within an answer went to a target of
# another version.
def test_a_second_attempt_goes_on_at_the_version_that_began_the_stream():
    streams = []

    async def scenario(fleet):
        add_targets(fleet, t0=OLD, t1=OLD, t2=NEW, t3=NEW)
        streams.extend(await begin_streams(fleet, 40))
        fleet.targets["t0"].crash()
        await asyncio.sleep(3.0)

    build_fleet().run(scenario)
    assert all(len(stream.versions) == 1 for stream in streams)
    assert sum(stream.is_whole for stream in streams) >= 36


# Guards against ORDER: a stream that its caller took up went on at another
# version, since the router that was asked did not know what began it.
@pytest.mark.parametrize("router", ["r0", "r1", "r3"])
def test_a_stream_that_is_taken_up_goes_on_at_the_version_that_began_it(router):
    streams = []

    async def scenario(fleet):
        add_targets(fleet, t0=OLD, t1=OLD, t2=NEW, t3=NEW)
        streams.extend(await begin_streams(fleet, 40))
        restart_router(fleet)
        await asyncio.gather(*(each.take_up(router) for each in streams))

    build_fleet().run(scenario)
    assert all(len(stream.versions) == 1 for stream in streams)
    assert sum(stream.is_whole for stream in streams) >= 36


# Guards against ORDER: the third try names the first one, and the second may
# have been at a router that is gone as well.
def test_a_third_try_goes_on_at_the_version_that_began_the_stream():
    streams = []

    async def scenario(fleet):
        add_targets(fleet, t0=OLD, t1=OLD, t2=NEW, t3=NEW)
        streams.extend(await begin_streams(fleet, 30))
        restart_router(fleet)
        tries = [
            asyncio.ensure_future(stream.take_up("r1")) for stream in streams
        ]
        await asyncio.sleep(0.3)
        restart_router(fleet, "r1")
        await asyncio.gather(*tries)
        await asyncio.gather(*(each.take_up("r2") for each in streams))

    build_fleet(routers=7).run(scenario)
    assert all(len(stream.versions) == 1 for stream in streams)
    assert sum(stream.is_whole for stream in streams) >= 27


# Guards against ORDER: a target that comes back under its id runs another
# version, and the list does not tell it yet.
@pytest.mark.parametrize("is_listed", [True, False])
def test_a_target_that_is_back_at_another_version_gets_no_older_stream(
    is_listed,
):
    streams = []

    async def scenario(fleet):
        add_targets(fleet, t0=OLD, t1=OLD)
        streams.extend(await begin_streams(fleet, 20))
        fleet.targets["t1"].crash()
        fleet.restart_target("t1", NEW, is_listed)
        restart_router(fleet)
        await asyncio.gather(*(each.take_up("r1") for each in streams))

    build_fleet().run(scenario)
    assert all(len(stream.versions) == 1 for stream in streams)
    assert sum(stream.is_whole for stream in streams) >= 10


# Guards against ORDER: the target that began a stream had come back at another
# version, of which the list did not tell yet.
def test_a_stream_begins_at_the_version_of_the_process_that_runs():
    streams = []

    async def scenario(fleet):
        add_targets(fleet, t0=OLD, t1=OLD)
        await begin_streams(fleet, 10)
        fleet.targets["t1"].crash()
        fleet.restart_target("t1", NEW, is_listed=False)
        await asyncio.sleep(2.0)
        streams.extend(await begin_streams(fleet, 20))
        restart_router(fleet)
        await asyncio.gather(
            *(each.take_up("r1") for each in streams if each.events)
        )

    build_fleet().run(scenario)
    assert all(len(stream.versions) <= 1 for stream in streams)
    assert sum(stream.is_whole for stream in streams) >= 10


# Guards against a wait until the deadline: no target can go on any more.
def test_a_stream_whose_version_has_no_targets_is_refused_at_once():
    streams = []

    async def scenario(fleet):
        add_targets(fleet, t0=OLD, t1=OLD)
        streams.extend(await begin_streams(fleet, 10))
        add_targets(fleet, t2=NEW, t3=NEW)
        restart_router(fleet)
        fleet.remove_target("t0")
        fleet.remove_target("t1")
        await asyncio.gather(*(each.take_up("r1") for each in streams))

    build_fleet().run(scenario)
    for stream in streams:
        refusal = stream.tries[-1]
        assert stream.versions == {OLD}
        assert refusal.status == 503
        assert refusal.ended_at - refusal.sent_at < AT_ONCE_S


# Guards against needless refusals: no event was sent, so any version will do.
def test_a_stream_without_events_begins_anew_at_any_version():
    streams = []

    async def scenario(fleet):
        add_targets(fleet, t0=OLD)
        streams.extend(Stream(fleet) for _ in range(5))
        for stream in streams:
            stream.begin("r0")
        await asyncio.sleep(0.01)
        add_targets(fleet, t1=NEW, t2=NEW)
        fleet.targets["t0"].crash()
        await asyncio.sleep(3.0)

    build_fleet().run(scenario)
    assert all(stream.is_whole for stream in streams)
    assert all(stream.versions == {NEW} for stream in streams)


# Guards against ORDER: what does not tell which stream goes on is no wildcard,
# unless the pool has had one version only, which then began every stream.
@pytest.mark.parametrize(
    "resumes",
    [
        pytest.param("never-seen", id="unknown"),
        pytest.param("", id="empty"),
        pytest.param("x" * 5000, id="long"),
        pytest.param(None, id="absent"),
    ],
)
@pytest.mark.parametrize(
    "other", [pytest.param(OLD, id="one"), pytest.param(NEW, id="two")]
)
def test_a_stream_that_is_not_named_goes_on_only_without_versions(
    resumes, other
):
    streams = []

    async def scenario(fleet):
        add_targets(fleet, t0=OLD, t1=other)
        await asyncio.sleep(RECORDED_S)
        streams.extend(await begin_streams(fleet, 4))
        restart_router(fleet)
        await asyncio.gather(
            *(each.take_up("r1", resumes=resumes) for each in streams)
        )

    stored_fleet.StoredFleet(routers=4).run(scenario)
    may_go_on = resumes != "" and other == OLD
    for stream in streams:
        assert len(stream.versions) == 1
        assert stream.is_whole == may_go_on
        assert stream.tries[-1].status == (200 if may_go_on else 503)


async def restart_all(fleet: gateway_fleet.Fleet) -> None:
    """Kills all routers at once; all start a second later without state."""
    names = list(fleet.gateways)
    for name in names:
        fleet.stop_router(name)
    await asyncio.sleep(1.0)
    for name in names:
        fleet.start_router(name)


# Guards against ORDER: a router that had just started took the only version
# that it saw listed for the only one that there was.
@pytest.mark.parametrize("pause_s", [0.0, 1.0, 5.0])
def test_routers_that_start_do_not_take_the_listed_version_for_the_only_one(
    pause_s,
):
    streams = []

    async def scenario(fleet):
        add_targets(fleet, t0=OLD)
        streams.extend(await begin_streams(fleet, 4))
        add_targets(fleet, t1=NEW, t2=NEW)
        fleet.remove_target("t0")
        await restart_all(fleet)
        await asyncio.sleep(pause_s)
        await asyncio.gather(
            *(each.take_up("r1", resumes=None) for each in streams)
        )

    build_fleet().run(scenario)
    assert all(stream.versions == {OLD} for stream in streams)
    assert all(stream.tries[-1].status == 503 for stream in streams)


# Guards against ORDER: a router that is cut off can't ask what began a stream.
def test_a_router_that_is_cut_off_does_not_guess_the_version():
    streams = []

    async def scenario(fleet):
        add_targets(fleet, t0=OLD, t1=OLD, t2=NEW, t3=NEW)
        fleet.part(["r1"])
        await asyncio.sleep(3.0)
        streams.extend(await begin_streams(fleet, 20))
        restart_router(fleet)
        await asyncio.gather(*(each.take_up("r1") for each in streams))
        for stream in streams:
            assert stream.tries[-1].status == 503
        fleet.heal()
        await asyncio.sleep(2.0)
        await asyncio.gather(*(each.take_up("r1") for each in streams))

    build_fleet().run(scenario)
    assert all(len(stream.versions) == 1 for stream in streams)
    assert sum(stream.is_whole for stream in streams) >= 18


# Guards against LOST: streams that run for long outlive the routers that were
# told which version began them.
def test_a_stream_goes_on_after_all_routers_were_restarted_one_by_one():
    streams = []

    async def scenario(fleet):
        add_targets(fleet, t0=OLD, t1=OLD, t2=NEW, t3=NEW)
        for target in fleet.targets.values():
            target.stream_length = 400
        streams.extend(await begin_streams(fleet, 20))
        for name in ("r1", "r2", "r3"):
            fleet.stop_router(name)
            await asyncio.sleep(0.5)
            fleet.start_router(name)
            await asyncio.sleep(2.5)
        restart_router(fleet)
        for target in fleet.targets.values():
            target.stream_length = 200
        await asyncio.gather(*(each.take_up("r2") for each in streams))

    build_fleet().run(scenario)
    assert all(len(stream.versions) == 1 for stream in streams)
    assert sum(stream.is_whole for stream in streams) >= 18


async def call(fleet: gateway_fleet.Fleet, stream: Stream) -> None:
    """Has a caller begin a stream and take it up twice at most."""
    stream.begin(fleet.rng.choice(list(fleet.gateways)))
    await asyncio.sleep(fleet.rng.uniform(1.3, 1.8))
    for _ in range(2):
        if stream.tries[-1].is_complete or not stream.events:
            return
        await stream.take_up(fleet.rng.choice(list(fleet.gateways)))


async def change_versions(fleet: gateway_fleet.Fleet) -> None:
    """Replaces targets one by one, and kills routers meanwhile."""
    for number in range(4):
        await asyncio.sleep(0.7)
        name = f"t{number}"
        if fleet.rng.random() < 0.5:
            fleet.targets[name].crash()
            await asyncio.sleep(0.3)
            is_listed = fleet.rng.random() < 0.5
            fleet.restart_target(name, NEW, is_listed)
        else:
            fleet.add_target(f"n{number}", version=NEW)
            fleet.remove_target(name)
        names = fleet.rng.sample(list(fleet.gateways), 2)
        for router in names:
            fleet.stop_router(router)
        await asyncio.sleep(0.3)
        for router in names:
            fleet.start_router(router)


# Guards against ORDER and LOST on a release: targets change versions one by
# one, some crash and come back, routers are killed, callers try three times.
@pytest.mark.parametrize("seed", range(6))
def test_streams_stay_whole_while_versions_change_and_routers_end(seed):
    streams: list[Stream] = []

    async def scenario(fleet):
        add_targets(fleet, **{f"t{n}": OLD for n in range(6)})
        callers = [asyncio.ensure_future(change_versions(fleet))]
        for _ in range(200):
            stream = Stream(fleet)
            streams.append(stream)
            callers.append(asyncio.ensure_future(call(fleet, stream)))
            await asyncio.sleep(0.025)
        await asyncio.gather(*callers)

    build_fleet(routers=7, seed=seed).run(scenario)
    assert all(len(stream.versions) <= 1 for stream in streams)
    began = [stream for stream in streams if stream.events]
    taken_up = [stream for stream in began if len(stream.tries) > 1]
    went_on = sum(
        any(b"id: " in each.body for each in stream.tries[1:])
        for stream in taken_up
    )
    assert len(taken_up) >= 12
    # LOST: the share that goes on is at least half of those that begin.
    share_of_new = len(began) / len(streams)
    assert went_on / len(taken_up) >= 0.5 * share_of_new


# Guards against ORDER: an entry without a version does not tell which one runs.
def test_targets_without_a_version_take_up_no_streams():
    streams = []

    async def scenario(fleet):
        add_targets(fleet, t0="", t1="")
        streams.extend(await begin_streams(fleet, 4))
        restart_router(fleet)
        await asyncio.gather(*(each.take_up("r1") for each in streams))

    build_fleet().run(scenario)
    assert all(stream.tries[-1].status == 503 for stream in streams)
