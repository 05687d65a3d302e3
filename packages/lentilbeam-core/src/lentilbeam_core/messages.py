"""Typed messages between routers.

Messages carry state, never deltas: any of them may be lost, repeated or
overtaken, and the next one mends it. Counters are cumulative for one
incarnation of the sender, so that a restart cannot subtract.
"""

import dataclasses

from lentilbeam_core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A router's sign of life.

    Attributes:
        incarnation: the sender's start.
        leaving: whether the sender was told to stop.
        catalogue_offset: offset of the catalogue in force at the sender.
        stamp: hybrid logical clock stamp, see `hlc`.
    """

    incarnation: ids.Incarnation
    leaving: bool
    catalogue_offset: ids.Offset
    stamp: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceDemand:
    """One workspace's demand at one router.

    Attributes:
        queued: requests that wait at the router.
        oldest_age_ms: how long the oldest of them has waited.
        served: cumulative service given by this router incarnation, in
            cost units, with what running requests have used so far.
    """

    workspace: ids.WorkspaceId
    queued: int
    oldest_age_ms: int
    served: float


@dataclasses.dataclass(frozen=True, slots=True)
class SlotUse:
    """What a router does with slots of one target for one workspace.

    Attributes:
        granted: the highest cumulative grant seen in this term.
        running: requests of the workspace on the target now.
        closed: cumulative grants of this term that are used up: ended,
            returned or expired. `granted - closed` are outstanding.
        estimate: cost still expected of the running requests.
    """

    target: ids.TargetId
    workspace: ids.WorkspaceId
    granted: int
    running: int
    closed: int
    estimate: float


@dataclasses.dataclass(frozen=True, slots=True)
class DemandReport:
    """A router's demand on one pool, sent to the pool's scheduler.

    Attributes:
        term: the scheduler term that the router follows; 0 for none.
        sequence: grows by one with each report of the incarnation.
        acknowledged: highest `GrantUpdate.sequence` seen in the term.
        is_full: whether all state is listed, not only what changed since
            the last acknowledged report.
    """

    pool: ids.PoolId
    incarnation: ids.Incarnation
    term: int
    sequence: int
    acknowledged: int
    is_full: bool
    workspaces: tuple[WorkspaceDemand, ...]
    slots: tuple[SlotUse, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Cumulative permission to start requests of a workspace on a target.

    Attributes:
        granted: total of grants in this term to the receiver.
        virtual_time: the workspace's virtual time, kept by routers for
            the next scheduler.
    """

    workspace: ids.WorkspaceId
    target: ids.TargetId
    granted: int
    virtual_time: float


@dataclasses.dataclass(frozen=True, slots=True)
class GrantUpdate:
    """A pool scheduler's grants to one router.

    Attributes:
        term: identifies one activation of one scheduler; later is higher.
        sequence: grows by one with each update to this router in the term.
        acknowledged: highest `DemandReport.sequence` taken in.
    """

    pool: ids.PoolId
    term: int
    sequence: int
    acknowledged: int
    grants: tuple[Grant, ...]


PeerMessage = Heartbeat | DemandReport | GrantUpdate
