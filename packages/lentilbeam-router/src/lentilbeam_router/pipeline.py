"""Runs requests from admission to the end of their answers.

Stages: enqueue -> grant -> claim -> dispatch -> relay -> settle. A request is
claimed only after it got a grant, so that a router that crashes leaves few
claims behind. Slots don't stand idle during the claim, because the scheduler
grants them before they are free.
Each request runs in its own task, which writes to an `AnswerFeed`. Callers
only read the feed, so a caller that lost its connection can attach again.
"""

import asyncio

import structlog

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
from lentilbeam_router import relay as relay_lib
from lentilbeam_router import requests
from lentilbeam_router import runs

Mailbox = asyncio.Queue[node_task.Decision]


class Pipeline:
    """Runs each request in a task of its own.

    Attributes:
        node: the task that grants slots.
        claims: claims keys of requests that must not be repeated.
        lost_claim_resolver: finds the outcome of requests that others have
            claimed.
        relay: runs granted requests at targets.
        store: keeps the answers.
        clock: the router's clock.
        log: logger for errors.
        metrics: counters and histograms of the process.
        timeline: records changes of state.
        tasks: tasks of the requests that have not ended.
        is_ending: whether those that still run are ended.
    """

    def __init__(
        self,
        node: node_task.NodeTask,
        claims: claim_task.ClaimTask,
        lost_claim_resolver: lost_claims.LostClaimResolver,
        relay: relay_lib.Relay,
        store: answer_store.AnswerStore,
        clock: clock_lib.Clock,
        log: structlog.BoundLogger,
    ):
        self.node = node
        self.claims = claims
        self.lost_claim_resolver = lost_claim_resolver
        self.relay = relay
        self.store = store
        self.clock = clock
        self.log = log
        self.metrics = node.metrics
        self.timeline = node.timeline
        self.tasks: set[asyncio.Task] = set()
        self.is_ending = False

    def start(
        self, request: requests.CallerRequest, arrived_at: float
    ) -> answer_feed.AnswerFeed:
        """Starts a task that runs a request; returns the feed of the answer.

        Args:
            request: the request.
            arrived_at: when it arrived, from which its deadline counts,
                monotonic seconds.
        """
        feed = self.store.open(request)
        deadline = arrived_at + request.deadline_s
        task = asyncio.create_task(self._run(runs.Run(request, feed, deadline)))
        self.tasks.add(task)
        task.add_done_callback(self._finish_task)
        return feed

    def is_claimed(self, request: requests.CallerRequest) -> bool:
        """Returns whether a claim for the request's key is known.

        Idempotent requests are never claimed.
        """
        if request.is_idempotent:
            return False
        return self.claims.look_up(request.key) is not None

    async def wait_until_idle(self, limit_s: float) -> int:
        """Waits until all requests have ended, at most `limit_s` seconds.

        Returns:
            How many requests are still running.
        """
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=limit_s)
        return len(self.tasks)

    async def end_all(self) -> None:
        """Ends all requests that are running; their callers are told how."""
        tasks = list(self.tasks)
        self.is_ending = True
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _finish_task(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.metrics.count("router.faults")
            self.log.error("request task failed", exc_info=task.exception())

    async def _run(self, run: runs.Run) -> None:
        started_at = self.clock.monotonic()
        self.timeline.record("request.admitted", run.scoped_id)
        mailbox = self.node.open_mailbox(run.scoped_id)
        try:
            run.feed.finish(await self._serve(run, mailbox))
        finally:
            self._close_mailbox(run, mailbox)
            self._settle(run, started_at)

    async def _serve(self, run: runs.Run, mailbox: Mailbox) -> answer_feed.End:
        self.node.post(events.RequestArrived(run.build_queued_request()))
        while True:
            decision = await mailbox.get()
            if isinstance(decision, node_task.Refused):
                return await self._refuse(run, decision)
            end = await self._claim(run) or self._refuse_if_claim_ended(run)
            if end is not None:
                self.relay.release_slot(run, events.RunEnd.CANCELLED)
                return end
            end = await self.relay.dispatch(run, decision)
            if end is not None:
                return end

    async def _claim(self, run: runs.Run) -> answer_feed.End | None:
        """Returns None if the request may run, otherwise the end to report."""
        if run.request.is_idempotent or run.won_claim is not None:
            return None
        result = await self.claims.obtain(run.request.key, run.deadline)
        match result:
            case claim_events.ClaimWon():
                run.won_claim = result
                return None
            case claim_events.ClaimLost():
                return await self.lost_claim_resolver.resolve(run, result)
        self.metrics.count(f"refused.{result.reason.value}")
        return problems.build_refusal(
            result.reason,
            "the request could not be claimed and was not run",
            run.request.request_id,
            result.retry_after_s,
        )

    def _refuse_if_claim_ended(self, run: runs.Run) -> problems.Problem | None:
        """Records that a run starts, or returns why the request is refused."""
        if run.won_claim is None or self.claims.start_run(run.won_claim):
            return None
        return problems.build_refusal(
            outcome.RefusalReason.KEY_TOO_OLD,
            "the claim ended before the request could be run",
            run.request.request_id,
        )

    async def _refuse(
        self, run: runs.Run, refused: node_task.Refused
    ) -> answer_feed.End:
        if run.hand_over.byte_handed_over:
            return problems.build_failure(
                outcome.Outcome.OUTCOME_UNKNOWN,
                "not_followed",
                "an earlier attempt reached a target and no other could start",
                run.request.request_id,
            )
        if run.won_claim is None and not run.request.is_idempotent:
            held_claim = self.claims.look_up(run.request.key)
            if held_claim is not None:
                return await self.lost_claim_resolver.resolve(run, held_claim)
        return problems.build_refusal(
            refused.reason,
            "the request was not run",
            run.request.request_id,
            refused.retry_after_s,
        )

    def _close_mailbox(self, run: runs.Run, mailbox: Mailbox) -> None:
        """Closes the mailbox.

        Releases the slots of grants that arrived too late.
        """
        self.node.close_mailbox(run.scoped_id)
        while not mailbox.empty():
            if isinstance(mailbox.get_nowait(), node_task.Granted):
                self.relay.release_slot(run, events.RunEnd.CANCELLED)

    def _settle(self, run: runs.Run, started_at: float) -> None:
        if run.won_claim is not None:
            self.claims.settle(run.won_claim, run.exchange)
        end = run.feed.end
        if end is None:
            self.node.post(events.RequestWithdrawn(run.scoped_id))
            self.relay.release_slot(run, events.RunEnd.CANCELLED)
            end = self._build_early_end(run)
            run.feed.finish(end)
        self.store.close(run.request, run.feed)
        request_outcome = outcome.Outcome.COMPLETED
        if isinstance(end, problems.Problem):
            request_outcome = end.outcome
        self.metrics.count(f"outcome.{request_outcome.value}")
        self.metrics.record_duration(
            "request", self.clock.monotonic() - started_at
        )
        self.timeline.record(
            "request.ended", run.scoped_id, request_outcome.value
        )

    def _build_early_end(self, run: runs.Run) -> problems.Problem:
        """Returns how a request ended that this router did not complete."""
        if not self.is_ending:
            return problems.build_failure(
                outcome.Outcome.OUTCOME_UNKNOWN,
                "router_fault",
                "the router failed while it was processing the request",
                run.request.request_id,
            )
        is_own = run.request.is_idempotent or run.won_claim is not None
        if not run.hand_over.byte_handed_over and (
            is_own or not self.is_claimed(run.request)
        ):
            return problems.build_refusal(
                outcome.RefusalReason.DRAINING,
                "this router was shut down before it could run the request",
                run.request.request_id,
                retry_after_s=0.0,
            )
        return problems.build_failure(
            outcome.Outcome.OUTCOME_UNKNOWN,
            "router_left",
            "this router was shut down while the request was running",
            run.request.request_id,
        )
