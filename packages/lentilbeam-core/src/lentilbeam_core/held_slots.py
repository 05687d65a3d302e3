"""Reuses freed slots while the scheduler does not answer.

A slot whose request has ended belongs to the router until the scheduler has
acknowledged the end. If the scheduler is silent, the router gives the slot to
its own least-served workspace.
"""

import dataclasses
import math

from lentilbeam_core import agent_state
from lentilbeam_core import dispatch
from lentilbeam_core import events
from lentilbeam_core import ids
from lentilbeam_core import reports


@dataclasses.dataclass(frozen=True, slots=True)
class HeldSlot:
    """A slot whose request has ended.

    Attributes:
        target: the target that the slot belongs to.
        sequence: sequence number of the report that tells the scheduler about
            the end. Once it is acknowledged, the scheduler may grant the
            slot again.
    """

    target: ids.TargetId
    sequence: int


class HeldSlots:
    """Freed slots of one router that the scheduler has not acknowledged.

    Attributes:
        state: queues, running requests and grants of the pool.
        reporter: sends reports to the scheduler.
        held: the slots, oldest first.
    """

    def __init__(self, state: agent_state.State, reporter: reports.Reporter):
        self.state = state
        self.reporter = reporter
        self.held: list[HeldSlot] = []

    def add(self, target: ids.TargetId) -> None:
        """Adds a freed slot of `target`, to be reported next."""
        sequence = self.reporter.sender.sequence + 1
        self.held.append(HeldSlot(target, sequence))

    def reset_for_session(self) -> None:
        """Keeps all slots until a new session's first acknowledgement."""
        self.held = [HeldSlot(held.target, 1) for held in self.held]

    def drop_acknowledged(self) -> None:
        """Removes the slots whose release the scheduler has acknowledged."""
        sequence = self.reporter.sender.acknowledged
        self.held = [held for held in self.held if held.sequence > sequence]

    def next_due_at(self, now: float) -> float:
        """Returns when to call `reuse` next, in monotonic seconds.

        Returns infinity if there is no held slot or no queued request, or if
        the slots may be reused already.
        """
        if not self.held or not self.state.waiting:
            return math.inf
        autonomous_at = self._autonomous_at()
        return autonomous_at if autonomous_at > now else math.inf

    def reuse(self, now: float) -> list[events.Effect]:
        """Dispatches requests to held slots if the scheduler is silent."""
        if now < self._autonomous_at():
            return []
        effects = []
        kept = []
        for held in self.held:
            workspace = self._least_served()
            if workspace is None or not self.state.is_usable(held.target):
                kept.append(held)
                continue
            queue = self.state.queues[workspace]
            effects.append(dispatch.start(self.state, queue, held.target, now))
            self.reporter.publish_slot_use(held.target, workspace, now, now)
            self.reporter.publish_demand(workspace, now, now)
            self.state.count("autonomous")
        self.held = kept
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
