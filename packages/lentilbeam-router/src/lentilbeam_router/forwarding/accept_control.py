"""Accepts the connections of callers, at a bounded rate while overloaded.

Connections that aren't accepted wait in the accept queue of the listening
socket, where they take no processor time.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import socket
import struct

from lentilbeam_core import clock as clock_lib
from lentilbeam_router import caller_protocol
from lentilbeam_router.forwarding import decision_log
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

    Raises:
        OSError: the connection is no TCP connection.
    """
    info = connection.getsockopt(
        socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_FORMAT.size
    )
    state, age_ms = TCP_INFO_FORMAT.unpack(info)
    return Unread(state in LEFT_STATES, age_ms / 1000)


class AcceptControl:
    """Accepts the connections of one listening socket.

    Attributes:
        overload: decides how many connections may be accepted.
        turns: requests that wait for their turn.
        clock: source of monotonic time.
        log: log of decisions.
        sock: the listening socket; None before `start` and after `stop`.
        backlog: length of its accept queue.
        left: connections that were closed because their callers had left.
    """

    def __init__(
        self,
        overload: overload_lib.Overload,
        turns: turns_lib.TurnQueue,
        clock: clock_lib.Clock,
        log: decision_log.DecisionLog,
    ):
        self.overload = overload
        self.turns = turns
        self.clock = clock
        self.log = log
        self.sock: socket.socket | None = None
        self.backlog = BACKLOG
        self.left = 0
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
        acceptable = min(
            self.overload.count_acceptable(
                len(self.turns.waiting), self.turns.waited_s
            ),
            BACKLOG,
        )
        self._limit_queue()
        if acceptable <= 0:
            self._pause(PAUSE_S)
            return
        for _ in range(BACKLOG):
            if acceptable <= 0:
                # The others are accepted in the next iteration.
                return
            try:
                connection, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                self.log.write_event("accept_failed", detail=str(error))
                self._pause(FAILURE_PAUSE_S)
                return
            acceptable -= self._open(connection)

    def _open(self, connection: socket.socket) -> bool:
        """Opens an accepted connection; returns whether it still has a caller.

        While connections are limited, how long they have waited in the accept
        queue is not bounded by the polls of the event loop.
        """
        unread_since = None
        if not self.overload.takes_callers:
            state = read_state(connection)
            if state.has_left:
                self.left += 1
                connection.close()
                return False
            unread_since = self.clock.monotonic() - state.age_s
        self.overload.note_accepted()
        opening = asyncio.get_running_loop().create_task(
            self._connect(connection, unread_since)
        )
        self._opening.add(opening)
        opening.add_done_callback(self._opening.discard)
        return True

    async def _connect(
        self, connection: socket.socket, unread_since: float | None
    ) -> None:
        def build() -> caller_protocol.CallerProtocol:
            protocol = self._build_protocol()
            protocol.unread_since = unread_since
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
