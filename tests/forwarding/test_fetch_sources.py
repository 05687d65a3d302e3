"""Prompt parts are not read again because their holder gets no new requests."""

import asyncio

import pytest

from lentilbeam_core import ids
from tests.forwarding import gateway_fleet
from tests.forwarding import makers

SOURCE = "t0"
PROMPT = {"token_count": "5500,80", "prefix_hash": "aa:5000,bb:500"}


def leave(fleet: gateway_fleet.Fleet) -> None:
    """Lets the holder leave."""
    for gateway in fleet.gateways.values():
        gateway.targets.note_leaving(ids.TargetId(SOURCE), 1000)


def evacuate(fleet: gateway_fleet.Fleet) -> None:
    """Evacuates the data centre of the holder."""
    fleet.evacuate("a")


def fail(fleet: gateway_fleet.Fleet) -> None:
    """Lets all routers avoid the holder, since it fails."""
    for gateway in fleet.gateways.values():
        dispatcher = gateway.find_dispatcher(makers.POOL)
        dispatcher.avoided = {ids.TargetId(SOURCE)}
        dispatcher.avoided_checked_at = float("inf")


def test_parts_that_peers_report_before_the_first_request_are_known():
    """Guards against parts that a router without requests never learns."""

    async def scenario(fleet):
        fleet.add_target(SOURCE)
        await fleet.send("r0", **PROMPT)
        await asyncio.sleep(1.0)

    fleet = gateway_fleet.Fleet(routers=2, targets=0, engine=makers.ENGINE)
    gateways = fleet.gateways
    known = []

    async def look(fleet):
        await scenario(fleet)
        placer = gateways["r1"].find_dispatcher(makers.POOL).placer
        known.extend(placer.caches.holders)

    fleet.run(look)
    assert "aa" in known


@pytest.mark.parametrize(
    "stop,is_fetched", [(leave, True), (evacuate, True), (fail, False)]
)
def test_part_of_a_target_that_gets_no_new_requests(stop, is_fetched):
    """Guards against parts read again in a rolling replacement of targets."""

    async def scenario(fleet):
        fleet.add_target(SOURCE)
        await fleet.send("r0", **PROMPT)
        fleet.add_target("t1", data_centre=ids.DataCentreId("b"))
        await asyncio.sleep(1.0)
        stop(fleet)
        await fleet.send("r0", **PROMPT)

    fleet = gateway_fleet.Fleet(routers=2, targets=0, engine=makers.ENGINE)
    fleet.run(scenario)
    heads = [arrival.head.lower() for arrival in fleet.targets["t1"].arrivals]
    assert len(heads) == 1
    source = fleet.targets[SOURCE].entry
    fetch = f"kv-fetch: {source.host}:{source.port}\r\n".encode()
    assert (fetch in heads[0]) == is_fetched
