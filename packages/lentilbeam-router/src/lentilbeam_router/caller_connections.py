"""The connections of callers, and the limits that all of them share.

Callers may keep no limits: they send without end, begin requests that they
don't end, read no answers, or open connections and send nothing. Each
connection reports here what it has read and what it waits for. Those that no
request is served on are closed when they exceed a limit, or when descriptors or
memory run out: first the ones that cost most or have had most time.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import enum
import resource
from typing import Protocol

from lentilbeam_core import clock as clock_lib

DESCRIPTORS_FRACTION = 0.7
"""Part of the process's descriptors that connections of callers may take. The
others are for targets, the store, files and listening sockets."""
MAX_CONNECTIONS = 20_000
"""Largest number of connections of callers, whatever the descriptors."""
SWEEP_INTERVAL_S = 1.0
"""Time, in seconds, between two searches for connections over a time limit."""
EVICTED_FRACTION = 1 / 16
"""Part of the connections that are closed at once when there are too many, so
that a crowd doesn't cause a search for each of its connections."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Limits on the connections of callers.

    Attributes:
        head_bytes: longest request head, in bytes. Empty lines, trailers and
            the framing of chunks count as well.
        head_timeout_s: longest time from the first byte of a head to its last
            one, in seconds.
        head_margin_s: how much longer it may be than operators allow, in
            seconds, as a link that loses packets delays them.
        body_timeout_s: longest time from a head to the end of its body, in
            seconds.
        idle_timeout_s: longest time without any byte before a request, in
            seconds.
        write_timeout_s: longest time for which a caller may read so little that
            nothing more can be sent to it, in seconds.
        linger_s: time that a caller has to read the last answer before its
            connection is reset, in seconds.
        unfinished_bytes: memory that all requests together may take that the
            application has not read whole, in bytes; less if the process has
            little memory.
        max_descriptors: descriptors of the process; 0 if the limit of the
            operating system counts.
    """

    head_bytes: int = 16_384
    head_timeout_s: float = 15.0
    head_margin_s: float = 5.0
    body_timeout_s: float = 60.0
    idle_timeout_s: float = 60.0
    write_timeout_s: float = 60.0
    linger_s: float = 5.0
    unfinished_bytes: int = 67_108_864
    max_descriptors: int = 0


class Phase(enum.Enum):
    """What a connection is doing."""

    IDLE = "idle"  # No byte of a request has come.
    HEAD = "head"  # A part of a head has come, or empty lines.
    BODY = "body"  # A head has come, and a part of its body.
    SERVING = "serving"  # A whole request has come and is not answered yet.
    DISCARDING = "discarding"  # It is answered, and its body still comes.
    CLOSING = "closing"  # It is closed once the caller has read the rest.


class CloseReason(enum.Enum):
    """Why a connection was closed before its caller did so."""

    HEAD_BYTES = "head_bytes"
    HEAD_TIMEOUT = "head_timeout"
    BODY_TIMEOUT = "body_timeout"
    IDLE_TIMEOUT = "idle_timeout"
    WRITE_TIMEOUT = "write_timeout"
    LINGER_TIMEOUT = "linger_timeout"
    UNFINISHED_BYTES = "unfinished_bytes"
    CONNECTIONS = "connections"


class Connection(Protocol):
    """A connection of a caller, as this module sees it.

    Attributes:
        phase: what it is doing.
        phase_since: since when, monotonic seconds.
        write_paused_since: since when nothing more can be sent, monotonic
            seconds; None if something can.
        charged_bytes: what was last measured.
        has_served: whether a request was answered on it.
        is_evictable: whether `release` gives memory back.
    """

    phase: Phase
    phase_since: float
    write_paused_since: float | None
    charged_bytes: int
    has_served: bool
    is_evictable: bool

    def measure(self) -> int:
        """Returns the bytes of requests that the application hasn't taken."""

    def release(self) -> None:
        """Gives back the memory of what the application hasn't taken.

        The connection is closed: at once, or after the answer that is due.
        """

    def end(self) -> None:
        """Closes the connection at once."""


OnClose = Callable[[CloseReason, Phase], None]


class CallerConnections:
    """All open connections of callers.

    Attributes:
        settings: limits that are in force.
        clock: source of monotonic time.
        on_close: called for each connection that is closed for a limit, with
            what it was doing.
        on_charge: called with each change of `unfinished_bytes`.
        open: the connections, the oldest first.
        unfinished_bytes: memory of requests that the application hasn't taken.
    """

    def __init__(self, settings: Settings, clock: clock_lib.Clock):
        self.settings = settings
        self.clock = clock
        self.on_close: OnClose = lambda reason, phase: None
        self.on_charge: Callable[[int], None] = lambda change: None
        self.open: dict[Connection, None] = {}
        self.unfinished_bytes = 0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def limit(self) -> int:
        """Number of connections that may be open."""
        count = self.settings.max_descriptors
        if not count:
            count, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if count == resource.RLIM_INFINITY:
            return MAX_CONNECTIONS
        return min(int(count * DESCRIPTORS_FRACTION), MAX_CONNECTIONS)

    def add(self, connection: Connection) -> None:
        """Records that a connection was opened."""
        self.open[connection] = None
        if len(self.open) > self.limit:
            self.make_room(0)
        if self._timer is None:
            self._set_timer()

    def remove(self, connection: Connection) -> None:
        """Records that a connection has ended."""
        self.open.pop(connection, None)
        self._set_charge(connection, 0)

    def charge(self, connection: Connection, size: int) -> None:
        """Records the memory that a connection takes for unread requests.

        If all take too much, the connections of the largest ones are closed.

        Args:
            connection: the connection.
            size: what `Connection.measure` returns; 0 once it has ended.
        """
        self._set_charge(connection, size)
        if self.unfinished_bytes <= self.settings.unfinished_bytes:
            return
        # Bodies that the application has taken since still count.
        for each in self.open:
            self._set_charge(each, each.measure())
        while self.unfinished_bytes > self.settings.unfinished_bytes:
            largest = max(
                (each for each in self.open if each.is_evictable),
                key=lambda each: each.charged_bytes,
                default=None,
            )
            if largest is None or not largest.charged_bytes:
                return
            phase = largest.phase
            largest.release()
            self._set_charge(largest, 0)
            self.on_close(CloseReason.UNFINISHED_BYTES, phase)

    def _set_charge(self, connection: Connection, size: int) -> None:
        change = size - connection.charged_bytes
        if change:
            connection.charged_bytes = size
            self.unfinished_bytes += change
            self.on_charge(change)

    def make_room(self, opening: int) -> int:
        """Returns how many connections may be accepted now.

        If none may, it closes some that no request is served on. Their
        descriptors are free in the next iteration of the event loop.

        Args:
            opening: connections that were accepted and aren't open yet.
        """
        room = self.limit - len(self.open) - opening
        if room > 0:
            return room
        unserved = [c for c in self.open if c.phase is not Phase.SERVING]
        unserved.sort(key=_rank)
        count = max(int(self.limit * EVICTED_FRACTION), 1)
        chosen = unserved[:count]
        if chosen and chosen[0].has_served:
            # All others are kept connections, of which one has to go.
            del chosen[1:]
        for connection in chosen:
            self._close(connection, CloseReason.CONNECTIONS)
        return 0

    def sweep(self) -> None:
        """Closes the connections that are over a time limit."""
        now = self.clock.monotonic()
        for connection in list(self.open):
            reason = self._find_reason(connection, now)
            if reason is not None:
                self._close(connection, reason)

    def _find_reason(
        self, connection: Connection, now: float
    ) -> CloseReason | None:
        """Returns which time limit a connection is over; None if it isn't."""
        settings = self.settings
        paused_since = connection.write_paused_since
        if (
            paused_since is not None
            and now - paused_since > settings.write_timeout_s
        ):
            return CloseReason.WRITE_TIMEOUT
        limits = {
            Phase.IDLE: (settings.idle_timeout_s, CloseReason.IDLE_TIMEOUT),
            Phase.HEAD: (settings.head_timeout_s, CloseReason.HEAD_TIMEOUT),
            Phase.BODY: (settings.body_timeout_s, CloseReason.BODY_TIMEOUT),
            Phase.DISCARDING: (settings.linger_s, CloseReason.LINGER_TIMEOUT),
            Phase.CLOSING: (settings.linger_s, CloseReason.LINGER_TIMEOUT),
        }
        if connection.phase not in limits:
            return None
        limit_s, reason = limits[connection.phase]
        return reason if now - connection.phase_since > limit_s else None

    def _close(self, connection: Connection, reason: CloseReason) -> None:
        phase = connection.phase
        connection.end()
        self._set_charge(connection, 0)
        self.on_close(reason, phase)

    def _set_timer(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            SWEEP_INTERVAL_S, self._sweep_and_go_on
        )

    def _sweep_and_go_on(self) -> None:
        self._timer = None
        self.sweep()
        if self.open:
            self._set_timer()


def _rank(connection: Connection) -> tuple[bool, bool, float]:
    """Returns the order in which connections are closed to make room."""
    return (
        connection.has_served,
        connection.phase is Phase.BODY,
        connection.phase_since,
    )
