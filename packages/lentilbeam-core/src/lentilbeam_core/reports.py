"""What one router reports to a pool's scheduler, in sessions."""

import dataclasses
import math

from lentilbeam_core import agent_state
from lentilbeam_core import channel
from lentilbeam_core import events
from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core import queueing

MAX_ITEMS = 24
"""List items in one datagram."""
SMALL_QUEUE = 4
"""Shorter queues are reported exactly."""
QUEUE_STEPS = 8
"""Longer ones when they change by this part of the limit."""
PROGRESS_STEP = 0.25
"""Progress is reported in steps of this part of the largest request."""
IDLE_S = 60.0
"""A workspace unused for longer is left out of full reports."""
SESSION_BITS = 8


class Reporter:
    """One router's sessions with the pool's schedulers.

    Attributes:
        uses: experience with targets.
        unanswered_since: when the oldest change was reported that no
            scheduler has answered, monotonic seconds.
        introduced: workspaces that the session's scheduler knows.
        floor: least virtual time that a scheduler has told.
    """

    def __init__(
        self,
        state: agent_state.State,
        pool: ids.PoolId,
        incarnation: ids.Incarnation,
    ):
        self.state = state
        self.pool = pool
        self.incarnation = incarnation
        self.uses: dict[ids.TargetId, messages.TargetUse] = {}
        self.session = (incarnation & 0xFFFFFF) << SESSION_BITS
        self.sender = channel.StateSender(state.settings.pace)
        self.receiver = channel.StateReceiver()
        self.unanswered_since = math.inf
        self.acknowledged_workspaces: set[ids.WorkspaceId] = set()
        self.floor = 0.0

    def start_session(self, is_local: bool, now: float) -> None:
        """Begins a session; messages to a local scheduler cost nothing."""
        self.session += 1
        pace = channel.Pace() if is_local else self.state.settings.pace
        self.sender = channel.StateSender(pace)
        self.receiver = channel.StateReceiver()
        self.acknowledged_workspaces = set()
        self.unanswered_since = now

    def publish_all(self, now: float) -> None:
        """Reports all state anew."""
        for target in self.uses:
            self.publish_target(target, now)
        for workspace, queue in self.state.queues.items():
            if queue.pending or now - queue.last_used_at <= IDLE_S:
                self.publish_demand(workspace, now, now)
        for target, workspace in self.state.slot_counts:
            self.publish_slot_use(target, workspace, now, now)
        self.sender.schedule_send(now)

    def acknowledge(self, sequence: int, now: float) -> bool:
        """Takes in the scheduler's answer; returns whether it is news."""
        arrived = self.sender.acknowledge(sequence)
        if arrived is None:
            return False
        is_waiting = self.sender.is_urgent()
        self.unanswered_since = now if is_waiting else math.inf
        for kind, name, *_ in arrived:
            if kind == "demand":
                sent = self.sender.values[kind, name]
                self.state.queues[name].acknowledged_served = sent.served
                self.acknowledged_workspaces.add(name)
        return True

    def report(self, now: float) -> list[messages.DemandReport]:
        """Returns the report that is due, in parts; empty if none is."""
        if self.sender.due() > now:
            return []
        items = self.sender.collect(now)
        if self.sender.is_urgent():
            self.unanswered_since = min(self.unanswered_since, now)
        chunks = channel.split_parts(items, MAX_ITEMS)
        return [
            self._make_part(part, index, len(chunks))
            for index, part in enumerate(chunks)
        ]

    def count_failure(self, target: ids.TargetId, end: events.RunEnd) -> None:
        """Counts a run that has failed."""
        use = self.get_target_use(target)
        is_failure = end in (events.RunEnd.FAILED, events.RunEnd.UNREACHABLE)
        failed = use.failed + is_failure
        self.uses[target] = dataclasses.replace(use, failed=failed)

    def get_target_use(self, target: ids.TargetId) -> messages.TargetUse:
        """Returns experience with a target, kept up to date."""
        use = self.uses.get(target) or messages.TargetUse(target, 0, False)
        is_draining = target in self.state.draining
        use = dataclasses.replace(use, is_draining=is_draining)
        self.uses[target] = use
        return use

    def publish_progress(self, run: agent_state.Run, now: float) -> None:
        """Reports service that has grown by a large part of a request."""
        workspace = run.pending.request.workspace
        entry = self.state.catalogue.workspaces.get(workspace)
        sent = self.sender.values.get(("demand", workspace))
        if entry is None or sent is None:
            return
        grown = self.state.queue(workspace).served - sent.served
        if grown < entry.limits.largest_request * PROGRESS_STEP:
            return
        due = now + self.state.settings.low_priority_delay_s
        self.publish_slot_use(run.target, workspace, now, due)
        self.publish_demand(workspace, now, due)

    def publish_demand(
        self, workspace: ids.WorkspaceId, now: float, due: float
    ) -> None:
        """Reports a queue by `due`, if its change matters."""
        queue = self.state.queues[workspace]
        is_first = workspace not in self.acknowledged_workspaces
        head = queue.pending[0] if queue.pending else None
        demand = messages.WorkspaceDemand(
            workspace=workspace,
            queued=len(queue.pending),
            oldest_age_ms=int((now - head.arrived) * messages.MS_PER_S)
            if head
            else 0,
            served=queue.served,
            next_cost=head.estimate if head else 0.0,
            preferred=self._find_cached_target(head, now),
            virtual_time=queue.virtual_time if is_first else 0.0,
            unsettled=(
                queue.served - queue.acknowledged_served if is_first else 0.0
            ),
        )
        sent = self.sender.values.get(("demand", workspace))
        if demand.queued > SMALL_QUEUE and self._has_grown(demand, sent):
            self.sender.skip_pacing()
        if self._is_significant(demand):
            self.sender.put(("demand", workspace), demand, due, due <= now)

    def _find_cached_target(
        self, head: queueing.PendingRequest | None, now: float
    ) -> str:
        if head is None:
            return ""
        return self.state.prefixes.find_target(head.request.prefix, now)

    def _is_significant(self, demand: messages.WorkspaceDemand) -> bool:
        sent = self.sender.values.get(("demand", demand.workspace))
        if sent is None:
            return True
        if demand.served != sent.served:
            return True
        if demand.queued < SMALL_QUEUE or sent.queued < SMALL_QUEUE:
            return demand.queued != sent.queued
        return self._has_grown(demand, sent) or self._has_grown(sent, demand)

    def _has_grown(
        self,
        demand: messages.WorkspaceDemand,
        sent: messages.WorkspaceDemand | None,
    ) -> bool:
        """Tells whether a queue has grown by a part of its limit."""
        limits = self.state.catalogue.workspaces[demand.workspace].limits
        growth = demand.queued - (sent.queued if sent else 0)
        return growth * QUEUE_STEPS >= limits.queue_length

    def publish_slot_use(
        self,
        target: ids.TargetId,
        workspace: ids.WorkspaceId,
        now: float,
        due: float,
    ) -> None:
        """Reports grants and runs of a workspace on a target by `due`."""
        counts = self.state.slot_counts[target, workspace]
        runs = self.state.runs(workspace)
        expected = agent_state.expected_cost(
            [run for run in runs if run.target == target]
        )
        use = messages.SlotUse(
            target,
            workspace,
            counts.granted,
            counts.spent,
            counts.running,
            expected,
        )
        self.sender.put(("cell", target, workspace), use, due, due <= now)

    def publish_target(self, target: ids.TargetId, now: float) -> None:
        """Reports experience with a target."""
        self.sender.put(("use", target), self.get_target_use(target), now)

    def _make_part(
        self, items: list[object], part: int, parts: int
    ) -> messages.DemandReport:
        is_full = self.sender.acknowledged == 0
        return messages.DemandReport(
            pool=self.pool,
            incarnation=self.incarnation if is_full else ids.Incarnation(0),
            session=self.session,
            sequence=self.sender.sequence,
            part=part,
            parts=parts,
            acknowledged=self.receiver.complete_sequence,
            is_full=is_full,
            floor=self.floor if is_full else 0.0,
            workspaces=channel.filter_by_type(items, messages.WorkspaceDemand),
            slots=channel.filter_by_type(items, messages.SlotUse),
            targets=channel.filter_by_type(items, messages.TargetUse),
            wants_answer=self.sender.is_urgent(),
        )
