"""Typed messages between routers.

Messages carry state, not deltas. A message may be lost, duplicated or
reordered; the next one restores the correct state. Counters are cumulative
within one incarnation of the sender or, for grants, within one session. The
receiver starts counting again when either changes, so that a restart never
lowers a total.

No message is changed after its creation. `LoadReport` and the items of its
long lists are not frozen: creating a frozen object takes up to eight times as
long, and a router creates some thousands of them per second.
"""

import dataclasses
import enum

from lentilbeam_core import ids

MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Tells a peer that the sender is alive.

    Attributes:
        incarnation: start time of the sender's process.
        leaving: whether the sender is draining, to be stopped.
        is_ready: whether the sender has a catalogue, and so may schedule
            pools.
        catalogue_offset: log offset of the catalogue the sender uses.
        interval_ms: time until the sender's next heartbeat, in
            milliseconds.
        stamp: hybrid logical clock stamp, see `hlc`. Set by the driver.
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
        workspace: the workspace.
        queued: number of requests queued at the router.
        oldest_age_ms: how long the oldest queued request has waited, in
            milliseconds.
        served: cumulative cost of the requests that this router incarnation
            has dispatched, including the cost so far of running ones.
        next_cost: estimated cost of the next request in the queue.
        preferred: target that probably caches the next request's prompt
            prefix, or "" if none is known.
        virtual_time: highest virtual time received with a grant. Sent until
            the session's scheduler acknowledges the workspace, then 0.
        unsettled: part of `served` that no earlier scheduler has
            acknowledged. Sent for as long as `virtual_time`, then 0.
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
    """A router's use of one target's slots for one workspace.

    Attributes:
        target: the target.
        workspace: the workspace.
        granted: highest cumulative number of grants received in this
            session.
        spent: cumulative number of this session's grants that were used or
            returned.
        running: requests of the workspace that run on the target now,
            including those started without a grant.
        estimate: estimated remaining cost of the running requests.
    """

    target: ids.TargetId
    workspace: ids.WorkspaceId
    granted: int
    spent: int
    running: int
    estimate: float


@dataclasses.dataclass(frozen=True, slots=True)
class TargetUse:
    """Failures and draining state of a target, as one router observed them.

    Attributes:
        target: the target.
        failed: cumulative number of requests that failed on the target or
            could not be delivered to it.
        is_draining: whether the target told this router that it is draining.
    """

    target: ids.TargetId
    failed: int
    is_draining: bool


@dataclasses.dataclass(frozen=True, slots=True)
class DemandReport:
    """A router's demand on one pool, sent to the pool's scheduler.

    A report lists everything that changed since the last acknowledged report.
    A report too long for one datagram is sent in several parts that share
    one sequence number.

    Attributes:
        pool: the pool.
        incarnation: in full reports, the start time of the sender's process;
            otherwise 0.
        session: number of the session between the router and this scheduler.
            A new session begins whenever the router changes schedulers;
            grants of other sessions are ignored.
        sequence: report number within the session, increasing by one.
        part: index of this part, from 0.
        parts: number of parts.
        acknowledged: highest `GrantUpdate.sequence` of the session of which
            all parts have arrived.
        is_full: whether the report lists all state since the session began.
        floor: in full reports, the highest `GrantUpdate.floor` received;
            otherwise 0.
        workspaces: demands that changed.
        slots: slot uses that changed.
        targets: failures and draining states that changed.
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
    """Permits a router to start requests of a workspace on a target.

    Attributes:
        workspace: the workspace whose requests may start.
        target: the target they may start on.
        granted: cumulative number of grants in this session.
        virtual_time: the workspace's virtual time. Routers keep it and
            report it to the next scheduler.
    """

    workspace: ids.WorkspaceId
    target: ids.TargetId
    granted: int
    virtual_time: float


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedElsewhere:
    """Number of requests of a workspace that are queued at other routers."""

    workspace: ids.WorkspaceId
    queued: int


@dataclasses.dataclass(frozen=True, slots=True)
class GrantUpdate:
    """A pool scheduler's grants to one router.

    Attributes:
        pool: the pool.
        session: the receiver's session that the grants belong to.
        sequence: number of the update to this router within the session,
            increasing by one.
        part: index of this part, from 0.
        parts: number of parts.
        acknowledged: highest `DemandReport.sequence` of which all parts have
            been processed.
        needs_full: asks the router to begin a new session with a full report.
        pace_ms: minimum average time between two reports, in milliseconds.
            0 while a slot is free, because a delayed report would then leave
            the slot idle.
        floor: highest value so far of the lowest virtual time among the
            workspaces eligible for grants; never decreases.
        grants: grants that changed.
        queues: changed queue lengths of workspaces near their queue limit.
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


@dataclasses.dataclass(slots=True)
class TargetLoad:
    """The load that one router, or several together, have put on a target.

    Attributes:
        target: the target.
        unread: prompt tokens sent to the target that it has not processed
            yet.
        running: requests sent to the target that have not ended.
        held: tokens that these requests hold in the target's KV cache at
            most; where `work_left` is counted, those that they are expected to
            hold.
        recent: prompt tokens sent recently, decayed with age.
        outcomes: requests that ended recently, decayed with age.
        failures: those of `outcomes` that failed, decayed with age.
        leaving_start_ms: start of the target's process, if that process said
            that it is leaving, as Unix milliseconds or as
            `target_list.UNKNOWN_START_MS`; else 0.
        limit_start_ms: start of the process that named or withdrew a limit on
            the rate of its requests, likewise; 0 if no limit is known.
        limit_per_s: the limit in requests per second; infinite if it was
            withdrawn.
        limit_age_ms: time since the response with it, in milliseconds.
        cold_start_ms: start of the target's process, if that process or one
            that has replaced it has turned cold a moment ago, likewise; else 0.
        timed_s: time of the prefills that ended recently, in seconds, decayed
            with age; 0 for targets that are no engines.
        expected_s: time that was expected for them, likewise. In pools in
            which long prompts are assigned, both are about prompts that
            qualify as samples, see `prefill_model`; in others about all, and
            the expected time is that at the initial rate of `prefill_rates`.
        decode_s: time for the output that the running requests are expected
            to have left, in seconds; 0 where `work_left` is not counted.
        removed_start_ms: start of the target's process, if that process is
            known to be removed from the list for good, likewise; else 0.
        removed_position: position in the target list up to which this was read.
    """

    target: ids.TargetId
    unread: float
    running: int
    held: float
    recent: float
    outcomes: float = 0.0
    failures: float = 0.0
    leaving_start_ms: int = 0
    limit_start_ms: int = 0
    limit_per_s: float = 0.0
    limit_age_ms: float = 0.0
    cold_start_ms: int = 0
    timed_s: float = 0.0
    expected_s: float = 0.0
    decode_s: float = 0.0
    removed_start_ms: int = 0
    removed_position: int = 0


@dataclasses.dataclass(slots=True)
class PoolDemand:
    """Requests for a pool that callers have sent lately, and prefill work.

    Sums the requests at one router, or at several together. All but the first
    two attributes are 0 unless long prompts are assigned to a part of the
    pool, see `long_prompts`. They are decayed sums.

    Attributes:
        pool: the pool.
        requests: number of requests, decayed with their age.
        long_s: prefill time of long prompts, in seconds.
        placed_tokens: prompt tokens to prefill, of all prompts.
        sample_tokens: see `prefill_model.Sums`, as the attributes below.
        sample_positions: see above.
        sample_s: see above.
        sample_squares: see above.
        sample_products: see above.
    """

    pool: ids.PoolId
    requests: float
    long_s: float = 0.0
    placed_tokens: float = 0.0
    sample_tokens: float = 0.0
    sample_positions: float = 0.0
    sample_s: float = 0.0
    sample_squares: float = 0.0
    sample_products: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class KeptEvacuation:
    """A data centre that is evacuated, unless a newer record says otherwise."""

    data_centre: ids.DataCentreId


@dataclasses.dataclass(slots=True)
class WorkspaceUse:
    """Recent cost of a workspace's requests, decayed with age.

    Sums the requests at one router, or at several together.

    Attributes:
        pool: the pool that runs the requests.
        workspace: the workspace.
        cost: cost of the requests that were sent to targets.
        asked: cost of all requests received, including refused ones.
    """

    pool: ids.PoolId
    workspace: ids.WorkspaceId
    cost: float
    asked: float


@dataclasses.dataclass(slots=True)
class PlacedPart:
    """A part of a prompt that was sent to a target.

    Attributes:
        target: the target.
        prefix: identifies the prompt up to and including this part.
        tokens: length of the part in tokens.
    """

    target: ids.TargetId
    prefix: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """A crash of a target while it prepared an answer.

    Attributes:
        prefix: the prompt part, as in `PlacedPart`, or the digest of the whole
            request.
        target: the target.
        start_ms: start of the process that crashed, Unix milliseconds.
        age_ms: time since the crash, in milliseconds.
        is_cleared: whether a request with the part was answered later.
        run_ms: time from sending the request to the crash, in milliseconds.
    """

    prefix: str
    target: ids.TargetId
    start_ms: int
    age_ms: float
    is_cleared: bool
    run_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class BlockReport:
    """An identity whose requests are not sent, since they crash targets.

    Attributes:
        prefix: the identity, as in `CrashReport`.
        level: number of blocks of the part before this one.
        age_ms: time since the block began, in milliseconds.
        is_lifted: whether a request with the part was answered since.
    """

    prefix: str
    level: int
    age_ms: float
    is_lifted: bool


class ReportKind(enum.Enum):
    """Which routers' load a report adds up."""

    GROUP = 0  # The sender and, if it is a relay, its members.
    FLEET = 1  # All routers known to the sender; a relay sends it to members.
    PRESENCE = 2  # No load; shows the sender's status and that it runs.
    PARTS = 3  # No load; only prompt parts that did not fit other reports.


@dataclasses.dataclass(slots=True)
class Included:
    """Names a report that is included in a sum.

    Attributes:
        router: the router that sent the report.
        report: sequence number of the report.
        age_ms: time for which its usage has decayed in the sum, in
            milliseconds, at least 1; 0 if the sender doesn't tell.
    """

    router: ids.InstanceId
    report: int
    age_ms: float = 0.0


@dataclasses.dataclass(slots=True)
class LoadReport:
    """Load that a forwarding router reports to its peers.

    Attributes:
        incarnation: start time of the sender's process.
        sequence: report number within the incarnation, increasing by one.
        version: version of the configuration the sender uses.
        targets_offset: offset up to which the sender has read the target
            list.
        leaving: whether the sender is draining.
        is_ready: whether callers may be sent to the sender.
        kind: which routers' load the report adds up.
        loads: load on the targets.
        uses: recent service, by workspace.
        placed: prompt parts sent to targets since the sender's last report.
        included: reports that the sums include.
        crashes: news about crashes of targets, from all routers.
        blocks: prompt parts that are blocked, or were.
        routers: number of routers whose load the report adds up.
        demands: recent demand, by pool.
        evacuations: evacuations that the sender has kept although the store
            lacks them since it came back from an older copy.
        targets_change: offset after the last record of the target list that
            changed anything for the sender; 0 if it does not tell.
        busy_percent: share of the recent time in which the sender's processor
            was busy, in percent, at least 1; 0 if it does not tell.
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
    crashes: tuple[CrashReport, ...] = ()
    blocks: tuple[BlockReport, ...] = ()
    routers: int = 0
    demands: tuple[PoolDemand, ...] = ()
    evacuations: tuple[KeptEvacuation, ...] = ()
    targets_change: int = 0
    busy_percent: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StreamOrigin:
    """What a router knows of the origin of a stream.

    Attributes:
        key: key of the stream, see `stream_origins.compute_key`.
        pool: the pool that runs it; empty if unknown.
        version: software version that began it; empty if unknown.
        kept_ms: for how long the sender remembers it, in milliseconds; 0 if it
            knows nothing of the stream.
    """

    key: int
    pool: ids.PoolId
    version: str
    kept_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class OriginReport:
    """Tells a router what began streams, also in answer to a question.

    Attributes:
        origins: what the sender knows.
        memory_age_ms: for how long the sender has remembered all that it was
            told, in milliseconds.
    """

    origins: tuple[StreamOrigin, ...]
    memory_age_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class OriginQuestion:
    """Asks a router what began a stream, given by its key."""

    key: int


PeerMessage = (
    Heartbeat
    | DemandReport
    | GrantUpdate
    | LoadReport
    | OriginReport
    | OriginQuestion
)
