"""What is decided about a request: where it is sent, or why it is refused."""

from collections.abc import Mapping
import dataclasses
import enum

from lentilbeam_core.forwarding import placement as placement_lib
from lentilbeam_core.forwarding import requests
from lentilbeam_core.forwarding import room as room_lib


class RefusalReason(enum.Enum):
    """Why a request was refused."""

    NO_ROOM = "no_room"  # No target had capacity in time.
    UNTRIED = "untried"  # Its time was over before a target was looked for.
    NO_TARGET = "no_target"  # The pool has no usable target.
    UNKNOWN_ORIGIN = "unknown_origin"  # Nobody knows what began the stream.
    VERSION_GONE = "version_gone"  # No target runs the version that began it.
    UNSTARTABLE = "unstartable"  # No target runs the version to begin at.
    ROUTER_BUSY = "router_busy"  # The router can't keep up.
    MEMORY = "memory"  # The router has no memory for its body.
    AHEAD = "ahead"  # Its workspace is ahead of one that lacks service.
    LIMITED = "limited"  # The targets take a limited number of requests.
    EVACUATED = "evacuated"  # All data centres of the pool are evacuated.
    LEAVING = "leaving"  # The router is shutting down.
    CRASHES_TARGETS = "crashes_targets"  # Requests like it crashed targets.


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """Decision to send a request to a target.

    Attributes:
        request: the request to send.
        placement: where to send it.
        is_paced: whether it counts in this router's pace at a cold target.
    """

    request: requests.Request
    placement: placement_lib.Placement
    is_paced: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Decision not to run a request.

    Attributes:
        request: the refused request.
        reason: why it was refused.
        retry_after_s: delay after which the caller should retry, in seconds.
        tries: how often no target was found while it waited.
        exclusions: why targets were excluded the last time, and how many.
    """

    request: requests.Request
    reason: RefusalReason
    retry_after_s: float
    tries: int = 0
    exclusions: Mapping[room_lib.Exclusion, int] = dataclasses.field(
        default_factory=dict
    )


Decision = Placed | Refused
