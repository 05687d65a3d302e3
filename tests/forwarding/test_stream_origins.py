"""What routers remember, tell and ask about the origins of streams."""

import asyncio

import hypothesis
from hypothesis import strategies as st
import pytest

from lentilbeam_core import hash_ring
from lentilbeam_core import ids
from lentilbeam_core.forwarding import stream_origins
from tests.forwarding import makers
from tests.forwarding import test_stream_versions as streams_lib

OLD = stream_origins.Origin(makers.POOL, "v1")
NEW = stream_origins.Origin(makers.POOL, "v2")
ROUTERS = [f"r{number}" for number in range(3)]
TARGETS = [f"t{number}" for number in range(4)]
VERSIONS = ["v1", "v2", "v3"]
REPORTS_SENT = "peer.sent.OriginReport"


def test_a_stream_with_two_origins_counts_as_unknown():
    origins = stream_origins.StreamOrigins()
    assert origins.note(1, OLD, 10.0, 0.0) == OLD
    assert origins.note(1, OLD, 10.0, 1.0) == OLD
    assert origins.note(1, NEW, 10.0, 2.0) == stream_origins.UNKNOWN
    assert origins.note(1, OLD, 10.0, 3.0) == stream_origins.UNKNOWN


def test_a_stream_is_forgotten_once_it_cannot_be_taken_up():
    origins = stream_origins.StreamOrigins()
    origins.note(1, OLD, 10.0, 0.0)
    origins.note(1, OLD, 1.0, 5.0)
    assert origins.find(1, 9.9) == OLD
    assert origins.find(1, 10.0) is None
    assert origins.find_kept_s(1, 4.0) == 6.0


def test_the_oldest_streams_are_dropped_first():
    origins = stream_origins.StreamOrigins()
    for key in range(stream_origins.MAX_STREAMS + 5):
        origins.note(key, OLD, 10.0, 0.0)
    assert len(origins.records) == stream_origins.MAX_STREAMS
    assert origins.find(4, 1.0) is None
    assert origins.find(5, 1.0) == OLD


def test_workspaces_that_use_the_same_ids_have_streams_of_their_own():
    keys = {
        stream_origins.compute_key(ids.WorkspaceId(workspace), request)
        for workspace, request in (("a", "bc"), ("ab", "c"), ("b", "bc"))
    }
    assert len(keys) == 3


@hypothesis.given(
    st.sets(st.text(min_size=1, max_size=8), min_size=1, max_size=30),
    st.integers(0, 2**64 - 1),
    st.data(),
)
def test_those_that_remain_on_the_ring_keep_their_order(names, key, data):
    ring = hash_ring.HashRing(names)
    order = ring.find(key, len(names), lambda name: True)
    assert sorted(order) == sorted(names)
    gone = data.draw(st.sets(st.sampled_from(sorted(names))))
    remaining = ring.find(key, 3, lambda name: name not in gone)
    assert remaining == [name for name in order if name not in gone][:3]


@pytest.mark.parametrize("routers", [5, 16, 40])
def test_the_messages_for_a_stream_do_not_grow_with_the_fleet(routers):
    sent = []

    async def scenario(fleet):
        streams_lib.add_targets(fleet, t0="v1", t1="v1")
        metrics = fleet.gateways["r0"].metrics
        await streams_lib.begin_streams(fleet, 50)
        sent.append(metrics.counters[REPORTS_SENT])
        sent.append(metrics.counters["peer.sent.OriginQuestion"])

    streams_lib.build_fleet(routers).run(scenario)
    assert sent == [3 * 50, 0]


def test_targets_are_asked_for_their_process_on_their_first_connection_only():
    reports = []

    async def scenario(fleet):
        streams_lib.add_targets(fleet, t0="v1", t1="v1")
        await streams_lib.begin_streams(fleet, 50)
        reports.extend(t.reports for t in fleet.targets.values())

    streams_lib.build_fleet().run(scenario)
    assert reports == [1, 1]


ACTIONS = st.one_of(
    st.tuples(st.just("begin"), st.sampled_from(ROUTERS)),
    st.tuples(st.just("begin"), st.sampled_from(ROUTERS)),
    st.tuples(st.just("restart"), st.sampled_from(ROUTERS)),
    st.tuples(st.just("part"), st.sampled_from(ROUTERS)),
    st.tuples(st.just("heal")),
    st.tuples(
        st.just("replace"),
        st.sampled_from(TARGETS),
        st.sampled_from(VERSIONS),
        st.booleans(),
    ),
    st.tuples(st.just("list")),
    st.tuples(st.just("take_up"), st.sampled_from(ROUTERS)),
    st.tuples(st.just("take_up"), st.sampled_from(ROUTERS)),
    st.tuples(st.just("wait"), st.sampled_from([0.1, 2.0])),
)


async def act(fleet, streams, action) -> None:
    """Carries out an action of the model; see `ACTIONS`."""
    kind, *values = action
    if kind == "begin":
        streams.extend(await streams_lib.begin_streams(fleet, 3, *values))
    elif kind == "restart":
        streams_lib.restart_router(fleet, *values)
    elif kind == "part":
        fleet.part(values)
    elif kind == "heal":
        fleet.heal()
    elif kind == "replace":
        name, version, is_listed = values
        fleet.targets[name].crash()
        fleet.restart_target(name, version, is_listed)
    elif kind == "list":
        for target in fleet.targets.values():
            fleet.list_process(target)
    elif kind == "take_up":
        await take_up_all(streams, *values)
    else:
        await asyncio.sleep(*values)


async def take_up_all(streams, router: str) -> None:
    """Takes up all streams that were cut, without waiting for their ends."""
    for stream in streams:
        if stream.events and stream.has_ended and not stream.is_whole:
            task = asyncio.ensure_future(stream.take_up(router))
            stream.tasks.append(task)
    await asyncio.sleep(0.5)


# Guards against ORDER: any order of kills, partitions, restarts of targets at
# other versions and tries of callers, with lists that are late.
@hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
@hypothesis.given(st.lists(ACTIONS, min_size=6, max_size=20))
def test_no_stream_has_events_of_two_versions(actions):
    streams = []

    async def scenario(fleet):
        streams_lib.add_targets(
            fleet, **dict(zip(TARGETS, ["v1", "v1", "v2", "v2"], strict=True))
        )
        for target in fleet.targets.values():
            target.stream_length = 60
        for action in actions:
            await act(fleet, streams, action)
        await asyncio.sleep(5.0)

    streams_lib.build_fleet(routers=len(ROUTERS)).run(scenario)
    for stream in streams:
        assert len(stream.versions) <= 1


# Guards against LOST: a router that was cut off for a while missed what it was
# told, and one that was restarted has forgotten it.
@pytest.mark.parametrize("disturbance", ["none", "restart", "part"])
def test_routers_that_missed_a_running_stream_are_told_again(disturbance):
    known = []
    sent = []

    async def scenario(fleet):
        streams_lib.add_targets(fleet, t0="v1", t1="v1")
        fleet.targets["t0"].stream_length = 400
        fleet.targets["t1"].stream_length = 400
        if disturbance == "part":
            fleet.part(["r0"])
        await streams_lib.begin_streams(fleet, 10)
        await asyncio.sleep(1.2)
        if disturbance == "restart":
            streams_lib.restart_router(fleet, "r1")
        fleet.heal()
        await asyncio.sleep(4.0)
        sent.append(fleet.gateways["r0"].metrics.counters[REPORTS_SENT])
        origins = fleet.gateways["r1"].origin_exchange.origins
        known.append(len(origins.records))

    streams_lib.build_fleet().run(scenario)
    assert known == [10]
    if disturbance == "none":
        assert sent == [30]


# Guards against streams at unknown processes, and against needless refusals:
# some targets close the connection after an answer, or do not tell their start.
@pytest.mark.parametrize(
    ("headers", "status", "is_served_there"),
    [("", 200, True), ("Connection: close\r\n", 200, False), ("", 404, False)],
)
def test_a_target_that_does_not_tell_its_process_begins_no_stream(
    headers, status, is_served_there
):
    reached = []

    async def scenario(fleet):
        streams_lib.add_targets(fleet, t0="v1", t1="v1")
        fleet.targets["t0"].report_headers = headers
        fleet.targets["t0"].report_status = status
        streams = await streams_lib.begin_streams(fleet, 10)
        await asyncio.sleep(2.0)
        assert all(stream.is_whole for stream in streams)
        reached.append(len(fleet.targets["t0"].arrivals) > 0)

    streams_lib.build_fleet().run(scenario)
    assert reached == [is_served_there]
