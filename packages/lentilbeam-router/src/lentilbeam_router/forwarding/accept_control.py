"""Accepts the connections of callers, at a bounded rate while overloaded.

Connections that aren't accepted wait in the accept queue of the listening
socket, where they take no processor time.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import enum
import socket
import struct

from lentilbeam_core import clock as clock_lib
from lentilbeam_router import caller_connections
from lentilbeam_router import caller_protocol
from lentilbeam_router.forwarding import decision_log
from lentilbeam_router.forwarding import early_refusal
from lentilbeam_router.forwarding import overload as overload_lib
from lentilbeam_router.forwarding import turns as turns_lib

BACKLOG = 512
"""Length of the queue of connections that aren't accepted yet, and the largest
number that is accepted in one iteration of the event loop."""
PAUSE_S = 0.02
"""Time, in seconds, after which a router that accepts nothing looks again."""
FAILURE_PAUSE_S = 1.0
"""The same after an error, such as too many open files."""
MIN_CHANGE = 1.25
"""Factor by which the length of the accept queue has to change before it is
set anew."""
LEFT_STATES = (7, 8)
"""TCP states of a connection that the other side has reset or closed
(`TCP_CLOSE` and `TCP_CLOSE_WAIT` of Linux)."""
TCP_INFO_FORMAT = struct.Struct("=B51xI")
"""State and milliseconds since data was last received, at the beginning of
`struct tcp_info` of Linux."""


class Outcome(enum.Enum):
    """What became of an accepted connection."""

    LEFT = "left"
    REFUSED = "refused"
    OPENED = "opened"


BuildProtocol = Callable[[], caller_protocol.CallerProtocol]


@dataclasses.dataclass(frozen=True, slots=True)
class Unread:
    """State of a connection that was not read yet.

    Attributes:
        has_left: whether its caller has closed it.
        age_s: for how long its data has waited, in seconds.
    """

    has_left: bool
    age_s: float


def read_state(connection: socket.socket) -> Unread:
    """Returns the state of an accepted connection, as TCP tells it.

    A system that tells less is taken to say that the data has just arrived.

    Raises:
        OSError: the connection was closed, or TCP tells nothing.
    """
    info = connection.getsockopt(
        socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_FORMAT.size
    )
    if len(info) < TCP_INFO_FORMAT.size:
        return Unread(has_left=False, age_s=0.0)
    state, age_ms = TCP_INFO_FORMAT.unpack(info)
    return Unread(state in LEFT_STATES, age_ms / 1000)


class AcceptControl:
    """Accepts the connections of one listening socket.

    Attributes:
        overload: decides how many connections may be accepted.
        turns: requests that wait for their turn.
        clock: source of monotonic time.
        log: log of decisions.
        early: refuses requests before their connections are opened.
        connections: all open connections of callers.
        sock: the listening socket; None before `start` and after `stop`.
        backlog: length of its accept queue.
        left: connections that were closed because their callers had left.
        note_left: called for each of them.
    """

    def __init__(
        self,
        overload: overload_lib.Overload,
        turns: turns_lib.TurnQueue,
        clock: clock_lib.Clock,
        log: decision_log.DecisionLog,
        early: early_refusal.EarlyRefusal,
        connections: caller_connections.CallerConnections | None = None,
    ):
        self.overload = overload
        self.turns = turns
        self.clock = clock
        self.log = log
        self.early = early
        self.connections = connections or caller_connections.CallerConnections(
            caller_connections.Settings(), clock
        )
        self.sock: socket.socket | None = None
        self.backlog = BACKLOG
        self.left = 0
        self.note_left: Callable[[], None] = lambda: None
        self._build_protocol: BuildProtocol | None = None
        self._opening: set[asyncio.Task] = set()

    def start(self, sock: socket.socket, build_protocol: BuildProtocol) -> None:
        """Accepts connections in place of the event loop.

        Args:
            sock: a listening, non-blocking socket.
            build_protocol: returns the protocol of a new connection.
        """
        self.sock = sock
        self._build_protocol = build_protocol
        loop = asyncio.get_running_loop()
        loop.remove_reader(sock)
        loop.add_reader(sock, self._accept)

    def stop(self) -> None:
        """Accepts no more connections; the caller closes the socket."""
        if self.sock is not None:
            asyncio.get_running_loop().remove_reader(self.sock)
            self.sock = None

    def _accept(self) -> None:
        """Accepts what may be accepted in this iteration."""
        room = self.connections.make_room(len(self._opening))
        if room <= 0:
            self._pause(PAUSE_S)
            return
        waiting = len(self.turns.waiting) + len(self._opening)
        acceptable = self.overload.count_acceptable(
            waiting, self.turns.waited_s
        )
        is_limited = not self.overload.takes_callers
        acceptable = min(acceptable, room)
        openable = acceptable
        if is_limited:
            openable = self.overload.count_openable(waiting)
        # Requests of workspaces below their fair share find room nevertheless.
        reserve = max(openable, 1)
        self._limit_queue()
        if min(acceptable, openable + reserve) <= 0:
            self.overload.note_unaccepted()
            self._pause(PAUSE_S)
            return
        until = self.clock.monotonic() + turns_lib.MAX_TURN_S
        has_measured = False
        while min(acceptable, openable + reserve) > 0:
            connection = self._accept_one()
            if connection is None:
                return
            acceptable -= 1
            if not is_limited:
                if not has_measured:
                    has_measured = True
                    self._measure_unread(connection)
                self._open(connection, None, b"")
                continue
            outcome = self._read_early(connection, openable <= 0)
            acceptable += outcome is Outcome.LEFT
            openable -= outcome is Outcome.OPENED
            if self.clock.monotonic() > until:
                break
        # The others are accepted in the next iteration.
        self.overload.note_unaccepted()

    def _accept_one(self) -> socket.socket | None:
        """Accepts a connection; returns None if none can be accepted now."""
        try:
            connection, _ = self.sock.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return None
        except OSError as error:
            self.log.write_event("accept_failed", detail=str(error))
            self._pause(FAILURE_PAUSE_S)
            return None
        # A read from a caller that has sent nothing yet must not block.
        connection.setblocking(False)
        return connection

    def _measure_unread(self, connection: socket.socket) -> None:
        """Records for how long the oldest connection has waited.

        The event loop doesn't tell: its timers may be on time while it leaves
        connections in the accept queue.
        """
        try:
            has_data = bool(connection.recv(1, socket.MSG_PEEK))
            state = read_state(connection)
        except OSError:
            # Nothing was sent yet, or the caller has left.
            return
        if has_data and not state.has_left:
            self.overload.note_unread(state.age_s)

    def _read_early(self, connection: socket.socket, is_full: bool) -> Outcome:
        """Opens a connection, unless its request is refused at once.

        While connections are limited, how long they have waited in the accept
        queue is not bounded by the polls of the event loop, so TCP is asked.

        Args:
            connection: an accepted connection.
            is_full: whether requests of workspaces that have had their fair
                share are refused.
        """
        began_at = self.clock.monotonic()
        try:
            state = read_state(connection)
        except OSError as error:
            self.log.write_event("accept_failed", detail=str(error))
            state = Unread(has_left=False, age_s=0.0)
        if state.has_left:
            self.left += 1
            self.note_left()
            connection.close()
            return Outcome.LEFT
        unread_since = began_at - state.age_s
        self.overload.note_accepted()
        data = self.early.read(connection, unread_since, is_full)
        if data is None:
            took_s = self.clock.monotonic() - began_at
            self.overload.note_refused(took_s, is_whole=True)
            return Outcome.REFUSED
        self._open(connection, unread_since, data)
        return Outcome.OPENED

    def _open(
        self,
        connection: socket.socket,
        unread_since: float | None,
        data: bytes,
    ) -> None:
        """Opens an accepted connection.

        Args:
            connection: the connection.
            unread_since: when its first request arrived, monotonic seconds;
                None if the polls of the event loop tell it.
            data: what was read already.
        """
        opening = asyncio.get_running_loop().create_task(
            self._connect(connection, unread_since, data)
        )
        self._opening.add(opening)
        opening.add_done_callback(self._opening.discard)

    async def _connect(
        self,
        connection: socket.socket,
        unread_since: float | None,
        data: bytes,
    ) -> None:
        def build() -> caller_protocol.CallerProtocol:
            protocol = self._build_protocol()
            protocol.unread_since = unread_since
            protocol.initial_data = data
            return protocol

        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(build, connection)
        except OSError as error:
            self.log.write_event("accept_failed", detail=str(error))
            connection.close()

    def _limit_queue(self) -> None:
        wanted = self.overload.find_listen_backlog(BACKLOG)
        ratio = max(wanted / self.backlog, self.backlog / wanted)
        if ratio >= MIN_CHANGE or wanted == BACKLOG != self.backlog:
            self.backlog = wanted
            self.sock.listen(wanted)

    def _pause(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.sock)
        loop.call_later(seconds, self._resume)

    def _resume(self) -> None:
        if self.sock is not None:
            asyncio.get_running_loop().add_reader(self.sock, self._accept)


class PlainAccept:
    """Accepts the connections of a listening socket while there is room.

    Attributes:
        sock: the listening socket; None after `stop`.
        connections: all open connections of callers.
    """

    def __init__(
        self,
        sock: socket.socket,
        build_protocol: BuildProtocol,
        connections: caller_connections.CallerConnections,
    ):
        self.sock: socket.socket | None = sock
        self.connections = connections
        self._build_protocol = build_protocol
        self._opening: set[asyncio.Task] = set()
        loop = asyncio.get_running_loop()
        loop.remove_reader(sock)
        loop.add_reader(sock, self._accept)

    def stop(self) -> None:
        """Accepts no more connections; the caller closes the socket."""
        if self.sock is not None:
            asyncio.get_running_loop().remove_reader(self.sock)
            self.sock = None

    def _accept(self) -> None:
        """Accepts what there is room for in this iteration."""
        room = self.connections.make_room(len(self._opening))
        if room <= 0:
            self._pause(PAUSE_S)
        loop = asyncio.get_running_loop()
        for _ in range(room):
            try:
                connection, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError:
                # Out of descriptors; the control of callers logs it.
                self._pause(FAILURE_PAUSE_S)
                return
            connection.setblocking(False)
            opening = loop.create_task(self._open(connection))
            self._opening.add(opening)
            opening.add_done_callback(self._opening.discard)

    async def _open(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self._build_protocol, connection)
        except OSError:
            # The caller has left.
            connection.close()

    def _pause(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.sock)
        loop.call_later(seconds, self._resume)

    def _resume(self) -> None:
        if self.sock is not None:
            asyncio.get_running_loop().add_reader(self.sock, self._accept)
