"""Reads targets' own load reports, spread over time."""

import asyncio

from lentilbeam_core import catalogue as catalogue_lib
from lentilbeam_core import events
from lentilbeam_router import fleet
from lentilbeam_router import node_task
from lentilbeam_router import target_client


class LoadPoller:
    """Posts a `TargetReported` event for each load report it reads."""

    def __init__(
        self,
        fleet_view: fleet.Fleet,
        node: node_task.NodeTask,
        targets: target_client.TargetClient,
        interval_s: float,
    ):
        self.fleet = fleet_view
        self.node = node
        self.targets = targets
        self.interval_s = interval_s

    async def run(self) -> None:
        """Polls all targets that this router needs to know of."""
        while True:
            await asyncio.sleep(self.interval_s)
            due = [
                target
                for pool in self.fleet.catalogue.pools.values()
                for target in pool.targets
            ]
            await asyncio.gather(*(self._poll(target) for target in due))

    async def _poll(self, target: catalogue_lib.Target) -> None:
        load = await self.targets.read_load(target)
        if load is None:
            self.node.metrics.count("target_load.errors")
            return
        self.node.post(
            events.TargetReported(
                target.name, load.running, load.waiting, load.draining
            )
        )
