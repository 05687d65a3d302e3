"""The caller's side of a request, over ASGI."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from lentilbeam_router.forwarding import wire as wire_lib

Send = Callable[[dict[str, Any]], Awaitable[None]]
WriteRefusal = Callable[[str, float | None], wire_lib.RawHeaders]


class AnswerAbortedError(Exception):
    """Ends a connection whose answer can't be completed.

    The server closes the connection without marking the answer's end.
    """


class CallerChannel:
    """Passes one answer to a caller.

    Attributes:
        is_started: whether the answer's head was sent.
        is_cut: whether the answer has to be cut off.
        is_closing: tells whether callers are to close their connections.
    """

    def __init__(
        self,
        send: Send,
        name: str,
        write_refusal: WriteRefusal,
        is_closing: Callable[[], bool],
    ):
        self.send = send
        self.name = name
        self.write_refusal = write_refusal
        self.is_closing = is_closing
        self.is_started = False
        self.is_aborted = False

    async def start(self, status: int, headers: wire_lib.RawHeaders) -> None:
        """Sends the head."""
        self.is_started = True
        listed = list(headers)
        if self.is_closing():
            listed.append((b"connection", b"close"))
        await self.send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": listed,
            }
        )

    async def write(self, data: bytes) -> None:
        """Sends a part of the body."""
        await self.send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self) -> None:
        """Marks the end of a whole answer."""
        await self.send({"type": "http.response.body", "body": b""})

    def abort(self) -> None:
        """Has the connection closed without an end of the answer."""
        self.is_aborted = True

    async def answer(
        self, status: int, retry_after_s: float | None = None
    ) -> None:
        """Sends an own answer without a body."""
        headers = self.write_refusal(self.name, retry_after_s)
        await self.start(status, (*headers, (b"content-length", b"0")))
        await self.finish()
