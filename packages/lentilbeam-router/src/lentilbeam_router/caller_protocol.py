"""HTTP server protocol that limits callers and tells when they come and leave.

The ASGI server itself tells the application only after several iterations of
the event loop that a caller has left, and it bounds nothing that callers send
but the bodies of requests.
"""

from collections.abc import Callable
import dataclasses
import functools
from typing import Any

from uvicorn.protocols.http import httptools_impl

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import poll_times as poll_times_lib
from lentilbeam_router import caller_connections

CALLER = "caller"
"""Key of the `Caller` in the state of an ASGI scope."""
POLLS_TO_CONNECTION = 2
"""Polls between the one that returned a new connection and `connection_made`.
asyncio accepts it in one iteration of the loop and opens its transport in the
next."""
PIECE_BYTES = 4096
"""Bytes that are parsed before the limits are checked again. One piece may hold
many short requests or headers."""
SLACK_BYTES = 1024
"""Bytes by which a head may exceed its limit, for the empty lines before it and
the framing of the first chunks."""
CHUNK_FRAMING = 16
"""Bytes of framing that a byte of a chunked body may come with: each may be a
chunk of its own, with a short extension."""
HEAD_COPIES = 20
"""Memory that a byte of a head may take while it is parsed, in bytes: headers
may have one character each."""
HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)
UNFINISHED_PHASES = frozenset(
    {caller_connections.Phase.HEAD, caller_connections.Phase.BODY}
)


@dataclasses.dataclass(slots=True)
class Caller:
    """The caller of one request.

    Attributes:
        arrived_after: earliest time at which its request may have arrived,
            monotonic seconds.
        has_left: whether its connection was closed.
        head_bytes: size of the names and values of its headers.
        on_left: called when the connection is closed; None if not set.
    """

    arrived_after: float
    has_left: bool = False
    head_bytes: int = 0
    on_left: Callable[[], object] | None = None

    def note_left(self) -> None:
        """Records that the connection was closed."""
        self.has_left = True
        if self.on_left is not None:
            self.on_left()


class CallerProtocol(httptools_impl.HttpToolsProtocol):
    """A connection of a caller.

    All bytes of callers pass through `data_received`. It gives them to the
    parser in small pieces, and no request before the one ahead of it has been
    answered, so that the limits bound what a connection can take.

    Attributes:
        poll_times: times of the event loop's polls.
        table: all open connections and their limits.
        unread_since: earliest time at which the bytes that are read next may
            have arrived, monotonic seconds; None if it is that of the last
            poll.
        caller: caller of the newest request; None before the first.
        initial_data: bytes that were read before the connection was opened.
        phase: see `caller_connections.Connection`, as the next four.
        phase_since: since when, monotonic seconds.
        write_paused_since: since when nothing more can be sent.
        charged_bytes: what the table knows of `measure`.
        has_served: whether a request was answered.
        framing_bytes: bytes of the current request that are no body.
        framing_allowed: how many of these the chunks read so far may take
            besides the head.
        body_left: bytes of the body that are still to come; 0 if unknown.
        is_in_body: whether a head was read and its message has not ended.
        held: bytes behind a request that is not answered yet.
        held_since: when the first of them were received, monotonic seconds.
    """

    def __init__(
        self,
        poll_times: poll_times_lib.PollTimes,
        connections: caller_connections.CallerConnections,
        **arguments,
    ):
        super().__init__(**arguments)
        self.poll_times = poll_times
        self.table = connections
        self.unread_since: float | None = None
        self.caller: Caller | None = None
        self.initial_data = b""
        self.phase = caller_connections.Phase.IDLE
        self.phase_since = connections.clock.monotonic()
        self.write_paused_since: float | None = None
        self.charged_bytes = 0
        self.has_served = False
        self.framing_bytes = 0
        self.framing_allowed = 0
        self.body_left = 0
        self.is_in_body = False
        self.held = b""
        self.held_since = 0.0

    def connection_made(self, transport) -> None:
        """Notes when the connection may have been opened (see asyncio)."""
        super().connection_made(transport)
        self.table.add(self)
        if self.unread_since is None:
            before = self.poll_times.before_read_until
            self.unread_since = before[POLLS_TO_CONNECTION - 1]
        if self.initial_data:
            self.data_received(self.initial_data)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes (called by asyncio)."""
        if self.unread_since is None:
            self.unread_since = self.poll_times.read_until
        self._read(data)
        self.unread_since = None

    def _read(self, data: bytes) -> None:
        """Parses bytes piece by piece, until a limit is reached."""
        at = 0
        while at < len(data) and not self.transport.is_closing():
            self._update_phase()
            if self.phase is caller_connections.Phase.DISCARDING:
                break
            if self.phase is caller_connections.Phase.SERVING:
                self._hold(data[at:])
                break
            size = self._find_piece_size(len(data) - at)
            piece = data if size == len(data) else data[at : at + size]
            at += size
            self.framing_bytes += size
            super().data_received(piece)
            limit = self.table.settings.head_bytes
            if self.framing_bytes > limit + self.framing_allowed + SLACK_BYTES:
                self._refuse_head()
                break
        self._update_phase()
        self._charge()

    def _find_piece_size(self, available: int) -> int:
        """Returns how many bytes are parsed before limits are checked."""
        if self.is_in_body and self.body_left:
            return min(available, self.body_left)
        return min(available, PIECE_BYTES)

    def _hold(self, data: bytes) -> None:
        """Keeps bytes until the request ahead of them is answered.

        No more are read meanwhile, but for those that asyncio reads at once
        and what comes before the application waits for the caller to leave.
        """
        if not self.cycle.keep_alive:
            return
        if not self.held:
            self.held_since = self.unread_since
        self.held += data
        self.flow.pause_reading()

    def _refuse_head(self) -> None:
        """Refuses a request that is not read to the end of its head."""
        phase = self.phase
        if self.is_in_body:
            # The application may be about to answer.
            self.transport.abort()
        else:
            self.transport.write(HEAD_TOO_LARGE)
            self.transport.close()
        self.table.on_close(caller_connections.CloseReason.HEAD_BYTES, phase)

    def _update_phase(self) -> None:
        phase = self._find_phase()
        if phase is not self.phase:
            self.phase = phase
            self.phase_since = self.table.clock.monotonic()

    def _find_phase(self) -> caller_connections.Phase:
        if self.transport.is_closing():
            return caller_connections.Phase.CLOSING
        cycle = self.cycle
        if cycle is not None and not cycle.response_complete:
            if self.is_in_body and not self.pipeline:
                return caller_connections.Phase.BODY
            return caller_connections.Phase.SERVING
        if self.is_in_body:
            return caller_connections.Phase.DISCARDING
        if self.framing_bytes or self.held:
            return caller_connections.Phase.HEAD
        return caller_connections.Phase.IDLE

    def measure(self) -> int:
        """Returns the bytes of requests that the application hasn't taken."""
        size = len(self.held)
        if self.phase in UNFINISHED_PHASES:
            size += HEAD_COPIES * max(self.framing_bytes, 0)
        if self.cycle is not None and not self.cycle.response_complete:
            size += len(self.cycle.body)
        return size

    @property
    def is_evictable(self) -> bool:
        """Whether `release` gives memory back."""
        return (
            self.phase is not caller_connections.Phase.SERVING
            or self._is_untaken
            or bool(self.held)
        )

    @property
    def _is_untaken(self) -> bool:
        """Whether the application hasn't taken the whole body."""
        return bool(self.cycle.body) and not self.pipeline

    def _charge(self) -> None:
        """Tells the table what the connection takes."""
        size = self.measure()
        if size != self.charged_bytes:
            self.table.charge(self, size)

    def release(self) -> None:
        """Gives back the memory of what the application hasn't taken.

        The connection is closed: at once, or after the answer that is due.
        """
        self.held = b""
        is_serving = self.phase is caller_connections.Phase.SERVING
        if is_serving and not self._is_untaken:
            self.cycle.keep_alive = False
        else:
            self.end()

    def end(self) -> None:
        """Closes the connection at once."""
        self.held = b""
        if self.cycle is not None:
            self.cycle.body = bytearray()
        if self.has_served and self.phase is caller_connections.Phase.IDLE:
            self.transport.close()
        else:
            self.transport.abort()
        self._update_phase()

    def pause_writing(self) -> None:
        """Notes that the caller reads too slowly (called by asyncio)."""
        self.write_paused_since = self.table.clock.monotonic()
        super().pause_writing()

    def resume_writing(self) -> None:
        """Notes that the caller has read enough (called by asyncio)."""
        self.write_paused_since = None
        super().resume_writing()

    def eof_received(self) -> None:
        """Notes that the caller has closed (called by asyncio)."""
        self._note_left()
        super().eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notes that the connection has ended (called by asyncio)."""
        self._note_left()
        self.held = b""
        self.table.remove(self)
        super().connection_lost(exc)

    def on_message_begin(self) -> None:
        """Adds the caller to the scope (called by the parser)."""
        super().on_message_begin()
        self.caller = Caller(self.unread_since)
        self.scope["state"][CALLER] = self.caller

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps a header; trailers are dropped (called by the parser)."""
        if not self.is_in_body:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Starts to serve a request (called by the parser)."""
        self.is_in_body = True
        self.body_left = 0
        self.framing_allowed = 0
        for name, value in self.headers:
            self.caller.head_bytes += len(name) + len(value)
            if name == b"content-length" and value.isdigit():
                self.body_left = int(value)
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Keeps a part of a body (called by the parser)."""
        self.framing_bytes -= len(body)
        self.body_left = max(self.body_left - len(body), 0)
        self.framing_allowed += CHUNK_FRAMING * len(body)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Notes that a request was read whole (called by the parser)."""
        self.is_in_body = False
        self.framing_bytes = 0
        self.framing_allowed = 0
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Goes on with what was held (called by the response)."""
        super().on_response_complete()
        self.has_served = True
        held, self.held = self.held, b""
        if held:
            self.unread_since = self.held_since
            self._read(held)
            self.unread_since = None
        self._update_phase()
        self._charge()

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


def build_factory(
    poll_times: poll_times_lib.PollTimes,
    connections: caller_connections.CallerConnections | None = None,
):
    """Returns the protocol factory for the configuration of uvicorn.

    Args:
        poll_times: times of the event loop's polls.
        connections: all connections of the process; None to begin with a
            table of its own and the limits by default.
    """
    if connections is None:
        connections = caller_connections.CallerConnections(
            caller_connections.Settings(), clock_lib.SystemClock()
        )
    return functools.partial(CallerProtocol, poll_times, connections)
