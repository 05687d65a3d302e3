"""The forwarding router: builds its components, runs and shuts them down."""

import asyncio
from collections.abc import Coroutine
import dataclasses
import random
import signal
from typing import Any

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core import poll_times as poll_times_lib
from lentilbeam_core.forwarding import caller_balance
from lentilbeam_core.forwarding import configuration as configuration_lib
from lentilbeam_core.forwarding import decisions as decisions_lib
from lentilbeam_core.forwarding import memory_budget
from lentilbeam_core.forwarding import requests
from lentilbeam_core.forwarding import stop_schedule
from lentilbeam_core.forwarding import stream_versions
from lentilbeam_core.forwarding import target_list
from lentilbeam_core.forwarding import work_sums
from lentilbeam_router import addresses
from lentilbeam_router import exit_status
from lentilbeam_router import metrics as metrics_lib
from lentilbeam_router import peer_link
from lentilbeam_router import process_memory
from lentilbeam_router import signal_free_server
from lentilbeam_router.forwarding import accept_control
from lentilbeam_router.forwarding import caller_limits
from lentilbeam_router.forwarding import cold_control
from lentilbeam_router.forwarding import connection_pool
from lentilbeam_router.forwarding import decision_log
from lentilbeam_router.forwarding import dispatcher as dispatcher_lib
from lentilbeam_router.forwarding import early_refusal
from lentilbeam_router.forwarding import evacuation_control
from lentilbeam_router.forwarding import feeds
from lentilbeam_router.forwarding import forwarder as forwarder_lib
from lentilbeam_router.forwarding import gateway_gauges
from lentilbeam_router.forwarding import gateway_settings
from lentilbeam_router.forwarding import listening
from lentilbeam_router.forwarding import origin_exchange as origin_exchange_lib
from lentilbeam_router.forwarding import origin_search as origin_search_lib
from lentilbeam_router.forwarding import overload as overload_lib
from lentilbeam_router.forwarding import peers as peers_lib
from lentilbeam_router.forwarding import prompt_blocks as prompt_blocks_lib
from lentilbeam_router.forwarding import report_exchange as report_exchange_lib
from lentilbeam_router.forwarding import request_handler as request_handler_lib
from lentilbeam_router.forwarding import shared_reads
from lentilbeam_router.forwarding import stop_control as stop_control_lib
from lentilbeam_router.forwarding import target_notices
from lentilbeam_router.forwarding import wire as wire_lib

HOUSEKEEPING_INTERVAL_S = 0.25
TIMER_RESOLUTION_S = 0.001
"""The event loop may run a timer earlier than this by its clock's resolution,
in seconds."""
SERVER_CLOSE_S = 0.2
"""The web server's own timeout begins up to this much, in seconds, after it was
told to shut down."""
MAX_CONFIGURATION_LAG_S = 0.3
"""Seconds for which a peer may report a newer configuration before this router
reads it again on a new connection. The store responds within some 10 ms; a
peer's report takes up to 0.5 s, which only delays the comparison."""
MAX_TARGETS_LAG_S = (0.9, 1.3)
"""The same for the target list, in a small and in a large fleet. This router
pauses for up to 0.4 or 0.8 s between two reads of the list, so it may be behind
a peer for longer."""
MAX_OPEN_READ_LAG_S = 0.6
"""The same for the target list if routers share its reads: only the time for
which a read is open counts then, and a read takes up to 0.5 s."""
ROUTERS_AT_MIN_PACE = 16
"""Largest number of routers that read the store at full speed. In larger
fleets, pauses between reads grow in proportion, so that the rate of calls
doesn't."""
MAX_READ_PACE = 4.0
"""Upper limit of `Gateway.read_pace`. With it, the store's return is noticed
within 2 s."""


class Gateway:
    """One forwarding router, updated with the contents of the store.

    Attributes:
        settings: settings in force.
        clock: source of the time.
        poll_times: times of the polls of the event loop.
        incarnation: start of this process, Unix microseconds.
        rng: random numbers for routing, placement and retry times.
        configuration: the newest configuration.
        targets: targets of all pools.
        evacuations: puts evacuations of data centres in force.
        cold: limits the requests to cold targets.
        has_targets: whether the target list was read since the start.
        lost_at: since when the topics of the store that can't be read are
            lost, monotonic seconds.
        is_leaving: whether this router is shutting down.
        logged_as_avoided: targets that were logged as avoided.
        configuration_watch: compares the configuration with that of peers.
        targets_watch: compares the target list with that of peers.
        shared_reads: when the target list is read again, in a large fleet.
        overload: what this router does if it is too busy.
        accept_control: accepts the connections of callers.
        stop: set on SIGTERM and SIGINT.
        stop_control: what may still be begun after that.
        dispatchers: dispatcher of each pool that has had a request.
        prompt_blocks: prompt parts that are blocked, since they crash targets.
        stream_versions: which versions may have begun streams.
        origin_exchange: tells other routers what began streams, and asks them.
        origin_search: finds out what began streams.
        origin_exchange: tells and finds out what began streams.
        memory: budget of what requests and responses buffer.
        connections: idle connections to targets.
    """

    def __init__(
        self,
        settings: gateway_settings.Settings,
        codec: wire_lib.Codec,
        clock: clock_lib.Clock,
        poll_times: poll_times_lib.PollTimes,
        output: int,
    ):
        self.settings = settings
        self.clock = clock
        self.poll_times = poll_times
        self.incarnation = ids.Incarnation(
            int(clock.now().timestamp() * 1_000_000)
        )
        self.rng = random.Random(f"{settings.instance}{self.incarnation}")
        self.metrics = metrics_lib.Metrics()
        self.log = decision_log.DecisionLog(clock, settings.instance, output)
        self.configuration = configuration_lib.LatestConfiguration()
        self.targets = target_list.TargetList()
        self.evacuations = evacuation_control.EvacuationControl(
            self.targets, self.log, clock, self._decide_all
        )
        self.has_targets = False
        self.lost_at: dict[str, float] = {}
        self.is_leaving = False
        self.logged_as_avoided: set[ids.TargetId] = set()
        self.configuration_watch = feeds.FeedWatch(MAX_CONFIGURATION_LAG_S)
        self.targets_watch = feeds.FeedWatch(MAX_TARGETS_LAG_S[0])
        self.overload = overload_lib.Overload(poll_times, clock, self.log)
        self.stop = asyncio.Event()
        self.stop_control = stop_control_lib.StopControl(
            clock, self.overload.load.find_duration_s
        )
        self.dispatchers: dict[ids.PoolId, dispatcher_lib.Dispatcher] = {}
        self.link = peer_link.PeerLink(
            settings.instance, self._receive, self.metrics
        )
        self.peers = peers_lib.Peers(settings.instance, clock, self.log)
        self.cold = cold_control.ColdControl(
            settings.cold,
            settings.instance,
            self.peers,
            self.targets,
            self.log,
        )
        self.shared_reads = shared_reads.SharedReads(
            self.targets,
            self.cold,
            self.peers,
            random.Random(settings.instance),
        )
        self.report_exchange = report_exchange_lib.ReportExchange(
            settings.instance,
            self.incarnation,
            settings.data_centre,
            settings.usage_decay_s,
            self.peers,
            self.link,
            clock,
            self.log,
        )
        self.origin_exchange = origin_exchange_lib.OriginExchange(
            self.peers, self.link, clock
        )
        self.stream_versions = stream_versions.StreamVersions(self.targets)
        self.origin_search = origin_search_lib.OriginSearch(
            self.origin_exchange, self.stream_versions, clock, self.log
        )
        self.prompt_blocks = prompt_blocks_lib.PromptBlocks(
            settings.instance,
            self.peers,
            lambda: self.is_ready,
            clock,
            self.log,
        )
        self.memory = memory_budget.MemoryBudget(settings.memory_bytes)
        self.connections = connection_pool.ConnectionPool(clock, self.metrics)
        self.connections.memory = self.memory
        self.forwarder = forwarder_lib.Forwarder(
            codec,
            self.connections,
            clock,
            poll_times,
            self.prompt_blocks.evidence,
            self.origin_search,
            self.metrics,
            self.log,
            lambda: self.overload.load.busy_fraction,
            self.stop_control,
        )
        self.request_handler = request_handler_lib.RequestHandler(
            codec, self, clock, self.metrics, self.log
        )
        self.callers = caller_limits.build_connections(
            settings.callers, clock, self.memory, self.log, self.metrics
        )
        self.accept_control = accept_control.AcceptControl(
            self.overload,
            self.request_handler.turns,
            clock,
            self.log,
            early_refusal.EarlyRefusal(codec, self),
            self.callers,
        )
        self.accept_control.note_left = self.note_unread

    @property
    def is_ready(self) -> bool:
        """Whether this router may receive requests."""
        return (
            self.configuration.current is not None
            and self.has_targets
            and self.origin_search.knows_rules
            and not self.is_leaving
        )

    def count_routers(self) -> int:
        """Returns the number of routers in the fleet, this one included."""
        return self.peers.count_routers()

    @property
    def read_pace(self) -> float:
        """Factor of pauses between reads of the store; 1 in a small fleet."""
        pace = self.count_routers() / ROUTERS_AT_MIN_PACE
        return min(max(pace, 1.0), MAX_READ_PACE)

    @property
    def shares_reads(self) -> bool:
        """Whether the fleet is so large that routers share reads."""
        return not self.report_exchange.is_direct

    @property
    def reads_targets_often(self) -> bool:
        """Whether this router tells peers which targets were removed.

        In a large fleet, only routers that read the list often tell them.
        """
        return not self.shares_reads or self.shared_reads.is_reader(
            self.clock.monotonic()
        )

    def list_addresses(self) -> list[addresses.Address]:
        """Returns the addresses of the routers that callers are sent to.

        These are all that take requests, but for those that are much busier
        than the others.
        """
        peers = self.peers
        found = {entry.name: entry.front for entry in peers.find_serving()}
        busy = {name: peers.read_busy_fraction(name) for name in found}
        if self.is_ready and (self.takes_callers or not found):
            own_name = self.settings.instance
            found[own_name] = self.settings.front
            busy[own_name] = self.overload.load.told_busy_fraction
        left_out = caller_balance.find_busiest(busy)
        return [
            address for name, address in found.items() if name not in left_out
        ]

    @property
    def takes_callers(self) -> bool:
        """Whether this router keeps up, so that callers may be sent to it."""
        return self.overload.takes_callers

    def is_too_late_for(self, request: requests.Request) -> bool:
        """Whether this router is too busy to take a new request."""
        dispatcher = self.find_dispatcher(request.pool)
        return self.overload.is_too_late_for(
            request, lambda: dispatcher.has_had_fair_share(request.workspace)
        )

    def refuse_as_busy(
        self, request: requests.Request
    ) -> decisions_lib.Refused:
        """Refuses a request that this router is too busy for, or leaving."""
        reason = decisions_lib.RefusalReason.ROUTER_BUSY
        if self.is_leaving:
            reason = decisions_lib.RefusalReason.LEAVING
        refused = self.find_dispatcher(request.pool).refuse(request, reason)
        serving = len(self.peers.find_serving())
        if self.is_leaving and serving:
            # Any other router serves it, at once.
            return dataclasses.replace(refused, retry_after_s=0.0)
        delay_s = self.overload.find_retry_delay(
            refused, serving > len(self.peers.listed) / 2
        )
        return dataclasses.replace(refused, retry_after_s=delay_s)

    def note_lateness(self, due_at: float) -> None:
        """Updates `overload`; see `Overload.note_lateness`."""
        self.overload.note_lateness(due_at, self.request_handler.active)
        self.request_handler.refusals.flush_if_due()

    def note_unread(self) -> None:
        """Records a caller that left before its request was handled."""
        now = self.clock.monotonic()
        for dispatcher in self.dispatchers.values():
            dispatcher.usage.note_unread(now)

    def count_unread(self) -> int:
        """Returns the number of requests that wait to be handled."""
        return len(self.request_handler.turns.waiting)

    def find_dispatcher(self, pool: ids.PoolId) -> dispatcher_lib.Dispatcher:
        """Returns the dispatcher of a pool, created on first use.

        Raises:
            KeyError: the configuration in force has no such pool.
        """
        if pool not in self.dispatchers:
            dispatcher = dispatcher_lib.Dispatcher(
                self.configuration.current,
                pool,
                self.targets,
                self.settings.budget,
                self.settings.data_centre,
                self.settings.usage_decay_s,
                self.count_routers,
                self.clock,
                self.rng,
                self.cold,
            )
            dispatcher.placer.select_startable = (
                self.stream_versions.select_startable
            )
            dispatcher.usage.count_waiting = self.count_unread
            self.dispatchers[pool] = dispatcher
            preference = dispatcher.placer.connections
            preference.has_idle = self.connections.has_idle
            preference.count_routers = self.count_routers
            preference.own_name = self.settings.instance
        return self.dispatchers[pool]

    def offer_configuration(
        self, found: configuration_lib.Configuration
    ) -> None:
        """Puts a configuration in force if it is newer than the current."""
        self.configuration_watch.lag.note_own_position(found.version)
        if self.configuration.offer(found):
            self.callers.settings = caller_limits.find_limits(
                self.settings.callers, self.memory, found.limits
            )
            self.stream_versions.apply_configuration(
                found, self.clock.monotonic()
            )
            for dispatcher in self.dispatchers.values():
                dispatcher.change_configuration(found)
            self.cold.pools = {
                name
                for name, pool in found.pools.items()
                if pool.cold_per_s > 0
            }
            for name, pool in found.pools.items():
                # The pace at cold targets begins before the first request, and
                # peers report only once which prompt parts engines have.
                if name in self.cold.pools or pool.engine is not None:
                    self.find_dispatcher(name)
            self.log.write_event(
                "configuration_in_force",
                version=found.version,
                routes=len(found.routes),
                keys=len(found.workspaces),
                requires_api_key=found.requires_api_key,
                tokens_per_s=found.limits.tokens_per_s,
            )

    def put_target(self, entry: target_list.Entry) -> None:
        """Applies a new record of a target."""
        self._list_target(entry)
        if self.cold.note_record(entry, self.clock.monotonic()):
            for dispatcher in self.dispatchers.values():
                dispatcher.is_changed = True
            self._decide_all()

    def _list_target(self, entry: target_list.Entry) -> None:
        """Adds or replaces a target."""
        previous = self.targets.put(entry)
        if previous == entry:
            return
        now = self.clock.monotonic()
        self.stream_versions.note_listed(entry, now)
        self.log.write_event(
            "target_listed",
            target=entry.name,
            pool=entry.pool,
            state=entry.state.value,
            software=entry.version,
            start_ms=entry.started_at_ms,
        )
        if previous and previous.started_at_ms != entry.started_at_ms:
            self.stream_versions.note_listed(previous, now)
            self._forget_target(entry.name)
        self._decide_all()

    def remove_target(self, name: ids.TargetId) -> None:
        """Removes a target, after a grace period if the store was down."""
        now = self.clock.monotonic()
        entry = self.targets.entries.get(name)
        if entry is not None:
            self.stream_versions.note_listed(entry, now)
        is_final = self.shared_reads.pauses.is_read_without_break(now)
        is_removed = self.targets.remove(name, now, is_final)
        self.log.write_event(
            "target_unlisted",
            target=name,
            at_once=is_removed,
            is_final=is_final,
            kept_s=round(self.targets.find_time_kept(name, now), 3),
        )
        if is_removed:
            self._forget_target(name)

    def replace_targets(self, entries: list[target_list.Entry]) -> None:
        """Replaces the whole target list."""
        self.has_targets = True
        self.stream_versions.note_targets_read(self.clock.monotonic())
        names = {entry.name for entry in entries}
        for name in list(self.targets.entries):
            if name not in names:
                self.remove_target(name)
        now = self.clock.monotonic()
        for entry in entries:
            self._list_target(entry)
            self.targets.cold.note_listed(
                entry.name, entry.start_ms, entry.cold_left_s, now
            )

    def put_router(self, entry: feeds.RouterEntry) -> None:
        """Adds or replaces a peer."""
        self.peers.put(entry)
        self.cold.has_peers = True
        min_lag_s, max_lag_s = MAX_TARGETS_LAG_S
        self.targets_watch.lag.max_lag_s = min(
            min_lag_s * self.read_pace, max_lag_s
        )
        if self.shares_reads:
            self.targets_watch.lag.max_lag_s = MAX_OPEN_READ_LAG_S

    def store_lost(
        self, topic: str, detail: str, is_target_topic: bool
    ) -> None:
        """Writes the log line for failing reads of a topic.

        Args:
            topic: topic of the store.
            is_target_topic: whether the topic is the target list.
            detail: error message of the failed read.
        """
        if is_target_topic:
            self.stream_versions.note_targets_lost()
        self.lost_at.setdefault(topic, self.clock.monotonic())
        self.log.write_event("store_lost", what=topic, detail=detail)

    def store_returned(self, topic: str, is_target_topic: bool) -> None:
        """Logs that a topic can be read again.

        If it is the target list, this starts the grace period for removals:
        entries may have expired although their targets still run.

        Args:
            topic: topic of the store.
            is_target_topic: whether the topic is the target list.
        """
        now = self.clock.monotonic()
        if is_target_topic:
            self.targets.note_store_returned(now)
            asyncio.get_running_loop().call_later(
                target_list.REMOVAL_GRACE_S + TIMER_RESOLUTION_S,
                self._expire_targets,
            )
        away_s = now - self.lost_at.pop(topic, now)
        self.log.write_event(
            "store_returned", what=topic, away_s=round(away_s, 3)
        )

    def read_gauges(self) -> dict[str, float]:
        """Returns the current gauge values by name."""
        return gateway_gauges.read(self)

    def change_settings(self, settings: gateway_settings.Settings) -> None:
        """Applies changed settings, except for the listen addresses.

        A change of these needs a restart.
        """
        self.settings = dataclasses.replace(
            settings, front=self.settings.front, peer=self.settings.peer
        )
        for dispatcher in self.dispatchers.values():
            dispatcher.budget.settings = settings.budget
            dispatcher.usage.decay_s = settings.usage_decay_s
        self.report_exchange.decay_s = settings.usage_decay_s
        self.cold.settings = settings.cold
        self.memory.resize(settings.memory_bytes)
        if self.configuration.current is not None:
            self.callers.settings = caller_limits.find_limits(
                settings.callers,
                self.memory,
                self.configuration.current.limits,
            )
        self.log.write_event("settings_changed")

    async def run(
        self,
        jobs: list[Coroutine[Any, Any, None]],
        apps: dict[addresses.Address, listening.AsgiApp],
    ) -> exit_status.ExitStatus:
        """Serves requests until SIGTERM or SIGINT, or until a task fails.

        Args:
            jobs: background coroutines that run until they are cancelled.
            apps: additional ASGI applications by listen address.

        Returns:
            `CANNOT_LISTEN` if an address can't be bound, `FAILED` if a task
            ended, else `OK`.
        """
        self.log.write_event("started", incarnation=self.incarnation)
        self._measure_memory()
        try:
            await peer_link.open_link(self.link, self.settings.peer)
            sockets = [
                listening.open_socket(a) for a in (self.settings.front, *apps)
            ]
        except OSError as error:
            self.log.write_event("cannot_listen", detail=str(error))
            return exit_status.ExitStatus.CANNOT_LISTEN
        server = listening.build_server(
            self._build_app(apps), self.poll_times, self.accept_control
        )
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._begin_stop)
        tasks = [
            asyncio.create_task(job)
            for job in (*jobs, self._run_housekeeping(), self._send_reports())
        ]
        serving = asyncio.create_task(server.serve(sockets=sockets))
        stopping = asyncio.create_task(self.stop.wait())
        await asyncio.wait(
            [stopping, serving, *tasks], return_when=asyncio.FIRST_COMPLETED
        )
        status = exit_status.ExitStatus.OK
        if stopping.done():
            await self._announce_leaving()
        else:
            status = exit_status.ExitStatus.FAILED
            self._log_failure([serving, *tasks])
        await self._stop_server(server, serving)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.link.close()
        return status

    def _build_app(
        self, apps: dict[addresses.Address, listening.AsgiApp]
    ) -> listening.AsgiApp:
        """Returns an application that calls the one of the local port."""
        by_port = {address.port: app for address, app in apps.items()}

        async def route(scope, receive, send) -> None:
            server = scope.get("server")
            app = by_port.get(server[1]) if server else None
            await (app or self.request_handler)(scope, receive, send)

        return route

    def _begin_stop(self) -> None:
        """Starts the shutdown, once."""
        self.stop.set()
        if self.stop_control.schedule is not None:
            return
        now = self.clock.monotonic()
        self.stop_control.begin(
            stop_schedule.plan(
                # asyncio reads a signal in one iteration of the loop and calls
                # its handler in the next.
                signalled_after=min(self.poll_times.before_read_until[0], now),
                noticed_at=now,
                grace_s=self.settings.grace_s,
                address_ttl_s=self.settings.address_ttl_s,
            )
        )
        self.is_leaving = True

    async def _announce_leaving(self) -> None:
        """Announces the shutdown and keeps serving for a while.

        Callers may still use this router's address, see
        `stop_schedule.ADDRESS_TTL_FACTOR`.
        """
        self._begin_stop()
        schedule = self.stop_control.schedule
        now = self.clock.monotonic()
        self.log.write_event(
            "leaving",
            active=self.request_handler.active,
            begins_for_s=round(schedule.begins_until - now, 2),
            ends_in_s=round(schedule.ends_at - now, 2),
        )
        # Datagrams may be lost, so the announcement is sent twice.
        self.report_exchange.announce(self._build_status())
        await asyncio.sleep(report_exchange_lib.MIN_REPORT_INTERVAL_S)
        self.report_exchange.announce(self._build_status())
        begins_s = schedule.begins_until - self.clock.monotonic()
        await asyncio.sleep(max(begins_s, 0.0))

    async def _stop_server(
        self, server: signal_free_server.WebServer, serving: asyncio.Task
    ) -> None:
        """Stops the server, giving open requests time to complete."""
        self._begin_stop()
        left_s = self.stop_control.schedule.closes_at - self.clock.monotonic()
        limit_s = left_s - SERVER_CLOSE_S
        self.log.write_event("closing", active=self.request_handler.active)
        server.config.timeout_graceful_shutdown = max(limit_s, 0.0)
        server.should_exit = True
        await serving
        self.log.write_event("stopped", active=self.request_handler.active)

    def _log_failure(self, tasks: list[asyncio.Task]) -> None:
        for task in tasks:
            if task.done() and not task.cancelled():
                self.log.write_event(
                    "task_failed", detail=repr(task.exception())
                )

    async def _run_housekeeping(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            self.connections.sweep()
            self.connections.note_fleet(self.count_routers())
            self._expire_targets()
            self.stream_versions.refresh(self.clock.monotonic())
            self.evacuations.expire()
            self._measure_memory()
            self._log_avoided()
            self._decide_all()

    def _measure_memory(self) -> None:
        resident_bytes = process_memory.read_resident_bytes()
        if resident_bytes is not None:
            self.memory.note_resident(resident_bytes)

    def _log_avoided(self) -> None:
        """Logs changes to the set of avoided targets."""
        now = self.clock.monotonic()
        avoided = set()
        for dispatcher in self.dispatchers.values():
            # Refreshes `dispatcher.avoided`.
            dispatcher.find_usable()
            avoided |= dispatcher.avoided
            for name in sorted(dispatcher.avoided - self.logged_as_avoided):
                load = dispatcher.loads.total(name, now)
                self.log.write_event(
                    "target_avoided",
                    target=name,
                    failures=round(load.failures, 1),
                    outcomes=round(load.outcomes, 1),
                )
        for name in sorted(self.logged_as_avoided - avoided):
            self.log.write_event("target_used_again", target=name)
        self.logged_as_avoided = avoided

    def _expire_targets(self) -> None:
        for name in self.targets.expire(self.clock.monotonic()):
            self.log.write_event("target_gone", target=name)
            self._forget_target(name)

    async def _send_reports(self) -> None:
        while True:
            interval_s = report_exchange_lib.MIN_REPORT_INTERVAL_S
            due_at = self.clock.monotonic() + interval_s
            await asyncio.sleep(interval_s)
            self.note_lateness(due_at)
            is_changed = any(d.is_changed for d in self.dispatchers.values())
            self.origin_exchange.tell_again()
            self.report_exchange.send_if_due(
                self._build_status(), is_changed, self._collect_work
            )

    def _build_status(self) -> report_exchange_lib.Status:
        current = self.configuration.current
        return report_exchange_lib.Status(
            version=current.version if current else 0,
            targets_offset=self.targets_watch.lag.own_position,
            is_ready=self.is_ready and self.takes_callers,
            leaving=self.is_leaving,
            evacuations=self.evacuations.list_kept(),
            targets_change=self.shared_reads.pauses.own_change,
            busy_percent=max(
                round(self.overload.load.told_busy_fraction * 100), 1
            ),
        )

    def _collect_work(self) -> report_exchange_lib.OwnWork:
        """Returns this router's own work, for a report to its peers."""
        now = self.clock.monotonic()
        loads = []
        uses = []
        placed = []
        demands = []
        for dispatcher in self.dispatchers.values():
            dispatcher.is_changed = False
            uses.extend(dispatcher.usage.export(dispatcher.pool.name, now))
            placed.extend(
                dispatcher.take_placed(self.report_exchange.is_direct)
            )
            name = dispatcher.pool.name
            leaving = self.targets.find_leaving(name)
            limits = self.targets.find_own_limits(name, now)
            cold = self.cold.find_turned_cold(name, now)
            removed = self._find_removed(name, now)
            dispatcher.placer.plain_work.refresh(now)
            loads.extend(
                dispatcher.loads.export(
                    now,
                    leaving,
                    limits,
                    cold,
                    removed,
                    self.targets_watch.lag.own_position,
                )
            )
            demands.append(dispatcher.export_demand(now))
        work = work_sums.Work(tuple(loads), tuple(uses), tuple(demands))
        crashes, blocks = self.prompt_blocks.export()
        return report_exchange_lib.OwnWork(work, tuple(placed), crashes, blocks)

    def _find_removed(
        self, pool: ids.PoolId, now: float
    ) -> dict[ids.TargetId, int]:
        """Returns the removed targets of a pool that peers are told of."""
        if not self.reads_targets_often:
            return {}
        max_age_s = target_list.REPORT_REMOVED_S
        if self.peers.has_regained(now):
            max_age_s = target_list.REMEMBER_REMOVED_S
        return self.targets.find_removed(pool, now, max_age_s)

    def _receive(
        self, sender: ids.InstanceId, message: messages.PeerMessage
    ) -> None:
        if not isinstance(message, messages.LoadReport):
            self._receive_other(sender, message)
            return
        if not self.peers.note_report(sender, message):
            return
        now = self.clock.monotonic()
        self._compare_feeds(sender, message, now)
        self._apply_news(sender, message)
        accepted = self.report_exchange.accept_report(sender, message)
        if accepted is None:
            return
        for item in accepted.report.loads:
            target_notices.apply_reported(
                self.targets,
                self.log,
                sender,
                item,
                self.targets_watch.lag.own_position,
                now,
            )
        for dispatcher in self.dispatchers.values():
            for peer in accepted.replaced:
                dispatcher.forget_peer(peer)
            dispatcher.apply_report(sender, accepted.report)
        # A relay receives up to some 200 reports a second from its members, so
        # the queues aren't processed on each one. The housekeeping processes
        # them, and so do the dispatchers' timers: when the next request may be
        # refused, but at most every 20 ms (`MIN_DECIDE_INTERVAL_S`).
        is_group = message.kind is messages.ReportKind.GROUP
        if self.report_exchange.is_direct or not is_group:
            self._decide_all()

    def _receive_other(
        self, sender: ids.InstanceId, message: messages.PeerMessage
    ) -> None:
        """Applies a message that is no report."""
        if isinstance(message, messages.OriginReport | messages.OriginQuestion):
            self.origin_exchange.receive(sender, message)
        else:
            self.metrics.count("peer.unexpected")

    def _apply_news(
        self, sender: ids.InstanceId, report: messages.LoadReport
    ) -> None:
        """Applies what a report says besides work; mostly that is nothing."""
        if report.evacuations:
            self.evacuations.note_reported(
                sender, report.evacuations, self.peers.peer_timeout_s
            )
        if report.crashes or report.blocks:
            self.prompt_blocks.apply_report(sender, report)

    def _compare_feeds(
        self, peer: ids.InstanceId, report: messages.LoadReport, now: float
    ) -> None:
        """Checks whether a peer has read the store further."""
        self.shared_reads.note_report(peer, report, now)
        for name, watch, position in (
            ("configuration", self.configuration_watch, report.version),
            ("targets", self.targets_watch, report.targets_offset),
        ):
            if watch.note_peer_position(position, now):
                self.log.write_event(
                    "behind_peer",
                    feed=name,
                    peer=peer,
                    own=watch.lag.own_position,
                    peers=watch.lag.furthest_peer_position,
                )

    def _forget_target(self, name: ids.TargetId) -> None:
        """Drops idle connections to a target and what is known about it."""
        self.connections.forget(name)
        for dispatcher in self.dispatchers.values():
            dispatcher.forget_target(name)

    def _decide_all(self) -> None:
        for dispatcher in self.dispatchers.values():
            dispatcher.decide()
