"""ASGI application that authenticates, routes and forwards requests."""

import asyncio
from collections.abc import Callable
import dataclasses
import functools
import traceback
from typing import Any

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import ids
from lentilbeam_core.forwarding import configuration
from lentilbeam_core.forwarding import request_identity
from lentilbeam_core.forwarding import requests
from lentilbeam_router import caller_protocol
from lentilbeam_router import metrics as metrics_lib
from lentilbeam_router.forwarding import body_reader
from lentilbeam_router.forwarding import caller_channel
from lentilbeam_router.forwarding import decision_log
from lentilbeam_router.forwarding import wire as wire_lib

MEMORY_RETRY_RANGE_S = (0.25, 0.7)
"""Shortest and longest `Retry-After`, in seconds, while the memory budget is
spent; as for other refusals."""
NO_CONFIGURATION_RETRY_S = 0.5
"""`Retry-After`, in seconds, while the router has no configuration. It has
usually read one by then."""
MAX_TURN_S = 0.02
"""Time, in seconds, for which an iteration of the event loop handles new
requests. The others wait until the loop has read its sockets and run its timers
again."""

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
        reservation = body_reader.Reservation(self.gateway.memory)
        try:
            body = await self._read_body(
                scope, receive, channel, request_head, reservation
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
            body,
            channel,
            arrived_at,
            handled_at - arrived_at,
        )
        if request is not None and self._is_refused(request_head, request):
            refused = self.gateway.refuse_as_busy(request)
            self.log.write_request_event(
                request.request_id,
                "refused",
                reason=refused.reason.value,
                retry_after_s=round(refused.retry_after_s, 2),
                workspace=request.workspace,
            )
            self.metrics.count("request.refused")
            await channel.respond(503, refused.retry_after_s)
        elif request is not None:
            # Hashing the body is left to here, since it makes refusals dearer.
            request = dataclasses.replace(
                request, identity=_compute_identity(request_head, request, body)
            )
            await self._forward(
                request_head, body, request, channel, receive, caller
            )

    def _is_refused(
        self, request_head: wire_lib.RequestHead, request: requests.Request
    ) -> bool:
        """Whether this router is too busy for a request.

        What is left of a stream that is resumed takes less time than a whole
        response, so how long others took does not count for it.
        """
        if self.gateway.is_too_late_for(request):
            return True
        is_resumed = request_head.resume_after is not None
        return not is_resumed and not self.gateway.overload.can_finish(request)

    async def _wait_for_turn(self, handled_at: float) -> None:
        """Waits until the event loop has time for another new request.

        Requests that arrive together would otherwise be handled in a single
        iteration, and the router would not notice who leaves meanwhile.
        """
        poll_times = self.gateway.poll_times
        has_waited = False
        while self.clock.monotonic() - poll_times.returned_at > MAX_TURN_S:
            has_waited = True
            await asyncio.sleep(0)
        if has_waited:
            self.gateway.note_lateness(handled_at)

    async def _build_request(
        self,
        request_head: wire_lib.RequestHead,
        body: bytes,
        channel: caller_channel.CallerChannel,
        arrived_at: float,
        unread_s: float,
    ) -> requests.Request | None:
        """Returns the request to forward; None if a response was sent.

        Requests are refused if there is no configuration, and denied if they
        are invalid or not allowed.
        """
        current = self.gateway.configuration.current
        if current is None:
            self.log.write_request_event(
                request_head.request_id, "refused", reason="no_configuration"
            )
            await channel.respond(503, NO_CONFIGURATION_RETRY_S)
            return None
        route = current.find_route(request_head.host, request_head.path)
        if route is None:
            await self._deny(channel, 404, "no route", current.version)
            return None
        workspace = ids.WorkspaceId("")
        if current.requires_api_key and not route.is_public:
            found = current.workspaces.get(request_head.api_key or "")
            if found is None:
                await self._deny(channel, 401, "unknown key", current.version)
                return None
            workspace = found
        timeout_s = route.timeout_s
        if request_head.deadline_s is not None:
            timeout_s = min(timeout_s, request_head.deadline_s)
        return requests.Request(
            request_id=request_head.request_id,
            workspace=workspace,
            route=route,
            pool=configuration.choose_pool(route, self.gateway.rng.random()),
            arrived_at=arrived_at,
            deadline_at=arrived_at + timeout_s,
            prompt=request_head.prompt,
            configuration_version=current.version,
            body_bytes=len(body),
            unread_s=unread_s,
            method=request_head.method,
        )

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
        load.note_begun(begun_at)
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
    ) -> bytes | None:
        """Returns the whole request body; None if nothing is left to do."""
        limits = configuration.Limits()
        if self.gateway.configuration.current is not None:
            limits = self.gateway.configuration.current.limits
        length = body_reader.read_content_length(scope)
        try:
            return await body_reader.read_body(
                receive, length, limits.max_body_bytes, reservation
            )
        except body_reader.CallerDisconnectedError:
            return None
        except body_reader.BodyTooLargeError:
            await self._deny(channel, 413, "body")
            return None
        except body_reader.NoMemoryError as error:
            retry_after_s = self.gateway.rng.uniform(*MEMORY_RETRY_RANGE_S)
            self.log.write_request_event(
                request_head.request_id,
                "refused",
                reason="memory",
                retry_after_s=round(retry_after_s, 2),
                body=length,
                used=reservation.budget.used_bytes,
            )
            self.metrics.count("request.refused")
            reservation.release()
            await channel.respond(
                503,
                retry_after_s,
                before_end=None
                if error.is_read
                else functools.partial(body_reader.discard_body, receive),
            )
            return None

    async def _deny(
        self,
        channel: caller_channel.CallerChannel,
        status: int,
        reason: str,
        version: int | None = None,
    ) -> None:
        self.metrics.count(f"denied.{status}")
        self.log.write_request_event(
            channel.request_id,
            "denied",
            status=status,
            why=reason,
            version=version,
        )
        await channel.respond(status)


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
