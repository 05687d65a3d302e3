"""Pool of idle connections to targets, for reuse by later requests."""

from collections.abc import Awaitable
from collections.abc import Callable

from lentilbeam_core import clock as clock_lib
from lentilbeam_core.forwarding import connection_preference
from lentilbeam_core.forwarding import memory_budget
from lentilbeam_core.forwarding import target_list
from lentilbeam_router import metrics as metrics_lib
from lentilbeam_router.forwarding import connection as connection_lib

Connect = Callable[
    [str, int, clock_lib.Clock], Awaitable[connection_lib.TargetConnection]
]


class ConnectionPool:
    """Idle connections by target.

    In a large fleet the longest idle is reused first, so that as many stay open
    as are needed at the busiest moments; else the most recently used.

    Attributes:
        clock: source of monotonic time.
        metrics: counts the connections that are opened.
        connect: opens a connection.
        idle_limits: how long new connections are kept idle.
        memory: counts what the connections buffer; None if it isn't counted.
        uses_oldest: whether the longest idle connection is reused first.
        idle: idle connections by target ID, the last used at the end.
        open: connections by target ID, idle or in use, that may be open.
    """

    def __init__(
        self,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
        connect: Connect = connection_lib.connect,
    ):
        self.clock = clock
        self.metrics = metrics
        self.connect = connect
        self.idle_limits = connection_lib.IdleLimits()
        self.memory: memory_budget.MemoryBudget | None = None
        self.uses_oldest = False
        self.idle: dict[str, list[connection_lib.TargetConnection]] = {}
        self.open: dict[str, list[connection_lib.TargetConnection]] = {}

    async def acquire(
        self, target: target_list.Entry, longest_idle_s: float
    ) -> connection_lib.TargetConnection:
        """Returns an idle connection to the target, or opens one.

        Args:
            target: the target.
            longest_idle_s: longest time for which the connection may have been
                idle, in seconds; 0 to open one in any case. An idle one may be
                dead without either end having noticed.

        Raises:
            ConnectFailedError: a connection couldn't be opened.
        """
        connection = self._choose_idle(target.name, longest_idle_s)
        if connection is not None:
            self.idle[target.name].remove(connection)
            self.metrics.count("target.reused_connections")
            return connection
        self.metrics.count("target.connections")
        connection = await self.connect(target.host, target.port, self.clock)
        connection.idle_limits = self.idle_limits
        connection.memory = self.memory
        self._adopt(target.name, connection)
        return connection

    def release(
        self,
        target: target_list.Entry,
        connection: connection_lib.TargetConnection,
        max_idle: int | None = None,
    ) -> None:
        """Returns a connection to the pool, or closes it if not reusable.

        Args:
            target: the target.
            connection: a connection that `acquire` returned.
            max_idle: number of idle connections to keep to the target; the
                longest idle are closed beyond it. None if there is no limit.
        """
        if not connection.is_reusable(self.clock.monotonic()):
            self.close_used(connection)
            return
        connections = self.idle.setdefault(target.name, [])
        connections.append(connection)
        while max_idle is not None and len(connections) > max_idle:
            connections.pop(0).close()

    def close_used(self, connection: connection_lib.TargetConnection) -> None:
        """Closes a connection from which nothing more is received."""
        connection.close()
        connection.discard_inbox()

    def has_idle(self, target: str, longest_idle_s: float) -> bool:
        """Whether `acquire` would return an idle connection to a target."""
        return self._choose_idle(target, longest_idle_s) is not None

    def _choose_idle(
        self, target: str, longest_idle_s: float
    ) -> connection_lib.TargetConnection | None:
        connections = self.idle.get(target)
        if not connections or longest_idle_s <= 0:
            return None
        now = self.clock.monotonic()
        for connection in (
            connections if self.uses_oldest else reversed(connections)
        ):
            if (
                now - connection.idle_since <= longest_idle_s
                and connection.is_reusable(now)
            ):
                return connection
        return None

    def forget(self, target: str) -> None:
        """Closes the idle connections to a target, given by its ID."""
        self.open.pop(target, None)
        for connection in self.idle.pop(target, []):
            connection.close()

    def sweep(self) -> None:
        """Closes the idle connections that can't be reused any more."""
        now = self.clock.monotonic()
        for target, connections in list(self.idle.items()):
            reusable = [c for c in connections if c.is_reusable(now)]
            for connection in connections:
                if connection not in reusable:
                    connection.close()
            if reusable:
                self.idle[target] = reusable
            else:
                del self.idle[target]
        for target, connections in list(self.open.items()):
            self.open[target] = [c for c in connections if not c.is_broken]
            if not self.open[target]:
                del self.open[target]

    def _adopt(
        self, target: str, connection: connection_lib.TargetConnection
    ) -> None:
        """Records a new connection and the process at its other end.

        A connection ends with the process that accepted it. As long as one is
        open, a new one therefore leads to the same process.
        """
        still_open = [c for c in self.open.get(target, ()) if not c.is_broken]
        connection.process_start_ms = max(
            (c.process_start_ms for c in still_open), default=0
        )
        self.open[target] = [*still_open, connection]

    def note_fleet(self, routers: int) -> None:
        """Chooses how idle connections are kept in a fleet of `routers`."""
        self.uses_oldest = routers > connection_preference.MAX_ROUTERS_WITHOUT
        self.idle_limits = (
            connection_lib.LARGE_FLEET_LIMITS
            if self.uses_oldest
            else connection_lib.IdleLimits()
        )

    def close(self) -> None:
        """Closes all idle connections."""
        for target in list(self.idle):
            self.forget(target)
