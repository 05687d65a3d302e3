"""Polls the load of targets.

A router polls all targets of the pools that it schedules. It also polls all
targets that it regards as draining, since no other router reports to it that
such a target accepts requests again.
"""

import asyncio

from lentilbeam_core import catalogue as catalogue_lib
from lentilbeam_core import events
from lentilbeam_core import ids
from lentilbeam_router import fleet
from lentilbeam_router import node_task
from lentilbeam_router import target_client


class LoadPoller:
    """Posts a `TargetReported` event to the node for each reading of a load.

    Attributes:
        fleet: supplies the catalogue in force.
        node: the task that receives the events.
        targets: client for calls to targets.
        interval_s: pause between two rounds, in seconds.
    """

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
        """Polls until cancelled."""
        while True:
            await asyncio.sleep(self.interval_s)
            polls = [
                self._poll(target) for target in self._list_polled_targets()
            ]
            await asyncio.gather(*polls)

    def _list_polled_targets(self) -> list[catalogue_lib.Target]:
        return [
            target
            for name, pool in self.fleet.catalogue.pools.items()
            for target in pool.targets
            if self._must_poll(name, target.name)
        ]

    def _must_poll(self, pool: ids.PoolId, target: ids.TargetId) -> bool:
        node = self.node.node
        if pool not in node.agents:
            return False
        is_scheduled = node.schedulers[pool].is_active
        return is_scheduled or target in node.agents[pool].state.draining

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
