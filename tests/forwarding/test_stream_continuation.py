"""Streams go on after all routers were killed at once, at one version only.

Whole routers that follow an emulated store, in virtual time.
"""

import asyncio

import pytest

from tests.forwarding import stored_fleet
from tests.forwarding import test_stream_versions as streams_lib

OLD = streams_lib.OLD
NEW = streams_lib.NEW
AT_ONCE_S = 1.0
"""A refusal within this time, in seconds, waits for other routers and for the
store, but not for room at a target."""


def build_fleet(routers: int = 7, **options) -> stored_fleet.StoredFleet:
    """Returns a fleet with a store."""
    return stored_fleet.StoredFleet(routers=routers, **options)


async def resume_all(streams, router: str = "r1", **headers) -> None:
    """Resumes all streams at once."""
    await asyncio.gather(*(each.take_up(router, **headers) for each in streams))


def count_resumed(streams) -> int:
    """Returns the number of streams that a later try brought to their end."""
    return sum(stream.is_whole for stream in streams)


# Guards against LOST: a pool that had one version, so that it alone can have
# begun the streams. Callers with and without the header go on.
@pytest.mark.parametrize("is_named", [True, False])
def test_streams_of_one_version_go_on_after_all_routers_were_killed(is_named):
    streams = []
    headers = {} if is_named else {"resumes": None}

    async def scenario(fleet):
        streams_lib.add_targets(fleet, t0=OLD, t1=OLD)
        await asyncio.sleep(streams_lib.RECORDED_S)
        streams.extend(await streams_lib.begin_streams(fleet, 20))
        await streams_lib.restart_all(fleet)
        await asyncio.sleep(0.1)
        await resume_all(streams, **headers)

    build_fleet().run(scenario)
    assert all(stream.versions == {OLD} for stream in streams)
    assert count_resumed(streams) == 20


# Guards against LOST and ORDER with several versions in service.
@pytest.mark.parametrize("versions", [(OLD, NEW), (OLD, NEW, "v2")])
def test_streams_of_several_versions_go_on_after_all_routers_were_killed(
    versions,
):
    streams = []

    async def scenario(fleet):
        for number, version in enumerate(versions * 2):
            fleet.add_target(f"t{number}", version=version)
        await asyncio.sleep(streams_lib.RECORDED_S)
        streams.extend(await streams_lib.begin_streams(fleet, 40))
        await asyncio.sleep(0.3)
        await streams_lib.restart_all(fleet)
        await asyncio.sleep(0.1)
        await resume_all(streams)

    build_fleet().run(scenario)
    assert all(len(stream.versions) == 1 for stream in streams)
    assert {v for stream in streams for v in stream.versions} == set(versions)
    assert count_resumed(streams) >= 36


# Guards against ORDER: the old version is gone when routers start, and callers
# don't name their streams.
@pytest.mark.parametrize("removed_at", ["before", "during", "after"])
@pytest.mark.parametrize("is_named", [True, False])
def test_streams_of_a_version_that_left_are_refused_at_once(
    removed_at, is_named
):
    streams = []
    headers = {} if is_named else {"resumes": None}

    async def scenario(fleet):
        streams_lib.add_targets(fleet, t0=OLD)
        await asyncio.sleep(streams_lib.RECORDED_S)
        streams.extend(await streams_lib.begin_streams(fleet, 4))
        streams_lib.add_targets(fleet, t1=NEW, t2=NEW)
        await asyncio.sleep(0.2)
        if removed_at == "before":
            fleet.remove_target("t0")
            await asyncio.sleep(0.5)
        names = list(fleet.gateways)
        for name in names:
            fleet.stop_router(name)
        await asyncio.sleep(0.5)
        if removed_at == "during":
            fleet.remove_target("t0")
        await asyncio.sleep(0.5)
        for name in names:
            fleet.start_router(name)
        await asyncio.sleep(0.1)
        if removed_at == "after":
            fleet.remove_target("t0")
            await asyncio.sleep(0.5)
        await resume_all(streams, **headers)

    build_fleet().run(scenario)
    for stream in streams:
        refusal = stream.tries[-1]
        assert stream.versions == {OLD}
        assert refusal.status == 503
        assert refusal.ended_at - refusal.sent_at < AT_ONCE_S


# Guards against calls to the store on a calm day: with one version, one record
# is written in the whole fleet, and nothing for a stream.
def test_one_version_costs_one_write():
    async def scenario(fleet):
        streams_lib.add_targets(fleet, t0=OLD, t1=OLD)
        await asyncio.sleep(5.0)
        for router in list(fleet.gateways):
            await streams_lib.begin_streams(fleet, 4, router)
        await asyncio.sleep(5.0)
        assert fleet.list_versions() == [OLD]
        assert fleet.count_calls("log-append", "keyed.routers") == 7 + 1
        assert fleet.count_calls("log-append", "streams") == 0
        assert fleet.count_calls("log-read", "streams") == 0

    build_fleet().run(scenario)
