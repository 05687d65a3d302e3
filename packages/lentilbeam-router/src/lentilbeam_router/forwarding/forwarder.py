"""The way of one request: place, send, pass the answer on.

A request that may not be repeated is never sent again once a byte of it was
handed over, unless its target states that it ran nothing.
"""

import asyncio
from collections.abc import Callable

from lentilbeam_core import clock as clock_lib
from lentilbeam_core.forwarding import admission
from lentilbeam_core.forwarding import configuration
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
from lentilbeam_router.forwarding import progress as progress_lib
from lentilbeam_router.forwarding import wire as wire_lib

WHOLE_ANSWER_BYTES = 65_536
"""A plain answer up to this size is passed on only once it is whole."""


class Forwarder:
    """Runs requests against the targets of their pools."""

    def __init__(
        self,
        wire: wire_lib.Wire,
        pool: connection_pool.ConnectionPool,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        log: decision_log.DecisionLog,
    ):
        self.wire = wire
        self.pool = pool
        self.clock = clock
        self.metrics = metrics
        self.log = log

    async def run(
        self,
        call: wire_lib.Call,
        body: bytes,
        request: requests.Request,
        dispatcher: dispatcher_lib.Dispatcher,
        channel: caller_channel.CallerChannel,
        routers: int,
    ) -> None:
        """Serves a request until its final answer."""
        run = _Run(self, call, body, request, dispatcher, channel, routers)
        left_s = max(request.deadline_at - self.clock.monotonic(), 0.0)
        try:
            async with asyncio.timeout(left_s):
                await run.serve()
        except TimeoutError:
            await run.give_up("timeout")


class _Run:
    """One request on its way."""

    def __init__(
        self,
        forwarder: Forwarder,
        call: wire_lib.Call,
        body: bytes,
        request: requests.Request,
        dispatcher: dispatcher_lib.Dispatcher,
        channel: caller_channel.CallerChannel,
        routers: int,
    ):
        self.forwarder = forwarder
        self.clock = forwarder.clock
        self.log = forwarder.log
        self.call = call
        self.body = body
        self.request = request
        self.route = request.route
        self.dispatcher = dispatcher
        self.channel = channel
        self.routers = routers
        self.progress = progress_lib.Progress(
            event_stream.EventStreamParser(call.resume_after)
        )

    async def serve(self) -> None:
        """Sends the request until it has its final answer."""
        while True:
            tried = frozenset(self.progress.tried)
            decision = await self.dispatcher.place(self.request, tried)
            if isinstance(decision, admission.Refused):
                await self._end_refused(decision)
                return
            sent = await self._send(decision.placement)
            if sent.result is progress_lib.SendResult.DONE:
                return
            if not self._may_send_again(sent):
                await self._end_failed(sent)
                return

    async def give_up(self, reason: str) -> None:
        """Ends a request whose time is over."""
        self._record("gave_up", reason=reason, sent=self.progress.sent)
        if self.channel.is_started:
            self.channel.abort()
        elif self.progress.may_have_run:
            await self.channel.answer(504)
        else:
            await self.channel.answer(503, retry_after_s=0.0)

    async def _send(
        self, placement: placement_lib.Placement
    ) -> progress_lib.Sent:
        target = placement.target
        try:
            connection = await self.forwarder.pool.acquire(
                target, not self.route.is_retryable
            )
        except connection_lib.ConnectFailedError as error:
            self.dispatcher.note_end(self.request.name)
            self._note_failure(target, is_fault=True)
            self.progress.tried.add(target.name)
            return progress_lib.Sent(
                progress_lib.SendResult.NOT_RUN, f"connect: {error}"
            )
        except asyncio.CancelledError:
            self.dispatcher.note_end(self.request.name)
            raise
        try:
            return await self._exchange(placement, connection)
        finally:
            self.dispatcher.note_end(self.request.name)
            self.forwarder.pool.release(target, connection)

    async def _exchange(
        self,
        placement: placement_lib.Placement,
        connection: connection_lib.TargetConnection,
    ) -> progress_lib.Sent:
        target = placement.target
        self.progress.tried.add(target.name)
        could_have_run = self.progress.may_have_run
        self.progress.may_have_run = True
        self.progress.sent += 1
        connection.start(self._write_request(placement))
        self._record(
            "sent",
            target=target.name,
            unread=round(placement.unread),
            ahead=round(placement.tokens_to_first_event),
            fetch=placement.fetch_from.name if placement.fetch_from else None,
            attempt=self.progress.sent,
            version=self.request.configuration_version,
            **self._describe_request(),
        )
        try:
            sent = await self._receive(connection, placement)
        except connection_lib.BrokenError as error:
            sent = progress_lib.Sent(progress_lib.SendResult.BROKEN, str(error))
        except event_stream.OutOfOrderError as error:
            sent = progress_lib.Sent(progress_lib.SendResult.BROKEN, str(error))
        if sent.result is progress_lib.SendResult.NOT_RUN:
            self.progress.may_have_run = could_have_run
        if sent.result is progress_lib.SendResult.DONE:
            self.dispatcher.note_success(target.name)
        else:
            connection.close()
            self._record("send_failed", target=target.name, detail=sent.detail)
            self._note_failure(target, not sent.is_full)
        return sent

    def _write_request(self, placement: placement_lib.Placement) -> bytes:
        left_s = self.request.deadline_at - self.clock.monotonic()
        source = placement.fetch_from
        hand_over = wire_lib.HandOver(
            target=placement.target.name,
            workspace=self.request.workspace,
            left_s=left_s,
            fetch_from=f"{source.host}:{source.port}" if source else None,
            resume_after=self.progress.events.last_event_id,
        )
        return self.forwarder.wire.write_request(
            self.call, hand_over, self.body
        )

    async def _receive(
        self,
        connection: connection_lib.TargetConnection,
        placement: placement_lib.Placement,
    ) -> progress_lib.Sent:
        sent_at = self.clock.monotonic()
        head = await connection.receive()
        answer = self.forwarder.wire.read_answer(head.status, head.headers)
        fault = self._find_fault(answer)
        if fault is not None:
            return fault
        is_stream = self.route.kind is configuration.RouteKind.STREAMING
        if is_stream and answer.status < 300:
            return await self._pass_stream(
                connection,
                answer,
                lambda: self._note_first_event(placement, sent_at),
            )
        return await self._pass_plain(connection, answer)

    def _find_fault(self, answer: wire_lib.Answer) -> progress_lib.Sent | None:
        if answer.is_other_instance:
            return progress_lib.Sent(
                progress_lib.SendResult.NOT_RUN, "another instance"
            )
        if answer.is_not_run:
            return progress_lib.Sent(
                progress_lib.SendResult.NOT_RUN,
                f"status {answer.status}",
                is_full=True,
            )
        if answer.request != self.call.name:
            return progress_lib.Sent(
                progress_lib.SendResult.BROKEN, f"answer to {answer.request!r}"
            )
        if answer.is_encoded:
            return progress_lib.Sent(
                progress_lib.SendResult.BROKEN, "encoded body"
            )
        if answer.status < 300 and not answer.is_sealed:
            return progress_lib.Sent(progress_lib.SendResult.BROKEN, "no proof")
        return None

    async def _pass_stream(
        self,
        connection: connection_lib.TargetConnection,
        answer: wire_lib.Answer,
        note_first_event: Callable[[], None],
    ) -> progress_lib.Sent:
        events = self.progress.events
        events.discard_partial_event()
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
            if not self.channel.is_started:
                await self.channel.start(answer.status, answer.headers)
            await self.channel.write(data)
        if events.partial_event:
            return progress_lib.Sent(
                progress_lib.SendResult.BROKEN, "ended within an event"
            )
        if not self.channel.is_started:
            await self.channel.start(answer.status, answer.headers)
        await self.channel.finish()
        self.forwarder.metrics.time("gap", self.progress.longest_gap_s)
        self._record(
            "completed",
            status=answer.status,
            events=events.event_count,
            first_event_s=round(self.progress.first_event_s or 0.0, 3),
            longest_gap_s=round(self.progress.longest_gap_s, 3),
        )
        return progress_lib.Sent(progress_lib.SendResult.DONE, "")

    async def _pass_plain(
        self,
        connection: connection_lib.TargetConnection,
        answer: wire_lib.Answer,
    ) -> progress_lib.Sent:
        held = []
        size = 0
        while size <= WHOLE_ANSWER_BYTES:
            item = await connection.receive()
            if isinstance(item, connection_lib.End):
                return await self._pass_whole(answer, b"".join(held))
            held.append(item)
            size += len(item)
        await self.channel.start(answer.status, answer.headers)
        await self.channel.write(b"".join(held))
        while True:
            item = await connection.receive()
            if isinstance(item, connection_lib.End):
                await self.channel.finish()
                return progress_lib.Sent(progress_lib.SendResult.DONE, "")
            await self.channel.write(item)

    async def _pass_whole(
        self, answer: wire_lib.Answer, body: bytes
    ) -> progress_lib.Sent:
        if answer.status >= 500:
            detail = f"status {answer.status}"
            return progress_lib.Sent(
                progress_lib.SendResult.FAILED, detail, answer, body
            )
        await self._pass(answer, body)
        self._record("completed", status=answer.status)
        return progress_lib.Sent(progress_lib.SendResult.DONE, "")

    async def _pass(self, answer: wire_lib.Answer, body: bytes) -> None:
        await self.channel.start(answer.status, answer.headers)
        if body:
            await self.channel.write(body)
        await self.channel.finish()

    def _may_send_again(self, sent: progress_lib.Sent) -> bool:
        if self.progress.sent >= self.route.attempts:
            return False
        if (
            sent.result is not progress_lib.SendResult.NOT_RUN
            and not self.route.is_retryable
        ):
            return False
        if (
            self.channel.is_started
            and self.progress.events.last_event_id is None
        ):
            return False
        if self.progress.sent == 0:
            return len(self.progress.tried) < 3
        now = self.clock.monotonic()
        if not self.dispatcher.budget.try_acquire(now, self.routers):
            self._record("no_retry", reason="budget")
            return False
        return True

    async def _end_refused(self, refused: admission.Refused) -> None:
        self._record(
            "refused",
            reason=refused.reason.value,
            retry_after_s=round(refused.retry_after_s, 2),
            waiting=self.dispatcher.admission.count_waiting(),
            may_have_run=self.progress.may_have_run,
            **self._describe_request(),
            **self.dispatcher.describe_share(self.request.workspace),
        )
        if self.channel.is_started:
            self.channel.abort()
        elif self.progress.may_have_run:
            await self.channel.answer(502)
        else:
            await self.channel.answer(503, retry_after_s=refused.retry_after_s)

    async def _end_failed(self, sent: progress_lib.Sent) -> None:
        self._record("failed", result=sent.result.value, detail=sent.detail)
        if self.channel.is_started:
            self.channel.abort()
        elif sent.answer is not None:
            await self._pass(sent.answer, sent.body)
        elif self.progress.may_have_run:
            await self.channel.answer(502)
        else:
            now = self.clock.monotonic()
            refused = self.dispatcher.admission.refuse(
                self.request, admission.RefusalReason.NO_ROOM, now
            )
            await self.channel.answer(503, retry_after_s=refused.retry_after_s)

    def _note_first_event(
        self, placement: placement_lib.Placement, sent_at: float
    ) -> None:
        now = self.clock.monotonic()
        self.dispatcher.note_first_event(
            self.request.name, placement, now - sent_at
        )
        elapsed_s = now - self.request.arrived_at
        if self.progress.first_event_s is None:
            self.progress.first_event_s = elapsed_s
        self.forwarder.metrics.time("first_event", elapsed_s)

    def _note_failure(self, target: target_list.Entry, is_fault: bool) -> None:
        if self.dispatcher.note_failure(target.name, is_fault):
            self.forwarder.pool.forget(target.name)
            self.log.belief("target_ejected", target=target.name)

    def _describe_request(self) -> dict[str, str | float]:
        waited_s = self.clock.monotonic() - self.request.arrived_at
        return {
            "route": self.route.name,
            "workspace": self.request.workspace,
            "cost": round(requests.estimate_cost(self.request)),
            "waited_s": round(waited_s, 3),
        }

    def _record(self, decision: str, **inputs) -> None:
        self.forwarder.metrics.count(f"request.{decision}")
        self.log.request(self.request.name, decision, **inputs)
