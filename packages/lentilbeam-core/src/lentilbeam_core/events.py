"""Events that a node handles, and effects that it returns.

`node.Node.handle(event, now)` takes one event and returns a list of effects.
`now` is a monotonic time in seconds. Costs are in the unit of the pool's
service kind: tokens for models, milliseconds of busy time for plain services.
"""

import dataclasses
import enum

from lentilbeam_core import catalogue as catalogue_lib
from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core import outcome


class ListedState(enum.Enum):
    """State of an instance in the platform's instance list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class ListedInstance:
    """One entry of the platform's instance list."""

    name: ids.InstanceId
    data_centre: ids.DataCentreId
    state: ListedState


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedRequest:
    """The properties of a request that scheduling uses.

    Attributes:
        name: id of the request.
        workspace: the workspace that sent it.
        pool: the pool that is to run it.
        call: name of the requested call; costs are learned per call.
        cost_hint: the caller's estimate of the cost, or None.
        deadline: monotonic time, in seconds, after which the request is
            refused if it is still queued; infinite if it has no deadline.
        prefix: digest of the prompt prefix, for cache affinity, or None.
    """

    name: ids.RequestId
    workspace: ids.WorkspaceId
    pool: ids.PoolId
    call: str
    cost_hint: float | None
    deadline: float
    prefix: str | None = None


class RunEnd(enum.Enum):
    """How a dispatched request ended."""

    COMPLETED = "completed"
    FAILED = "failed"
    UNREACHABLE = "unreachable"  # No byte was sent to the target.
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message other than a `LoadReport` arrived from a peer."""

    sender: ids.InstanceId
    message: messages.PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceListRead:
    """The platform's instance list was read."""

    instances: tuple[ListedInstance, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CatalogueChanged:
    """A new catalogue takes effect.

    Attributes:
        catalogue: the new catalogue.
        offset: its offset in the catalogue log.
    """

    catalogue: catalogue_lib.Catalogue
    offset: ids.Offset


@dataclasses.dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller's request passed admission and needs a slot."""

    request: QueuedRequest


@dataclasses.dataclass(frozen=True, slots=True)
class RequestProgressed:
    """The target reported the cost so far of a running request."""

    name: ids.RequestId
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEnded:
    """A dispatched request ended, with its final cost."""

    name: ids.RequestId
    cost: float
    end: RunEnd


@dataclasses.dataclass(frozen=True, slots=True)
class RequestWithdrawn:
    """A caller withdrew a request that had not been dispatched."""

    name: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReported:
    """A target reported its load. The report lags behind the actual load.

    Attributes:
        target: the target.
        running: number of requests that run on it.
        waiting: number of requests that it has queued.
        draining: whether it is draining.
    """

    target: ids.TargetId
    running: int
    waiting: int
    draining: bool


@dataclasses.dataclass(frozen=True, slots=True)
class DrainStarted:
    """This router starts to drain, to be stopped."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """The time that `Node.next_wakeup` returned has come."""


Event = (
    MessageReceived
    | InstanceListRead
    | CatalogueChanged
    | RequestArrived
    | RequestProgressed
    | RequestEnded
    | RequestWithdrawn
    | TargetReported
    | DrainStarted
    | Ticked
)


@dataclasses.dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a peer. It may be lost."""

    receiver: ids.InstanceId
    message: messages.PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchRequest:
    """Send the request to the target now."""

    name: ids.RequestId
    target: catalogue_lib.Target


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Tell the caller that the request was refused without being run.

    Attributes:
        name: id of the request.
        reason: why it was refused.
        retry_after_s: when the caller may retry, in seconds from now. 0 if
            there is no recommendation.
    """

    name: ids.RequestId
    reason: outcome.RefusalReason
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RecordEvent:
    """Record a change of state on the timeline.

    Attributes:
        name: type of the event.
        subject: the pool or instance concerned.
        detail: further information as text; may be empty.
    """

    name: str
    subject: str
    detail: str = ""


Effect = SendMessage | DispatchRequest | RefuseRequest | RecordEvent
