"""The state of an admitted request in the pipeline."""

from lentilbeam_core import answers
from lentilbeam_core import claim_events
from lentilbeam_core import events
from lentilbeam_core import ids
from lentilbeam_core import outcome
from lentilbeam_router import answer_feed
from lentilbeam_router import requests
from lentilbeam_router import target_client


class Run:
    """The state of an admitted request.

    Attributes:
        request: the request.
        feed: receives the answer.
        deadline: monotonic time, in seconds, after which the caller no longer
            waits for the answer.
        assembler: checks the pieces of the answer and joins them.
        hand_over: records whether a connection to a target has begun to send
            the request, in any attempt.
        won_claim: the claim that permits running a request that must not be
            repeated; None before it is won and for idempotent requests.
        last_target_end: how the last attempt at a target ended.
        cost: highest cost that a target has reported so far, in the pool's
            cost unit.
        reruns: how often the request was queued again after a failure;
            attempts that reached no target are not counted.
        resumes: how often a broken stream was resumed.
    """

    def __init__(
        self,
        request: requests.CallerRequest,
        feed: answer_feed.AnswerFeed,
        deadline: float,
    ):
        self.request = request
        self.feed = feed
        self.deadline = deadline
        self.assembler = answers.AnswerAssembler(
            request.target_request_id, feed.read
        )
        self.hand_over = target_client.HandOverTracker()
        self.won_claim: claim_events.ClaimWon | None = None
        self.last_target_end = outcome.TargetEnd.NOT_STARTED
        self.cost = 0.0
        self.reruns = 0
        self.resumes = 0

    @property
    def scoped_id(self) -> ids.RequestId:
        """The request's id at the node, unique within the fleet."""
        return self.request.scoped_id

    def build_queued_request(self) -> events.QueuedRequest:
        """Returns the request in the form that the node's queue uses."""
        request = self.request
        return events.QueuedRequest(
            name=request.scoped_id,
            workspace=request.workspace,
            pool=request.pool.name,
            call=request.call,
            cost_hint=request.cost_hint,
            deadline=self.deadline,
            prefix=request.prefix,
        )

    @property
    def exchange(self) -> outcome.Exchange:
        """What is known about the exchange with targets."""
        return outcome.Exchange(
            self.hand_over.byte_handed_over, self.last_target_end
        )
