"""Runs granted requests at targets and handles failed attempts.

After a failure, the answer is resumed at the same target or the request is
run again, but only if this can neither repeat an action nor change what the
caller has already received.
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
"""Maximum number of times a request is queued again after a failure.

Attempts that reached no target are not counted and have no limit.
"""

MAX_RESUMES = 2
"""Maximum number of times a broken stream is resumed at its target."""

RETRY_AFTER_S = 1.0
"""`retry_after_s` of failed idempotent requests."""

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
    """Runs granted requests at targets and appends answers to their feeds.

    Attributes:
        node: the task that grants slots.
        targets: client for calls to targets.
        store: keeps the answers.
        metrics: counters and histograms of the process.
        timeline: records changes of state.
    """

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
        """Makes one attempt at the granted target, with resumes if necessary.

        Returns:
            The end of the answer; None if the request was queued again.
        """
        self.timeline.record(
            "request.dispatched", run.scoped_id, granted.target.name
        )
        while True:
            try:
                await self._relay_answer(run, granted)
            except target_client.TargetError as fault:
                self._record_fault(run, granted, fault)
                if _can_resume(run, fault):
                    run.resumes += 1
                    self.metrics.count("relay.resumed")
                    continue
                return self._handle_fault(run, granted, fault)
            run.last_target_end = outcome.TargetEnd.WHOLE_ANSWER
            self.release_slot(run, events.RunEnd.COMPLETED)
            return answer_feed.Completed(
                run.assembler.length, run.assembler.sha256, run.cost
            )

    def release_slot(self, run: runs.Run, end: events.RunEnd) -> None:
        """Releases the request's slot at its target.

        Args:
            run: the request.
            end: how the request left the target.
        """
        self.node.post(events.RequestEnded(run.scoped_id, run.cost, end))

    async def _relay_answer(
        self, run: runs.Run, granted: node_task.Granted
    ) -> None:
        """Runs the request at the target and appends the answer to its feed.

        Raises:
            TargetError: no complete answer was received.
        """
        request = run.request
        target_request = target_client.TargetRequest(
            target_request_id=request.target_request_id,
            workspace=request.workspace,
            call=request.call,
            input=request.input,
            is_idempotent=request.is_idempotent,
            offset=run.assembler.length,
        )
        pieces = self.targets.run(
            granted.target, request.pool.kind, target_request, run.hand_over
        )
        async for piece in pieces:
            new_data = run.assembler.add_piece(piece)
            if new_data:
                self.store.append(request, run.feed, new_data)
            self._report_cost(run, piece.cost)
        if not run.assembler.is_complete:
            raise target_client.TargetError(
                target_client.FaultKind.BROKEN, run.assembler.describe_fault()
            )

    def _report_draining(self, target: catalogue_lib.Target) -> None:
        """Reports to the node that the target accepts no new requests.

        The report claims that all slots are in use, so that the node stops
        using the target without waiting for the next reading of its load.
        """
        self.node.post(
            events.TargetReported(
                target.name, running=target.slots, waiting=0, draining=True
            )
        )

    def _report_cost(self, run: runs.Run, cost: float) -> None:
        if cost > run.cost:
            run.cost = cost
            self.node.post(events.RequestProgressed(run.scoped_id, cost))

    def _record_fault(
        self,
        run: runs.Run,
        granted: node_task.Granted,
        fault: target_client.TargetError,
    ) -> None:
        run.last_target_end = _TARGET_ENDS[fault.kind]
        self.metrics.count(f"target_fault.{fault.kind.value}")
        detail = f"{granted.target.name}: {fault.detail}"
        self.timeline.record("request.fault", run.scoped_id, detail)

    def _handle_fault(
        self,
        run: runs.Run,
        granted: node_task.Granted,
        fault: target_client.TargetError,
    ) -> answer_feed.End | None:
        can_run_again = _can_run_again(run)
        if can_run_again and fault.kind is target_client.FaultKind.UNREACHABLE:
            # `RunEnd.UNREACHABLE` makes the node put the request back at the
            # front of its queue.
            self.release_slot(run, events.RunEnd.UNREACHABLE)
            return None
        if fault.kind is target_client.FaultKind.DRAINING:
            self._report_draining(granted.target)
            self.release_slot(run, events.RunEnd.CANCELLED)
        else:
            self.release_slot(run, events.RunEnd.FAILED)
        if can_run_again and run.reruns < MAX_RERUNS:
            run.reruns += 1
            self.metrics.count("request.rerun")
            self.node.post(events.RequestArrived(run.build_queued_request()))
            return None
        return problems.build_failure(
            outcome.decide_outcome(run.exchange),
            fault.kind.value,
            fault.detail,
            run.request.request_id,
            RETRY_AFTER_S if run.request.is_idempotent else None,
        )


def _can_resume(run: runs.Run, fault: target_client.TargetError) -> bool:
    """Returns whether the target may be asked for the rest of the answer."""
    return (
        run.request.is_idempotent
        and run.assembler.length > 0
        and run.assembler.can_resume
        and run.resumes < MAX_RESUMES
        and fault.kind not in _ANSWERED
    )


def _can_run_again(run: runs.Run) -> bool:
    """Returns whether the request may be run again.

    It may not if part of the answer was already passed on, or if the request
    is not idempotent and its sending to a target has begun in any attempt.
    """
    if run.assembler.length > 0:
        return False
    return run.request.is_idempotent or not run.hand_over.byte_handed_over
