"""Builds the daemon's components, runs their tasks and shuts them down."""

import asyncio
from collections.abc import Coroutine
import random
import signal

import httpx
import structlog

from lentilbeam_core import claim_events
from lentilbeam_core import hlc
from lentilbeam_core import ids
from lentilbeam_core import membership as membership_lib
from lentilbeam_core import node as node_lib
from lentilbeam_core import poll_times as poll_times_lib
from lentilbeam_core import request_key
from lentilbeam_core import timeline as timeline_lib
from lentilbeam_router import answer_store
from lentilbeam_router import attach
from lentilbeam_router import caller_api
from lentilbeam_router import caller_connections
from lentilbeam_router import caller_log
from lentilbeam_router import catalogue_reader
from lentilbeam_router import claim_task
from lentilbeam_router import drain
from lentilbeam_router import environment
from lentilbeam_router import exit_status
from lentilbeam_router import fleet
from lentilbeam_router import load_poller
from lentilbeam_router import lost_claims
from lentilbeam_router import metrics as metrics_lib
from lentilbeam_router import node_task
from lentilbeam_router import operator_api
from lentilbeam_router import peer_link
from lentilbeam_router import pipeline
from lentilbeam_router import platform_log
from lentilbeam_router import relay
from lentilbeam_router import settings as settings_lib
from lentilbeam_router import signal_free_server
from lentilbeam_router import target_client
from lentilbeam_router import web_server

DEFAULT_HTTP_TIMEOUT_S = 5.0
"""Timeout of HTTP calls to the platform and to peers that set no other."""

CLAIMS_STOP_LIMIT_S = 10.0
"""Time limit for appending outstanding claim records during shutdown."""


class Daemon:
    """The components of one router process."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        env: environment.Environment,
        log: structlog.BoundLogger,
        poll_times: poll_times_lib.PollTimes,
    ):
        self.settings = settings
        self.poll_times = poll_times
        self.log = log
        self.clock = env.clock
        self.stop = asyncio.Event()
        self.incarnation = _choose_incarnation(env)
        self.metrics = metrics_lib.Metrics()
        self.timeline = timeline_lib.Timeline(
            settings.instance, hlc.HybridClock(env.clock)
        )
        self.http = env.open_http(
            httpx.Timeout(DEFAULT_HTTP_TIMEOUT_S), httpx.Limits()
        )
        self.link = peer_link.PeerLink(
            settings.instance, self._receive, self.metrics
        )
        self.node = self._build_node()
        self.fleet = fleet.Fleet(settings, self.node, log)
        self.targets = target_client.TargetClient(
            settings.limits, env.open_http
        )
        self.platform_log = platform_log.LogClient(
            settings.platform.log_url, self.http
        )
        self.claims = self._build_claims()
        self.lost_claim_resolver = lost_claims.LostClaimResolver(
            self.fleet, self.http
        )
        self.store = answer_store.AnswerStore(settings.limits, env.clock)
        self.pipeline = pipeline.Pipeline(
            self.node,
            self.claims,
            self.lost_claim_resolver,
            relay.Relay(self.node, self.targets, self.store),
            self.store,
            self.clock,
            log,
        )
        self.reader = self._build_reader()
        self.server = self._build_server()

    async def run(self) -> exit_status.ExitStatus:
        """Serves until the daemon is told to stop or a task fails.

        Returns:
            `OK` if all requests had ended before the daemon stopped, `FAILED`
            if some had not or a task failed, `CANNOT_LISTEN` if the peer
            socket or the HTTP port could not be opened.
        """
        try:
            await peer_link.open_link(self.link, self.settings.peer)
        except OSError as error:
            self.log.error("cannot open the peer socket", detail=str(error))
            return exit_status.ExitStatus.CANNOT_LISTEN
        self._watch_signals()
        self.claims.start()
        tasks = [asyncio.create_task(job) for job in self.collect_jobs()]
        serving = asyncio.create_task(self.server.serve())
        try:
            return await self._serve_until_stop(serving, tasks)
        finally:
            self.claims.close()
            for task in [serving, *tasks]:
                task.cancel()
            await asyncio.gather(serving, *tasks, return_exceptions=True)
            await self._close()

    async def _serve_until_stop(
        self, serving: asyncio.Task, tasks: list[asyncio.Task]
    ) -> exit_status.ExitStatus:
        stop_wait = asyncio.create_task(self.stop.wait())
        await asyncio.wait(
            [stop_wait, serving, *tasks], return_when=asyncio.FIRST_COMPLETED
        )
        if not stop_wait.done():
            stop_wait.cancel()
            return self._report_failure(serving, tasks)
        drained = await drain.Drain(
            self.settings.limits,
            self.fleet,
            self.node,
            self.pipeline,
            self.log,
        ).run()
        await self.claims.stop(CLAIMS_STOP_LIMIT_S)
        self.server.should_exit = True
        await serving
        self.log.info("stopped")
        if drained:
            return exit_status.ExitStatus.OK
        return exit_status.ExitStatus.FAILED

    def _report_failure(
        self, serving: asyncio.Task, tasks: list[asyncio.Task]
    ) -> exit_status.ExitStatus:
        for task in tasks:
            if task.done() and task.exception() is not None:
                self.log.error("task failed", exc_info=task.exception())
                return exit_status.ExitStatus.FAILED
        # No other task failed, so the HTTP server has ended before it was told
        # to stop, as it does if it cannot open its port.
        del serving
        self.log.error("cannot listen for HTTP")
        return exit_status.ExitStatus.CANNOT_LISTEN

    def collect_jobs(self) -> list[Coroutine]:
        """Returns the coroutines that run until the daemon stops."""
        poller = load_poller.LoadPoller(
            self.fleet,
            self.node,
            self.targets,
            self.settings.limits.load_interval_s,
        )
        return [
            self.node.run(),
            self.fleet.follow_instance_list(self.http),
            self.reader.run(),
            poller.run(),
        ]

    def _watch_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop.set)

    async def _close(self) -> None:
        self.link.close()
        await self.targets.close()
        await self.http.aclose()

    def _receive(self, sender: ids.InstanceId, message) -> None:
        self.node.receive(sender, message)

    def _build_node(self) -> node_task.NodeTask:
        settings = node_lib.Settings(
            name=self.settings.instance,
            data_centre=self.settings.data_centre,
            membership=membership_lib.Settings(),
        )
        return node_task.NodeTask(
            node_lib.Node(settings, self.incarnation),
            self.clock,
            self.link,
            self.metrics,
            self.timeline,
        )

    def _build_claims(self) -> claim_task.ClaimTask:
        platform = self.settings.platform
        window = request_key.build_window(platform.log_retention_s)
        return claim_task.ClaimTask(
            claim_events.Settings(window=window),
            self.settings.instance,
            self.incarnation,
            self.platform_log,
            self.clock,
        )

    def _build_reader(self) -> catalogue_reader.CatalogueReader:
        retention_s = self.settings.platform.log_retention_s
        return catalogue_reader.CatalogueReader(
            self.platform_log,
            self.clock,
            self.fleet.apply_catalogue,
            catalogue_reader.Settings(log_retention_s=retention_s),
            self.fleet.list_catalogue_peers,
            random.Random(self.incarnation),
            self.metrics.counters,
        )

    def _build_server(self) -> signal_free_server.WebServer:
        callers = caller_api.CallerApi(
            self.settings,
            self.fleet,
            self.store,
            self.pipeline,
            attach.Attacher(self.store, self.fleet, self.http),
            self.metrics,
            random.Random(self.incarnation),
        )
        operators = operator_api.OperatorApi(
            self.settings,
            self.incarnation,
            self.fleet,
            self.reader,
            self.metrics,
            self.timeline,
            self.stop,
        )
        handlers = [
            *caller_api.build_handlers(callers),
            *operator_api.build_handlers(operators),
        ]
        app = web_server.build_app(handlers, self.settings.limits, self.fleet)
        connections = caller_connections.CallerConnections(
            caller_connections.Settings(), self.clock
        )
        connections.on_close = caller_log.CallerLog(
            self.clock, self.log.warning, self.metrics
        ).note
        return web_server.build_server(
            app, self.settings.http, self.poll_times, connections
        )


def _choose_incarnation(env: environment.Environment) -> ids.Incarnation:
    micros = int(env.clock.now().timestamp() * 1_000_000)
    return ids.Incarnation(micros)
