"""HTTP client of targets: model engines and plain services.

The pieces of an answer are returned as the target sent them, with their
request id and offset. They aren't checked here; `Run.assembler` checks them.
"""

from collections.abc import AsyncIterator
import dataclasses
import enum
from typing import Any

import httpx
import httpx_sse
import msgspec

from lentilbeam_core import answers
from lentilbeam_core import catalogue as catalogue_lib
from lentilbeam_router import environment
from lentilbeam_router import settings as settings_lib

HANDED_OVER_EVENT = "http11.send_request_headers.started"
"""Trace event of the HTTP library when it begins to send a request."""

IDLE_CONNECTION_LIFETIME_S = 5.0
"""Time after which an idle connection is closed."""

MAX_IDLE_CONNECTIONS = 8
"""Kept small: httpx scans all idle connections on each request."""

LOAD_TIMEOUT_S = 2.0
"""Timeout of a read of a target's load."""


class FaultKind(enum.Enum):
    """How an exchange with a target failed."""

    UNREACHABLE = "unreachable"  # No connection was established.
    ERROR_ANSWER = "error_answer"  # The target answered with an error.
    DRAINING = "draining"  # The target accepts no new requests; not run.
    BROKEN = "broken"  # Connection lost, timed out or bad data.


class TargetError(Exception):
    """An exchange with a target that did not produce a complete answer.

    Attributes:
        kind: how the exchange failed.
        detail: human-readable description.
    """

    def __init__(self, kind: FaultKind, detail: str):
        super().__init__(detail)
        self.kind = kind
        self.detail = detail


@dataclasses.dataclass(slots=True)
class HandOverTracker:
    """Records whether the sending of a request to a target has begun.

    Attributes:
        byte_handed_over: whether a connection to a target has begun to send the
            request, in any attempt. The target may have received bytes of it.
    """

    byte_handed_over: bool = False

    async def trace(self, event: str, info: dict[str, Any]) -> None:
        """Trace callback for the HTTP library."""
        del info
        if event == HANDED_OVER_EVENT:
            self.byte_handed_over = True


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRequest:
    """A request as it is sent to a target.

    Attributes:
        target_request_id: the request id sent to the target, which repeats it
            in each piece of the answer.
        workspace: workspace of the request; not sent to model engines.
        call: name of the call; not sent to model engines.
        input: arguments of the call.
        is_idempotent: whether the request may be repeated.
        offset: where to start in the answer, in bytes of UTF-8; not sent to
            plain services.
    """

    target_request_id: str
    workspace: str
    call: str
    input: dict[str, Any]
    is_idempotent: bool
    offset: int = 0


class Load(msgspec.Struct, frozen=True):
    """A reading of a target's load.

    Attributes:
        running: number of requests that run.
        waiting: number of requests that wait at the target.
        draining: whether the target accepts no new requests.
    """

    running: int
    waiting: int
    draining: bool


class _DrainResponse(msgspec.Struct):
    draining: bool


class _Event(msgspec.Struct):
    type: str
    request_id: str
    offset: int = 0
    text: str = ""
    tokens: float = 0.0
    length: int = 0
    sha256: str = ""


class _PlainResponse(msgspec.Struct):
    request_id: str
    output: str
    length: int
    sha256: str
    busy_ms: float


class TargetClient:
    """Calls targets and owns the connections to them.

    Attributes:
        pooled: client that reuses connections.
        single_use: client that opens a connection for each request.
    """

    def __init__(
        self,
        limits: settings_lib.Limits,
        open_http: environment.OpenHttp,
    ):
        timeout = httpx.Timeout(
            limits.stream_idle_s, connect=limits.connect_timeout_s, pool=None
        )
        self.pooled = open_http(
            timeout,
            httpx.Limits(
                max_connections=None,
                max_keepalive_connections=MAX_IDLE_CONNECTIONS,
                keepalive_expiry=IDLE_CONNECTION_LIFETIME_S,
            ),
        )
        # Requests that must not be repeated get a new connection each: a
        # reused one may be dead without either end having noticed, and the
        # request could then not be retried.
        self.single_use = open_http(
            timeout,
            httpx.Limits(max_connections=None, max_keepalive_connections=0),
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self.pooled.aclose()
        await self.single_use.aclose()

    async def run(
        self,
        target: catalogue_lib.Target,
        kind: catalogue_lib.ServiceKind,
        request: TargetRequest,
        hand_over: HandOverTracker,
    ) -> AsyncIterator[answers.Piece]:
        """Runs a request; yields the pieces of the answer as they arrive.

        Args:
            target: where to run the request.
            kind: the target's kind of service; determines the protocol.
            request: the request.
            hand_over: updated when the sending of the request begins.

        Raises:
            TargetError: the target can't be reached, answered with an error,
                or its answer can't be read.
        """
        run_for_kind = _RUNNERS[kind]
        try:
            async for piece in run_for_kind(self, target, request, hand_over):
                yield piece
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise TargetError(FaultKind.UNREACHABLE, repr(error)) from error
        except (
            httpx.HTTPError,
            httpx_sse.SSEError,
            msgspec.DecodeError,
        ) as error:
            raise TargetError(FaultKind.BROKEN, repr(error)) from error

    async def cancel(
        self, target: catalogue_lib.Target, target_request_id: str
    ) -> None:
        """Asks a model engine to stop a request; errors are ignored."""
        url = f"{target.url}/v1/cancel"
        try:
            await self.pooled.post(url, json={"request_id": target_request_id})
        except httpx.HTTPError:
            return

    async def read_load(self, target: catalogue_lib.Target) -> Load | None:
        """Returns the load of a target, or None if it can't be read."""
        try:
            response = await self.pooled.get(
                f"{target.url}/v1/load", timeout=LOAD_TIMEOUT_S
            )
            return msgspec.json.decode(response.content, type=Load)
        except (httpx.HTTPError, msgspec.DecodeError):
            return None

    def _choose_client(self, request: TargetRequest) -> httpx.AsyncClient:
        return self.pooled if request.is_idempotent else self.single_use


async def _run_model(
    client: TargetClient,
    target: catalogue_lib.Target,
    request: TargetRequest,
    hand_over: HandOverTracker,
) -> AsyncIterator[answers.Piece]:
    body = {
        **request.input,
        "request_id": request.target_request_id,
        "offset": request.offset,
        "stream": True,
    }
    async with httpx_sse.aconnect_sse(
        client._choose_client(request),
        "POST",
        f"{target.url}/v1/generate",
        json=body,
        extensions={"trace": hand_over.trace},
    ) as source:
        await _check_status(source.response)
        async for event in source.aiter_sse():
            yield _build_piece(msgspec.json.decode(event.data, type=_Event))


async def _run_plain(
    client: TargetClient,
    target: catalogue_lib.Target,
    request: TargetRequest,
    hand_over: HandOverTracker,
) -> AsyncIterator[answers.Piece]:
    body = {
        "request_id": request.target_request_id,
        "workspace": request.workspace,
        "arguments": request.input,
    }
    response = await client._choose_client(request).post(
        f"{target.url}/v1/calls/{request.call}",
        json=body,
        extensions={"trace": hand_over.trace},
    )
    await _check_status(response)
    whole = msgspec.json.decode(response.content, type=_PlainResponse)
    cost = whole.busy_ms
    yield answers.Chunk(whole.request_id, 0, whole.output, cost)
    yield answers.EndMark(whole.request_id, whole.length, whole.sha256, cost)


_RUNNERS = {
    catalogue_lib.ServiceKind.MODEL: _run_model,
    catalogue_lib.ServiceKind.PLAIN: _run_plain,
}


async def _check_status(response: httpx.Response) -> None:
    if response.is_success:
        return
    await response.aread()
    detail = f"status {response.status_code}: {response.text[:200]}"
    if _is_draining_response(response):
        raise TargetError(FaultKind.DRAINING, detail)
    raise TargetError(FaultKind.ERROR_ANSWER, detail)


def _is_draining_response(response: httpx.Response) -> bool:
    if response.status_code != httpx.codes.SERVICE_UNAVAILABLE:
        return False
    try:
        decoded = msgspec.json.decode(response.content, type=_DrainResponse)
    except (msgspec.DecodeError, RecursionError):
        return False
    return decoded.draining


def _build_piece(event: _Event) -> answers.Piece:
    if event.type == "end":
        return answers.EndMark(
            event.request_id, event.length, event.sha256, event.tokens
        )
    return answers.Chunk(
        event.request_id, event.offset, event.text, event.tokens
    )
