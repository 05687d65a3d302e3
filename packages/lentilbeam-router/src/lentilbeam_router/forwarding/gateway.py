"""The process that forwards requests: builds its parts, runs, and stops."""

import asyncio
from collections.abc import Coroutine
import dataclasses
import random
import signal
from typing import Any

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core.forwarding import configuration as configuration_lib
from lentilbeam_core.forwarding import retry_budget
from lentilbeam_core.forwarding import shares
from lentilbeam_core.forwarding import target_list
from lentilbeam_core.forwarding import work_sums
from lentilbeam_router import addresses
from lentilbeam_router import exit_status
from lentilbeam_router import metrics as metrics_lib
from lentilbeam_router import peer_link
from lentilbeam_router import signal_free_server
from lentilbeam_router.forwarding import connection_pool
from lentilbeam_router.forwarding import decision_log
from lentilbeam_router.forwarding import dispatcher as dispatcher_lib
from lentilbeam_router.forwarding import feeds
from lentilbeam_router.forwarding import forwarder as forwarder_lib
from lentilbeam_router.forwarding import front as front_lib
from lentilbeam_router.forwarding import listening
from lentilbeam_router.forwarding import peers as peers_lib
from lentilbeam_router.forwarding import reports as reports_lib
from lentilbeam_router.forwarding import wire as wire_lib

HOUSEKEEPING_S = 0.25
LEAVE_MARGIN_S = 1.2
"""A stopping process begins to end this long before it would be killed: a slow
instance takes some tenths of a second for it."""
ADDRESS_LIFE_FACTOR = 2.8
"""Some callers keep an answer with addresses three times as long."""
CONFIGURATION_PATIENCE_S = 0.3
"""An answer of the store takes some 10 ms, a report at most 0.5 s."""
TARGETS_PATIENCE_S = 0.9
"""Reads of the list of targets pause for up to 0.4 s."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a forwarding router.

    Attributes:
        instance: this process's name.
        data_centre: where it is.
        front: where callers connect.
        peer: where datagrams of other routers arrive.
        budget: the fleet's budget of repeated sends, for each pool.
        usage_window_s: time over which shares of workspaces are kept.
        address_ttl_s: how long callers keep the addresses they were told.
        grace_s: time between the request to stop and the kill.
    """

    instance: ids.InstanceId
    data_centre: ids.DataCentreId
    front: addresses.Address
    peer: addresses.Address
    budget: retry_budget.Settings
    usage_window_s: float
    address_ttl_s: float
    grace_s: float

    @property
    def usage_fades_s(self) -> float:
        """Time after which usage counts 1/e."""
        return self.usage_window_s * shares.DECAY_FRACTION


class Gateway:
    """One forwarding router; takes in what the platform's store says."""

    def __init__(
        self,
        settings: Settings,
        wire: wire_lib.Wire,
        clock: clock_lib.Clock,
        output: int,
    ):
        self.settings = settings
        self.clock = clock
        self.incarnation = ids.Incarnation(
            int(clock.now().timestamp() * 1_000_000)
        )
        self.draw = random.Random(f"{settings.instance}{self.incarnation}")
        self.metrics = metrics_lib.Metrics()
        self.log = decision_log.DecisionLog(clock, settings.instance, output)
        self.configuration = configuration_lib.LatestConfiguration()
        self.targets = target_list.TargetList()
        self.has_targets = False
        self.is_leaving = False
        self.avoided: set[ids.TargetId] = set()
        self.configuration_watch = feeds.FeedWatch(CONFIGURATION_PATIENCE_S)
        self.targets_watch = feeds.FeedWatch(TARGETS_PATIENCE_S)
        self.stop = asyncio.Event()
        self.dispatchers: dict[ids.PoolId, dispatcher_lib.Dispatcher] = {}
        self.link = peer_link.PeerLink(
            settings.instance, self._receive, self.metrics
        )
        self.peers = peers_lib.Peers(settings.instance, clock, self.log)
        self.reports = reports_lib.Reports(
            settings.instance,
            self.incarnation,
            settings.data_centre,
            settings.usage_fades_s,
            self.peers,
            self.link,
            clock,
            self.log,
        )
        self.pool = connection_pool.ConnectionPool(clock, self.metrics)
        self.forwarder = forwarder_lib.Forwarder(
            wire, self.pool, clock, self.metrics, self.log
        )
        self.front = front_lib.Front(wire, self, clock, self.metrics, self.log)

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        return (
            self.configuration.current is not None
            and self.has_targets
            and not self.is_leaving
        )

    def count_routers(self) -> int:
        """Returns the number of routers that may be at work."""
        return self.peers.count_routers()

    def list_addresses(self) -> list[addresses.Address]:
        """Returns where callers may connect."""
        found = [entry.front for entry in self.peers.find_serving()]
        if self.is_ready:
            found.append(self.settings.front)
        return found

    def find_dispatcher(self, pool: ids.PoolId) -> dispatcher_lib.Dispatcher:
        """Returns the dispatcher of a pool that the configuration names."""
        if pool not in self.dispatchers:
            self.dispatchers[pool] = dispatcher_lib.Dispatcher(
                self.configuration.current,
                pool,
                self.targets,
                self.settings.budget,
                self.settings.data_centre,
                self.settings.usage_fades_s,
                self.clock,
                self.draw,
            )
        return self.dispatchers[pool]

    def offer_configuration(
        self, found: configuration_lib.Configuration
    ) -> None:
        """Takes in a configuration, whatever its version."""
        self.configuration_watch.lag.note_own_position(found.version)
        if self.configuration.offer(found):
            for dispatcher in self.dispatchers.values():
                dispatcher.change_configuration(found)
            self.log.belief(
                "configuration_in_force",
                version=found.version,
                routes=len(found.routes),
                keys=len(found.workspaces),
                tokens_per_s=found.limits.tokens_per_s,
            )

    def put_target(self, entry: target_list.Entry) -> None:
        """Takes in a target's entry."""
        before = self.targets.put(entry)
        if before == entry:
            return
        self.log.belief(
            "target_listed",
            target=entry.name,
            pool=entry.pool,
            state=entry.state.value,
        )
        if before and before.started_at_ms != entry.started_at_ms:
            self._forget_target(entry.name)
        self._decide_all()

    def remove_target(self, name: ids.TargetId) -> None:
        """Takes in that a target's entry was removed."""
        is_gone = self.targets.remove(name, self.clock.monotonic())
        self.log.belief("target_unlisted", target=name, at_once=is_gone)
        if is_gone:
            self._forget_target(name)

    def replace_targets(self, entries: list[target_list.Entry]) -> None:
        """Takes in all targets that are listed now."""
        self.has_targets = True
        names = {entry.name for entry in entries}
        for name in list(self.targets.entries):
            if name not in names:
                self.remove_target(name)
        for entry in entries:
            self.put_target(entry)

    def put_router(self, entry: feeds.RouterEntry) -> None:
        """Takes in a router's entry."""
        self.peers.put(entry)

    def store_lost(self, what: str, detail: str) -> None:
        """Notes that a part of the store does not answer."""
        self.log.belief("store_lost", what=what, detail=detail)

    def store_returned(self, what: str, has_targets: bool) -> None:
        """Notes that it answers again; entries of targets may have lapsed."""
        if has_targets:
            self.targets.note_store_returned(self.clock.monotonic())
            asyncio.get_running_loop().call_later(
                target_list.REMOVAL_GRACE_S, self._expire_targets
            )
        self.log.belief("store_returned", what=what)

    def read_gauges(self) -> dict[str, float]:
        """Returns the current values that the metrics page shows."""
        now = self.clock.monotonic()
        current = self.configuration.current
        gauges = {
            "configuration_version": current.version if current else 0,
            "ready": self.is_ready,
            "leaving": self.is_leaving,
            "requests_active": self.front.active,
            "peers_listed": len(self.peers.listed),
            "peers_serving": len(self.peers.find_serving()),
            "targets_listed": len(self.targets.entries),
            "targets_lapsing": len(self.targets.pending_removals),
            "log_lines_dropped": self.log.dropped_in_all,
        }
        for name, dispatcher in self.dispatchers.items():
            for key, value in dispatcher.read_gauges(now).items():
                gauges[f"pool_{name}_{key}"] = value
        return gauges

    def change_settings(self, settings: Settings) -> None:
        """Takes in changed settings; addresses stay until the next start."""
        self.settings = dataclasses.replace(
            settings, front=self.settings.front, peer=self.settings.peer
        )
        for dispatcher in self.dispatchers.values():
            dispatcher.budget.settings = settings.budget
            dispatcher.usage.decay_s = settings.usage_fades_s
        self.reports.window_s = settings.usage_fades_s
        self.log.belief("settings_changed")

    async def run(
        self,
        jobs: list[Coroutine[Any, Any, None]],
        apps: dict[addresses.Address, listening.AsgiApp],
    ) -> exit_status.ExitStatus:
        """Serves until told to stop.

        Args:
            jobs: endless jobs that feed this process.
            apps: further applications by the address they listen on.
        """
        self.log.belief("started", incarnation=self.incarnation)
        try:
            await peer_link.open_link(self.link, self.settings.peer)
            sockets = [
                listening.open_socket(a) for a in (self.settings.front, *apps)
            ]
        except OSError as error:
            self.log.belief("cannot_listen", detail=str(error))
            return exit_status.ExitStatus.CANNOT_LISTEN
        server = listening.build_server(self._build_app(apps))
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop.set)
        tasks = [
            asyncio.create_task(job)
            for job in (*jobs, self._keep_house(), self._report())
        ]
        serving = asyncio.create_task(server.serve(sockets=sockets))
        stopping = asyncio.create_task(self.stop.wait())
        await asyncio.wait(
            [stopping, serving, *tasks], return_when=asyncio.FIRST_COMPLETED
        )
        status = exit_status.ExitStatus.OK
        if stopping.done():
            await self._drain()
        else:
            status = exit_status.ExitStatus.FAILED
            self._log_failure([serving, *tasks])
        await self._finish(server, serving)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.link.close()
        return status

    def _build_app(
        self, apps: dict[addresses.Address, listening.AsgiApp]
    ) -> listening.AsgiApp:
        by_port = {address.port: app for address, app in apps.items()}

        async def route(scope, receive, send) -> None:
            server = scope.get("server")
            app = by_port.get(server[1]) if server else None
            await (app or self.front)(scope, receive, send)

        return route

    async def _drain(self) -> None:
        """Takes requests until callers have learned of other routers."""
        self.is_leaving = True
        self.log.belief("leaving", active=self.front.active)
        # Datagrams get lost: the second report is for those that missed one.
        self.reports.announce(self._describe())
        await asyncio.sleep(reports_lib.TICK_S)
        self.reports.announce(self._describe())
        await asyncio.sleep(self.settings.address_ttl_s * ADDRESS_LIFE_FACTOR)

    async def _finish(
        self, server: signal_free_server.WebServer, serving: asyncio.Task
    ) -> None:
        """Closes idle connections, and the others once they are answered."""
        known_s = self.settings.address_ttl_s * ADDRESS_LIFE_FACTOR
        limit_s = self.settings.grace_s - known_s - LEAVE_MARGIN_S
        self.log.belief("closing", active=self.front.active)
        server.config.timeout_graceful_shutdown = max(limit_s, 0.0)
        server.should_exit = True
        await serving
        self.log.belief("stopped", active=self.front.active)

    def _log_failure(self, tasks: list[asyncio.Task]) -> None:
        for task in tasks:
            if task.done() and not task.cancelled():
                self.log.belief("task_failed", detail=repr(task.exception()))

    async def _keep_house(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            self.pool.sweep()
            self._expire_targets()
            self._log_avoided()
            self._decide_all()

    def _log_avoided(self) -> None:
        """Logs which failing targets are avoided now, and which no more."""
        now = self.clock.monotonic()
        avoided = set()
        for dispatcher in self.dispatchers.values():
            dispatcher.find_usable()
            avoided |= dispatcher.avoided
            for name in sorted(dispatcher.avoided - self.avoided):
                load = dispatcher.loads.total(name, now)
                self.log.belief(
                    "target_avoided",
                    target=name,
                    failures=round(load.failures, 1),
                    outcomes=round(load.outcomes, 1),
                )
        for name in sorted(self.avoided - avoided):
            self.log.belief("target_used_again", target=name)
        self.avoided = avoided

    def _expire_targets(self) -> None:
        for name in self.targets.expire(self.clock.monotonic()):
            self.log.belief("target_gone", target=name)
            self._forget_target(name)

    async def _report(self) -> None:
        while True:
            await asyncio.sleep(reports_lib.TICK_S)
            is_changed = any(d.is_changed for d in self.dispatchers.values())
            self.reports.send_if_due(
                self._describe(), is_changed, self._collect_work
            )

    def _describe(self) -> reports_lib.Status:
        current = self.configuration.current
        return reports_lib.Status(
            version=current.version if current else 0,
            targets_offset=self.targets_watch.lag.own_position,
            is_ready=self.is_ready,
            leaving=self.is_leaving,
        )

    def _collect_work(self) -> reports_lib.OwnWork:
        now = self.clock.monotonic()
        loads = []
        uses = []
        placed = []
        for dispatcher in self.dispatchers.values():
            dispatcher.is_changed = False
            uses.extend(dispatcher.usage.export(dispatcher.pool.name, now))
            placed.extend(dispatcher.take_placed(self.reports.is_direct))
            loads.extend(dispatcher.loads.export(now))
        work = work_sums.Work(tuple(loads), tuple(uses))
        return reports_lib.OwnWork(work, tuple(placed))

    def _receive(
        self, sender: ids.InstanceId, message: messages.PeerMessage
    ) -> None:
        if not isinstance(message, messages.LoadReport):
            self.metrics.count("peer.unexpected")
            return
        if not self.peers.hear(sender, message):
            return
        now = self.clock.monotonic()
        self._compare_feeds(sender, message, now)
        taken = self.reports.take_in(sender, message)
        if taken is None:
            return
        for dispatcher in self.dispatchers.values():
            for peer in taken.replaced:
                dispatcher.drop_peer(peer)
            dispatcher.hear(sender, taken.report)
        # A relay hears some hundred members' reports a second: what waits is
        # looked at every 20 ms anyway.
        is_group = message.kind is messages.ReportKind.GROUP
        if self.reports.is_direct or not is_group:
            self._decide_all()

    def _compare_feeds(
        self, peer: ids.InstanceId, report: messages.LoadReport, now: float
    ) -> None:
        for name, watch, position in (
            ("configuration", self.configuration_watch, report.version),
            ("targets", self.targets_watch, report.targets_offset),
        ):
            if watch.hear(position, now):
                self.log.belief(
                    "behind_peer",
                    feed=name,
                    peer=peer,
                    own=watch.lag.own_position,
                    peers=watch.lag.furthest_peer_position,
                )

    def _forget_target(self, name: ids.TargetId) -> None:
        self.pool.forget(name)
        for dispatcher in self.dispatchers.values():
            dispatcher.placer.forget(name)

    def _decide_all(self) -> None:
        for dispatcher in self.dispatchers.values():
            dispatcher.decide()
