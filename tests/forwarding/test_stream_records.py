"""Records of versions in the store: eras, removal, races, a store in trouble.

Whole routers that follow an emulated store, in virtual time.
"""

import asyncio

import pytest

from lentilbeam_platform import followers
from tests.forwarding import makers
from tests.forwarding import test_stream_continuation as continuation
from tests.forwarding import test_stream_versions as streams_lib

OLD = streams_lib.OLD
NEW = streams_lib.NEW
KEPT_S = 20.0
"""Time, in seconds, for which streams of the emulated pool may be resumed."""


async def start_versions(fleet, *versions: str) -> None:
    """Adds two targets of each version, and waits until they are recorded."""
    for number, version in enumerate(versions * 2):
        fleet.add_target(f"t{number}", version=version)
    await asyncio.sleep(streams_lib.RECORDED_S)


def stop_all(fleet) -> list[str]:
    """Kills all routers; returns their names."""
    names = list(fleet.gateways)
    for name in names:
        fleet.stop_router(name)
    return names


# Guards against a record that is never removed: each stream would be written to
# the store for ever. The version that is left began every stream again.
def test_a_record_is_removed_once_no_stream_can_be_resumed():
    streams = []

    async def scenario(fleet):
        await start_versions(fleet, OLD, NEW)
        for name in ("t0", "t2"):
            fleet.remove_target(name)
        await asyncio.sleep(KEPT_S - 2.0)
        assert fleet.list_versions() == [OLD, NEW]
        await asyncio.sleep(10.0)
        assert fleet.list_versions() == [NEW]
        streams.extend(await streams_lib.begin_streams(fleet, 10))
        await streams_lib.restart_all(fleet)
        await asyncio.sleep(0.1)
        await continuation.resume_all(streams, resumes=None)

    continuation.build_fleet().run(scenario)
    assert continuation.count_resumed(streams) == 10


# Guards against ORDER: the record of a version that is listed again while it is
# being removed, or that another router removes by mistake.
def test_a_listed_version_whose_record_was_removed_is_recorded_again():
    async def scenario(fleet):
        await start_versions(fleet, OLD)
        fleet.append("keyed.routers", f"version/engines/{OLD}", "")
        await asyncio.sleep(3.0)
        assert fleet.list_versions() == [OLD]

    continuation.build_fleet().run(scenario)


# Guards against ORDER: the older copy lacks the record of a version that began
# streams, and no router is left that knew it.
@pytest.mark.parametrize("is_named", [True, False])
@pytest.mark.parametrize("wait_s", [0.1, 4.0, 10.0])
def test_no_version_is_inferred_from_records_of_an_earlier_era(
    is_named, wait_s
):
    streams = []
    headers = {} if is_named else {"resumes": None}

    async def scenario(fleet):
        await start_versions(fleet, OLD)
        records = fleet.store.topics["keyed.routers"].records
        before = len(records)
        fleet.add_target("n0", version=NEW)
        fleet.remove_target("t0")
        fleet.remove_target("t1")
        await asyncio.sleep(3.0)
        assert fleet.list_versions() == [OLD, NEW]
        streams.extend(await streams_lib.begin_streams(fleet, 5))
        names = stop_all(fleet)
        fleet.store.set_faults({"lose": len(records) - before})
        fleet.add_target("o0", version=OLD)
        fleet.add_target("o1", version=OLD)
        fleet.append("keyed.servers", "n0", "")
        fleet.publish()
        for name in names:
            fleet.start_router(name)
        await asyncio.sleep(wait_s)
        await continuation.resume_all(streams, **headers)

    continuation.build_fleet().run(scenario)
    assert all(stream.events for stream in streams)
    assert all(stream.versions == {NEW} for stream in streams)
    assert all(stream.tries[-1].status == 503 for stream in streams)


# Guards against ORDER during a rise of the era, and against needless refusals
# once running routers have written again what the copy lacks.
def test_running_routers_write_their_versions_again_in_a_new_era():
    streams = []

    async def scenario(fleet):
        await start_versions(fleet, OLD)
        fleet.store.set_faults({"lose": 1})
        fleet.publish()
        await asyncio.sleep(1.0)
        for target in fleet.targets.values():
            fleet.write_entry(target)
        await asyncio.sleep(10.0)
        assert fleet.list_versions() == [OLD]
        streams.extend(await streams_lib.begin_streams(fleet, 10))
        await streams_lib.restart_all(fleet)
        await asyncio.sleep(0.1)
        await continuation.resume_all(streams)

    continuation.build_fleet().run(scenario)
    assert continuation.count_resumed(streams) == 10


# Guards against ORDER: routers of earlier software recorded no versions.
def test_no_version_is_inferred_after_routers_that_record_nothing():
    streams = []

    async def scenario(fleet):
        await start_versions(fleet, OLD)
        streams.extend(await streams_lib.begin_streams(fleet, 5))
        await streams_lib.restart_all(fleet)
        await continuation.resume_all(streams, resumes=None)

    fleet = continuation.build_fleet()
    fleet.append(
        "keyed.routers",
        "r9",
        '{"data_centre": "a", "front": "r9:1", "peer": "r9:2"}',
    )
    fleet.run(scenario)
    assert all(stream.tries[-1].status == 503 for stream in streams)


# Guards against a mixed stream or a long wait while the store is in trouble as
# the callers come back; a router that reaches it goes on.
@pytest.mark.parametrize("trouble", ["down", "slow", "down at r1"])
@pytest.mark.parametrize("versions", [(OLD,), (OLD, NEW)])
@pytest.mark.parametrize("is_named", [True, False])
def test_a_store_in_trouble_neither_mixes_streams_nor_delays_a_refusal(
    trouble, versions, is_named
):
    streams = []
    headers = {} if is_named else {"resumes": None}

    async def scenario(fleet):
        await start_versions(fleet, *versions)
        streams.extend(await streams_lib.begin_streams(fleet, 10))
        await asyncio.sleep(0.3)
        await streams_lib.restart_all(fleet)
        await asyncio.sleep(0.5)
        if trouble == "down":
            fleet.store.set_faults({"is_down": True})
        elif trouble == "slow":
            fleet.store_delay_s = 1.5
        else:
            fleet.without_store.add("r1")
        await continuation.resume_all(streams, **headers)
        for stream in streams:
            refusal = stream.tries[-1]
            assert refusal.status == 503
            waited_s = refusal.ended_at - refusal.sent_at
            assert waited_s < continuation.AT_ONCE_S
        fleet.store.set_faults({})
        fleet.store_delay_s = 0.002
        await asyncio.sleep(2.0)
        await continuation.resume_all(streams, "r2", **headers)

    continuation.build_fleet().run(scenario)
    assert all(len(stream.versions) == 1 for stream in streams)
    if is_named or versions == (OLD,):
        assert continuation.count_resumed(streams) == 10
    else:
        assert all(stream.tries[-1].status == 503 for stream in streams)


# Guards against ORDER: a router that is behind others takes the version that it
# knows for the only one, while they have recorded another and begun streams.
def test_a_router_that_is_behind_reads_the_versions_before_it_infers(
    monkeypatch,
):
    # As at routers of a large fleet that don't read the list often: a poll that
    # gets no response keeps the router behind until the streams have begun.
    monkeypatch.setattr(followers, "TARGETS_POLL_S", followers.LONG_POLL_S)
    streams = []

    async def scenario(fleet):
        await start_versions(fleet, OLD)
        fleet.silent_polls.add("r1")
        # Ends the long polls that have begun.
        fleet.publish()
        fleet.write_entry(fleet.targets["t0"])
        fleet.append("keyed.routers", "blocked-part/none", "")
        await asyncio.sleep(1.5)
        fleet.add_target("n0", version=NEW)
        fleet.add_target("n1", version=NEW)
        await asyncio.sleep(0.3)
        streams.extend(await streams_lib.begin_streams(fleet, 20))
        versions = fleet.gateways["r1"].stream_versions
        now = fleet.clock.monotonic()
        assert versions.find_known(makers.POOL, now) == {OLD}
        fleet.stop_router("r0")
        await continuation.resume_all(streams, resumes=None)

    continuation.build_fleet().run(scenario)
    assert {v for s in streams for v in s.versions} == {OLD, NEW}
    assert all(len(stream.versions) == 1 for stream in streams)


# Guards against LOST and ORDER at the first moment of a new process, when it
# has read nothing but the configuration and the targets.
@pytest.mark.parametrize("pause_s", [0.005, 0.01, 0.02, 0.05])
@pytest.mark.parametrize("is_named", [True, False])
def test_the_first_moment_of_a_new_process(pause_s, is_named):
    streams = []
    headers = {} if is_named else {"resumes": None}

    async def scenario(fleet):
        await start_versions(fleet, OLD, NEW)
        streams.extend(await streams_lib.begin_streams(fleet, 10))
        await asyncio.sleep(0.3)
        await streams_lib.restart_all(fleet)
        await asyncio.sleep(pause_s)
        await continuation.resume_all(streams, **headers)

    continuation.build_fleet().run(scenario)
    assert all(len(stream.versions) == 1 for stream in streams)
    if is_named and pause_s >= 0.02:
        assert continuation.count_resumed(streams) == 10
