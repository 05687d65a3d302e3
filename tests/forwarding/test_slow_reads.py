"""A router whose reads of the target list take long, since it is busy.

It hears its peers, but only its own reads tell it which targets were removed.
"""

import asyncio

import pytest

from tests.forwarding import stored_fleet
from tests.forwarding import test_removed_targets
from tests.forwarding import test_store_calls

LOAD_PER_S = 50.0
SLOW_READ_S = 1.9
"""Time that a read takes at the slow router; calls end after 2 s."""


# Guards against DRAIN: a router that reads late goes on sending to a target
# that was removed, although all its peers know.
@pytest.mark.parametrize("delay_s", [0.0, 0.8, 1.2])
def test_router_that_reads_slowly_knows_what_was_removed(monkeypatch, delay_s):
    request = stored_fleet._StorePool.request

    async def request_slowly(pool, *arguments, **options):
        if pool.router == "r0":
            await asyncio.sleep(SLOW_READ_S)
        return await request(pool, *arguments, **options)

    async def scenario(fleet):
        monkeypatch.setattr(stored_fleet._StorePool, "request", request_slowly)
        await asyncio.sleep(4.0 + delay_s)
        fleet.unlist("t0")
        fleet.removed_at = fleet.clock.monotonic()
        await fleet.load(LOAD_PER_S, 6.0, routers=["r0"])

    fleet = test_removed_targets.run(20, scenario)
    late = [
        arrival.at - fleet.removed_at
        for arrival in fleet.targets["t0"].arrivals
        if arrival.at > fleet.removed_at + test_store_calls.DRAIN_S
    ]
    assert late == []
    assert fleet.count_others("t0") > 0
