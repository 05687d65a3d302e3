"""Reuses freed slots while the scheduler does not answer.

A slot whose request has ended belongs to the router until the scheduler has
acknowledged the end. If the scheduler does not answer, the router gives the
slot to its own least-served workspace.
"""

import dataclasses
import math

from lentilbeam_core import agent_state
from lentilbeam_core import dispatch
from lentilbeam_core import events
from lentilbeam_core import ids
from lentilbeam_core import reports


@dataclasses.dataclass(frozen=True, slots=True)
class FreedSlot:
    """A slot whose request has ended.

    Attributes:
        target: the target that the slot belongs to.
        sequence: sequence number of the report that tells the scheduler about
            the end. Once it is acknowledged, the scheduler may grant the
            slot again.
    """

    target: ids.TargetId
    sequence: int


class FreedSlots:
    """Freed slots of one router that the scheduler has not acknowledged.

    Attributes:
        state: queues, running requests and grants of the pool.
        reporter: builds reports to the scheduler.
        freed: the slots, oldest first.
    """

    def __init__(self, state: agent_state.State, reporter: reports.Reporter):
        self.state = state
        self.reporter = reporter
        self.freed: list[FreedSlot] = []

    def add(self, target: ids.TargetId) -> None:
        """Adds a freed slot of `target`, to be reported next."""
        sequence = self.reporter.sender.sequence + 1
        self.freed.append(FreedSlot(target, sequence))

    def reset_for_session(self) -> None:
        """Keeps all slots until a new session's first acknowledgement.

        The first report of a session has sequence number 1.
        """
        self.freed = [FreedSlot(freed.target, 1) for freed in self.freed]

    def drop_acknowledged(self) -> None:
        """Removes the slots whose release the scheduler has acknowledged."""
        sequence = self.reporter.sender.acknowledged
        self.freed = [
            freed for freed in self.freed if freed.sequence > sequence
        ]

    def next_due_at(self, now: float) -> float:
        """Returns when to call `reuse` next, in monotonic seconds.

        Returns infinity if there is no freed slot or no queued request, or if
        the slots may be reused already.
        """
        if not self.freed or not self.state.queued_by_name:
            return math.inf
        autonomous_at = self._autonomous_at()
        return autonomous_at if autonomous_at > now else math.inf

    def reuse(self, now: float) -> list[events.Effect]:
        """Dispatches requests to freed slots if the scheduler is unresponsive.

        It is so after `Settings.autonomous_after_s` without an answer.
        """
        if now < self._autonomous_at():
            return []
        effects = []
        kept = []
        for freed in self.freed:
            workspace = self._least_served()
            if workspace is None or not self.state.is_usable(freed.target):
                kept.append(freed)
                continue
            queue = self.state.queues[workspace]
            effects.append(dispatch.start(self.state, queue, freed.target, now))
            self.reporter.stage_slot_use(freed.target, workspace, now, now)
            self.reporter.stage_demand(workspace, now, now)
            self.state.count("autonomous")
        self.freed = kept
        return effects

    def _least_served(self) -> ids.WorkspaceId | None:
        backlogged = [
            workspace
            for workspace, queue in self.state.queues.items()
            if queue.pending and not self._has_fleet_limits(workspace)
        ]
        return min(backlogged, key=self._local_virtual_time, default=None)

    def _has_fleet_limits(self, workspace: ids.WorkspaceId) -> bool:
        """Returns whether only a scheduler can enforce the workspace's limits.

        True for concurrency and rate limits, which apply to the whole fleet,
        and for workspaces that the catalogue does not list.
        """
        entry = self.state.catalogue.workspaces.get(workspace)
        if entry is None:
            return True
        limits = entry.limits
        return limits.concurrency is not None or limits.rate_per_s is not None

    def _local_virtual_time(self, workspace: ids.WorkspaceId) -> float:
        queue = self.state.queues[workspace]
        recent = queue.served - queue.acknowledged_served
        expected = agent_state.expected_cost(self.state.runs(workspace))
        weight = self.state.catalogue.weight(workspace)
        return queue.virtual_time + (recent + expected) / weight

    def _autonomous_at(self) -> float:
        unanswered_since = self.reporter.unanswered_since
        return unanswered_since + self.state.settings.autonomous_after_s
