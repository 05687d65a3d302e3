"""Builds one router's reports to the scheduler of a pool."""

import dataclasses
import math

from lentilbeam_core import agent_state
from lentilbeam_core import channel
from lentilbeam_core import events
from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core import queueing

MAX_ITEMS = 24
"""Maximum number of list items in one datagram."""
SMALL_QUEUE = 4
"""Every change of a queue shorter than this is reported."""
QUEUE_STEPS = 8
"""Longer queues are reported when they change by 1/`QUEUE_STEPS` of the queue
limit."""
PROGRESS_STEP = 0.25
"""Progress is reported in steps of this fraction of the largest request."""
IDLE_S = 60.0
"""Full reports omit workspaces that were idle for more seconds than this."""
SESSION_BITS = 8
"""Number of low bits of a session number that count the sessions of one
incarnation."""


class Reporter:
    """Builds one router's reports of its demand for a pool.

    The `stage_*` methods schedule values for the next report, and `report`
    builds it. The node sends it to the pool's scheduler.

    Attributes:
        state: queues, running requests and grants of the pool.
        pool: name of the pool.
        incarnation: start time of this process.
        target_uses: failures and draining state, by target.
        session: number of the current session. Starts from the low 24 bits of
            `incarnation`, shifted by `SESSION_BITS`, so that sessions of two
            incarnations differ and old grants are ignored. After 255 sessions
            of an incarnation the count continues into these bits.
        sender: tracks which state the scheduler has acknowledged. The first
            item of each key names the type of the value: "demand" for a
            `WorkspaceDemand`, "cell" for a `SlotUse`, "use" for a
            `TargetUse`.
        receiver: tracks which grant updates have arrived.
        unanswered_since: when the router began to wait for the scheduler's
            next acknowledgement, in monotonic seconds: when the session
            began, at the last acknowledgement, or when it sent an urgent
            change while none was outstanding. Infinite if it is not waiting.
        acknowledged_workspaces: workspaces whose demand the session's
            scheduler has acknowledged.
        floor: highest `GrantUpdate.floor` received.
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
        self.target_uses: dict[ids.TargetId, messages.TargetUse] = {}
        self.session = (incarnation & 0xFFFFFF) << SESSION_BITS
        self.sender = channel.StateSender(state.settings.pace)
        self.receiver = channel.StateReceiver()
        self.unanswered_since = math.inf
        self.acknowledged_workspaces: set[ids.WorkspaceId] = set()
        self.floor = 0.0

    def begin_session(self, is_local: bool, now: float) -> None:
        """Begins a session; reports to a local scheduler are not paced."""
        self.session += 1
        pace = channel.Pace() if is_local else self.state.settings.pace
        self.sender = channel.StateSender(pace)
        self.receiver = channel.StateReceiver()
        self.acknowledged_workspaces = set()
        self.unanswered_since = now

    def stage_all(self, now: float) -> None:
        """Schedules the full state for the next report."""
        for target in self.target_uses:
            self.stage_target(target, now)
        for workspace, queue in self.state.queues.items():
            if queue.pending or now - queue.last_used_at <= IDLE_S:
                self.stage_demand(workspace, now, now)
        for target, workspace in self.state.slot_counts:
            self.stage_slot_use(target, workspace, now, now)
        self.sender.schedule_send(now)

    def acknowledge(self, sequence: int, now: float) -> bool:
        """Processes the scheduler's acknowledgement of report `sequence`.

        Returns whether it acknowledges anything new.
        """
        arrived = self.sender.acknowledge(sequence)
        if arrived is None:
            return False
        is_waiting = self.sender.has_unacknowledged_urgent()
        self.unanswered_since = now if is_waiting else math.inf
        for kind, name, *_ in arrived:
            if kind == "demand":
                sent = self.sender.values[kind, name]
                self.state.queues[name].acknowledged_served = sent.served
                self.acknowledged_workspaces.add(name)
        return True

    def report(self, now: float) -> list[messages.DemandReport]:
        """Returns the report that is due, in parts; empty if none is."""
        if self.sender.next_due_at() > now:
            return []
        items = self.sender.collect(now)
        if self.sender.has_unacknowledged_urgent():
            self.unanswered_since = min(self.unanswered_since, now)
        chunks = channel.split_parts(items, MAX_ITEMS)
        return [
            self._make_part(part, index, len(chunks))
            for index, part in enumerate(chunks)
        ]

    def count_failure(self, target: ids.TargetId, end: events.RunEnd) -> None:
        """Counts the end of a request on `target` if it is a failure."""
        use = self.get_target_use(target)
        is_failure = end in (events.RunEnd.FAILED, events.RunEnd.UNREACHABLE)
        failed = use.failed + is_failure
        self.target_uses[target] = dataclasses.replace(use, failed=failed)

    def get_target_use(self, target: ids.TargetId) -> messages.TargetUse:
        """Returns a target's failures and its current draining state."""
        use = self.target_uses.get(target) or messages.TargetUse(
            target, 0, False
        )
        is_draining = target in self.state.draining
        use = dataclasses.replace(use, is_draining=is_draining)
        self.target_uses[target] = use
        return use

    def stage_progress(self, run: agent_state.Run, now: float) -> None:
        """Schedules a workspace's service for the next report if it has grown.

        It must have grown by `PROGRESS_STEP` of the largest request.
        """
        workspace = run.pending.request.workspace
        entry = self.state.catalogue.workspaces.get(workspace)
        sent = self.sender.values.get(("demand", workspace))
        if entry is None or sent is None:
            return
        grown = self.state.queue(workspace).served - sent.served
        if grown < entry.limits.largest_request * PROGRESS_STEP:
            return
        due = now + self.state.settings.low_priority_delay_s
        self.stage_slot_use(run.target, workspace, now, due)
        self.stage_demand(workspace, now, due)

    def stage_demand(
        self, workspace: ids.WorkspaceId, now: float, due: float
    ) -> None:
        """Schedules a report of a workspace's queue for `due`.

        Does nothing if the change since the last report is insignificant.

        Args:
            workspace: the workspace.
            now: monotonic time in seconds.
            due: monotonic time, in seconds, at which the report should be
                sent; pacing may delay it. A report due at `now` is urgent.
        """
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
        if demand.queued > SMALL_QUEUE and self._is_longer_by_step(
            demand, sent
        ):
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
        return self._is_longer_by_step(demand, sent) or self._is_longer_by_step(
            sent, demand
        )

    def _is_longer_by_step(
        self,
        demand: messages.WorkspaceDemand,
        other: messages.WorkspaceDemand | None,
    ) -> bool:
        """Returns whether `demand` has a longer queue than `other`.

        The difference must be at least 1/`QUEUE_STEPS` of the queue limit.
        None stands for an empty queue.
        """
        limits = self.state.catalogue.workspaces[demand.workspace].limits
        growth = demand.queued - (other.queued if other else 0)
        return growth * QUEUE_STEPS >= limits.queue_length

    def stage_slot_use(
        self,
        target: ids.TargetId,
        workspace: ids.WorkspaceId,
        now: float,
        due: float,
    ) -> None:
        """Schedules a report of a target's slot use for `due`."""
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

    def stage_target(self, target: ids.TargetId, now: float) -> None:
        """Schedules a report of a target's failures and draining state."""
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
            wants_answer=self.sender.has_unacknowledged_urgent(),
        )
