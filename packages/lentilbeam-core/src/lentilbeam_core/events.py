"""Events that a router's decisions take in, and effects that they give out.

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
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class ListedInstance:
    """One row of the platform's instance list."""

    name: ids.InstanceId
    data_centre: ids.DataCentreId
    state: ListedState


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedRequest:
    """What the scheduler knows of a request.

    Attributes:
        cost_hint: the caller's rough guess, or None.
        deadline: monotonic time after which the answer is of no use.
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
    """How a dispatched request left its target."""

    COMPLETED = "completed"
    FAILED = "failed"
    UNREACHABLE = "unreachable"  # No byte was handed over.
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True)
class MessageReceived:
    """A peer's message arrived."""

    sender: ids.InstanceId
    message: messages.PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceListRead:
    """The platform's instance list was read."""

    instances: tuple[ListedInstance, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CatalogueChanged:
    """A catalogue came into force."""

    catalogue: catalogue_lib.Catalogue
    offset: ids.Offset


@dataclasses.dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller's request passed admission and wants a slot."""

    request: QueuedRequest


@dataclasses.dataclass(frozen=True, slots=True)
class RequestProgressed:
    """A running request's cost so far, as the target reported it."""

    name: ids.RequestId
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEnded:
    """A dispatched request left its target at a final cost."""

    name: ids.RequestId
    cost: float
    end: RunEnd


@dataclasses.dataclass(frozen=True, slots=True)
class RequestWithdrawn:
    """A caller gave up on a request that was not dispatched yet."""

    name: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReported:
    """A target's own, lagging load report."""

    target: ids.TargetId
    running: int
    waiting: int
    draining: bool


@dataclasses.dataclass(frozen=True, slots=True)
class DrainStarted:
    """This router was told to stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked:
    """Time passed; sent at the time that `Node.next_wakeup` names."""


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
    """Send a message to a peer, without any promise of delivery."""

    receiver: ids.InstanceId
    message: messages.PeerMessage


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchRequest:
    """Run the request on the target now."""

    name: ids.RequestId
    target: catalogue_lib.Target


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Answer the caller now that the request was not run."""

    name: ids.RequestId
    reason: outcome.RefusalReason
    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RecordEvent:
    """Put a change of state on the time line."""

    name: str
    subject: str
    detail: str = ""


Effect = SendMessage | DispatchRequest | RefuseRequest | RecordEvent
