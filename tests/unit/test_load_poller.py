"""Tests that a router keeps polling a target that it saw draining.

Only the scheduler polls all targets. A router that lost the scheduler role
would otherwise regard the target as draining forever.
"""

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
DRAINING = ids.TargetId("engine-1")
SERVING = ids.TargetId("engine-2")
INTERVAL_S = 0.5


def make_catalogue() -> catalogue_lib.Catalogue:
    """Returns a catalogue with one pool of two targets."""
    pool = catalogue_lib.Pool(
        name=POOL,
        owner="ops",
        kind=catalogue_lib.ServiceKind.MODEL,
        targets=tuple(
            catalogue_lib.Target(name, "http://x", ids.DataCentreId("east"), 4)
            for name in (DRAINING, SERVING)
        ),
    )
    return catalogue_lib.Catalogue({}, {}, {POOL: pool})


def poll_after_losing_scheduler_role(
    catalogue: catalogue_lib.Catalogue,
) -> list[events.Event]:
    """Polls once at a router that saw a draining target, then lost its role.

    Every target now reports that it is serving.

    Args:
        catalogue: the catalogue in force.

    Returns:
        The events posted by the poller.
    """
    settings = node_lib.Settings(
        ids.InstanceId("router-1"), ids.DataCentreId("east")
    )
    node = node_lib.Node(settings, ids.Incarnation(1))
    draining_report = events.TargetReported(DRAINING, 0, 0, draining=True)
    node.handle(events.CatalogueChanged(catalogue, ids.Offset(1)), 0.0)
    node.handle(draining_report, 0.0)
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


def test_a_former_scheduler_learns_that_a_target_stopped_draining():
    posted = poll_after_losing_scheduler_role(make_catalogue())
    assert posted == [events.TargetReported(DRAINING, 1, 0, draining=False)]
