"""What callers send: matched with a route, checked, and forwarded (ASGI)."""

import asyncio
from collections.abc import Callable
import traceback
from typing import Any

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import ids
from lentilbeam_core.forwarding import configuration
from lentilbeam_core.forwarding import requests
from lentilbeam_router import metrics as metrics_lib
from lentilbeam_router.forwarding import caller_channel
from lentilbeam_router.forwarding import decision_log
from lentilbeam_router.forwarding import wire as wire_lib

NO_CONFIGURATION_RETRY_S = 0.5
"""A router that has just started knows its configuration by then."""

Receive = Callable[[], Any]


class CallerLeftError(Exception):
    """The caller closed its connection before its request was whole."""


class TooLargeError(Exception):
    """A request body beyond the limit."""


class Front:
    """The ASGI application that callers talk to.

    Attributes:
        active: requests that are being served.
    """

    def __init__(
        self,
        wire: wire_lib.Wire,
        state: Any,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        log: decision_log.DecisionLog,
    ):
        self.wire = wire
        self.state = state
        self.clock = clock
        self.metrics = metrics
        self.log = log
        self.active = 0

    async def __call__(self, scope, receive, send) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        self.active += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self.active -= 1

    async def _serve(self, scope, receive, send) -> None:
        arrived_at = self.clock.monotonic()
        channel = caller_channel.CallerChannel(
            send, "", self.wire.write_refusal, lambda: self.state.is_leaving
        )
        try:
            call = self.wire.read_call(scope)
        except wire_lib.BadCallError as error:
            await self._deny(channel, 400, str(error))
            return
        channel.name = call.name
        try:
            body = await self._read_body(receive)
        except CallerLeftError:
            return
        except TooLargeError:
            await self._deny(channel, 413, "body")
            return
        request = await self._admit(call, channel, arrived_at)
        if request is not None:
            await self._forward(call, body, request, channel, receive)

    async def _admit(
        self,
        call: wire_lib.Call,
        channel: caller_channel.CallerChannel,
        arrived_at: float,
    ) -> requests.Request | None:
        current = self.state.configuration.current
        if current is None:
            self.log.request(call.name, "refused", reason="no_configuration")
            await channel.answer(503, NO_CONFIGURATION_RETRY_S)
            return None
        route = current.find_route(call.host, call.path)
        if route is None:
            await self._deny(channel, 404, "no route", current.version)
            return None
        workspace = ids.WorkspaceId("")
        if current.requires_api_key and not route.is_public:
            found = current.workspaces.get(call.api_key or "")
            if found is None:
                await self._deny(channel, 401, "unknown key", current.version)
                return None
            workspace = found
        wait_s = route.timeout_s
        if call.deadline_s is not None:
            wait_s = min(wait_s, call.deadline_s)
        return requests.Request(
            name=call.name,
            workspace=workspace,
            route=route,
            pool=configuration.choose_pool(route, self.state.draw.random()),
            arrived_at=arrived_at,
            deadline_at=arrived_at + wait_s,
            prompt=call.prompt,
            configuration_version=current.version,
        )

    async def _forward(
        self,
        call: wire_lib.Call,
        body: bytes,
        request: requests.Request,
        channel: caller_channel.CallerChannel,
        receive: Receive,
    ) -> None:
        dispatcher = self.state.find_dispatcher(request.pool)
        dispatcher.budget.note_request(request.arrived_at)
        run = asyncio.ensure_future(
            self.state.forwarder.run(
                call,
                body,
                request,
                dispatcher,
                channel,
                self.state.peers.count_routers(),
            )
        )
        leave = asyncio.ensure_future(_wait_until_left(receive))
        try:
            await asyncio.wait(
                {run, leave}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            leave.cancel()
            if not run.done():
                run.cancel()
                self.log.request(call.name, "caller_left")
        try:
            await run
        except asyncio.CancelledError:
            return
        except Exception as error:
            self.metrics.count("request.fault")
            detail = "".join(traceback.format_exception(error)[-4:])
            self.log.request(call.name, "fault", detail=detail)
            raise
        if channel.is_cut:
            raise caller_channel.AnswerCutError(call.name)

    async def _read_body(self, receive: Receive) -> bytes:
        limits = configuration.Limits()
        if self.state.configuration.current is not None:
            limits = self.state.configuration.current.limits
        parts = []
        size = 0
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise CallerLeftError
            part = message.get("body", b"")
            size += len(part)
            if size > limits.max_body_bytes:
                raise TooLargeError
            if part:
                parts.append(part)
            if not message.get("more_body", False):
                return b"".join(parts)

    async def _deny(
        self,
        channel: caller_channel.CallerChannel,
        status: int,
        reason: str,
        version: int | None = None,
    ) -> None:
        self.metrics.count(f"denied.{status}")
        self.log.request(
            channel.name, "denied", status=status, why=reason, version=version
        )
        await channel.answer(status)


async def _wait_until_left(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
