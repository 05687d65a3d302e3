"""A simulated request with its true cost and its state."""

from collections.abc import Callable
import dataclasses
import enum

from lentilbeam_core import events
from lentilbeam_core import ids


class Stage(enum.Enum):
    """State of a request."""

    QUEUED = "queued"
    SENT = "sent"
    RUNNING = "running"
    ENDED = "ended"


class Closing(enum.Enum):
    """How a request ended, as seen by its caller."""

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    ROUTER_LOST = "router_lost"


OnClose = Callable[[Closing, float], None]
"""Called with the way a request ended and the delay of a retry in seconds."""


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """One request.

    Attributes:
        queued: the request as the router's node sees it.
        cost: true cost in tokens, known only to ideal policies.
        router: the router that received the request.
        arrived: time of arrival at the router, in seconds.
        on_close: called when the request has ended.
        stage: state of the request.
        started: when the request occupied a slot, in seconds.
    """

    queued: events.QueuedRequest
    cost: float
    router: ids.InstanceId
    arrived: float
    on_close: OnClose
    stage: Stage = Stage.QUEUED
    started: float = 0.0

    @property
    def workspace(self) -> ids.WorkspaceId:
        """The workspace that the request belongs to."""
        return self.queued.workspace
