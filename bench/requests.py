"""A request as the bench knows it, with its true cost."""

from collections.abc import Callable
import dataclasses
import enum

from lentilbeam_core import events
from lentilbeam_core import ids


class Stage(enum.Enum):
    """Where a request is."""

    QUEUED = "queued"
    SENT = "sent"
    RUNNING = "running"
    ENDED = "ended"


class Closing(enum.Enum):
    """How a request came to its end, as its caller sees it."""

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    ROUTER_LOST = "router_lost"


OnClose = Callable[[Closing, float], None]
"""Takes how a request ended and the seconds to wait before a retry."""


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """One request.

    Attributes:
        cost: true cost in tokens, which no policy but the ideal one knows.
        router: the router that holds the request.
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
