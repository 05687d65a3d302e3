"""HTTP handlers of the operators' API and of the platform's health checks."""

import asyncio
from collections.abc import Callable

import litestar
from litestar import params

from lentilbeam_core import ids
from lentilbeam_core import timeline as timeline_lib
from lentilbeam_router import catalogue_reader
from lentilbeam_router import fleet
from lentilbeam_router import metrics as metrics_lib
from lentilbeam_router import responses
from lentilbeam_router import settings as settings_lib


class OperatorApi:
    """State shared by the handlers of the operators' API.

    Attributes:
        settings: settings of the router.
        incarnation: identifies this start of the process.
        fleet: known instances and the catalogue in force.
        reader: the reader of the catalogue.
        metrics: counters and histograms of the process.
        timeline: the latest changes of state.
        stop: set to start a graceful shutdown.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        incarnation: ids.Incarnation,
        fleet_view: fleet.Fleet,
        reader: catalogue_reader.CatalogueReader,
        metrics: metrics_lib.Metrics,
        timeline: timeline_lib.Timeline,
        stop: asyncio.Event,
    ):
        self.settings = settings
        self.incarnation = incarnation
        self.fleet = fleet_view
        self.reader = reader
        self.metrics = metrics
        self.timeline = timeline
        self.stop = stop

    def build_status(self) -> dict[str, object]:
        """Returns the state of this router, its pools and its peers as JSON.

        The router's `catalogue_offset` is the offset of the last log record
        that the reader has applied. A peer's is that of its latest
        heartbeat; 0 if none was received.
        """
        node = self.fleet.node.node
        now = self.fleet.node.clock.monotonic()
        return {
            "instance": self.settings.instance,
            "data_centre": self.settings.data_centre,
            "incarnation": self.incarnation,
            "state": self.fleet.state(self.settings.instance).value,
            "catalogue_offset": self.reader.offset,
            "pools": node.snapshot(now),
            "peers": [
                self._build_peer(peer.name) for peer in self.fleet.peers()
            ],
        }

    def _build_peer(self, name: str) -> dict[str, object]:
        peer = self.fleet.node.node.membership.peers.get(ids.InstanceId(name))
        return {
            "name": name,
            "state": self.fleet.state(name).value,
            "catalogue_offset": peer.catalogue_offset if peer else 0,
        }


def build_handlers(api: OperatorApi) -> list[Callable]:
    """Returns the litestar handlers of the operators' API."""

    @litestar.get("/health", summary="Whether the process is alive")
    async def get_health() -> litestar.Response:
        return responses.build_json({"status": "alive"})

    @litestar.get("/ready", summary="Whether the router accepts requests")
    async def get_ready() -> litestar.Response:
        is_ready = api.fleet.is_ready and not api.fleet.refuses_new_requests
        status = 200 if is_ready else 503
        return responses.build_json({"ready": is_ready}, status)

    @litestar.get(
        "/v1/status", summary="State of this router, its pools and its peers"
    )
    async def get_status() -> litestar.Response:
        return responses.build_json(api.build_status())

    @litestar.get("/v1/stats", summary="Counters and histograms")
    async def get_stats() -> litestar.Response:
        return responses.build_json(api.metrics.export())

    @litestar.get("/v1/timeline", summary="Latest changes of state")
    async def get_timeline() -> litestar.Response:
        return responses.build_json({"events": api.timeline.export()})

    @litestar.get("/v1/catalogue", summary="The catalogue in force")
    async def get_catalogue(
        after: params.FromQuery[int] = -1,
    ) -> litestar.Response:
        return responses.build_json(api.reader.build_export(after))

    @litestar.post("/v1/drain", status_code=202, summary="Stop gracefully")
    async def post_drain() -> litestar.Response:
        api.stop.set()
        return responses.build_json({"state": "leaving"}, 202)

    return [
        get_health,
        get_ready,
        get_status,
        get_stats,
        get_timeline,
        get_catalogue,
        post_drain,
    ]
