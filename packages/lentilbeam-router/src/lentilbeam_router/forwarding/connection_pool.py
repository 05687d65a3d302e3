"""Pool of idle connections to targets, for reuse by later requests."""

from collections.abc import Awaitable
from collections.abc import Callable

from lentilbeam_core import clock as clock_lib
from lentilbeam_core.forwarding import target_list
from lentilbeam_router import metrics as metrics_lib
from lentilbeam_router.forwarding import connection as connection_lib

Connect = Callable[
    [str, int, clock_lib.Clock], Awaitable[connection_lib.TargetConnection]
]


class ConnectionPool:
    """Idle connections by target; the most recently used is reused first.

    Attributes:
        clock: source of monotonic time.
        metrics: counts the connections that are opened.
        connect: opens a connection.
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
        self.idle: dict[str, list[connection_lib.TargetConnection]] = {}
        self.open: dict[str, list[connection_lib.TargetConnection]] = {}

    async def acquire(
        self, target: target_list.Entry, must_be_new: bool
    ) -> connection_lib.TargetConnection:
        """Returns an idle connection to the target, or opens one.

        Args:
            target: the target.
            must_be_new: whether to open a connection in any case. An idle one
                may be dead without either end having noticed.

        Raises:
            ConnectFailedError: a connection couldn't be opened.
        """
        now = self.clock.monotonic()
        connections = self.idle.get(target.name, [])
        while connections and not must_be_new:
            connection = connections.pop()
            if connection.is_reusable(now):
                return connection
            connection.close()
        self.metrics.count("target.connections")
        connection = await self.connect(target.host, target.port, self.clock)
        self._adopt(target.name, connection)
        return connection

    def release(
        self,
        target: target_list.Entry,
        connection: connection_lib.TargetConnection,
    ) -> None:
        """Returns a connection to the pool, or closes it if not reusable."""
        if connection.is_reusable(self.clock.monotonic()):
            self.idle.setdefault(target.name, []).append(connection)
        else:
            connection.close()

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

    def close(self) -> None:
        """Closes all idle connections."""
        for target in list(self.idle):
            self.forget(target)
