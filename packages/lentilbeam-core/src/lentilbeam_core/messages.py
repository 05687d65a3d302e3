"""Typed messages between routers.

Messages carry state, never deltas: any of them may be lost, repeated or
overtaken, and the next one mends it. Counters are cumulative for one
incarnation of the sender, so that a restart cannot subtract.
"""

import dataclasses
import enum

from lentilbeam_core import ids

MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A router's sign of life.

    Attributes:
        incarnation: the sender's start.
        leaving: whether the sender was told to stop.
        is_ready: whether the sender has a catalogue and may take a role.
        catalogue_offset: offset of the catalogue in force at the sender.
        interval_ms: the sender's next heartbeat comes within this time.
        stamp: hybrid logical clock stamp, see `hlc`; set by the driver.
    """

    incarnation: ids.Incarnation
    leaving: bool
    is_ready: bool
    catalogue_offset: ids.Offset
    interval_ms: int
    stamp: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceDemand:
    """One workspace's demand at one router.

    Attributes:
        workspace: whose demand.
        queued: requests that wait at the router.
        oldest_age_ms: how long the oldest of them has waited.
        served: cumulative service given by this router incarnation, in
            cost units, with what running requests have used so far.
        next_cost: estimated cost of the next request in the queue.
        preferred: target that likely caches the next request's prefix, or "".
        virtual_time: highest virtual time seen in grants; only until the
            session's scheduler has acknowledged the workspace, else 0.
        unsettled: part of `served` that no earlier scheduler has
            acknowledged; sent as long as `virtual_time`.
    """

    workspace: ids.WorkspaceId
    queued: int
    oldest_age_ms: int
    served: float
    next_cost: float
    preferred: str = ""
    virtual_time: float = 0.0
    unsettled: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class SlotUse:
    """What a router does with slots of one target for one workspace.

    Attributes:
        target: where.
        workspace: for whom.
        granted: highest cumulative grant seen in this session.
        spent: cumulative grants of this session that were used or returned.
        running: requests of the workspace on the target now, whatever
            permitted them.
        estimate: cost still expected of the running requests.
    """

    target: ids.TargetId
    workspace: ids.WorkspaceId
    granted: int
    spent: int
    running: int
    estimate: float


@dataclasses.dataclass(frozen=True, slots=True)
class TargetUse:
    """How a target treated a router's requests.

    Attributes:
        target: which target.
        failed: cumulative requests that it failed or that did not reach it.
        is_draining: whether it told this router that it is leaving.
    """

    target: ids.TargetId
    failed: int
    is_draining: bool


@dataclasses.dataclass(frozen=True, slots=True)
class DemandReport:
    """A router's demand on one pool, sent to the pool's scheduler.

    A report lists all that changed since the last acknowledged report. One
    that is too long for a datagram is sent as `parts` parts of one sequence.

    Attributes:
        pool: which pool.
        incarnation: the sender's start; only in full reports, else 0.
        session: identifies the time that the router has followed this
            scheduler without a break; grants of other sessions are void.
        sequence: grows by one with each report of the session.
        part: number of this part, from 0.
        parts: number of parts.
        acknowledged: highest `GrantUpdate.sequence` seen in the session.
        is_full: whether all state since the session's start is listed.
        floor: highest `GrantUpdate.floor` seen; only in full reports.
        workspaces: changed demands.
        slots: changed uses of slots.
        targets: changed experience with targets.
        wants_answer: whether the sender waits for an acknowledgement.
    """

    pool: ids.PoolId
    incarnation: ids.Incarnation
    session: int
    sequence: int
    part: int
    parts: int
    acknowledged: int
    is_full: bool
    floor: float
    workspaces: tuple[WorkspaceDemand, ...]
    slots: tuple[SlotUse, ...]
    targets: tuple[TargetUse, ...]
    wants_answer: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Cumulative permission to start requests of a workspace on a target.

    Attributes:
        workspace: whose requests.
        target: where.
        granted: total of grants in this session.
        virtual_time: the workspace's virtual time, kept by routers for
            the next scheduler.
    """

    workspace: ids.WorkspaceId
    target: ids.TargetId
    granted: int
    virtual_time: float


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedElsewhere:
    """How many requests of a workspace wait at other routers."""

    workspace: ids.WorkspaceId
    queued: int


@dataclasses.dataclass(frozen=True, slots=True)
class GrantUpdate:
    """A pool scheduler's grants to one router.

    Attributes:
        pool: which pool.
        session: the receiver's session that the grants belong to.
        sequence: grows by one with each update to this router in the
            session.
        part: number of this part, from 0.
        parts: number of parts.
        acknowledged: highest `DemandReport.sequence` wholly taken in.
        needs_full: asks the router to begin a new session.
        pace_ms: least time between two reports on average; 0 while a slot
            is free, since then each wait is idle capacity.
        floor: least virtual time of workspaces that wait; monotone.
        grants: changed grants.
        queues: changed totals of workspaces near their queue limit.
    """

    pool: ids.PoolId
    session: int
    sequence: int
    part: int
    parts: int
    acknowledged: int
    needs_full: bool
    pace_ms: int
    floor: float
    grants: tuple[Grant, ...]
    queues: tuple[QueuedElsewhere, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLoad:
    """What a router has at one target.

    Attributes:
        target: where.
        unread: prompt tokens sent there and not yet read.
        running: requests sent there that have not ended.
        held: tokens of these in the target's memory, at most.
        recent: prompt tokens sent there lately; older ones count less.
        outcomes: requests that ended there lately, likewise.
        failures: those of them that failed.
    """

    target: ids.TargetId
    unread: float
    running: int
    held: float
    recent: float
    outcomes: float = 0.0
    failures: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceUse:
    """A workspace's requests at one router; older ones count less.

    Attributes:
        pool: where they run.
        workspace: whose they are.
        cost: of those that were sent to targets.
        asked: cost of all that came, the refused ones included.
    """

    pool: ids.PoolId
    workspace: ids.WorkspaceId
    cost: float
    asked: float


@dataclasses.dataclass(frozen=True, slots=True)
class PlacedPart:
    """A part of a prompt that was sent to a target.

    Attributes:
        target: where.
        prefix: identifies the part together with all parts before it.
        tokens: length of the part.
    """

    target: ids.TargetId
    prefix: str
    tokens: int


class ReportKind(enum.Enum):
    """Whose work a report sums."""

    GROUP = 0  # The sender's, and that of the routers that report to it.
    FLEET = 1  # All that the sender knows of; for those that report to it.
    PRESENCE = 2  # Nobody's: a sign of life.
    PARTS = 3  # Nobody's: only parts of prompts that found no room elsewhere.


@dataclasses.dataclass(frozen=True, slots=True)
class Included:
    """A report that the sender of a sum has added up.

    Attributes:
        router: whose it was.
        report: its sequence.
    """

    router: ids.InstanceId
    report: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """What a router that forwards requests tells its peers of work.

    Attributes:
        incarnation: the sender's start.
        sequence: grows by one with each report of the incarnation.
        version: version of the configuration in force at the sender.
        targets_offset: how far the sender has read the list of targets.
        leaving: whether the sender was told to stop.
        is_ready: whether callers may be sent to it.
        kind: whose work this is.
        loads: work at the targets.
        uses: what was served lately, by workspace.
        placed: parts of prompts that were sent to targets since the sender's
            last report.
        included: reports of routers that are part of the sums.
    """

    incarnation: ids.Incarnation
    sequence: int
    version: int
    targets_offset: int
    leaving: bool
    is_ready: bool
    kind: ReportKind
    loads: tuple[TargetLoad, ...] = ()
    uses: tuple[WorkspaceUse, ...] = ()
    placed: tuple[PlacedPart, ...] = ()
    included: tuple[Included, ...] = ()


PeerMessage = Heartbeat | DemandReport | GrantUpdate | LoadReport
