"""A simulated request with its true cost and its state."""

from collections.abc import Callable
import dataclasses
import enum

from lentilbeam_core import events
from lentilbeam_core import ids


class RequestState(enum.Enum):
    """State of a request.

    Attributes:
        QUEUED: waiting at its router.
        SENT: dispatched, without a slot yet.
        RUNNING: in a slot.
        ENDED: left its slot or closed; the answer may still be on its way to
            the router.
    """

    QUEUED = "queued"
    SENT = "sent"
    RUNNING = "running"
    ENDED = "ended"


class RequestEnd(enum.Enum):
    """How a request ended, as seen by its caller."""

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    ROUTER_LOST = "router_lost"


EndCallback = Callable[[RequestEnd, float], None]
"""Called with the way a request ended and the delay of a retry in seconds."""


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """One request.

    Attributes:
        queued: the request as the router's node sees it.
        cost: true cost in tokens, known only to ideal policies.
        router: the router that received the request.
        arrived_at: time of arrival at the router, in seconds.
        on_end: called when the request has ended.
        state: state of the request.
        started_at: when the request took a slot, in seconds.
    """

    queued: events.QueuedRequest
    cost: float
    router: ids.InstanceId
    arrived_at: float
    on_end: EndCallback
    state: RequestState = RequestState.QUEUED
    started_at: float = 0.0

    @property
    def workspace(self) -> ids.WorkspaceId:
        """The workspace that the request belongs to."""
        return self.queued.workspace
