"""HTTP server protocol that tells when callers' requests arrive and they leave.

The ASGI server itself tells the application only after several iterations of
the event loop that a caller has left.
"""

from collections.abc import Callable
import dataclasses
import functools
from typing import Any

from uvicorn.protocols.http import httptools_impl

from lentilbeam_core import poll_times as poll_times_lib

CALLER = "caller"
"""Key of the `Caller` in the state of an ASGI scope."""
POLLS_TO_CONNECTION = 2
"""Polls between the one that returned a new connection and `connection_made`.
asyncio accepts it in one iteration of the loop and opens its transport in the
next."""


@dataclasses.dataclass(slots=True)
class Caller:
    """The caller of one request.

    Attributes:
        arrived_after: earliest time at which its request may have arrived,
            monotonic seconds.
        has_left: whether its connection was closed.
        on_left: called when the connection is closed; None if not set.
    """

    arrived_after: float
    has_left: bool = False
    on_left: Callable[[], object] | None = None

    def note_left(self) -> None:
        """Records that the connection was closed."""
        self.has_left = True
        if self.on_left is not None:
            self.on_left()


class CallerProtocol(httptools_impl.HttpToolsProtocol):
    """A connection of a caller.

    Attributes:
        poll_times: times of the event loop's polls.
        unread_since: earliest time at which the bytes that are read next may
            have arrived, monotonic seconds; None if it is that of the last
            poll.
        caller: caller of the newest request; None before the first.
        initial_data: bytes that were read before the connection was opened.
    """

    def __init__(self, poll_times: poll_times_lib.PollTimes, **arguments):
        super().__init__(**arguments)
        self.poll_times = poll_times
        self.unread_since: float | None = None
        self.caller: Caller | None = None
        self.initial_data = b""

    def connection_made(self, transport) -> None:
        """Notes when the connection may have been opened (see asyncio)."""
        super().connection_made(transport)
        if self.unread_since is None:
            before = self.poll_times.before_read_until
            self.unread_since = before[POLLS_TO_CONNECTION - 1]
        if self.initial_data:
            self.data_received(self.initial_data)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes (called by asyncio)."""
        if self.unread_since is None:
            self.unread_since = self.poll_times.read_until
        super().data_received(data)
        self.unread_since = None

    def eof_received(self) -> None:
        """Notes that the caller has closed (called by asyncio)."""
        self._note_left()
        super().eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notes that the connection has ended (called by asyncio)."""
        self._note_left()
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        """Adds the caller to the scope (called by the parser)."""
        super().on_message_begin()
        self.caller = Caller(self.unread_since)
        self.scope["state"][CALLER] = self.caller

    def _note_left(self) -> None:
        if self.caller is not None and not self.caller.has_left:
            self.caller.note_left()


def read_caller(scope: dict[str, Any], now: float) -> Caller:
    """Returns the caller of a request.

    Args:
        scope: ASGI scope of the request.
        now: monotonic seconds; counts as the time of arrival if the server
            doesn't tell it.
    """
    return scope.get("state", {}).get(CALLER) or Caller(now)


def build_factory(poll_times: poll_times_lib.PollTimes):
    """Returns the protocol factory for the configuration of uvicorn."""
    return functools.partial(CallerProtocol, poll_times)
