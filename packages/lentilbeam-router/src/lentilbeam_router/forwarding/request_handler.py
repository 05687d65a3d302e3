"""ASGI application that authenticates, routes and forwards requests."""

import asyncio
from collections.abc import Callable
import dataclasses
import functools
import traceback
from typing import Any

from lentilbeam_core import clock as clock_lib
from lentilbeam_core.forwarding import configuration
from lentilbeam_core.forwarding import decisions as decisions_lib
from lentilbeam_core.forwarding import request_identity
from lentilbeam_core.forwarding import requests
from lentilbeam_router import caller_protocol
from lentilbeam_router import metrics as metrics_lib
from lentilbeam_router.forwarding import body_reader
from lentilbeam_router.forwarding import caller_channel
from lentilbeam_router.forwarding import decision_log
from lentilbeam_router.forwarding import refusal_log
from lentilbeam_router.forwarding import request_builder
from lentilbeam_router.forwarding import turns as turns_lib
from lentilbeam_router.forwarding import wire as wire_lib

NO_CONFIGURATION_RETRY_S = 0.5
"""`Retry-After`, in seconds, while the router has no configuration. It has
usually read one by then."""

Receive = Callable[[], Any]


class RequestHandler:
    """The ASGI application that serves callers.

    Attributes:
        codec: decodes and encodes HTTP heads.
        gateway: the router's `Gateway`, typed as Any because `gateway` imports
            this module.
        clock: source of monotonic time.
        metrics: counts denied requests and internal errors.
        log: log of decisions.
        active: number of requests that are being served.
        turns: requests that wait until the event loop has time for them.
        refusals: writes log lines of refusals.
    """

    def __init__(
        self,
        codec: wire_lib.Codec,
        gateway: Any,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        log: decision_log.DecisionLog,
    ):
        self.codec = codec
        self.gateway = gateway
        self.clock = clock
        self.metrics = metrics
        self.log = log
        self.active = 0
        self.turns = turns_lib.TurnQueue(gateway.poll_times, clock)
        self.refusals = refusal_log.RefusalLog(clock, log)

    async def __call__(self, scope, receive, send) -> None:
        """Serves one HTTP request; ignores other ASGI scopes."""
        if scope["type"] != "http":
            return
        self.active += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self.active -= 1

    async def _serve(self, scope, receive, send) -> None:
        handled_at = self.clock.monotonic()
        # The deadline counts from when the request may have arrived: a late
        # router would give targets a deadline after that of the caller.
        caller = caller_protocol.read_caller(scope, handled_at)
        await self._wait_for_turn(handled_at)
        if caller.has_left:
            self.gateway.note_unread()
            return
        channel = caller_channel.CallerChannel(
            send,
            "",
            self.codec.build_own_headers,
            lambda: self.gateway.is_leaving or not self.gateway.takes_callers,
        )
        try:
            request_head = self.codec.decode_request_head(scope)
        except wire_lib.InvalidRequestHeadError as error:
            await self._deny(channel, 400, str(error))
            return
        channel.request_id = request_head.request_id
        reservation = body_reader.Reservation(
            self.gateway.memory, caller.head_bytes
        )
        try:
            body = await self._read_body(
                scope,
                receive,
                channel,
                request_head,
                reservation,
                caller.arrived_after,
            )
            if body is not None:
                await self._serve_body(
                    request_head,
                    body,
                    channel,
                    receive,
                    caller,
                    handled_at,
                )
        finally:
            reservation.release()

    async def _serve_body(
        self,
        request_head: wire_lib.RequestHead,
        body: bytes,
        channel: caller_channel.CallerChannel,
        receive: Receive,
        caller: caller_protocol.Caller,
        handled_at: float,
    ) -> None:
        """Forwards or refuses a request whose body was read."""
        arrived_at = caller.arrived_after
        request = await self._build_request(
            request_head,
            len(body),
            channel,
            arrived_at,
            handled_at - arrived_at,
        )
        if request is not None and self.is_refused(request_head, request):
            refused_at = self.clock.monotonic()
            await channel.respond(503, self.refuse(request))
            self.gateway.overload.note_refused(
                self.clock.monotonic() - refused_at
            )
        elif request is not None:
            # Hashing the body is left to here, since it makes refusals dearer.
            request = dataclasses.replace(
                request, identity=_compute_identity(request_head, request, body)
            )
            await self._forward(
                request_head, body, request, channel, receive, caller
            )

    def refuse(self, request: requests.Request) -> float:
        """Records that a request is refused; returns when to retry, in s."""
        refused = self.gateway.refuse_as_busy(request)
        self.refusals.note(refused, is_late=not self.gateway.takes_callers)
        self.metrics.count("request.refused")
        return refused.retry_after_s

    def is_refused(
        self, request_head: wire_lib.RequestHead, request: requests.Request
    ) -> bool:
        """Whether this router is too busy for a request, or is leaving.

        What is left of a stream that is resumed takes less time than a whole
        response, so how long others took does not count for it.
        """
        is_resumed = request_head.resume_after is not None
        stop_control = self.gateway.forwarder.stop_control
        if not stop_control.can_begin(request, is_resumed):
            return True
        if self.gateway.is_too_late_for(request):
            return True
        return not is_resumed and not self.gateway.overload.can_finish(request)

    async def _wait_for_turn(self, handled_at: float) -> None:
        """Waits until the event loop has time for another new request.

        Requests that arrive together would otherwise be handled in a single
        iteration, and the router would not notice who leaves meanwhile.
        """
        if await self.turns.wait(handled_at):
            self.gateway.note_lateness(handled_at)

    async def _build_request(
        self,
        request_head: wire_lib.RequestHead,
        body_bytes: int,
        channel: caller_channel.CallerChannel,
        arrived_at: float,
        unread_s: float,
        before_end: caller_channel.BeforeEnd | None = None,
    ) -> requests.Request | None:
        """Returns the request to forward; None if a response was sent.

        Requests are refused if there is no configuration, and denied if they
        are invalid or not allowed.
        """
        try:
            return request_builder.build(
                self.gateway, request_head, body_bytes, arrived_at, unread_s
            )
        except request_builder.NoConfigurationError:
            self.log.write_request_event(
                request_head.request_id, "refused", reason="no_configuration"
            )
            await channel.respond(503, NO_CONFIGURATION_RETRY_S, before_end)
        except request_builder.DeniedError as error:
            await self._deny(
                channel, error.status, error.reason, error.version, before_end
            )
        return None

    async def _forward(
        self,
        request_head: wire_lib.RequestHead,
        body: bytes,
        request: requests.Request,
        channel: caller_channel.CallerChannel,
        receive: Receive,
        caller: caller_protocol.Caller,
    ) -> None:
        if caller.has_left:
            self._log_left(request)
            return
        dispatcher = self.gateway.find_dispatcher(request.pool)
        begun_at = self.clock.monotonic()
        dispatcher.budget.note_request(begun_at)
        load = self.gateway.overload.load
        self.gateway.overload.note_begun()
        run = asyncio.ensure_future(
            self.gateway.forwarder.run(
                request_head,
                body,
                request,
                self.gateway.find_dispatcher,
                channel,
                self.gateway.peers.count_routers(),
            )
        )
        caller.on_left = run.cancel
        disconnect = asyncio.ensure_future(_wait_for_disconnect(receive))
        try:
            await asyncio.wait(
                {run, disconnect}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            disconnect.cancel()
            run.cancel()
            load.note_ended(self.clock.monotonic())
        try:
            await run
        except asyncio.CancelledError:
            self._log_left(request)
            return
        except Exception as error:
            self.metrics.count("request.fault")
            detail = "".join(traceback.format_exception(error)[-4:])
            self.log.write_request_event(
                request_head.request_id, "fault", detail=detail
            )
            raise
        if channel.is_served:
            now = self.clock.monotonic()
            load.note_served(request.route.name, now - begun_at, now)
        if channel.is_aborted:
            raise caller_channel.ResponseAbortedError(request_head.request_id)

    def _log_left(self, request: requests.Request) -> None:
        waited_s = self.clock.monotonic() - request.arrived_at
        self.log.write_request_event(
            request.request_id,
            "caller_left",
            waited_s=round(waited_s, 3),
            unread_s=round(request.unread_s, 3),
        )

    async def _read_body(
        self,
        scope: dict[str, Any],
        receive: Receive,
        channel: caller_channel.CallerChannel,
        request_head: wire_lib.RequestHead,
        reservation: body_reader.Reservation,
        arrived_at: float,
    ) -> bytes | None:
        """Returns the whole request body; None if nothing is left to do."""
        limits = configuration.Limits()
        if self.gateway.configuration.current is not None:
            limits = self.gateway.configuration.current.limits
        length = body_reader.read_content_length(scope)
        time_limit_s = self.gateway.callers.settings.body_timeout_s
        if request_head.deadline_s is not None:
            time_limit_s = min(time_limit_s, request_head.deadline_s)
        try:
            async with asyncio.timeout(time_limit_s):
                return await body_reader.read_body(
                    receive, length, limits.max_body_bytes, reservation
                )
        except TimeoutError:
            # Not run: it has no time left, even if the rest comes.
            await self._deny(channel, 408, "body not sent in time")
            return None
        except body_reader.CallerDisconnectedError:
            return None
        except body_reader.BodyTooLargeError:
            await self._deny(channel, 413, "body")
            return None
        except body_reader.NoMemoryError as error:
            reservation.release()
            before_end = functools.partial(body_reader.discard_body, receive)
            await self._refuse_for_memory(
                request_head,
                length,
                channel,
                arrived_at,
                None if error.is_read else before_end,
            )
            return None

    async def _refuse_for_memory(
        self,
        request_head: wire_lib.RequestHead,
        body_bytes: int,
        channel: caller_channel.CallerChannel,
        arrived_at: float,
        before_end: caller_channel.BeforeEnd | None,
    ) -> None:
        """Refuses a request whose body this router has no memory for.

        Its head tells what its workspace asks for. One that is not allowed is
        denied, as it would be later.
        """
        waited_s = self.clock.monotonic() - arrived_at
        request = await self._build_request(
            request_head, body_bytes, channel, arrived_at, waited_s, before_end
        )
        if request is None:
            return
        dispatcher = self.gateway.find_dispatcher(request.pool)
        refused = dispatcher.refuse(request, decisions_lib.RefusalReason.MEMORY)
        self.refusals.note(refused, is_late=not self.gateway.takes_callers)
        self.metrics.count("request.refused")
        await channel.respond(503, refused.retry_after_s, before_end)

    async def _deny(
        self,
        channel: caller_channel.CallerChannel,
        status: int,
        reason: str,
        version: int | None = None,
        before_end: caller_channel.BeforeEnd | None = None,
    ) -> None:
        self.metrics.count(f"denied.{status}")
        self.log.write_request_event(
            channel.request_id,
            "denied",
            status=status,
            why=reason,
            version=version,
        )
        await channel.respond(status, before_end=before_end)


def _compute_identity(
    request_head: wire_lib.RequestHead, request: requests.Request, body: bytes
) -> str:
    return request_identity.compute(
        request.workspace,
        (
            request_head.method,
            request_head.host,
            request_head.path,
            request_head.query,
        ),
        body,
    )


async def _wait_for_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
