"""A planned stop: announce, serve on, and leave without cutting anything."""

import asyncio

import structlog

from lentilbeam_core import events
from lentilbeam_router import fleet
from lentilbeam_router import node_task
from lentilbeam_router import pipeline as pipeline_lib
from lentilbeam_router import settings as settings_lib


class Drain:
    """Runs the planned stop of one router."""

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
        """Returns once all requests have ended; False if some were left.

        Callers may keep the list of addresses for its time to live, so new
        requests are taken for that long.
        """
        self.log.info("leaving", running=len(self.pipeline.tasks))
        self.node.timeline.record("instance.leaving", self.node.link.me)
        self.node.post(events.DrainStarted())
        await asyncio.sleep(self.limits.address_ttl_s)
        self.fleet.is_closed = True
        limit_s = self.limits.drain_limit_s - self.limits.address_ttl_s
        left = await self.pipeline.wait_until_idle(limit_s)
        self.log.info("drained", left=left)
        return left == 0
