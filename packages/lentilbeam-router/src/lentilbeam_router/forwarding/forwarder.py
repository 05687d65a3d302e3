"""Forwards a request to a target and passes its response on to the caller.

A request whose route isn't retryable is sent again only if its target states
that it did not run it, or if the connection could not be opened.
"""

import asyncio
from collections.abc import Callable
import dataclasses

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import ids
from lentilbeam_core import poll_times as poll_times_lib
from lentilbeam_core.forwarding import configuration
from lentilbeam_core.forwarding import crash_evidence as crash_evidence_lib
from lentilbeam_core.forwarding import decisions as decisions_lib
from lentilbeam_core.forwarding import event_stream
from lentilbeam_core.forwarding import placement as placement_lib
from lentilbeam_core.forwarding import requests
from lentilbeam_core.forwarding import target_list
from lentilbeam_router import metrics as metrics_lib
from lentilbeam_router.forwarding import caller_channel
from lentilbeam_router.forwarding import connection as connection_lib
from lentilbeam_router.forwarding import connection_pool
from lentilbeam_router.forwarding import decision_log
from lentilbeam_router.forwarding import dispatcher as dispatcher_lib
from lentilbeam_router.forwarding import origin_search as origin_search_lib
from lentilbeam_router.forwarding import process_check
from lentilbeam_router.forwarding import progress as progress_lib
from lentilbeam_router.forwarding import response_checks
from lentilbeam_router.forwarding import resumption as resumption_lib
from lentilbeam_router.forwarding import send_checks
from lentilbeam_router.forwarding import stop_control as stop_control_lib
from lentilbeam_router.forwarding import target_notices
from lentilbeam_router.forwarding import wire as wire_lib

MAX_BUFFERED_BYTES = 65_536
"""A response that isn't a stream is buffered up to this size and passed on only
once it is complete, so that the request can still be sent to another target."""
MAX_UNREAD_S = 0.1
"""Longest time, in seconds, for which the close of a caller's connection may
have waited to be read when the request is sent to a target."""
ANSWERED_AFTER_EVENTS = 3
"""Number of events of a stream after which its target counts as unharmed by the
request. A target that a request crashes sends one or two at most."""
FindDispatcher = Callable[[ids.PoolId], dispatcher_lib.Dispatcher]


class Forwarder:
    """Forwards requests to the targets of their pools.

    Attributes:
        codec: decodes and encodes HTTP heads.
        connections: idle connections to targets.
        clock: source of monotonic time.
        poll_times: times of the polls of the event loop.
        crash_evidence: tells which requests crash their targets.
        origin_search: records and finds out what began streams.
        metrics: counts events of requests.
        log: log of decisions.
        read_busy: returns the fraction of the recent time in which this
            router was busy.
        stop_control: what may still be sent while the router shuts down.
        bad_notices: target and header of each invalid notice that was logged.
    """

    def __init__(
        self,
        codec: wire_lib.Codec,
        connections: connection_pool.ConnectionPool,
        clock: clock_lib.Clock,
        poll_times: poll_times_lib.PollTimes,
        crash_evidence: crash_evidence_lib.CrashEvidence,
        origin_search: origin_search_lib.OriginSearch,
        metrics: metrics_lib.Metrics,
        log: decision_log.DecisionLog,
        read_busy: Callable[[], float],
        stop_control: stop_control_lib.StopControl,
    ):
        self.codec = codec
        self.connections = connections
        self.clock = clock
        self.poll_times = poll_times
        self.crash_evidence = crash_evidence
        self.origin_search = origin_search
        self.metrics = metrics
        self.log = log
        self.read_busy = read_busy
        self.stop_control = stop_control
        self.bad_notices: set[tuple[ids.TargetId, str]] = set()

    def log_bad_notice(self, target: ids.TargetId, notice: str) -> None:
        """Logs a header that can't be read, once for each target and name."""
        key = (target, notice.partition(":")[0])
        if key not in self.bad_notices:
            self.bad_notices.add(key)
            self.log.write_event("bad_notice", target=target, header=notice)

    async def run(
        self,
        request_head: wire_lib.RequestHead,
        body: bytes,
        request: requests.Request,
        find_dispatcher: FindDispatcher,
        channel: caller_channel.CallerChannel,
        routers: int,
    ) -> None:
        """Forwards a request and sends its response to the caller.

        Args:
            request_head: decoded head of the request.
            body: whole body of the request.
            request: the request as the dispatcher sees it.
            find_dispatcher: returns the dispatcher of a pool.
            channel: sends the response to the caller.
            routers: number of routers that share the retry budget, this one
                included.
        """
        run = _Run(
            self,
            request_head,
            body,
            request,
            find_dispatcher,
            channel,
            routers,
        )
        try:
            async with self.stop_control.limit_time(request.deadline_at):
                await run.serve()
        except TimeoutError:
            is_stopped = self.stop_control.has_ended
            await run.give_up("leaving" if is_stopped else "timeout")
        finally:
            run.resumption.note_end()
            self.crash_evidence.note_end(
                request.request_id,
                request.crash_identities,
                run.progress.send_count > 0,
                self.clock.monotonic(),
            )


class _Run:
    """One request that is being forwarded."""

    def __init__(
        self,
        forwarder: Forwarder,
        request_head: wire_lib.RequestHead,
        body: bytes,
        request: requests.Request,
        find_dispatcher: FindDispatcher,
        channel: caller_channel.CallerChannel,
        routers: int,
    ):
        self.forwarder = forwarder
        self.clock = forwarder.clock
        self.log = forwarder.log
        self.request_head = request_head
        self.body = body
        self.request = request
        self.route = request.route
        self.find_dispatcher = find_dispatcher
        self.dispatcher = find_dispatcher(request.pool)
        self.channel = channel
        self.routers = routers
        self.crash_evidence = forwarder.crash_evidence
        self.is_answered = False
        self.is_paced = False
        self.sent_at = 0.0
        self.resumption = resumption_lib.Resumption(
            request_head, request, forwarder.origin_search
        )
        self.progress = progress_lib.Progress(
            event_stream.EventStreamParser(request_head.resume_after)
        )

    async def serve(self) -> None:
        """Sends the request to targets until one responds or it fails."""
        refused = await self._find_origin()
        if refused is not None:
            await self._end_refused(refused)
            return
        while True:
            self._set_stream_key()
            decision = self._refuse_if_blocked() or self._refuse_unstartable()
            if decision is None:
                decision = await self.dispatcher.place(
                    self.request,
                    frozenset(self.progress.tried),
                    self.resumption.version,
                )
            if isinstance(decision, decisions_lib.Placed):
                blocked = self._refuse_if_blocked()
                if blocked is not None:
                    self.dispatcher.note_end(self.request.request_id)
                    decision = blocked
            if isinstance(decision, decisions_lib.Refused):
                await self._end_refused(decision)
                return
            self.is_paced = decision.is_paced
            placed_at = self.clock.monotonic()
            outcome = await self._send(decision.placement)
            if outcome.result is progress_lib.SendResult.DONE:
                return
            if self.progress.first_event_s is None:
                self.dispatcher.note_unserved(self.request, placed_at)
            if not self._may_retry(outcome):
                await self._end_failed(outcome)
                return

    async def _find_origin(self) -> decisions_lib.Refused | None:
        """Finds out what began the stream that the caller takes up.

        Returns:
            A refusal if the stream can't go on here; else None.
        """
        resumption = self.resumption
        if not resumption.is_taken_up:
            return None
        is_known = await resumption.find_origin()
        now = self.clock.monotonic()
        if not is_known:
            self._record(
                "origin_unknown",
                resumes=self.request_head.resumes,
                resume_after=self.request_head.resume_after,
            )
            # Another router may know, or this one when it is heard again.
            return self.dispatcher.admission.refuse(
                self.request, decisions_lib.RefusalReason.UNKNOWN_ORIGIN, now
            )
        pool = resumption.origin.pool
        if pool not in {weight.pool for weight in self.route.pool_weights}:
            return self.dispatcher.admission.refuse_for_long(
                self.request, decisions_lib.RefusalReason.VERSION_GONE, now
            )
        if pool != self.request.pool:
            self.request = dataclasses.replace(self.request, pool=pool)
            self.dispatcher = self.find_dispatcher(pool)
        return None

    def _set_stream_key(self) -> None:
        """Tells the dispatcher which stream the request begins, if any."""
        key = None
        if self.resumption.starts_resumable:
            key = self.resumption.compute_key()
        if key != self.request.stream_key:
            self.request = dataclasses.replace(self.request, stream_key=key)

    def _refuse_unstartable(self) -> decisions_lib.Refused | None:
        """Returns a refusal if the stream can't begin at its version.

        The caller's next try has another ID, and so perhaps another version.
        """
        key = self.request.stream_key
        search = self.forwarder.origin_search
        if key is None:
            return None
        pool = self.request.pool
        version = search.versions.find_unstartable(pool, key)
        if version is None and search.knows_rules:
            return None
        self._record("unstartable", software=version)
        return self.dispatcher.admission.refuse(
            self.request,
            decisions_lib.RefusalReason.UNSTARTABLE,
            self.clock.monotonic(),
        )

    def _refuse_if_blocked(self) -> decisions_lib.Refused | None:
        """Returns a refusal if the request would crash its target."""
        request = self.request
        now = self.clock.monotonic()
        for part in self.crash_evidence.decide(now):
            self.log.write_event("part_blocked", part=part, source="crash")
        part = self.crash_evidence.find_block(
            request.request_id, request.crash_identities, now
        )
        if part is None:
            return None
        self._record("blocked", part=part)
        return self.dispatcher.admission.refuse_for_long(
            request, decisions_lib.RefusalReason.CRASHES_TARGETS, now
        )

    async def give_up(self, reason: str) -> None:
        """Ends a request that has no time left.

        Responds with 504 if a target may have run the request, else with 503.
        A response that has begun is aborted.

        Args:
            reason: reason for the log.
        """
        self._record("gave_up", reason=reason, sent=self.progress.send_count)
        if self.channel.is_started:
            self.channel.abort()
        elif self.progress.may_have_run:
            await self.channel.respond(504)
        else:
            await self.channel.respond(503, retry_after_s=0.0)

    async def _send(
        self, placement: placement_lib.Placement
    ) -> progress_lib.SendOutcome:
        target = placement.target
        try:
            connection = await self._acquire_open(target)
        except connection_lib.ConnectFailedError as error:
            self.dispatcher.note_end(self.request.request_id)
            is_other_process = (
                isinstance(error, process_check.UnconfirmedError)
                and error.start_ms != 0
            )
            self._note_failure(target, is_fault=not is_other_process)
            self.dispatcher.note_broken(target, is_news=False)
            self.progress.tried.add(target.name)
            return progress_lib.SendOutcome(
                progress_lib.SendResult.NOT_RUN, f"connect: {error}"
            )
        except asyncio.CancelledError:
            self.dispatcher.note_end(self.request.request_id)
            raise
        try:
            self._check_deadline()
            objection = self._find_objection(target)
            if objection is not None:
                self._record("not_sent", target=target.name, reason=objection)
                self.progress.tried.add(target.name)
                return progress_lib.SendOutcome(
                    progress_lib.SendResult.NOT_RUN, objection
                )
            return await self._exchange(placement, connection)
        finally:
            self.dispatcher.note_end(self.request.request_id)
            self._release(target, connection)

    def _release(
        self,
        target: target_list.Entry,
        connection: connection_lib.TargetConnection,
    ) -> None:
        max_idle = self.dispatcher.placer.connections.find_max_idle()
        self.forwarder.connections.release(target, connection, max_idle)

    async def _acquire_open(
        self, target: target_list.Entry
    ) -> connection_lib.TargetConnection:
        """Returns a connection that was open when its socket was last read.

        A target may have closed an idle one before that.

        Raises:
            ConnectFailedError: see `_acquire_connection`.
        """
        # A request that isn't retryable gets no connection that has been idle
        # for long: it may be dead, and then it is unknown whether the request
        # ran.
        preference = self.dispatcher.placer.connections
        longest_idle_s = preference.find_longest_idle(self.route.is_retryable)
        for idle_s in (longest_idle_s, 0.0):
            connection = await self._acquire_connection(target, idle_s)
            try:
                await self._catch_up()
            except asyncio.CancelledError:
                self._release(target, connection)
                raise
            if not connection.is_broken:
                return connection
            self._release(target, connection)
        raise connection_lib.ConnectFailedError("closed before its use")

    async def _acquire_connection(
        self, target: target_list.Entry, longest_idle_s: float
    ) -> connection_lib.TargetConnection:
        """Returns a connection to a target.

        Args:
            target: the target.
            longest_idle_s: see `ConnectionPool.acquire`.

        Raises:
            ConnectFailedError: it couldn't be opened, or does not lead to the
                listed process, whose version the stream needs.
        """
        connections = self.forwarder.connections
        if (
            not self.route.is_resumable
            or self.dispatcher.pool.engine is None
            or target.started_at_ms == 0
        ):
            return await connections.acquire(target, longest_idle_s)
        try:
            connection = await process_check.acquire(
                connections, target, longest_idle_s, self.forwarder.codec
            )
            if not self.dispatcher.targets.is_listed(target):
                connections.release(target, connection)
                raise process_check.UnconfirmedError(target.started_at_ms)
        except process_check.UnconfirmedError as error:
            self._record(
                "process_unconfirmed",
                target=target.name,
                listed_start_ms=target.started_at_ms,
                start_ms=error.start_ms,
            )
            raise
        return connection

    async def _catch_up(self) -> None:
        """Lets the event loop read what has arrived, if it has not lately.

        A caller that has left cancels this task. The second iteration is needed
        since tasks resume before the events of the same poll are handled.
        """
        poll_times = self.forwarder.poll_times
        for _ in range(2):
            unread_s = self.clock.monotonic() - poll_times.read_until
            if unread_s <= MAX_UNREAD_S:
                return
            await asyncio.sleep(0)

    def _read_targets_age(self) -> float:
        """Returns the age of the target list, for the log, in seconds."""
        now = self.clock.monotonic()
        return round(self.dispatcher.targets.read_age(now), 3)

    def _check_deadline(self) -> None:
        """Raises TimeoutError if the request has no time left.

        After a stall the event loop resumes tasks that waited for I/O before
        it runs the timers that are due.
        """
        deadline_at = self.forwarder.stop_control.limit_deadline(
            self.request.deadline_at
        )
        if self.clock.monotonic() >= deadline_at:
            raise TimeoutError

    def _find_objection(self, target: target_list.Entry) -> str | None:
        """Returns why the request must not be sent to its target any more."""
        if not self._can_end():
            return "router_leaving"
        return send_checks.find_objection(
            self.dispatcher, target, self.is_paced, self.clock.monotonic()
        )

    def _can_end(self) -> bool:
        """Whether the request may be sent, as the router may be leaving."""
        is_resumed = (
            self.request_head.resume_after is not None
            or self.channel.is_started
        )
        return self.forwarder.stop_control.can_end(self.request, is_resumed)

    async def _exchange(
        self,
        placement: placement_lib.Placement,
        connection: connection_lib.TargetConnection,
    ) -> progress_lib.SendOutcome:
        target = placement.target
        self.progress.tried.add(target.name)
        may_have_run_before = self.progress.may_have_run
        self.progress.may_have_run = True
        self.progress.send_count += 1
        self.is_answered = False
        self.sent_at = self.clock.monotonic()
        connection.start(self._encode_request(placement))
        self._record(
            "sent",
            target=target.name,
            unread=round(placement.unread),
            ahead=round(placement.tokens_to_first_event),
            expected_s=round(placement.expected_s, 3),
            long=placement.is_long,
            fetch=placement.fetch_from.name if placement.fetch_from else None,
            attempt=self.progress.send_count,
            version=self.request.configuration_version,
            software=target.version,
            targets_age_s=self._read_targets_age(),
            resumes=self.request_head.resumes,
            resume_after=self.progress.events.last_event_id,
            **self._describe_request(),
        )
        try:
            outcome = await self._receive(connection, placement)
        except connection_lib.BrokenError as error:
            outcome = progress_lib.SendOutcome(
                progress_lib.SendResult.BROKEN, str(error), is_broken_off=True
            )
        except (
            connection_lib.InvalidResponseError,
            event_stream.InvalidStreamError,
        ) as error:
            outcome = progress_lib.SendOutcome(
                progress_lib.SendResult.BROKEN, str(error)
            )
        if outcome.is_broken_off:
            self._note_crash(target)
            self.dispatcher.note_broken(target, is_news=True)
        if outcome.result is progress_lib.SendResult.NOT_RUN:
            self.progress.may_have_run = may_have_run_before
        if outcome.result is progress_lib.SendResult.DONE:
            self.dispatcher.note_success(target.name)
            self.dispatcher.note_served(self.request.request_id)
        else:
            connection.close()
            self._record(
                "send_failed",
                target=target.name,
                detail=outcome.detail,
                identities=self.request.crash_identities,
                events=self.progress.events.numbered_event_count,
            )
            self._note_failure(target, not outcome.is_refused_by_target)
        return outcome

    def _encode_request(self, placement: placement_lib.Placement) -> bytes:
        deadline_at = self.forwarder.stop_control.limit_deadline(
            self.request.deadline_at
        )
        remaining_s = deadline_at - self.clock.monotonic()
        source = placement.fetch_from
        routing_info = wire_lib.RoutingInfo(
            target=placement.target.name,
            workspace=self.request.workspace,
            remaining_s=remaining_s,
            fetch_from=f"{source.host}:{source.port}" if source else None,
            resume_after=self.progress.events.last_event_id,
        )
        return self.forwarder.codec.encode_request(
            self.request_head, routing_info, self.body
        )

    async def _receive(
        self,
        connection: connection_lib.TargetConnection,
        placement: placement_lib.Placement,
    ) -> progress_lib.SendOutcome:
        head = await connection.receive()
        response = self.forwarder.codec.decode_response(
            head.status, head.headers
        )
        if response.request_id == self.request_head.request_id:
            self._note_notices(placement.target, response)
        invalid = response_checks.check_head(
            response, self.request_head.request_id
        )
        if invalid is None and self.progress.begun is not None:
            invalid = response_checks.check_continuation(
                self.progress.begun, response
            )
        if invalid is not None:
            return invalid
        is_stream = self.route.kind is configuration.RouteKind.STREAMING
        if is_stream and response.status < 300:
            return await self._pass_on_stream(
                placement.target,
                connection,
                response,
                lambda: self._note_first_event(placement),
            )
        outcome = await self._pass_on_non_stream(connection, response)
        is_done = outcome.result is progress_lib.SendResult.DONE
        if is_done and response.status < 300:
            self._note_answered()
        return outcome

    async def _pass_on_stream(
        self,
        target: target_list.Entry,
        connection: connection_lib.TargetConnection,
        response: wire_lib.Response,
        note_first_event: Callable[[], None],
    ) -> progress_lib.SendOutcome:
        """Passes on an event stream, each event once it is complete."""
        events = self.progress.events
        events.discard_partial_event()
        events.expects_number = self.channel.is_started
        events_before = events.numbered_event_count
        answered_at = events_before + ANSWERED_AFTER_EVENTS
        is_first = True
        while True:
            item = await connection.receive()
            if isinstance(item, connection_lib.End):
                break
            data = events.feed(item)
            if not data:
                continue
            self.progress.note_event(self.clock.monotonic())
            if is_first:
                is_first = False
                note_first_event()
                self.resumption.note_began(target)
            self.dispatcher.note_events(
                self.request.request_id,
                events.numbered_event_count - events_before,
            )
            if events.numbered_event_count >= answered_at:
                self._note_answered()
            if not self.channel.is_started:
                self.progress.begun = response
                await self.channel.start(response.status, response.headers)
            await self.channel.write(data)
        has_events = not is_first and not events.expects_number
        broken = response_checks.check_stream_end(events, item, has_events)
        if broken is not None:
            return broken
        if not is_first:
            self._note_answered()
        self._note_whole_stream(events_before)
        if not self.channel.is_started:
            await self.channel.start(response.status, response.headers)
        await self.channel.finish()
        self.forwarder.metrics.record_duration(
            "gap", self.progress.longest_gap_s
        )
        self._record(
            "completed",
            status=response.status,
            events=events.numbered_event_count,
            first_event_s=round(self.progress.first_event_s or 0.0, 3),
            longest_gap_s=round(self.progress.longest_gap_s, 3),
        )
        return progress_lib.SendOutcome(progress_lib.SendResult.DONE, "")

    async def _pass_on_non_stream(
        self,
        connection: connection_lib.TargetConnection,
        response: wire_lib.Response,
    ) -> progress_lib.SendOutcome:
        """Passes on a response that isn't a stream, buffered if it is small."""
        buffered = []
        size = 0
        while size <= MAX_BUFFERED_BYTES:
            item = await connection.receive()
            if isinstance(item, connection_lib.End):
                broken = response_checks.check_end(item, is_empty=size == 0)
                if broken is not None and response.status < 300:
                    return broken
                return await self._pass_on_buffered(
                    response, b"".join(buffered)
                )
            buffered.append(item)
            size += len(item)
        await self.channel.start(response.status, response.headers)
        await self.channel.write(b"".join(buffered))
        while True:
            item = await connection.receive()
            if isinstance(item, connection_lib.End):
                await self.channel.finish()
                return progress_lib.SendOutcome(
                    progress_lib.SendResult.DONE, ""
                )
            await self.channel.write(item)

    async def _pass_on_buffered(
        self, response: wire_lib.Response, body: bytes
    ) -> progress_lib.SendOutcome:
        if response.status >= 500:
            detail = f"status {response.status}"
            return progress_lib.SendOutcome(
                progress_lib.SendResult.FAILED, detail, response, body
            )
        await self._send_response(response, body)
        self._record("completed", status=response.status)
        return progress_lib.SendOutcome(progress_lib.SendResult.DONE, "")

    async def _send_response(
        self, response: wire_lib.Response, body: bytes
    ) -> None:
        await self.channel.start(response.status, response.headers)
        if body:
            await self.channel.write(body)
        await self.channel.finish()

    def _may_retry(self, outcome: progress_lib.SendOutcome) -> bool:
        """Whether to send the request to another target after a failure.

        Failed connects count neither as attempts of the route nor as retries
        in the budget. Until a request has been sent, at most three targets
        are tried.
        """
        if self.progress.send_count >= self.route.attempts:
            return False
        if not self._can_end():
            return False
        if (
            outcome.result is not progress_lib.SendResult.NOT_RUN
            and not self.route.is_retryable
        ):
            return False
        if self.channel.is_started and (
            self.progress.begun is None
            or self.progress.events.last_event_id is None
        ):
            return False
        if self.progress.send_count == 0:
            return len(self.progress.tried) < 3
        now = self.clock.monotonic()
        if (
            outcome.result is progress_lib.SendResult.BROKEN
            and self.crash_evidence.is_suspect(
                self.request.crash_identities, now
            )
        ):
            self._record("no_retry", reason="crashes_targets")
            return False
        if not self.dispatcher.budget.try_acquire(now, self.routers):
            self._record("no_retry", reason="budget")
            return False
        return True

    async def _end_refused(self, refused: decisions_lib.Refused) -> None:
        """Responds to a request that admission has refused."""
        self._record(
            "refused",
            reason=refused.reason.value,
            retry_after_s=round(refused.retry_after_s, 2),
            waiting=self.dispatcher.admission.count_waiting(),
            tries=refused.tries,
            excluded={e.value: n for e, n in refused.exclusions.items()},
            may_have_run=self.progress.may_have_run,
            pass_interval_s=round(self.dispatcher.pass_times.interval_s, 3),
            busy=round(self.forwarder.read_busy(), 2),
            **self._describe_request(),
            **self.dispatcher.describe_share(self.request.workspace),
        )
        if self.channel.is_started:
            self.channel.abort()
        elif self.progress.may_have_run:
            await self.channel.respond(502)
        else:
            await self.channel.respond(503, retry_after_s=refused.retry_after_s)

    async def _end_failed(self, outcome: progress_lib.SendOutcome) -> None:
        """Responds to a request that failed and isn't retried."""
        self._record(
            "failed", result=outcome.result.value, detail=outcome.detail
        )
        if self.channel.is_started:
            self.channel.abort()
        elif outcome.response is not None:
            await self._send_response(outcome.response, outcome.body)
        elif self.progress.may_have_run:
            await self.channel.respond(502)
        else:
            now = self.clock.monotonic()
            # Only the retry delay of the refusal is used.
            refused = self.dispatcher.admission.refuse(
                self.request, decisions_lib.RefusalReason.NO_ROOM, now
            )
            await self.channel.respond(503, retry_after_s=refused.retry_after_s)

    def _note_crash(self, target: target_list.Entry) -> None:
        """Records that a target broke off before it had begun to answer."""
        if self.is_answered:
            return
        blocked = self.crash_evidence.note_crash(
            self.request.request_id,
            self.request.crash_identities,
            (target.name, target.start_ms),
            self.sent_at,
            self.clock.monotonic(),
        )
        for part in blocked:
            self.log.write_event("part_blocked", part=part, source="crash")

    def _note_whole_stream(self, events_before: int) -> None:
        """Records the length of a stream, if all of it came from one target.

        Args:
            events_before: events that came from other targets.
        """
        if self.request_head.resume_after is None and events_before == 0:
            self.dispatcher.note_whole_answer(
                self.request.request_id,
                self.progress.events.numbered_event_count,
            )

    def _note_answered(self) -> None:
        """Records that a target answers the request and lives."""
        if self.is_answered:
            return
        self.is_answered = True
        identities = self.request.crash_identities
        now = self.clock.monotonic()
        for part in self.crash_evidence.note_answered(identities, now):
            self.log.write_event("part_unblocked", part=part, source="answer")

    def _note_first_event(self, placement: placement_lib.Placement) -> None:
        now = self.clock.monotonic()
        self.dispatcher.note_first_event(
            self.request.request_id, placement, now - self.sent_at
        )
        elapsed_s = now - self.request.arrived_at
        if self.progress.first_event_s is None:
            self.progress.first_event_s = elapsed_s
        self.forwarder.metrics.record_duration("first_event", elapsed_s)

    def _note_notices(
        self, target: target_list.Entry, response: wire_lib.Response
    ) -> None:
        """Records what a response to this request says of its target."""
        target_notices.apply_response(
            self.dispatcher,
            self.log,
            target,
            response,
            self.sent_at,
            self.clock.monotonic(),
        )
        for notice in response.bad_notices:
            self.forwarder.log_bad_notice(target.name, notice)

    def _note_failure(self, target: target_list.Entry, is_fault: bool) -> None:
        if self.dispatcher.note_failure(target.name, is_fault):
            self.forwarder.connections.forget(target.name)
            self.log.write_event("target_ejected", target=target.name)

    def _describe_request(self) -> dict[str, str | float]:
        waited_s = self.clock.monotonic() - self.request.arrived_at
        return {
            "route": self.route.name,
            "workspace": self.request.workspace,
            "cost": round(requests.estimate_cost(self.request)),
            "waited_s": round(waited_s, 3),
            "unread_s": round(self.request.unread_s, 3),
        }

    def _record(self, event: str, **fields) -> None:
        """Counts an event of the request and writes it to the log."""
        self.forwarder.metrics.count(f"request.{event}")
        self.log.write_request_event(self.request.request_id, event, **fields)
