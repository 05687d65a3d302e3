"""Adapter of targets: model engines and plain services.

Every piece of an answer is passed on as the target sent it, with its id and
offset; checking them is the caller's part (`relay`).
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
KEEPALIVE_S = 5.0
MAX_IDLE_CONNECTIONS = 8
"""The pool looks at all idle connections on each request."""

LOAD_TIMEOUT_S = 2.0


class FaultKind(enum.Enum):
    """How an exchange with a target went wrong."""

    UNREACHABLE = "unreachable"  # No connection was made.
    ERROR_ANSWER = "error_answer"  # The target answered with an error.
    DRAINING = "draining"  # The target is leaving and did not run anything.
    BROKEN = "broken"  # The connection broke, fell silent or made no sense.


class TargetError(Exception):
    """An exchange with a target that did not yield a whole answer."""

    def __init__(self, kind: FaultKind, detail: str):
        super().__init__(detail)
        self.kind = kind
        self.detail = detail


@dataclasses.dataclass(slots=True)
class HandOver:
    """Whether any byte of a request was handed to a target's connection."""

    has_happened: bool = False

    async def trace(self, event: str, info: dict[str, Any]) -> None:
        """Watches the HTTP library's events."""
        del info
        if event == HANDED_OVER_EVENT:
            self.has_happened = True


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRequest:
    """A request in the target's terms.

    Attributes:
        name: id that the target repeats on every piece of the answer.
        offset: where in the answer to start, in bytes of UTF-8.
    """

    name: str
    workspace: str
    call: str
    input: dict[str, Any]
    is_idempotent: bool
    offset: int = 0


class Load(msgspec.Struct, frozen=True):
    """A target's report of its own load."""

    running: int
    waiting: int
    draining: bool


class _DrainAnswer(msgspec.Struct):
    draining: bool


class _Event(msgspec.Struct):
    type: str
    request_id: str
    offset: int = 0
    text: str = ""
    tokens: float = 0.0
    length: int = 0
    sha256: str = ""


class _PlainAnswer(msgspec.Struct):
    request_id: str
    output: str
    length: int
    sha256: str
    busy_ms: float


class TargetClient:
    """Owns the connections to targets."""

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
                keepalive_expiry=KEEPALIVE_S,
            ),
        )
        # A fresh connection for each request that must not be repeated: a
        # kept one may have gone silent without either end knowing.
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
        hand_over: HandOver,
    ) -> AsyncIterator[answers.Piece]:
        """Runs a request; yields the answer's pieces as they come.

        Raises:
            TargetError: the answer did not come whole.
        """
        run_kind = _RUNNERS[kind]
        try:
            async for piece in run_kind(self, target, request, hand_over):
                yield piece
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise TargetError(FaultKind.UNREACHABLE, repr(error)) from error
        except (
            httpx.HTTPError,
            httpx_sse.SSEError,
            msgspec.DecodeError,
        ) as error:
            raise TargetError(FaultKind.BROKEN, repr(error)) from error

    async def cancel(self, target: catalogue_lib.Target, name: str) -> None:
        """Asks a model engine to stop a request; failure is harmless."""
        url = f"{target.url}/v1/cancel"
        try:
            await self.pooled.post(url, json={"request_id": name})
        except httpx.HTTPError:
            return

    async def read_load(self, target: catalogue_lib.Target) -> Load | None:
        """Returns the target's load, or None if it can't be read."""
        try:
            answer = await self.pooled.get(
                f"{target.url}/v1/load", timeout=LOAD_TIMEOUT_S
            )
            return msgspec.json.decode(answer.content, type=Load)
        except (httpx.HTTPError, msgspec.DecodeError):
            return None

    def _client(self, request: TargetRequest) -> httpx.AsyncClient:
        return self.pooled if request.is_idempotent else self.single_use


async def _run_model(
    client: TargetClient,
    target: catalogue_lib.Target,
    request: TargetRequest,
    hand_over: HandOver,
) -> AsyncIterator[answers.Piece]:
    body = {
        **request.input,
        "request_id": request.name,
        "offset": request.offset,
        "stream": True,
    }
    async with httpx_sse.aconnect_sse(
        client._client(request),
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
    hand_over: HandOver,
) -> AsyncIterator[answers.Piece]:
    body = {
        "request_id": request.name,
        "workspace": request.workspace,
        "arguments": request.input,
    }
    answer = await client._client(request).post(
        f"{target.url}/v1/calls/{request.call}",
        json=body,
        extensions={"trace": hand_over.trace},
    )
    await _check_status(answer)
    whole = msgspec.json.decode(answer.content, type=_PlainAnswer)
    cost = whole.busy_ms
    yield answers.Chunk(whole.request_id, 0, whole.output, cost)
    yield answers.EndMark(whole.request_id, whole.length, whole.sha256, cost)


_RUNNERS = {
    catalogue_lib.ServiceKind.MODEL: _run_model,
    catalogue_lib.ServiceKind.PLAIN: _run_plain,
}


async def _check_status(answer: httpx.Response) -> None:
    if answer.is_success:
        return
    await answer.aread()
    detail = f"status {answer.status_code}: {answer.text[:200]}"
    if _is_drain_answer(answer):
        raise TargetError(FaultKind.DRAINING, detail)
    raise TargetError(FaultKind.ERROR_ANSWER, detail)


def _is_drain_answer(answer: httpx.Response) -> bool:
    if answer.status_code != httpx.codes.SERVICE_UNAVAILABLE:
        return False
    try:
        decoded = msgspec.json.decode(answer.content, type=_DrainAnswer)
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
