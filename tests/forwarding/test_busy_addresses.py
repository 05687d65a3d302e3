"""Addresses that callers get while one router is busier than the others.

Pattern: the callers of a large workspace keep to one router, whose processor is
full, but which is on time; the other routers have time.
"""

import asyncio
import dataclasses

import pytest

from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_router import peer_codec
from tests.forwarding import gateway_fleet

BUSY = 0.92
CALM = 0.1
SETTLE_S = 2.0
"""Time, in seconds, after which all routers know how busy one is. Routers of a
large fleet tell their status about once a second."""
RETURN_S = 6.0
"""The same for a router that has time again."""
STEP_S = 0.1
LAST_OLDER_FIELD = "targets_change"
"""Last field of a report in the release before routers told their load."""
SIZES = (5, 30)
"""Routers of a fleet whose routers report directly, and of one with relays."""


def find_newer_fields():
    """Returns the report fields of later releases, with their defaults."""
    fields = dataclasses.fields(messages.LoadReport)
    names = [field.name for field in fields]
    newer = fields[names.index(LAST_OLDER_FIELD) + 1 :]
    return {field.name: field.default for field in newer}


class BusyTimes:
    """Stands for `PollTimes` of a router that is busy for a part of the time.

    Attributes:
        fraction: part of the time in which it is busy.
    """

    def __init__(self, clock):
        self.clock = clock
        self.fraction = 0.0
        self._read_at = clock.monotonic()
        self._busy_s = 0.0

    def change(self, fraction):
        """Changes the part of the time from now on."""
        self._busy_s = self.busy_s
        self.fraction = fraction

    @property
    def busy_s(self):
        """Seconds in which it was busy since its start."""
        now = self.clock.monotonic()
        self._busy_s += (now - self._read_at) * self.fraction
        self._read_at = now
        return self._busy_s


class Fleet(gateway_fleet.Fleet):
    """A fleet whose routers may run software that doesn't tell its load.

    Attributes:
        older: routers that don't tell how busy they are.
    """

    def __init__(self, routers):
        super().__init__(routers=routers)
        self.older = set()

    def deliver(self, sender, receiver, data):
        """Passes a datagram as the sender's software writes it."""
        if sender in self.older:
            name, message = peer_codec.decode(data)
            if isinstance(message, messages.LoadReport):
                message = dataclasses.replace(message, **find_newer_fields())
                data = peer_codec.encode(name, message)
        super().deliver(sender, receiver, data)

    def set_busy(self, fractions):
        """Sets how busy routers are, by name; the others have time."""
        for name, gateway in self.gateways.items():
            overload = gateway.overload
            if not isinstance(overload.poll_times, BusyTimes):
                overload.poll_times = BusyTimes(self.clock)
            overload.poll_times.change(fractions.get(name, CALM))

    def list_given(self):
        """Returns the routers whose addresses each router gives out."""
        return {
            name: {address.host for address in gateway.list_addresses()}
            for name, gateway in self.gateways.items()
        }


def run(size, scenario):
    Fleet(size).run(scenario)


@pytest.fixture(params=SIZES)
def size(request):
    return request.param


# Guards against FAIR: callers who keep to a router without processor time while
# all others have time.
def test_router_that_is_far_busier_than_the_others_is_not_given_out(size):
    async def scenario(fleet):
        fleet.set_busy({"r0": BUSY})
        await asyncio.sleep(SETTLE_S)
        everyone = set(fleet.gateways)
        for given in fleet.list_given().values():
            assert given == everyone - {"r0"}
        # It stays a peer: parts and origins are still asked for there.
        serving = fleet.gateways["r1"].peers.find_serving()
        assert "r0" in {entry.name for entry in serving}
        assert fleet.gateways["r0"].is_ready

    run(size, scenario)


# Guards against FAIR mended so that a busy fleet has no addresses left.
@pytest.mark.parametrize("busy", [CALM, 0.5, BUSY, 1.0])
def test_all_are_given_out_if_all_are_about_equally_busy(size, busy):
    async def scenario(fleet):
        fleet.set_busy(
            {
                name: busy - 0.05 * (number % 2)
                for number, name in enumerate(fleet.gateways)
            }
        )
        await asyncio.sleep(SETTLE_S)
        everyone = set(fleet.gateways)
        assert all(given == everyone for given in fleet.list_given().values())

    run(size, scenario)


# Guards against FAIR mended so that the callers of a whole fleet meet the few
# routers that have time.
def test_at_least_half_of_the_routers_are_given_out(size):
    async def scenario(fleet):
        names = list(fleet.gateways)
        fleet.set_busy(dict.fromkeys(names[1:], BUSY))
        await asyncio.sleep(SETTLE_S)
        for given in fleet.list_given().values():
            assert len(given) >= size / 2

    run(size, scenario)


# Guards against FAIR mended so that routers of two releases refuse each other's
# callers.
@pytest.mark.parametrize("is_busy_one_older", [True, False])
def test_router_is_given_out_if_peers_do_not_tell_how_busy_they_are(
    size, is_busy_one_older
):
    async def scenario(fleet):
        everyone = set(fleet.gateways)
        fleet.older = {"r0"} if is_busy_one_older else everyone - {"r0"}
        fleet.set_busy({"r0": BUSY})
        await asyncio.sleep(SETTLE_S)
        given = fleet.list_given()
        # A router always knows how busy it is itself.
        assert all(given[name] == everyone for name in everyone - {"r0"})

    run(size, scenario)


# Guards against FAIR: a report that doesn't tell how busy its sender is.
def test_report_tells_how_busy_its_sender_is():
    report = messages.LoadReport(
        ids.Incarnation(1),
        1,
        1,
        1,
        False,
        True,
        messages.ReportKind.PRESENCE,
        busy_percent=87,
    )
    data = peer_codec.encode(ids.InstanceId("r0"), report)
    assert peer_codec.decode(data) == ("r0", report)


# Guards against FAIR mended so that a router whose callers have left stays
# without callers.
def test_router_is_given_out_again_once_it_has_time(size):
    async def scenario(fleet):
        fleet.set_busy({"r0": BUSY})
        await asyncio.sleep(SETTLE_S)
        assert all("r0" not in given for given in fleet.list_given().values())
        fleet.set_busy({})
        await asyncio.sleep(RETURN_S)
        everyone = set(fleet.gateways)
        assert all(given == everyone for given in fleet.list_given().values())

    run(size, scenario)


# Guards against FAIR mended so that callers are sent to and fro each second.
def test_addresses_do_not_change_each_second(size):
    async def scenario(fleet):
        fleet.set_busy({"r0": BUSY})
        await asyncio.sleep(SETTLE_S)
        changes = 0
        was_given = "r0" in fleet.list_given()["r1"]
        assert not was_given
        # Its callers leave and come back in half a second.
        for step in range(100):
            if step % 5 == 0:
                fleet.set_busy({"r0": 0.3 if step % 10 else BUSY})
            await asyncio.sleep(STEP_S)
            is_given = "r0" in fleet.list_given()["r1"]
            changes += is_given != was_given
            was_given = is_given
        # No more than one change in two seconds.
        assert changes <= 5

    run(size, scenario)
