"""Sends the response of one request to its caller, over ASGI."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from lentilbeam_router.forwarding import wire as wire_lib

REFUSED = 503
"""Status of a response that refuses a request as not run."""
FIRST_FAILURE = 400
"""Lowest status of a response that tells of a failure."""

Send = Callable[[dict[str, Any]], Awaitable[None]]
BuildOwnHeaders = Callable[[str, float | None], wire_lib.RawHeaders]
BeforeEnd = Callable[[], Awaitable[None]]


class ResponseAbortedError(Exception):
    """A response that has begun can't be completed.

    The ASGI server then closes the connection without the end of the body, so
    that the caller notices the failure.
    """


class AlreadyStartedError(Exception):
    """A second response was about to begin where one has begun."""


class CallerChannel:
    """Sends one response to a caller.

    Attributes:
        send: the ASGI send callable.
        request_id: request ID; empty while it is unknown.
        build_own_headers: builds the headers of a response that the router
            itself generates; see `wire.Codec`.
        should_close: called for each response; returns whether to ask the
            caller to close the connection.
        is_started: whether the response head was sent.
        status: HTTP status of the response; 0 before its head was sent.
        is_aborted: whether the response can't be completed.
    """

    def __init__(
        self,
        send: Send,
        request_id: str,
        build_own_headers: BuildOwnHeaders,
        should_close: Callable[[], bool],
    ):
        self.send = send
        self.request_id = request_id
        self.build_own_headers = build_own_headers
        self.should_close = should_close
        self.is_started = False
        self.status = 0
        self.is_aborted = False

    @property
    def is_served(self) -> bool:
        """Whether the response is a successful one and not aborted."""
        return 0 < self.status < FIRST_FAILURE and not self.is_aborted

    async def start(self, status: int, headers: wire_lib.RawHeaders) -> None:
        """Sends the response head.

        Raises:
            AlreadyStartedError: it was sent before.
        """
        if self.is_started:
            raise AlreadyStartedError(f"{status} after {self.status}")
        self.is_started = True
        self.status = status
        listed = list(headers)
        if self.should_close():
            listed.append((b"connection", b"close"))
        await self.send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": listed,
            }
        )

    async def write(self, data: bytes) -> None:
        """Sends a chunk of the body."""
        await self.send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self) -> None:
        """Completes the response."""
        await self.send({"type": "http.response.body", "body": b""})

    def abort(self) -> None:
        """Marks the response as incomplete; the connection is then closed."""
        self.is_aborted = True

    async def respond(
        self,
        status: int,
        retry_after_s: float | None = None,
        before_end: BeforeEnd | None = None,
    ) -> None:
        """Sends a whole response with an empty body.

        A refusal also asks the caller to close its connection: the next one
        goes to any router, which spreads a flood that comes over few
        connections, and connections that callers have left don't pile up.

        Args:
            status: HTTP status.
            retry_after_s: seconds after which the caller may retry; None to
                send no `Retry-After` header.
            before_end: called when the response was sent and before the
                connection may be closed.
        """
        headers = self.build_own_headers(self.request_id, retry_after_s)
        headers = (*headers, (b"content-length", b"0"))
        if status == REFUSED and not self.should_close():
            headers = (*headers, (b"connection", b"close"))
        await self.start(status, headers)
        if before_end is not None:
            await before_end()
        await self.finish()
