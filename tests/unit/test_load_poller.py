"""A target that was seen to leave is asked whether it still does."""

import asyncio
import types

from lentilbeam_core import catalogue as catalogue_lib
from lentilbeam_core import clock as clock_lib
from lentilbeam_core import events
from lentilbeam_core import ids
from lentilbeam_core import node as node_lib
from lentilbeam_router import load_poller
from lentilbeam_router import target_client
from tests import virtual_time

POOL = ids.PoolId("assistant")
LEAVING = ids.TargetId("engine-1")
STAYING = ids.TargetId("engine-2")
INTERVAL_S = 0.5


def make_catalogue() -> catalogue_lib.Catalogue:
    """Returns a pool of two targets."""
    pool = catalogue_lib.Pool(
        name=POOL,
        owner="ops",
        kind=catalogue_lib.ServiceKind.MODEL,
        targets=tuple(
            catalogue_lib.Target(name, "http://x", ids.DataCentreId("east"), 4)
            for name in (LEAVING, STAYING)
        ),
    )
    return catalogue_lib.Catalogue({}, {}, {POOL: pool})


def poll_after_losing_the_role(
    catalogue: catalogue_lib.Catalogue,
) -> list[events.Event]:
    """Returns what a router reads that had seen a target leave."""
    settings = node_lib.Settings(
        ids.InstanceId("router-1"), ids.DataCentreId("east")
    )
    node = node_lib.Node(settings, ids.Incarnation(1))
    leaving = events.TargetReported(LEAVING, 0, 0, draining=True)
    node.handle(events.CatalogueChanged(catalogue, ids.Offset(1)), 0.0)
    node.handle(leaving, 0.0)
    node.schedulers[POOL].deactivate()
    posted: list[events.Event] = []

    async def read_load(_: catalogue_lib.Target) -> target_client.Load:
        return target_client.Load(running=1, waiting=0, draining=False)

    poller = load_poller.LoadPoller(
        types.SimpleNamespace(catalogue=catalogue),
        types.SimpleNamespace(node=node, post=posted.append),
        types.SimpleNamespace(read_load=read_load),
        INTERVAL_S,
    )

    async def poll_once() -> None:
        polling = asyncio.create_task(poller.run())
        await asyncio.sleep(1.5 * INTERVAL_S)
        polling.cancel()

    clock = clock_lib.ManualClock(virtual_time.START)
    virtual_time.run(poll_once(), clock)
    return posted


def test_a_router_that_lost_the_role_learns_that_a_target_stays():
    posted = poll_after_losing_the_role(make_catalogue())
    assert posted == [events.TargetReported(LEAVING, 1, 0, draining=False)]
