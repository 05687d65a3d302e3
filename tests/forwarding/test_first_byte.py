"""What must hold when a request reaches its target, not only when it is placed.

Opening a connection takes time, in which targets leave, restart or ask for
quiet. A request whose target no longer takes requests has not run, and is
placed elsewhere.
"""

import asyncio
import dataclasses

import pytest

from lentilbeam_core import ids
from lentilbeam_core.forwarding import target_list
from tests.forwarding import fake_target
from tests.forwarding import gateway_fleet
from tests.forwarding import makers

REPORTED_S = 0.6
"""Time within which peers know what a router has learned."""


async def leave_by_entry(fleet):
    """Lets the entry of the target say that it leaves."""
    entry = dataclasses.replace(
        fleet.targets["t0"].entry, state=target_list.TargetState.LEAVING
    )
    for gateway in fleet.gateways.values():
        gateway.put_target(entry)


async def leave_by_report(fleet):
    """Lets another router learn that the target leaves, and report it."""
    fleet.targets["t0"].headers = "Server-Leaving: 1\r\n"
    await fleet.send("r1")
    await asyncio.sleep(REPORTED_S)


async def leave_by_response(fleet):
    """Lets a response to the same router say that the target leaves."""
    fleet.targets["t0"].headers = "Server-Leaving: 1\r\n"
    await fleet.send("r0")


async def remove(fleet):
    """Removes the entry of the target, which serves on."""
    fleet._unlist_target("t0")


async def restart(fleet):
    """Replaces the target's process, whose connections stay open."""
    fleet.restart_target("t0")


async def become_quiet(fleet):
    """Lets the target ask the same router for no requests."""
    target = fleet.targets["t0"]

    def turn_away(head: bytes) -> bytes:
        request_id = gateway_fleet._REQUEST_ID.search(head)[1].decode()
        return fake_target.make_response(
            b"",
            503,
            "Not-Executed: 1\r\nRetry-After: 5\r\n",
            seal="",
            request_id=request_id,
        )

    target.respond = turn_away
    fleet.send_soon("r0")
    await asyncio.sleep(0.2)
    target.respond = target.respond_plainly


async def evacuate(fleet):
    """Evacuates the data centre of the target."""
    fleet.evacuate("a")


def is_usable(gateway, placed):
    """Whether a router knows nothing against a process of a target."""
    now = gateway.clock.monotonic()
    return any(
        (entry.name, entry.start_ms) == (placed.name, placed.start_ms)
        and not gateway.targets.is_quiet(entry.name, now)
        for entry in gateway.targets.find_ready(makers.POOL)
    )


CHANGES = [
    leave_by_entry,
    leave_by_report,
    leave_by_response,
    remove,
    restart,
    become_quiet,
    evacuate,
]


# Guards against DRAIN, EVAC and requests at a target that wants none: it
# changes while the connection is opened, after the request was placed.
@pytest.mark.parametrize("route", ["look", "book", "chat"])
@pytest.mark.parametrize("change", CHANGES)
def test_target_that_changes_before_the_first_byte_gets_no_request(
    change, route
):
    async def scenario(fleet):
        gateway = fleet.gateways["r0"]
        connect_at_once = gateway.connections.connect
        placed = gateway.targets.entries["t0"]
        is_first = True

        async def connect(*arguments):
            nonlocal is_first
            is_slow, is_first = is_first, False
            connection = await connect_at_once(*arguments)
            if is_slow:
                await change(fleet)
                fleet.is_known = not is_usable(gateway, placed)
                fleet.add_target("t1", data_centre=ids.DataCentreId("b"))
            return connection

        gateway.connections.connect = connect
        fleet.result = await fleet.send("r0", path=f"/{route}/1")

    engine = makers.ENGINE if route == "chat" else None
    fleet = gateway_fleet.Fleet(routers=2, targets=1, engine=engine)
    fleet.run(scenario)
    assert fleet.is_known
    request_id = f"request-id: {fleet.result.request_id}\r\n".encode()
    received = {
        name: sum(request_id in a.head.lower() + b"\r\n" for a in t.arrivals)
        for name, t in fleet.targets.items()
    }
    assert received == {"t0": 0, "t1": 1}
    assert fleet.result.status == 200


# Guards against requests that are refused for nothing: the target writes its
# entry again while the connection is opened.
def test_target_that_writes_its_entry_again_gets_the_request():
    async def scenario(fleet):
        gateway = fleet.gateways["r0"]
        connect_at_once = gateway.connections.connect

        async def connect(*arguments):
            connection = await connect_at_once(*arguments)
            fleet.list_process(fleet.targets["t0"])
            return connection

        gateway.connections.connect = connect
        fleet.result = await fleet.send("r0")

    fleet = gateway_fleet.Fleet(routers=2, targets=1).run(scenario)
    assert len(fleet.targets["t0"].arrivals) == 1
    assert fleet.result.status == 200
