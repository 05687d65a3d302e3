"""Graceful shutdown: lets requests end before the router exits.

The router waits for at most `drain_limit_s`.

A router is leaving from the announcement of its shutdown on. It is draining
while it waits until the last request has ended.
"""

import asyncio

import structlog

from lentilbeam_core import events
from lentilbeam_router import fleet
from lentilbeam_router import node_task
from lentilbeam_router import pipeline as pipeline_lib
from lentilbeam_router import settings as settings_lib


class Drain:
    """Shuts one router down gracefully."""

    def __init__(
        self,
        limits: settings_lib.Limits,
        fleet_view: fleet.Fleet,
        node: node_task.NodeTask,
        pipeline: pipeline_lib.Pipeline,
        log: structlog.BoundLogger,
    ):
        self.limits = limits
        self.fleet = fleet_view
        self.node = node
        self.pipeline = pipeline
        self.log = log

    async def run(self) -> bool:
        """Announces the shutdown and waits until all requests have ended.

        Requests that still run at the limit are ended, while their callers can
        still be told.

        Callers may cache the list of addresses for `address_ttl_s`, so the
        router accepts new requests for that long and refuses them afterwards.

        Returns:
            Whether all requests ended within `drain_limit_s`.
        """
        self.log.info("leaving", running=len(self.pipeline.tasks))
        self.node.timeline.record("instance.leaving", self.node.link.own_name)
        self.node.post(events.DrainStarted())
        await asyncio.sleep(self.limits.address_ttl_s)
        self.fleet.refuses_new_requests = True
        limit_s = self.limits.drain_limit_s - self.limits.address_ttl_s
        still_running = await self.pipeline.wait_until_idle(limit_s)
        self.log.info("drained", left=still_running)
        if still_running:
            await self.pipeline.end_all()
        return still_running == 0
