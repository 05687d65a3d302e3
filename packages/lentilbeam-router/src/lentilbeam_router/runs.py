"""The state of one admitted request on its way through the pipeline."""

from lentilbeam_core import answers
from lentilbeam_core import claim_events
from lentilbeam_core import events
from lentilbeam_core import ids
from lentilbeam_core import outcome
from lentilbeam_router import answer_feed
from lentilbeam_router import requests
from lentilbeam_router import target_client


class Run:
    """One admitted request.

    Attributes:
        deadline: monotonic time after which the answer is of no use.
        won: the claim that allows a request to run that must not be
            repeated; None before it is won and for idempotent requests.
        last_end: how the last try at a target ended.
        cost: what the tries used so far, in the pool's unit.
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
        self.assembler = answers.AnswerAssembler(request.target_name, feed.read)
        self.hand_over = target_client.HandOver()
        self.won: claim_events.ClaimWon | None = None
        self.last_end = outcome.TargetEnd.NOT_STARTED
        self.cost = 0.0
        self.reruns = 0
        self.resumes = 0

    @property
    def name(self) -> ids.RequestId:
        """The id by which the node knows the request."""
        return self.request.run_name

    def build_queued(self) -> events.QueuedRequest:
        """Returns the request as the node's queue knows it."""
        request = self.request
        return events.QueuedRequest(
            name=request.run_name,
            workspace=request.workspace,
            pool=request.pool.name,
            call=request.call,
            cost_hint=request.cost_hint,
            deadline=self.deadline,
            prefix=request.prefix,
        )

    @property
    def exchange(self) -> outcome.Exchange:
        """What is known of the exchange with targets."""
        return outcome.Exchange(self.hand_over.has_happened, self.last_end)
