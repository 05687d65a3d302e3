"""Tries of a granted request at targets: dispatch, relay, faults.

A broken answer is resumed on its target, or run again elsewhere, only where
that can neither repeat an action nor damage what was passed on.
"""

from lentilbeam_core import catalogue as catalogue_lib
from lentilbeam_core import events
from lentilbeam_core import outcome
from lentilbeam_router import answer_feed
from lentilbeam_router import answer_store
from lentilbeam_router import node_task
from lentilbeam_router import problems
from lentilbeam_router import runs
from lentilbeam_router import target_client

MAX_RERUNS = 2
"""How often an idempotent request is run again after a failed try."""

MAX_RESUMES = 2
"""How often a broken stream is resumed on its target."""

RETRY_AFTER_S = 1.0
"""When to send an idempotent request again that failed here."""

_TARGET_ENDS = {
    target_client.FaultKind.UNREACHABLE: outcome.TargetEnd.NOT_STARTED,
    target_client.FaultKind.ERROR_ANSWER: outcome.TargetEnd.ERROR_ANSWER,
    target_client.FaultKind.DRAINING: outcome.TargetEnd.ERROR_ANSWER,
    target_client.FaultKind.BROKEN: outcome.TargetEnd.BROKEN,
}

_ANSWERED = frozenset(
    {
        target_client.FaultKind.ERROR_ANSWER,
        target_client.FaultKind.DRAINING,
    }
)


class Relay:
    """Runs granted requests at targets and feeds their answers on."""

    def __init__(
        self,
        node: node_task.NodeTask,
        targets: target_client.TargetClient,
        store: answer_store.AnswerStore,
    ):
        self.node = node
        self.targets = targets
        self.store = store
        self.metrics = node.metrics
        self.timeline = node.timeline

    async def dispatch(
        self, run: runs.Run, granted: node_task.Granted
    ) -> answer_feed.End | None:
        """Runs a try; returns the end, or None if another try is coming."""
        self.timeline.record(
            "request.dispatched", run.name, granted.target.name
        )
        while True:
            try:
                await self._relay(run, granted)
            except target_client.TargetError as fault:
                self._note_fault(run, granted, fault)
                if _can_resume(run, fault):
                    run.resumes += 1
                    self.metrics.count("relay.resumed")
                    continue
                return self._handle_fault(run, granted, fault)
            run.last_end = outcome.TargetEnd.WHOLE_ANSWER
            self.leave_target(run, events.RunEnd.COMPLETED)
            return answer_feed.Whole(
                run.assembler.length, run.assembler.sha256, run.cost
            )

    def leave_target(self, run: runs.Run, end: events.RunEnd) -> None:
        """Gives the request's slot back."""
        self.node.post(events.RequestEnded(run.name, run.cost, end))

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
            passed_on = run.assembler.add_piece(piece)
            if passed_on:
                self.store.grow(request, run.feed, passed_on)
            self._note_cost(run, piece.cost)
        if not run.assembler.is_complete:
            raise target_client.TargetError(
                target_client.FaultKind.BROKEN, run.assembler.describe_fault()
            )

    def _report_draining(self, target: catalogue_lib.Target) -> None:
        """Tells the node at once that the target takes no new work."""
        self.node.post(
            events.TargetReported(
                target.name, running=target.slots, waiting=0, draining=True
            )
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

    def _handle_fault(
        self,
        run: runs.Run,
        granted: node_task.Granted,
        fault: target_client.TargetError,
    ) -> answer_feed.End | None:
        may_try_again = _may_try_again(run)
        if may_try_again and fault.kind is target_client.FaultKind.UNREACHABLE:
            # The node puts the request at the front of its queue again.
            self.leave_target(run, events.RunEnd.UNREACHABLE)
            return None
        if fault.kind is target_client.FaultKind.DRAINING:
            self._report_draining(granted.target)
            self.leave_target(run, events.RunEnd.CANCELLED)
        else:
            self.leave_target(run, events.RunEnd.FAILED)
        if may_try_again and run.reruns < MAX_RERUNS:
            run.reruns += 1
            self.metrics.count("request.rerun")
            self.node.post(events.RequestArrived(run.build_queued()))
            return None
        return problems.build_failure(
            outcome.decide_outcome(run.exchange),
            fault.kind.value,
            fault.detail,
            run.request.name,
            RETRY_AFTER_S if run.request.is_idempotent else None,
        )


def _can_resume(run: runs.Run, fault: target_client.TargetError) -> bool:
    return (
        run.request.is_idempotent
        and run.assembler.length > 0
        and run.assembler.can_resume
        and run.resumes < MAX_RESUMES
        and fault.kind not in _ANSWERED
    )


def _may_try_again(run: runs.Run) -> bool:
    """Whether another try can neither repeat nor damage anything."""
    if run.assembler.length > 0:
        return False
    return run.request.is_idempotent or not run.hand_over.has_happened
