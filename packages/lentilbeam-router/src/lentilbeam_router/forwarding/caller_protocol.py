"""HTTP server protocol that knows when a caller's request may have arrived."""

import functools

from uvicorn.protocols.http import httptools_impl

from lentilbeam_core.forwarding import poll_times as poll_times_lib

ARRIVED_AFTER = "arrived_after"
"""Key, in the state of an ASGI scope, of the earliest time at which the request
may have arrived, in monotonic seconds."""
POLLS_TO_CONNECTION = 2
"""Polls between the one that returned a new connection and `connection_made`.
asyncio accepts it in one iteration of the loop and opens its transport in the
next."""


class CallerProtocol(httptools_impl.HttpToolsProtocol):
    """A connection of a caller.

    Attributes:
        poll_times: times of the event loop's polls.
        unread_since: earliest time at which the bytes that are read next may
            have arrived, monotonic seconds; None if it is that of the last
            poll.
    """

    def __init__(self, poll_times: poll_times_lib.PollTimes, **arguments):
        super().__init__(**arguments)
        self.poll_times = poll_times
        self.unread_since: float | None = None

    def connection_made(self, transport) -> None:
        """Notes when the connection may have been opened (see asyncio)."""
        super().connection_made(transport)
        before = self.poll_times.before_read_until
        self.unread_since = before[POLLS_TO_CONNECTION - 1]

    def data_received(self, data: bytes) -> None:
        """Parses received bytes (called by asyncio)."""
        if self.unread_since is None:
            self.unread_since = self.poll_times.read_until
        super().data_received(data)
        self.unread_since = None

    def on_message_begin(self) -> None:
        """Adds the time of arrival to the scope (called by the parser)."""
        super().on_message_begin()
        self.scope["state"][ARRIVED_AFTER] = self.unread_since


def build_factory(poll_times: poll_times_lib.PollTimes):
    """Returns the protocol factory for the configuration of uvicorn."""
    return functools.partial(CallerProtocol, poll_times)
