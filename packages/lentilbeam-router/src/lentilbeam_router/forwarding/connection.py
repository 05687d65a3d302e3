"""HTTP/1.1 connections to targets, on asyncio and the llhttp parser.

Uses httptools because the general HTTP client httpx takes 417 to 610 us for
each relayed chunk (see docs/CAPACITY.md), more than a router can spend on an
event of a stream. httptools parses the same response in a few microseconds and
also detects data that is received when no response is expected.
"""

import array
import asyncio
import collections
import dataclasses
import fcntl
import http
import socket
import termios

import httptools

from lentilbeam_core import clock as clock_lib
from lentilbeam_core.forwarding import memory_budget
from lentilbeam_router.forwarding import wire

CONNECT_TIMEOUT_S = 0.8
"""Longest time to open a connection, in seconds. Targets in other data centres
accept connections within milliseconds."""
UNACKED_TIMEOUT_MS = 1500
"""Time for which sent bytes may stay unacknowledged before the system closes
the connection. This detects connections that no longer carry data."""
KEEPALIVE_IDLE_S = 1
"""Idle time after which the system sends keepalive probes."""
KEEPALIVE_INTERVAL_S = 1
"""Time between two keepalive probes."""
KEEPALIVE_PROBES = 2
"""Unanswered probes after which the system closes the connection."""
KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS),
)
"""TCP socket options that let the system detect an unreachable peer."""
MAX_INBOX_BYTES = 65_536
"""Reading from the socket pauses while the inbox has this many bytes."""
MAX_UNPRODUCTIVE_BYTES = 65_536
"""Longest run of received bytes that yields neither the head of a response nor
a part of its body. A target that sends more does not speak HTTP properly."""
FINAL_STATUSES = range(200, 600)
"""Status codes of final responses (RFC 9110, section 15)."""
MAX_IDLE_S = 4.0
"""Longest time for which an idle connection is kept. A shorter timeout in the
target's `Keep-Alive` header takes precedence."""
MAX_NAMED_IDLE_S = 30.0
"""The same in a large fleet, where each connection is used rarely, for targets
that name their timeout. Keepalive probes end idle connections to targets that
can't be reached."""


@dataclasses.dataclass(frozen=True, slots=True)
class IdleLimits:
    """How long a connection is kept idle.

    Attributes:
        max_named_s: longest time if the target names its timeout in its
            `Keep-Alive` header, in seconds.
        margin_s: time before the target would close it from which it isn't
            reused any more, in seconds.
    """

    max_named_s: float = MAX_IDLE_S
    margin_s: float = 1.0


LARGE_FLEET_LIMITS = IdleLimits(max_named_s=MAX_NAMED_IDLE_S, margin_s=0.5)
"""Limits where each connection is used rarely. Timeouts are named in whole
seconds, and 1 s of 3 s would be much. Requests take milliseconds to their
target, and a router that is later than 0.4 s refuses them."""


class ConnectFailedError(Exception):
    """A connection couldn't be opened; no request was sent."""


class BrokenError(Exception):
    """The connection failed before the whole response was received."""


class InvalidResponseError(Exception):
    """The target sent bytes that are no response."""


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Status and headers of a response."""

    status: int
    headers: wire.RawHeaders


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """The whole response was received.

    Attributes:
        is_by_close: whether only the end of the connection showed it.
    """

    is_by_close: bool = False


Item = Head | bytes | End


class TargetConnection(asyncio.Protocol):
    """A connection that carries one request at a time.

    Attributes:
        clock: source of monotonic time.
        transport: None until the connection is open.
        inbox: parts of the response that `receive` hasn't returned yet.
        inbox_bytes: body bytes in `inbox`.
        memory: counts these bytes; None if they aren't counted.
        unproductive_bytes: bytes received since the last part of the response
            was delivered.
        wakeup: future that a waiting `receive` awaits; None if none waits.
        parser: parser of the current response; None before the first request.
        headers: headers of the current response as far as received.
        has_head: whether the final response head was received.
        has_body_framing: whether the response has a `Content-Length` or
            `Transfer-Encoding` header. Else its body ends with the connection.
        is_complete: whether the whole response was received.
        is_broken: whether the connection was closed or failed.
        is_invalid: whether it was closed because of invalid bytes.
        may_reuse: whether the target keeps the connection open.
        idle_limits: how long the connection is kept idle.
        idle_since: when the last response was complete, monotonic seconds.
        reusable_until: when an idle connection expires, monotonic seconds.
        process_start_ms: when the process at the other end started, Unix
            milliseconds; 0 if it hasn't told.
    """

    def __init__(self, clock: clock_lib.Clock):
        self.clock = clock
        self.transport: asyncio.Transport | None = None
        self.inbox: collections.deque[Item] = collections.deque()
        self.inbox_bytes = 0
        self.memory: memory_budget.MemoryBudget | None = None
        self.unproductive_bytes = 0
        self.wakeup: asyncio.Future | None = None
        self.parser: httptools.HttpResponseParser | None = None
        self.headers: list[tuple[bytes, bytes]] = []
        self.has_head = False
        self.has_body_framing = False
        self.is_complete = False
        self.is_broken = False
        self.is_invalid = False
        self.may_reuse = False
        self.idle_limits = IdleLimits()
        self.idle_since = 0.0
        self.reusable_until = 0.0
        self.process_start_ms = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Sets the options that detect a dead peer (called by asyncio)."""
        self.transport = transport
        set_socket_options(transport.get_extra_info("socket"))

    def start(self, payload: bytes) -> None:
        """Sends a request, given as the bytes of its head and body."""
        self.parser = httptools.HttpResponseParser(self)
        self.discard_inbox()
        self.unproductive_bytes = 0
        self.has_head = False
        self.has_body_framing = False
        self.is_complete = False
        self.may_reuse = False
        self.headers = []
        self.transport.write(payload)

    async def receive(self) -> Item:
        """Returns the next part of the response.

        Parts of the body that were received meanwhile are returned as one: a
        router that falls behind then passes them on with fewer writes.

        Raises:
            BrokenError: the connection failed, and all parts received before
                have been returned.
            InvalidResponseError: the same, because of invalid bytes.
        """
        while not self.inbox:
            if self.is_invalid:
                raise InvalidResponseError("bytes that are no response")
            if self.is_broken:
                raise BrokenError("connection closed before end of response")
            self.wakeup = asyncio.get_running_loop().create_future()
            try:
                await self.wakeup
            finally:
                self.wakeup = None
        item = self.inbox.popleft()
        if isinstance(item, bytes):
            if self.inbox and isinstance(self.inbox[0], bytes):
                parts = [item]
                while self.inbox and isinstance(self.inbox[0], bytes):
                    parts.append(self.inbox.popleft())
                item = b"".join(parts)
            self._count_inbox(-len(item))
            if self.inbox_bytes < self._max_inbox_bytes and not self.is_broken:
                self.transport.resume_reading()
        return item

    def is_reusable(self, now: float) -> bool:
        """Whether another request can be sent on this connection.

        Args:
            now: monotonic seconds.
        """
        return (
            self.is_complete
            and self.may_reuse
            and not self.is_broken
            and now < self.reusable_until
            and self.transport.get_write_buffer_size() == 0
            and not self.transport.is_closing()
        )

    def discard_inbox(self) -> None:
        """Drops the parts of the response that nobody will receive."""
        self.inbox.clear()
        self._count_inbox(-self.inbox_bytes)

    @property
    def _max_inbox_bytes(self) -> int:
        if self.memory is None:
            return MAX_INBOX_BYTES
        return self.memory.limit_inbox(MAX_INBOX_BYTES)

    def _count_inbox(self, size: int) -> None:
        self.inbox_bytes += size
        if self.memory is not None:
            self.memory.add(size)

    def close(self) -> None:
        """Closes the connection at once; discards data that isn't sent yet."""
        self.is_broken = True
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; closes the connection on unexpected ones."""
        if self.parser is None or self.is_complete:
            self.close()
            return
        self.unproductive_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.is_invalid = True
        if self.unproductive_bytes > MAX_UNPRODUCTIVE_BYTES:
            self.is_invalid = True
        if self.is_invalid:
            self._fail()

    def eof_received(self) -> bool:
        """Completes a response whose body ends with the connection.

        One that ends before the target has received the whole request was
        broken off: a target that reads on closes only after that.
        """
        if self.has_head and not self.has_body_framing and not self.is_complete:
            if count_unsent(self.transport) > 0:
                self._fail()
                return False
            self.may_reuse = False
            self.is_complete = True
            self._deliver(End(is_by_close=True))
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Wakes a waiting reader (called by asyncio)."""
        del exc
        self._fail()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header (called by the parser)."""
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Delivers the head unless it is an interim one (parser callback)."""
        status = self.parser.get_status_code()
        if is_interim(status):
            return
        if status not in FINAL_STATUSES:
            self.is_invalid = True
            return
        self.has_head = True
        header_names = {name.lower() for name, _ in self.headers}
        self.has_body_framing = bool(
            header_names & {b"content-length", b"transfer-encoding"}
        )
        self._deliver(Head(status, tuple(self.headers)))

    def on_body(self, body: bytes) -> None:
        """Delivers a chunk of the body (called by the parser)."""
        if self.is_invalid:
            return
        if self.is_complete:
            self.may_reuse = False
            return
        self._count_inbox(len(body))
        if self.inbox_bytes >= self._max_inbox_bytes:
            self.transport.pause_reading()
        self._deliver(body)

    def on_message_begin(self) -> None:
        """Detects bytes after a complete response (called by the parser)."""
        if self.is_complete:
            self.is_broken = True

    def on_message_complete(self) -> None:
        """Delivers the end of the response (called by the parser)."""
        if not self.has_head or self.is_invalid:
            self.headers = []
            return
        if self.is_complete:
            return
        self.is_complete = True
        self.may_reuse = self.parser.should_keep_alive()
        idle_limit_s = _read_idle_limit(self.headers, self.idle_limits)
        self.idle_since = self.clock.monotonic()
        self.reusable_until = self.idle_since + idle_limit_s
        self._deliver(End())

    def _deliver(self, item: Item) -> None:
        self.unproductive_bytes = 0
        self.inbox.append(item)
        self._wake_reader()

    def _fail(self) -> None:
        self.is_broken = True
        if self.transport is not None and not self.transport.is_closing():
            self.transport.abort()
        self._wake_reader()

    def _wake_reader(self) -> None:
        if self.wakeup is not None and not self.wakeup.done():
            self.wakeup.set_result(None)


def is_interim(status: int) -> bool:
    """Whether another head follows; no request asks to switch protocols."""
    return 100 <= status < 200 and status != http.HTTPStatus.SWITCHING_PROTOCOLS


def count_unsent(transport: asyncio.Transport) -> int:
    """Returns the bytes written that the other side hasn't acknowledged.

    Those in the buffer of the system count if it tells them.
    """
    unsent = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if unsent or sock is None:
        return unsent
    queued = array.array("i", [0])
    try:
        fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, queued)
    except OSError:
        return 0
    return queued[0]


def set_socket_options(sock: socket.socket) -> None:
    """Sets TCP_NODELAY and the options that detect an unreachable peer."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for level, option, value in KEEPALIVE_OPTIONS:
        sock.setsockopt(level, option, value)


async def connect(
    host: str, port: int, clock: clock_lib.Clock
) -> TargetConnection:
    """Opens a connection to a target.

    Args:
        host: IP address.
        port: TCP port.
        clock: source of monotonic time for the connection.

    Raises:
        ConnectFailedError: the connection was refused, the host is
            unreachable or `CONNECT_TIMEOUT_S` passed.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(
                lambda: TargetConnection(clock), host, port
            )
    except (OSError, TimeoutError) as error:
        raise ConnectFailedError(repr(error)) from error
    return connection


def _read_idle_limit(
    headers: list[tuple[bytes, bytes]], limits: IdleLimits
) -> float:
    for name, value in headers:
        if name.lower() != b"keep-alive":
            continue
        for item in value.lower().split(b","):
            directive, _, seconds = item.strip().partition(b"=")
            if directive == b"timeout" and seconds.strip().isdigit():
                idle_limit_s = float(seconds) - limits.margin_s
                return min(idle_limit_s, limits.max_named_s)
    return MAX_IDLE_S
