"""Log lines of requests that a router refuses before they are queued.

A line for each would take a router more time the more it refuses. It writes a
few of them, none while it is late, and one line a second with the numbers of
the others.
"""

import collections
import math

from lentilbeam_core import clock as clock_lib
from lentilbeam_core.forwarding import decisions as decisions_lib
from lentilbeam_core.forwarding import requests
from lentilbeam_router.forwarding import decision_log

INTERVAL_S = 1.0
"""Time between two lines with numbers, in seconds."""
MAX_SINGLE_LINES = 10
"""Largest number of refusals in `INTERVAL_S` that have lines of their own."""
MAX_WORKSPACES = 20
"""Largest number of workspaces in a line, those with most refusals."""


class RefusalLog:
    """Writes refusals one by one, or their numbers while the router is late.

    Attributes:
        clock: source of monotonic time.
        log: log of decisions.
        counts: refusals that were not written yet, by reason and workspace.
        costs: estimated cost of these, by workspace, in cost units.
        since: when the first of these was counted, monotonic seconds.
        single_lines: number of lines of single refusals in this interval.
        interval_began_at: when the interval began, monotonic seconds.
    """

    def __init__(self, clock: clock_lib.Clock, log: decision_log.DecisionLog):
        self.clock = clock
        self.log = log
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.costs: collections.Counter[str] = collections.Counter()
        self.since = 0.0
        self.single_lines = 0
        self.interval_began_at = -math.inf

    def note(self, refused: decisions_lib.Refused, is_late: bool) -> None:
        """Records a refusal.

        Args:
            refused: the refusal.
            is_late: whether refusals are only counted.
        """
        request = refused.request
        if not is_late and self._may_write_line():
            self.log.write_request_event(
                request.request_id,
                "refused",
                reason=refused.reason.value,
                retry_after_s=round(refused.retry_after_s, 2),
                workspace=request.workspace,
                cost=round(requests.estimate_cost(request)),
                body=request.body_bytes,
            )
            return
        if not self.counts:
            self.since = self.clock.monotonic()
        self.counts[refused.reason.value, request.workspace] += 1
        self.costs[request.workspace] += round(requests.estimate_cost(request))

    def _may_write_line(self) -> bool:
        now = self.clock.monotonic()
        if now - self.interval_began_at >= INTERVAL_S:
            self.interval_began_at = now
            self.single_lines = 0
        self.single_lines += 1
        return self.single_lines <= MAX_SINGLE_LINES

    def flush_if_due(self) -> None:
        """Writes the numbers of refusals once a second."""
        now = self.clock.monotonic()
        if not self.counts or now - self.since < INTERVAL_S:
            return
        by_reason: dict[str, dict[str, int]] = {}
        for (reason, workspace), number in self.counts.most_common(
            MAX_WORKSPACES
        ):
            by_reason.setdefault(reason, {})[workspace] = number
        self.log.write_event(
            "refused_many",
            number=self.counts.total(),
            reasons=by_reason,
            costs=dict(self.costs.most_common(MAX_WORKSPACES)),
            seconds=round(now - self.since, 2),
        )
        self.counts.clear()
        self.costs.clear()
