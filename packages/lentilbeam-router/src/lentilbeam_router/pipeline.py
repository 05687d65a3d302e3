"""A request's way through the router, from the queue to settlement.

enqueue -> grant -> claim -> dispatch -> relay -> settle. Each run is a task
of its own that feeds an `AnswerFeed`; callers only read the feed, so that a
caller that was cut off can attach again.
"""

import asyncio

from lentilbeam_core import claim_events
from lentilbeam_core import clock as clock_lib
from lentilbeam_core import events
from lentilbeam_core import outcome
from lentilbeam_router import answer_feed
from lentilbeam_router import answer_store
from lentilbeam_router import claim_task
from lentilbeam_router import lost_claims
from lentilbeam_router import node_task
from lentilbeam_router import problems
from lentilbeam_router import requests
from lentilbeam_router import runs
from lentilbeam_router import target_client

MAX_RERUNS = 2
"""How often an idempotent request is run again after a failed try."""

MAX_RESUMES = 2
"""How often a broken stream is resumed on its target."""

_TARGET_ENDS = {
    target_client.FaultKind.UNREACHABLE: outcome.TargetEnd.NOT_STARTED,
    target_client.FaultKind.ERROR_ANSWER: outcome.TargetEnd.ERROR_ANSWER,
    target_client.FaultKind.BROKEN: outcome.TargetEnd.BROKEN,
}


class Pipeline:
    """Runs requests; one task each."""

    def __init__(
        self,
        node: node_task.NodeTask,
        claims: claim_task.ClaimTask,
        lost: lost_claims.LostClaims,
        targets: target_client.TargetClient,
        store: answer_store.AnswerStore,
        clock: clock_lib.Clock,
    ):
        self.node = node
        self.claims = claims
        self.lost = lost
        self.targets = targets
        self.store = store
        self.clock = clock
        self.metrics = node.metrics
        self.timeline = node.timeline
        self.tasks: set[asyncio.Task] = set()

    def start(self, request: requests.CallerRequest) -> answer_feed.AnswerFeed:
        """Starts a task that runs the request; returns its answer's feed."""
        feed = self.store.open(request)
        deadline = self.clock.monotonic() + request.deadline_s
        task = asyncio.create_task(self._run(runs.Run(request, feed, deadline)))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return feed

    async def wait_until_idle(self, limit_s: float) -> int:
        """Waits until no request runs; returns how many are left then."""
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=limit_s)
        return len(self.tasks)

    async def _run(self, run: runs.Run) -> None:
        started = self.clock.monotonic()
        self.timeline.record("request.admitted", run.name)
        mailbox = self.node.open_mailbox(run.name)
        try:
            run.feed.finish(await self._serve(run, mailbox))
        finally:
            self.node.close_mailbox(run.name)
            self._settle(run, started)

    async def _serve(
        self, run: runs.Run, mailbox: asyncio.Queue[node_task.Decision]
    ) -> answer_feed.End:
        self._enqueue(run)
        while True:
            decision = await mailbox.get()
            if isinstance(decision, node_task.Refused):
                return self._refuse(run, decision)
            end = await self._claim(run)
            if end is not None:
                self._leave_target(run, events.RunEnd.CANCELLED)
                return end
            end = await self._dispatch(run, decision)
            if end is not None:
                return end

    def _enqueue(self, run: runs.Run) -> None:
        request = run.request
        queued = events.QueuedRequest(
            name=run.name,
            workspace=request.workspace,
            pool=request.pool.name,
            call=request.call,
            cost_hint=request.cost_hint,
            deadline=run.deadline,
            prefix=request.prefix,
        )
        self.node.post(events.RequestArrived(queued))

    async def _claim(self, run: runs.Run) -> answer_feed.End | None:
        """Returns None if the request may be run, else its end."""
        if run.request.is_idempotent:
            return None
        if run.won is None:
            result = await self.claims.obtain(run.request.key, run.deadline)
            match result:
                case claim_events.ClaimWon():
                    run.won = result
                case claim_events.ClaimRefused():
                    return self._refuse_claim(run, result)
                case claim_events.ClaimLost():
                    return await self.lost.resolve(run, result)
        if self.claims.start_run(run.won):
            return None
        return problems.build_refusal(
            outcome.RefusalReason.KEY_TOO_OLD,
            "the claim ended before the request could be run",
            run.request.name,
        )

    def _refuse_claim(
        self, run: runs.Run, refused: claim_events.ClaimRefused
    ) -> problems.Problem:
        self.metrics.count(f"refused.{refused.reason.value}")
        return problems.build_refusal(
            refused.reason,
            "the request could not be claimed and was not run",
            run.request.name,
            refused.retry_after_s,
        )

    async def _dispatch(
        self, run: runs.Run, granted: node_task.Granted
    ) -> answer_feed.End | None:
        """Runs a try; returns the end, or None if another try is coming."""
        target = granted.target
        self.timeline.record("request.dispatched", run.name, target.name)
        while True:
            try:
                await self._relay(run, granted)
            except target_client.TargetError as fault:
                self._note_fault(run, granted, fault)
                if self._can_resume(run, fault):
                    run.resumes += 1
                    self.metrics.count("relay.resumed")
                    continue
                return self._handle_fault(run, fault)
            run.last_end = outcome.TargetEnd.WHOLE_ANSWER
            self._leave_target(run, events.RunEnd.COMPLETED)
            return answer_feed.Whole(
                run.assembler.length, run.assembler.sha256, run.cost
            )

    async def _relay(self, run: runs.Run, granted: node_task.Granted) -> None:
        """Passes one try's answer on to the feed.

        Raises:
            TargetError: the answer did not come whole.
        """
        request = run.request
        order = target_client.TargetRequest(
            name=request.target_name,
            workspace=request.workspace,
            call=request.call,
            input=request.input,
            is_idempotent=request.is_idempotent,
            offset=run.assembler.length,
        )
        pieces = self.targets.run(
            granted.target, request.pool.kind, order, run.hand_over
        )
        async for piece in pieces:
            passed_on = run.assembler.take(piece)
            if passed_on:
                self.store.grow(request, run.feed, passed_on)
            self._note_cost(run, piece.cost)
        if not run.assembler.is_complete:
            raise target_client.TargetError(
                target_client.FaultKind.BROKEN, run.assembler.describe_fault()
            )

    def _note_cost(self, run: runs.Run, cost: float) -> None:
        if cost > run.cost:
            run.cost = cost
            self.node.post(events.RequestProgressed(run.name, cost))

    def _note_fault(
        self,
        run: runs.Run,
        granted: node_task.Granted,
        fault: target_client.TargetError,
    ) -> None:
        run.last_end = _TARGET_ENDS[fault.kind]
        self.metrics.count(f"target_fault.{fault.kind.value}")
        detail = f"{granted.target.name}: {fault.detail}"
        self.timeline.record("request.fault", run.name, detail)

    def _can_resume(
        self, run: runs.Run, fault: target_client.TargetError
    ) -> bool:
        return (
            run.request.is_idempotent
            and run.assembler.length > 0
            and run.assembler.can_resume
            and run.resumes < MAX_RESUMES
            and fault.kind is not target_client.FaultKind.ERROR_ANSWER
        )

    def _handle_fault(
        self, run: runs.Run, fault: target_client.TargetError
    ) -> answer_feed.End | None:
        is_unreachable = fault.kind is target_client.FaultKind.UNREACHABLE
        if is_unreachable and self._may_try_again(run):
            # The node puts the request at the front of its queue again.
            self._leave_target(run, events.RunEnd.UNREACHABLE)
            return None
        self._leave_target(run, events.RunEnd.FAILED)
        if self._may_try_again(run) and run.reruns < MAX_RERUNS:
            run.reruns += 1
            self.metrics.count("request.rerun")
            self._enqueue(run)
            return None
        return problems.build_failure(
            outcome.decide_outcome(run.exchange),
            fault.kind.value,
            fault.detail,
            run.request.name,
        )

    def _may_try_again(self, run: runs.Run) -> bool:
        """Whether another try can neither repeat nor damage anything."""
        if run.assembler.length > 0:
            return False
        return run.request.is_idempotent or not run.hand_over.has_happened

    def _leave_target(self, run: runs.Run, end: events.RunEnd) -> None:
        self.node.post(events.RequestEnded(run.name, run.cost, end))

    def _refuse(
        self, run: runs.Run, refused: node_task.Refused
    ) -> problems.Problem:
        if run.hand_over.has_happened:
            return problems.build_failure(
                outcome.Outcome.OUTCOME_UNKNOWN,
                "not_followed",
                "an earlier try reached a target and none could follow",
                run.request.name,
            )
        return problems.build_refusal(
            refused.reason,
            "the request was not run",
            run.request.name,
            refused.retry_after_s,
        )

    def _settle(self, run: runs.Run, started: float) -> None:
        if run.won is not None:
            self.claims.settle(run.won, run.exchange)
        end = run.feed.end
        if end is None:
            end = problems.build_failure(
                outcome.Outcome.OUTCOME_UNKNOWN,
                "router_fault",
                "the router failed while the request was on its way",
                run.request.name,
            )
            run.feed.finish(end)
        self.store.close(run.request, run.feed)
        ended = outcome.Outcome.COMPLETED
        if isinstance(end, problems.Problem):
            ended = end.outcome
        self.metrics.count(f"outcome.{ended.value}")
        self.metrics.time("request", self.clock.monotonic() - started)
        self.timeline.record("request.ended", run.name, ended.value)
