"""Log lines and counters of callers' connections that exceed a limit.

Callers that keep no limits may do so thousands of times a second, so there is
at most one line a second for each limit, with the number since the last one.
"""

import collections
from collections.abc import Callable

from lentilbeam_core import clock as clock_lib
from lentilbeam_router import caller_connections
from lentilbeam_router import metrics as metrics_lib

INTERVAL_S = 1.0
"""Shortest time between two lines for the same limit, in seconds."""


class CallerLog:
    """Counts connections that are closed for a limit, and logs them.

    Attributes:
        clock: source of monotonic time.
        write_event: writes a line of the log, given its name and fields.
        metrics: counts them by limit.
        unwritten: connections closed since the last line, by limit.
        written_at: when the last line was written, by limit, monotonic seconds.
    """

    def __init__(
        self,
        clock: clock_lib.Clock,
        write_event: Callable[..., None],
        metrics: metrics_lib.Metrics,
    ):
        self.clock = clock
        self.write_event = write_event
        self.metrics = metrics
        self.unwritten: collections.Counter[caller_connections.CloseReason] = (
            collections.Counter()
        )
        self.written_at: dict[caller_connections.CloseReason, float] = {}

    def note(
        self,
        reason: caller_connections.CloseReason,
        phase: caller_connections.Phase,
    ) -> None:
        """Records a connection that is closed.

        Args:
            reason: the limit.
            phase: what the connection was doing.
        """
        self.metrics.count(f"callers.closed.{reason.value}")
        self.unwritten[reason] += 1
        now = self.clock.monotonic()
        written_at = self.written_at.get(reason)
        if written_at is not None and now - written_at < INTERVAL_S:
            return
        self.written_at[reason] = now
        self.write_event(
            "callers_closed",
            reason=reason.value,
            phase=phase.value,
            count=self.unwritten.pop(reason),
        )
