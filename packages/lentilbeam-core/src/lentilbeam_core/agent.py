"""The router's side of a pool: its queues, its grants and its reports.

A grant is used or given back as soon as it arrives. While the scheduler is
silent, a slot whose request has ended is used again for the router's own
least-served workspace, until the scheduler answers.
"""

import dataclasses
import heapq
import math

from lentilbeam_core import catalogue as catalogue_lib
from lentilbeam_core import channel
from lentilbeam_core import costs
from lentilbeam_core import events
from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core import outcome
from lentilbeam_core import prefixes
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
UNREACHABLE_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the router's side.

    Attributes:
        pace: how often reports are sent to another router.
        lazy_s: how long a change may wait that changes no decision.
        autonomy_s: a scheduler that has not answered for this long is
            silent, and slots are used again without it.
        max_tries: targets tried for one request while none took a byte.
        retry_ratio: retries allowed for each dispatched request.
        retry_burst: retries allowed at once.
        estimates: settings of cost estimates.
        prefix_memory: settings of the prefix memory.
    """

    pace: channel.Pace = channel.Pace(interval_s=0.15, resend_s=0.3)
    lazy_s: float = 0.25
    autonomy_s: float = 0.3
    max_tries: int = 4
    retry_ratio: float = 0.1
    retry_burst: float = 16.0
    estimates: costs.Settings = costs.Settings()
    prefix_memory: prefixes.Settings = prefixes.Settings()


@dataclasses.dataclass(slots=True)
class Run:
    """A dispatched request.

    Attributes:
        pending: the request.
        target: where it runs.
        started: when it was dispatched, monotonic seconds.
        used: its cost so far.
    """

    pending: queueing.Pending
    target: ids.TargetId
    started: float
    used: float = 0.0


@dataclasses.dataclass(slots=True)
class Cell:
    """Grants and runs of one workspace on one target."""

    granted: int = 0
    spent: int = 0
    running: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class HeldSlot:
    """A slot whose request ended; free once `sequence` is acknowledged."""

    target: ids.TargetId
    sequence: int


class Agent:
    """Queues, grants and reports of one router for one pool."""

    def __init__(
        self,
        pool: catalogue_lib.Pool,
        incarnation: ids.Incarnation,
        settings: Settings,
    ):
        self.pool = pool
        self.incarnation = incarnation
        self.settings = settings
        self.catalogue = catalogue_lib.EMPTY
        self.targets: dict[ids.TargetId, catalogue_lib.Target] = {}
        self.draining: set[ids.TargetId] = set()
        self.queues: dict[ids.WorkspaceId, queueing.WorkspaceQueue] = {}
        self.waiting: dict[ids.RequestId, queueing.Pending] = {}
        self.deadlines: list[tuple[float, ids.RequestId]] = []
        self.running: dict[ids.RequestId, Run] = {}
        self.by_workspace: dict[ids.WorkspaceId, set[ids.RequestId]] = {}
        self.cells: dict[tuple[ids.TargetId, ids.WorkspaceId], Cell] = {}
        self.uses: dict[ids.TargetId, messages.TargetUse] = {}
        self.held: list[HeldSlot] = []
        self.elsewhere: dict[ids.WorkspaceId, int] = {}
        self.estimator = costs.Estimator(settings.estimates)
        self.prefixes = prefixes.PrefixMemory(settings.prefix_memory)
        self.retry_budget = settings.retry_burst
        self.is_local = False
        self.scheduler: ids.InstanceId | None = None
        self.session = (incarnation & 0xFFFFFF) << SESSION_BITS
        self.sender = channel.StateSender(settings.pace)
        self.receiver = channel.StateReceiver()
        self.unanswered_since = math.inf
        self.answered_at = -math.inf
        self.followed_at = -math.inf
        self.introduced: set[ids.WorkspaceId] = set()
        self.floor = 0.0
        self.counters: dict[str, int] = {}

    def configure(
        self, pool: catalogue_lib.Pool, catalogue: catalogue_lib.Catalogue
    ) -> None:
        """Takes in a new catalogue."""
        self.pool = pool
        self.catalogue = catalogue
        self.targets = {target.name: target for target in pool.targets}
        self.draining &= set(self.targets)

    def adopt(self, times: dict[ids.WorkspaceId, float], floor: float) -> None:
        """Keeps the virtual times of a scheduler that gave up its role."""
        self.floor = max(self.floor, floor)
        for workspace, time in times.items():
            queue = self._queue(workspace)
            queue.virtual_time = max(queue.virtual_time, time)

    def follow(
        self, scheduler: ids.InstanceId, is_local: bool, now: float
    ) -> None:
        """Begins a session with `scheduler`: all state is sent anew.

        One in this process is local, and messages to it cost nothing.
        """
        self.is_local = is_local
        self.scheduler = scheduler
        self.session += 1
        self.followed_at = now
        pace = channel.Pace() if is_local else self.settings.pace
        self.sender = channel.StateSender(pace)
        self.receiver = channel.StateReceiver()
        self.elsewhere = {}
        self.introduced = set()
        self.unanswered_since = now
        self.answered_at = -math.inf
        self.held = [HeldSlot(held.target, 1) for held in self.held]
        self._forget_idle()
        for cell in self.cells.values():
            cell.granted = cell.spent = 0
        for target in self.uses:
            self._publish_target(target, now)
        for workspace, queue in self.queues.items():
            if queue.pending or now - queue.used_at <= IDLE_S:
                self._publish_demand(workspace, now, now)
        for target, workspace in self.cells:
            self._publish_cell(target, workspace, now, now)
        self.sender.want(now)

    def arrive(
        self, request: events.QueuedRequest, now: float
    ) -> list[events.Effect]:
        """Queues a request, or refuses it."""
        workspace = self.catalogue.workspaces.get(request.workspace)
        reason = outcome.RefusalReason
        if workspace is None:
            return [_refuse(request.name, reason.UNKNOWN_WORKSPACE, 0.0)]
        limits = workspace.limits
        if (request.cost_hint or 0.0) > limits.largest_request:
            return [_refuse(request.name, reason.TOO_LARGE, 0.0)]
        queue = self._queue(request.workspace)
        waiting = len(queue.pending)
        total = waiting + self.elsewhere.get(request.workspace, 0)
        if total >= max(limits.queue_length, 1):
            self._count("refused_queue_full")
            after_s = queue.retry_after_s(now)
            return [_refuse(request.name, reason.QUEUE_FULL, after_s)]
        estimate = self.estimator.estimate(
            request.workspace,
            request.call,
            request.cost_hint,
            limits.largest_request,
        )
        if now + queue.expected_wait_s(waiting, now) >= request.deadline:
            self._count("refused_deadline")
            after_s = queue.retry_after_s(now)
            return [_refuse(request.name, reason.DEADLINE_UNREACHABLE, after_s)]
        pending = queueing.Pending(request, estimate, now)
        self.waiting[request.name] = pending
        if not math.isinf(request.deadline):
            heapq.heappush(self.deadlines, (request.deadline, request.name))
        queue.push(pending, now)
        self._publish_demand(request.workspace, now, now)
        return self._reuse_held(now)

    def withdraw(self, name: ids.RequestId, now: float) -> None:
        """Drops a request that its caller gave up on."""
        pending = self.waiting.pop(name, None)
        if pending is None:
            return
        workspace = pending.request.workspace
        self.queues[workspace].remove(name)
        self._publish_demand(workspace, now, now)

    def progress(self, name: ids.RequestId, cost: float, now: float) -> None:
        """Takes in a running request's cost so far."""
        run = self.running.get(name)
        if run is None or cost <= run.used:
            return
        workspace = run.pending.request.workspace
        self._queue(workspace).served += cost - run.used
        run.used = cost
        self._publish_progress(run, now)

    def end(
        self, name: ids.RequestId, cost: float, end: events.RunEnd, now: float
    ) -> list[events.Effect]:
        """Settles a request that left its target."""
        run = self.running.pop(name, None)
        if run is None:
            return []
        request = run.pending.request
        self.by_workspace[request.workspace].discard(name)
        queue = self._queue(request.workspace)
        queue.served += max(cost, run.used) - run.used
        self.cells[run.target, request.workspace].running -= 1
        effects = []
        if end is events.RunEnd.UNREACHABLE:
            effects = self._retry(run, now)
        elif end is not events.RunEnd.FAILED:
            self.held.append(HeldSlot(run.target, self.sender.sequence + 1))
        if end is events.RunEnd.COMPLETED:
            self.estimator.learn(
                request.workspace, request.call, request.cost_hint, cost
            )
        self._count_end(run.target, end)
        if self.uses[run.target].failed:
            self._publish_target(run.target, now)
        self._publish_cell(run.target, request.workspace, now, now)
        self._publish_demand(request.workspace, now, now)
        return effects + self._reuse_held(now)

    def hear_target(self, report: events.TargetReported, now: float) -> None:
        """Takes in whether a target is leaving."""
        if report.target not in self.targets:
            return
        if report.draining == (report.target in self.draining):
            return
        self.draining ^= {report.target}
        self._use(report.target)
        self._publish_target(report.target, now)

    def take_grants(
        self, update: messages.GrantUpdate, now: float
    ) -> list[events.Effect]:
        """Uses the grants of `update`; gives back what can't be used."""
        if update.session != self.session:
            return []
        if update.needs_full:
            self.follow(self.scheduler, self.is_local, now)
            return []
        self._take_acknowledgement(update.acknowledged, now)
        if not self.receiver.accept(update.sequence, update.part, update.parts):
            return []
        self.floor = max(self.floor, update.floor)
        self.sender.is_paced = update.is_busy
        for queued in update.queues:
            self.elsewhere[queued.workspace] = queued.queued
        effects = []
        for grant in update.grants:
            effects += self._take_grant(grant, now)
        if update.grants or update.queues:
            self.sender.want(now + self.settings.lazy_s)
        return effects

    def tick(self, now: float) -> list[events.Effect]:
        """Refuses what is too late and uses slots of a silent scheduler."""
        effects = []
        while self.deadlines and self.deadlines[0][0] <= now:
            _, name = heapq.heappop(self.deadlines)
            if name not in self.waiting:
                continue
            request = self.waiting[name].request
            queue = self.queues[request.workspace]
            after_s = queue.retry_after_s(now)
            self.withdraw(request.name, now)
            self._count("refused_deadline")
            reason = outcome.RefusalReason.DEADLINE_UNREACHABLE
            effects.append(_refuse(request.name, reason, after_s))
        return effects + self._reuse_held(now)

    def due(self, now: float) -> float:
        """Returns when `tick` or `report` is to be called next."""
        due = self.sender.due()
        if self.held and self.waiting:
            alone_at = self.unanswered_since + self.settings.autonomy_s
            due = min(due, alone_at if alone_at > now else math.inf)
        return min(due, self.deadlines[0][0] if self.deadlines else math.inf)

    def report(self, now: float) -> list[messages.DemandReport]:
        """Returns the report that is due, in parts; empty if none is."""
        if self.sender.due() > now:
            return []
        items = self.sender.collect(now)
        if self.sender.is_urgent():
            self.unanswered_since = min(self.unanswered_since, now)
        chunks = [
            items[i : i + MAX_ITEMS] for i in range(0, len(items), MAX_ITEMS)
        ] or [[]]
        return [
            self._make_part(part, index, len(chunks))
            for index, part in enumerate(chunks)
        ]

    def holds(self, name: ids.RequestId) -> bool:
        """Tells whether the request waits or runs."""
        return name in self.waiting or name in self.running

    def _make_part(
        self, items: list[object], part: int, parts: int
    ) -> messages.DemandReport:
        def of(kind):
            return tuple(item for item in items if isinstance(item, kind))

        is_full = self.sender.acknowledged == 0
        return messages.DemandReport(
            pool=self.pool.name,
            incarnation=self.incarnation if is_full else ids.Incarnation(0),
            session=self.session,
            sequence=self.sender.sequence,
            part=part,
            parts=parts,
            acknowledged=self.receiver.complete,
            is_full=is_full,
            floor=self.floor if is_full else 0.0,
            workspaces=of(messages.WorkspaceDemand),
            slots=of(messages.SlotUse),
            targets=of(messages.TargetUse),
            wants_answer=self.sender.is_urgent(),
        )

    def _take_acknowledgement(self, sequence: int, now: float) -> None:
        self.answered_at = now
        arrived = self.sender.acknowledge(sequence)
        if arrived is None:
            return
        self.held = [held for held in self.held if held.sequence > sequence]
        is_waiting = self.sender.is_urgent()
        self.unanswered_since = now if is_waiting else math.inf
        for kind, name, *_ in arrived:
            if kind == "demand":
                sent = self.sender.values[kind, name]
                self.queues[name].acknowledged_served = sent.served
                self.introduced.add(name)

    def _take_grant(
        self, grant: messages.Grant, now: float
    ) -> list[events.Effect]:
        queue = self._queue(grant.workspace)
        queue.virtual_time = max(queue.virtual_time, grant.virtual_time)
        queue.used_at = now
        cell = self._cell(grant.target, grant.workspace)
        fresh = grant.granted - cell.granted
        if fresh <= 0:
            return []
        cell.granted = grant.granted
        cell.spent = grant.granted
        effects = []
        is_usable = self._is_usable(grant.target)
        while fresh and is_usable and queue.pending:
            effects.append(self._start(queue, grant.target, now))
            fresh -= 1
        due = now if fresh else now + self.settings.lazy_s
        self._publish_cell(grant.target, grant.workspace, now, due)
        self._publish_demand(grant.workspace, now, due)
        if fresh:
            self._count("grants_returned", fresh)
        return effects

    def _is_usable(self, target: ids.TargetId) -> bool:
        return target in self.targets and target not in self.draining

    def _start(
        self,
        queue: queueing.WorkspaceQueue,
        target: ids.TargetId,
        now: float,
    ) -> events.Effect:
        window = list(queue.pending)[: queueing.LOOKAHEAD]
        cached = {
            pending.request.prefix
            for pending in window
            if self.prefixes.recall(pending.request.prefix, now) == target
        }
        pending = queue.take(queue.find_preferred(cached), now)
        request = pending.request
        del self.waiting[request.name]
        self.running[request.name] = Run(pending, target, now)
        self.by_workspace.setdefault(request.workspace, set()).add(request.name)
        self._cell(target, request.workspace).running += 1
        self.prefixes.remember(request.prefix, target, now)
        budget = self.retry_budget + self.settings.retry_ratio
        self.retry_budget = min(budget, self.settings.retry_burst)
        self._count("dispatched")
        return events.DispatchRequest(request.name, self.targets[target])

    def _reuse_held(self, now: float) -> list[events.Effect]:
        """Uses slots again for which a silent scheduler has no answer."""
        if now < self.unanswered_since + self.settings.autonomy_s:
            return []
        effects = []
        kept = []
        for held in self.held:
            workspace = self._least_served()
            if workspace is None or not self._is_usable(held.target):
                kept.append(held)
                continue
            queue = self.queues[workspace]
            effects.append(self._start(queue, held.target, now))
            self._publish_cell(held.target, workspace, now, now)
            self._publish_demand(workspace, now, now)
            self._count("autonomous")
        self.held = kept
        return effects

    def _least_served(self) -> ids.WorkspaceId | None:
        backlogged = [
            workspace
            for workspace, queue in self.queues.items()
            if queue.pending and not self._is_limited(workspace)
        ]
        return min(backlogged, key=self._local_virtual_time, default=None)

    def _is_limited(self, workspace: ids.WorkspaceId) -> bool:
        """Tells whether only a scheduler can hold the workspace's limits."""
        entry = self.catalogue.workspaces.get(workspace)
        if entry is None:
            return True
        limits = entry.limits
        return limits.concurrency is not None or limits.rate_per_s is not None

    def _local_virtual_time(self, workspace: ids.WorkspaceId) -> float:
        queue = self.queues[workspace]
        recent = queue.served - queue.acknowledged_served
        expected = self._expected(workspace)
        weight = self.catalogue.weight(workspace)
        return queue.virtual_time + (recent + expected) / weight

    def _retry(self, run: Run, now: float) -> list[events.Effect]:
        pending = run.pending
        pending.tries += 1
        request = pending.request
        can_retry = pending.tries < self.settings.max_tries
        if not can_retry or self.retry_budget < 1:
            reason = outcome.RefusalReason.NO_TARGET
            return [_refuse(request.name, reason, UNREACHABLE_RETRY_AFTER_S)]
        self.retry_budget -= 1
        self.waiting[request.name] = pending
        self._queue(request.workspace).push_front(pending, now)
        return []

    def _count_end(self, target: ids.TargetId, end: events.RunEnd) -> None:
        use = self._use(target)
        is_failure = end in (events.RunEnd.FAILED, events.RunEnd.UNREACHABLE)
        failed = use.failed + is_failure
        self.uses[target] = dataclasses.replace(use, failed=failed)

    def _use(self, target: ids.TargetId) -> messages.TargetUse:
        use = self.uses.get(target) or messages.TargetUse(target, 0, False)
        is_draining = target in self.draining
        use = dataclasses.replace(use, is_draining=is_draining)
        self.uses[target] = use
        return use

    def _expected(self, workspace: ids.WorkspaceId) -> float:
        runs = (self.running[n] for n in self.by_workspace.get(workspace, ()))
        return sum(costs.remaining(r.pending.estimate, r.used) for r in runs)

    def _publish_progress(self, run: Run, now: float) -> None:
        """Reports service that has grown by a large part of a request."""
        workspace = run.pending.request.workspace
        entry = self.catalogue.workspaces.get(workspace)
        sent = self.sender.values.get(("demand", workspace))
        if entry is None or sent is None:
            return
        grown = self._queue(workspace).served - sent.served
        if grown < entry.limits.largest_request * PROGRESS_STEP:
            return
        due = now + self.settings.lazy_s
        self._publish_cell(run.target, workspace, now, due)
        self._publish_demand(workspace, now, due)

    def _publish_demand(
        self, workspace: ids.WorkspaceId, now: float, due: float
    ) -> None:
        queue = self.queues[workspace]
        is_first = workspace not in self.introduced
        head = queue.pending[0] if queue.pending else None
        demand = messages.WorkspaceDemand(
            workspace=workspace,
            queued=len(queue.pending),
            oldest_age_ms=int((now - head.arrived) * 1000) if head else 0,
            served=queue.served,
            next_cost=head.estimate if head else 0.0,
            preferred=self._prefer(head, now),
            virtual_time=queue.virtual_time if is_first else 0.0,
            unsettled=(
                queue.served - queue.acknowledged_served if is_first else 0.0
            ),
        )
        sent = self.sender.values.get(("demand", workspace))
        if demand.queued > SMALL_QUEUE and self._has_grown(demand, sent):
            self.sender.hurry()
        if self._is_significant(demand):
            self.sender.put(("demand", workspace), demand, due, due <= now)

    def _prefer(self, head: queueing.Pending | None, now: float) -> str:
        return self.prefixes.recall(head.request.prefix, now) if head else ""

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
        limits = self.catalogue.workspaces[demand.workspace].limits
        growth = demand.queued - (sent.queued if sent else 0)
        return growth * QUEUE_STEPS >= limits.queue_length

    def _publish_cell(
        self,
        target: ids.TargetId,
        workspace: ids.WorkspaceId,
        now: float,
        due: float,
    ) -> None:
        cell = self.cells[target, workspace]
        runs = (self.running[n] for n in self.by_workspace.get(workspace, ()))
        expected = sum(
            costs.remaining(run.pending.estimate, run.used)
            for run in runs
            if run.target == target
        )
        use = messages.SlotUse(
            target,
            workspace,
            cell.granted,
            cell.spent,
            cell.running,
            expected,
        )
        self.sender.put(("cell", target, workspace), use, due, due <= now)

    def _publish_target(self, target: ids.TargetId, now: float) -> None:
        """Reports experience with a target."""
        self.sender.put(("use", target), self._use(target), now)

    def _queue(self, workspace: ids.WorkspaceId) -> queueing.WorkspaceQueue:
        if workspace not in self.queues:
            self.queues[workspace] = queueing.WorkspaceQueue()
        return self.queues[workspace]

    def _cell(self, target: ids.TargetId, workspace: ids.WorkspaceId) -> Cell:
        return self.cells.setdefault((target, workspace), Cell())

    def _forget_idle(self) -> None:
        self.cells = {k: c for k, c in self.cells.items() if c.running}

    def _count(self, name: str, amount: int = 1) -> None:
        self.counters[name] = self.counters.get(name, 0) + amount


def _refuse(
    name: ids.RequestId, reason: outcome.RefusalReason, after_s: float
) -> events.RefuseRequest:
    return events.RefuseRequest(name, reason, after_s)
