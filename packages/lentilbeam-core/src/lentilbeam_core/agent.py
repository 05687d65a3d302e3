"""The router's side of a pool: queues requests, uses grants, sends reports.

A grant is used or returned as soon as it arrives. While the scheduler is
unresponsive, freed slots are reused for the router's own least-served
workspace.
"""

import heapq
import math

from lentilbeam_core import agent_state
from lentilbeam_core import catalogue as catalogue_lib
from lentilbeam_core import costs
from lentilbeam_core import dispatch
from lentilbeam_core import events
from lentilbeam_core import freed_slots
from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core import outcome
from lentilbeam_core import queueing
from lentilbeam_core import reports

Settings = agent_state.Settings


class Agent:
    """Manages one router's requests for one pool.

    Attributes:
        pool: the pool's catalogue entry.
        state: queues, running requests and grants.
        reporter: builds reports to the scheduler.
        freed: freed slots that the scheduler has not acknowledged.
        estimator: estimates the costs of requests.
        deadlines: heap of deadlines (monotonic seconds) and request names.
        queued_elsewhere: requests queued at other routers, by workspace, as
            the scheduler reported them.
        is_local: whether the scheduler runs in this process.
        scheduler: the router that schedules the pool, or None before the
            first session.
        session_began_at: when the session began, in monotonic seconds.
    """

    def __init__(
        self,
        pool: catalogue_lib.Pool,
        incarnation: ids.Incarnation,
        settings: Settings,
    ):
        self.pool = pool
        self.state = agent_state.State(settings)
        self.reporter = reports.Reporter(self.state, pool.name, incarnation)
        self.freed = freed_slots.FreedSlots(self.state, self.reporter)
        self.estimator = costs.Estimator(settings.estimates)
        self.deadlines: list[tuple[float, ids.RequestId]] = []
        self.queued_elsewhere: dict[ids.WorkspaceId, int] = {}
        self.is_local = False
        self.scheduler: ids.InstanceId | None = None
        self.session_began_at = -math.inf

    def configure(
        self, pool: catalogue_lib.Pool, catalogue: catalogue_lib.Catalogue
    ) -> None:
        """Applies a new catalogue."""
        self.pool = pool
        self.state.catalogue = catalogue
        self.state.targets = {target.name: target for target in pool.targets}
        self.state.draining &= set(self.state.targets)

    def merge_virtual_times(
        self, times: dict[ids.WorkspaceId, float], floor: float
    ) -> None:
        """Keeps the state of a scheduler that this router has deactivated.

        It is reported to the next scheduler, which resumes from there.

        Args:
            times: virtual time of each workspace.
            floor: highest value so far of the lowest virtual time among the
                workspaces eligible for grants; never decreases.
        """
        self.reporter.floor = max(self.reporter.floor, floor)
        for workspace, time in times.items():
            queue = self.state.queue(workspace)
            queue.virtual_time = max(queue.virtual_time, time)

    def begin_session(
        self, scheduler: ids.InstanceId, is_local: bool, now: float
    ) -> None:
        """Begins a session with `scheduler` and reports all state to it.

        Args:
            scheduler: the router that schedules the pool.
            is_local: whether it is this router. Messages to a local scheduler
                are function calls, so they are not paced.
            now: monotonic time in seconds.
        """
        self.is_local = is_local
        self.scheduler = scheduler
        self.session_began_at = now
        self.queued_elsewhere = {}
        self.reporter.begin_session(is_local, now)
        self.freed.reset_for_session()
        self.state.drop_idle_slot_counts()
        for counts in self.state.slot_counts.values():
            counts.granted = counts.spent = 0
        self.reporter.stage_all(now)

    def enqueue(
        self, request: events.QueuedRequest, now: float
    ) -> list[events.Effect]:
        """Queues a request or refuses it.

        Returns the effects: the refusal, or dispatches to slots that are
        reused.
        """
        workspace = self.state.catalogue.workspaces.get(request.workspace)
        reason = outcome.RefusalReason
        if workspace is None:
            return [
                dispatch.refuse(request.name, reason.UNKNOWN_WORKSPACE, 0.0)
            ]
        limits = workspace.limits
        if (request.cost_hint or 0.0) > limits.largest_request:
            return [dispatch.refuse(request.name, reason.TOO_LARGE, 0.0)]
        queue = self.state.queue(request.workspace)
        queued = len(queue.pending)
        total = queued + self.queued_elsewhere.get(request.workspace, 0)
        if total >= max(limits.queue_length, 1):
            self.state.count("refused_queue_full")
            retry_after_s = queue.retry_after_s(now)
            return [
                dispatch.refuse(request.name, reason.QUEUE_FULL, retry_after_s)
            ]
        estimate = self.estimator.estimate(
            request.workspace,
            request.call,
            request.cost_hint,
            limits.largest_request,
        )
        if now + queue.expected_wait_s(queued, now) >= request.deadline:
            self.state.count("refused_deadline")
            retry_after_s = queue.retry_after_s(now)
            return [
                dispatch.refuse(
                    request.name, reason.DEADLINE_UNREACHABLE, retry_after_s
                )
            ]
        pending = queueing.PendingRequest(request, estimate, now)
        self.state.queued_by_name[request.name] = pending
        if not math.isinf(request.deadline):
            heapq.heappush(self.deadlines, (request.deadline, request.name))
        queue.push(pending, now)
        self.reporter.stage_demand(request.workspace, now, now)
        return self.freed.reuse(now)

    def remove_queued(self, name: ids.RequestId, now: float) -> None:
        """Removes a request from its queue; does nothing if it isn't queued."""
        pending = self.state.queued_by_name.pop(name, None)
        if pending is None:
            return
        workspace = pending.request.workspace
        self.state.queues[workspace].remove(name)
        self.reporter.stage_demand(workspace, now, now)

    def record_progress(
        self, name: ids.RequestId, cost: float, now: float
    ) -> None:
        """Records a running request's cost so far."""
        run = self.state.running.get(name)
        if run is None or cost <= run.used:
            return
        workspace = run.pending.request.workspace
        self.state.queue(workspace).served += cost - run.used
        run.used = cost
        self.reporter.stage_progress(run, now)

    def finish_run(
        self, name: ids.RequestId, cost: float, end: events.RunEnd, now: float
    ) -> list[events.Effect]:
        """Records the end of a dispatched request, with its final cost.

        Returns the effects: a refusal if the request can't be retried, and
        dispatches to slots that are reused.
        """
        run = self.state.running.pop(name, None)
        if run is None:
            return []
        request = run.pending.request
        self.state.running_by_workspace[request.workspace].discard(name)
        queue = self.state.queue(request.workspace)
        queue.served += max(cost, run.used) - run.used
        self.state.slot_counts[run.target, request.workspace].running -= 1
        effects = []
        if end is events.RunEnd.UNREACHABLE:
            effects = dispatch.retry(self.state, run, now)
        elif end is not events.RunEnd.FAILED:
            self.freed.add(run.target)
        if end is events.RunEnd.COMPLETED:
            self.estimator.learn(
                request.workspace, request.call, request.cost_hint, cost
            )
        self.reporter.count_failure(run.target, end)
        if self.reporter.target_uses[run.target].failed:
            self.reporter.stage_target(run.target, now)
        self.reporter.stage_slot_use(run.target, request.workspace, now, now)
        self.reporter.stage_demand(request.workspace, now, now)
        return effects + self.freed.reuse(now)

    def update_target(self, report: events.TargetReported, now: float) -> None:
        """Records whether a target is draining."""
        if report.target not in self.state.targets:
            return
        if report.draining == (report.target in self.state.draining):
            return
        self.state.draining ^= {report.target}
        self.reporter.get_target_use(report.target)
        self.reporter.stage_target(report.target, now)

    def apply_grants(
        self, update: messages.GrantUpdate, now: float
    ) -> list[events.Effect]:
        """Starts requests with the grants of `update` and returns the rest.

        Updates of other sessions are ignored. If the scheduler asks for a
        full report, a new session begins.
        """
        if update.session != self.reporter.session:
            return []
        if update.needs_full:
            self.begin_session(self.scheduler, self.is_local, now)
            return []
        if self.reporter.acknowledge(update.acknowledged, now):
            self.freed.drop_acknowledged()
        if not self.reporter.receiver.accept(
            update.sequence, update.part, update.parts
        ):
            return []
        self.reporter.floor = max(self.reporter.floor, update.floor)
        self.reporter.sender.set_interval(update.pace_ms / messages.MS_PER_S)
        for queued in update.queues:
            self.queued_elsewhere[queued.workspace] = queued.queued
        effects = []
        for grant in update.grants:
            effects += self._apply_grant(grant, now)
        if update.grants or update.queues:
            self.reporter.sender.schedule_send(
                now + self.state.settings.low_priority_delay_s
            )
        return effects

    def tick(self, now: float) -> list[events.Effect]:
        """Refuses requests past their deadline and reuses freed slots."""
        effects = []
        while self.deadlines and self.deadlines[0][0] <= now:
            _, name = heapq.heappop(self.deadlines)
            if name not in self.state.queued_by_name:
                continue
            request = self.state.queued_by_name[name].request
            queue = self.state.queues[request.workspace]
            retry_after_s = queue.retry_after_s(now)
            self.remove_queued(request.name, now)
            self.state.count("refused_deadline")
            reason = outcome.RefusalReason.DEADLINE_UNREACHABLE
            effects.append(dispatch.refuse(request.name, reason, retry_after_s))
        return effects + self.freed.reuse(now)

    def next_due_at(self, now: float) -> float:
        """Returns when to call `tick` or `report`, in monotonic seconds.

        Returns infinity if nothing is due.
        """
        due = min(
            self.reporter.sender.next_due_at(), self.freed.next_due_at(now)
        )
        return min(due, self.deadlines[0][0] if self.deadlines else math.inf)

    def report(self, now: float) -> list[messages.DemandReport]:
        """Returns the report that is due, in parts; empty if none is."""
        return self.reporter.report(now)

    def has_request(self, name: ids.RequestId) -> bool:
        """Returns whether the request is queued or running here."""
        return name in self.state.queued_by_name or name in self.state.running

    def _apply_grant(
        self, grant: messages.Grant, now: float
    ) -> list[events.Effect]:
        queue = self.state.queue(grant.workspace)
        queue.virtual_time = max(queue.virtual_time, grant.virtual_time)
        queue.last_used_at = now
        counts = self.state.get_slot_counts(grant.target, grant.workspace)
        unused_grants = grant.granted - counts.granted
        if unused_grants <= 0:
            return []
        counts.granted = grant.granted
        counts.spent = grant.granted
        effects = []
        is_usable = self.state.is_usable(grant.target)
        while unused_grants and is_usable and queue.pending:
            effects.append(dispatch.start(self.state, queue, grant.target, now))
            unused_grants -= 1
        due = (
            now
            if unused_grants
            else now + self.state.settings.low_priority_delay_s
        )
        self.reporter.stage_slot_use(grant.target, grant.workspace, now, due)
        self.reporter.stage_demand(grant.workspace, now, due)
        if unused_grants:
            self.state.count("grants_returned", unused_grants)
        return effects
