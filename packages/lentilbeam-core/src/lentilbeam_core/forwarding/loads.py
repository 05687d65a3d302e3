"""Load of the targets of a pool, summed over all routers of the fleet.

Each router counts the requests that it has placed at targets, and receives the
counts of its peers in load reports. Load that the engines report themselves
would arrive too late for the placement of the next request.
"""

import collections
from collections.abc import Mapping
import dataclasses
import math

from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core.forwarding import decayed
from lentilbeam_core.forwarding import target_limits

PEER_REPORT_MAX_AGE_S = 1.5
"""A peer's last report is ignored once it is older than this."""
PEER_SUMS_MAX_AGE_S = 0.02
"""Sums over peers are recomputed at this age, to drop outdated reports."""
RECENT_DECAY_S = 0.5
"""Time constant of the exponential decay of `Load.recent`, in seconds."""
OUTCOME_DECAY_S = 3.0
"""Time constant of the exponential decay of `Load.outcomes`, in seconds.

Also applies to `Load.failures`, `Load.timed_s` and `Load.expected_s`.

A failing target ends some tens of requests in this time, enough to detect it,
and gets requests again after about this time."""
MIN_REPORTED_OUTCOMES = 0.1
"""Smallest decayed number of ended requests that is reported to peers."""
MIN_REPORTED_PREFILL_S = 0.03
"""Smallest `Load.expected_s` that is reported to peers. A prompt that is a
sample falls below it some 3 s later, and zeros take no room in reports."""


@dataclasses.dataclass(slots=True)
class Aging:
    """Decay of what was reported or summed some time ago.

    Attributes:
        age_s: that time, in seconds.
        recent: remaining fraction of `Load.recent`.
        outcomes: remaining fraction of `Load.outcomes` and of what decays
            like it.
    """

    age_s: float
    recent: float
    outcomes: float


def compute_aging(age_s: float) -> Aging:
    """Returns the decay after `age_s`, in seconds."""
    return Aging(
        age_s,
        math.exp(-age_s / RECENT_DECAY_S),
        math.exp(-age_s / OUTCOME_DECAY_S),
    )


@dataclasses.dataclass(slots=True)
class Load:
    """Load of one target.

    Attributes:
        unread: prompt tokens that were sent to the target and that it hasn't
            processed yet (prefill).
        running: number of requests sent to the target that haven't ended.
        held: tokens that the running requests occupy in the target's KV
            cache at most; where `work_left` is counted, that they are expected
            to occupy.
        recent: prompt tokens sent to the target, decayed with
            `RECENT_DECAY_S`.
        outcomes: number of requests that ended at the target, decayed with
            `OUTCOME_DECAY_S`.
        failures: number of those that failed, decayed likewise.
        leaving_start_ms: start of the process that is leaving, see
            `messages.TargetLoad`.
        limit_start_ms: start of the process that named or withdrew the newest
            limit, see `messages.TargetLoad`.
        limit_per_s: that limit, in requests per second.
        limit_age_s: time since the response with it, in seconds.
        cold_start_ms: start of the process that has turned cold, see
            `messages.TargetLoad`.
        timed_s: see `messages.TargetLoad`.
        expected_s: see `messages.TargetLoad`.
        decode_s: time for the output that the running requests are expected
            to have left, in seconds, see `work_left`.
        removed_start_ms: start of the process that was removed, see
            `messages.TargetLoad`.
        removed_position: see `messages.TargetLoad`.
    """

    unread: float = 0.0
    running: int = 0
    held: float = 0.0
    recent: float = 0.0
    outcomes: float = 0.0
    failures: float = 0.0
    leaving_start_ms: int = 0
    limit_start_ms: int = 0
    limit_per_s: float = 0.0
    limit_age_s: float = math.inf
    cold_start_ms: int = 0
    timed_s: float = 0.0
    expected_s: float = 0.0
    decode_s: float = 0.0
    removed_start_ms: int = 0
    removed_position: int = 0

    def add(self, other: "Load", sign: int = 1) -> None:
        """Adds another load, or subtracts it if `sign` is -1."""
        self.unread += sign * other.unread
        self.running += sign * other.running
        self.held += sign * other.held
        self.recent += sign * other.recent
        self.outcomes += sign * other.outcomes
        self.failures += sign * other.failures
        self.timed_s += sign * other.timed_s
        self.expected_s += sign * other.expected_s
        self.decode_s += sign * other.decode_s

    def add_reported(
        self, item: messages.TargetLoad, aging: Aging, sign: int = 1
    ) -> None:
        """Adds a load that a router has reported, decayed by its age.

        Args:
            item: the reported load.
            aging: decay since the report was received.
            sign: 1 to add the load, -1 to subtract it.
        """
        recent_decay = sign * aging.recent
        outcome_decay = sign * aging.outcomes
        self.unread += item.unread * sign
        self.running += item.running * sign
        self.held += item.held * sign
        self.recent += item.recent * recent_decay
        self.outcomes += item.outcomes * outcome_decay
        self.failures += item.failures * outcome_decay
        self.timed_s += item.timed_s * outcome_decay
        self.expected_s += item.expected_s * outcome_decay
        self.decode_s += sign * item.decode_s
        # Facts, not amounts: they stay true when a report is subtracted.
        if item.leaving_start_ms > self.leaving_start_ms:
            self.leaving_start_ms = item.leaving_start_ms
        if item.cold_start_ms > self.cold_start_ms:
            self.cold_start_ms = item.cold_start_ms
        if item.removed_position > self.removed_position:
            self.removed_start_ms = item.removed_start_ms
            self.removed_position = item.removed_position
        if item.limit_start_ms:
            limit_age_s = item.limit_age_ms / 1000 + aging.age_s
            if limit_age_s < self.limit_age_s:
                self.limit_start_ms = item.limit_start_ms
                self.limit_per_s = item.limit_per_s
                self.limit_age_s = limit_age_s

    def set_limit(self, limit: target_limits.Limit, now: float) -> None:
        """Sets what the target has said about the rate of its requests."""
        self.limit_start_ms = limit.start_ms
        self.limit_per_s = limit.per_s
        self.limit_age_s = now - limit.noted_at

    def report(self, target: ids.TargetId) -> messages.TargetLoad | None:
        """Returns the load as a message to peers.

        None if the target isn't known to be leaving or removed, to have named a
        limit or to have turned cold, nothing is running, less than 1 prompt
        token was sent recently and fewer than `MIN_REPORTED_OUTCOMES` requests
        ended recently.
        """
        is_busy = self.running > 0 or self.recent >= 1.0
        has_notice = (
            self.leaving_start_ms > 0
            or self.limit_start_ms > 0
            or self.cold_start_ms > 0
            or self.removed_start_ms > 0
        )
        if (
            not (is_busy or has_notice)
            and self.outcomes < MIN_REPORTED_OUTCOMES
        ):
            return None
        is_timed = self.expected_s >= MIN_REPORTED_PREFILL_S
        return messages.TargetLoad(
            target,
            max(self.unread, 0.0),
            max(self.running, 0),
            max(self.held, 0.0),
            max(self.recent, 0.0),
            max(self.outcomes, 0.0),
            max(self.failures, 0.0),
            self.leaving_start_ms,
            self.limit_start_ms,
            self.limit_per_s,
            self.limit_age_s * 1000 if self.limit_start_ms else 0.0,
            self.cold_start_ms,
            max(self.timed_s, 0.0) if is_timed else 0.0,
            self.expected_s if is_timed else 0.0,
            max(self.decode_s, 0.0),
            self.removed_start_ms,
            self.removed_position,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReport:
    """Loads that a peer has reported.

    Attributes:
        received_at: when the report was received, monotonic seconds.
        loads: the peer's load of each target.
        held: `held` of these loads, by target.
    """

    received_at: float
    loads: tuple[messages.TargetLoad, ...]
    held: dict[ids.TargetId, float]


@dataclasses.dataclass(slots=True)
class PlacedRequest:
    """A running request that this router placed at a target.

    Attributes:
        target: where it runs.
        load: what it adds to the load of the target.
    """

    target: ids.TargetId
    load: Load


class LoadTracker:
    """Load of all targets, from this router and from its peers.

    Attributes:
        own_loads: load of this router's running requests, by target. Its
            `recent`, `outcomes`, `failures`, `timed_s` and `expected_s` stay
            0; see the attributes of these names.
        placed_requests: this router's running requests, by request ID.
        recent: decayed sum of prompt tokens of the requests that this router
            placed, by target.
        outcomes: decayed number of this router's ended requests, by target.
        failures: decayed number of those that failed, by target.
        timed_s: decayed time of this router's prefills, by target.
        expected_s: decayed time that was expected for them, by target.
        peers: the last report of each peer.
        peer_sums: load from all peers as of `summed_at`, by target.
        summed_at: when `peer_sums` was computed, monotonic seconds.
        totals: results of `total` as of `totals_at`, by target; a scheduling
            pass asks for the same ones many times.
        totals_at: monotonic seconds.
        sums_aging: decay of `peer_sums` as of `totals_at`.
        freed: counts the changes since which a load may be smaller.
    """

    def __init__(self):
        self.own_loads: dict[ids.TargetId, Load] = collections.defaultdict(Load)
        self.placed_requests: dict[str, PlacedRequest] = {}
        self.recent: dict[ids.TargetId, decayed.DecayingSum] = {}
        self.outcomes: dict[ids.TargetId, decayed.DecayingSum] = {}
        self.failures: dict[ids.TargetId, decayed.DecayingSum] = {}
        self.timed_s: dict[ids.TargetId, decayed.DecayingSum] = {}
        self.expected_s: dict[ids.TargetId, decayed.DecayingSum] = {}
        self.peers: dict[ids.InstanceId, PeerReport] = {}
        self.peer_sums: dict[ids.TargetId, Load] = {}
        self.summed_at = -math.inf
        self.totals: dict[ids.TargetId, Load] = {}
        self.totals_at = -math.inf
        self.sums_aging = compute_aging(0.0)
        self.freed = 0

    def start_request(
        self,
        request_id: str,
        target: ids.TargetId,
        unread: float,
        held: float,
        now: float,
    ) -> None:
        """Records that a request was placed; it is sent right after.

        Args:
            request_id: the request.
            target: where it was placed.
            unread: prompt tokens that the target has to process.
            held: tokens that the request occupies in the KV cache.
            now: monotonic seconds.
        """
        recent = self.recent.setdefault(target, decayed.DecayingSum())
        recent.add(unread, now, RECENT_DECAY_S)
        load = Load(unread, 1, held)
        self.own_loads[target].add(load)
        self.placed_requests[request_id] = PlacedRequest(target, load)
        self.totals.pop(target, None)

    def note_prefill_done(self, request_id: str) -> None:
        """Records that a target has processed a request's prompt.

        This is known when the first event of its answer arrives.
        """
        placed = self.placed_requests.get(request_id)
        if placed is not None:
            self.own_loads[placed.target].unread -= placed.load.unread
            placed.load.unread = 0.0
            self._note_freed(placed.target)

    def set_decode_left(self, request_id: str, decode_s: float) -> None:
        """Sets the time for what a request has left to produce, in seconds."""
        placed = self.placed_requests.get(request_id)
        if placed is not None:
            own = self.own_loads[placed.target]
            own.decode_s += decode_s - placed.load.decode_s
            placed.load.decode_s = decode_s
            self.totals.pop(placed.target, None)

    def end_request(self, request_id: str) -> None:
        """Records that a request has ended or was given up."""
        placed = self.placed_requests.pop(request_id, None)
        if placed is not None:
            self.own_loads[placed.target].add(placed.load, -1)
            self._note_freed(placed.target)

    def note_outcome(
        self, target: ids.TargetId, is_failure: bool, now: float
    ) -> None:
        """Records how a request ended.

        Args:
            target: where it ran.
            is_failure: whether the target failed it.
            now: monotonic seconds.
        """
        for sums, amount in ((self.outcomes, 1.0), (self.failures, is_failure)):
            outcomes = sums.setdefault(target, decayed.DecayingSum())
            outcomes.add(amount, now, OUTCOME_DECAY_S)
        self.totals.pop(target, None)

    def note_prefill_time(
        self,
        target: ids.TargetId,
        timed_s: float,
        expected_s: float,
        now: float,
    ) -> None:
        """Records how long a prefill took.

        Args:
            target: where it ran.
            timed_s: its time, in seconds.
            expected_s: the time that was expected, in seconds.
            now: monotonic seconds.
        """
        for sums, amount in (
            (self.timed_s, timed_s),
            (self.expected_s, expected_s),
        ):
            times = sums.setdefault(target, decayed.DecayingSum())
            times.add(amount, now, OUTCOME_DECAY_S)
        self._note_freed(target)

    def apply_report(
        self,
        peer: ids.InstanceId,
        reported: tuple[messages.TargetLoad, ...],
        now: float,
    ) -> None:
        """Replaces the last report of a peer.

        Args:
            peer: the sender.
            reported: the peer's load of each target.
            now: monotonic seconds.
        """
        held: dict[ids.TargetId, float] = {}
        for item in reported:
            held[item.target] = held.get(item.target, 0.0) + item.held
        self.peers[peer] = PeerReport(now, reported, held)
        self.summed_at = -math.inf

    def forget_peer(self, peer: ids.InstanceId) -> None:
        """Removes the report of a peer whose load another report includes."""
        self.peers.pop(peer, None)
        self.summed_at = -math.inf

    def refresh(self, now: float) -> None:
        """Sums the loads of the peers again if the sums are outdated."""
        if now - self.summed_at > PEER_SUMS_MAX_AGE_S:
            self._sum_peers(now)

    def total(self, target: ids.TargetId, now: float) -> Load:
        """Returns the load of `target` from this router and its known peers.

        The result must not be changed.
        """
        self.refresh(now)
        if now != self.totals_at:
            self.totals_at = now
            self.totals.clear()
            self.sums_aging = compute_aging(now - self.summed_at)
        total = self.totals.get(target)
        if total is None:
            total = self.totals[target] = self._sum(target, now)
        return total

    def read_held(self, target: ids.TargetId, now: float) -> float:
        """Returns `held` of `total`.

        Takes less time if a report has just been applied, since the other
        loads aren't summed again.
        """
        held = 0.0
        for report in self.peers.values():
            if now - report.received_at < PEER_REPORT_MAX_AGE_S:
                held += report.held.get(target, 0.0)
        own = self.own_loads.get(target)
        return held + own.held if own else held

    def _sum(self, target: ids.TargetId, now: float) -> Load:
        total = self._read_own(target, now)
        peers = self.peer_sums.get(target)
        if peers is not None:
            outcome_decay = self.sums_aging.outcomes
            total.unread += peers.unread
            total.running += peers.running
            total.held += peers.held
            total.decode_s += peers.decode_s
            total.recent += peers.recent * self.sums_aging.recent
            total.outcomes += peers.outcomes * outcome_decay
            total.failures += peers.failures * outcome_decay
            total.timed_s += peers.timed_s * outcome_decay
            total.expected_s += peers.expected_s * outcome_decay
        return total

    def count_running(self, target: ids.TargetId) -> int:
        """Returns how many requests run at `target`, as of the last `refresh`.

        Takes less time than `total`.
        """
        own = self.own_loads.get(target)
        peers = self.peer_sums.get(target)
        return (own.running if own else 0) + (peers.running if peers else 0)

    def read_max_failures(self, target: ids.TargetId) -> float:
        """Returns a number that `failures` of `total` does not exceed.

        Takes less time than `total`; as of the last `refresh`.
        """
        own = self.failures.get(target)
        peers = self.peer_sums.get(target)
        return (own.value if own else 0.0) + (peers.failures if peers else 0.0)

    def export(
        self,
        now: float,
        leaving: Mapping[ids.TargetId, int],
        limits: Mapping[ids.TargetId, target_limits.Limit],
        cold: Mapping[ids.TargetId, int] | None = None,
        removed: Mapping[ids.TargetId, int] | None = None,
        removed_position: int = 0,
    ) -> list[messages.TargetLoad]:
        """Returns this router's own loads as messages to its peers.

        Args:
            now: monotonic seconds.
            leaving: start of the leaving process of each target of the pool
                that is leaving, Unix milliseconds.
            limits: newest limit of each target of the pool, from responses to
                this router.
            cold: start of the process of each target of the pool that has
                turned cold a moment ago; None if there is none.
            removed: start of the process of each target of the pool that was
                removed for good lately; None if there is none.
            removed_position: position in the target list up to which this was
                read.
        """
        cold = cold or {}
        removed = removed or {}
        targets = self.own_loads.keys() | self.outcomes.keys()
        targets = targets | leaving.keys() | limits.keys() | cold.keys()
        targets = targets | removed.keys()
        reports = []
        for target in targets:
            load = self._read_own(target, now)
            load.leaving_start_ms = leaving.get(target, 0)
            load.cold_start_ms = cold.get(target, 0)
            if target in removed:
                load.removed_start_ms = removed[target]
                load.removed_position = removed_position
            if target in limits:
                load.set_limit(limits[target], now)
            reports.append(load.report(target))
        return [report for report in reports if report is not None]

    def forget(self, target: ids.TargetId) -> None:
        """Removes a target's own loads unless requests still run there."""
        own = self.own_loads.get(target)
        if own is not None and own.running == 0:
            for table in (
                self.own_loads,
                self.recent,
                self.outcomes,
                self.failures,
                self.timed_s,
                self.expected_s,
            ):
                table.pop(target, None)
            self._note_freed(target)

    def _note_freed(self, target: ids.TargetId) -> None:
        """Records that the load of a target may be smaller than before."""
        self.freed += 1
        self.totals.pop(target, None)

    def _read_own(self, target: ids.TargetId, now: float) -> Load:
        own = self.own_loads.get(target)
        load = Load()
        if own is not None:
            load.unread = own.unread
            load.running = own.running
            load.held = own.held
            load.decode_s = own.decode_s
        if target in self.recent:
            load.recent = self.recent[target].read(now, RECENT_DECAY_S)
        if target in self.outcomes:
            load.outcomes = self.outcomes[target].read(now, OUTCOME_DECAY_S)
            load.failures = self.failures[target].read(now, OUTCOME_DECAY_S)
        if target in self.timed_s:
            load.timed_s = self.timed_s[target].read(now, OUTCOME_DECAY_S)
            load.expected_s = self.expected_s[target].read(now, OUTCOME_DECAY_S)
        return load

    def _sum_peers(self, now: float) -> None:
        """Recomputes `peer_sums` from the last reports of all peers.

        Summing all reports at once is cheaper than looking up each target in
        each report: a peer only reports the targets that it uses.
        """
        self.summed_at = now
        self.peer_sums = {}
        self.freed += 1
        self.totals_at = -math.inf
        for report in self.peers.values():
            age_s = now - report.received_at
            if age_s >= PEER_REPORT_MAX_AGE_S:
                continue
            aging = compute_aging(age_s)
            for item in report.loads:
                load = self.peer_sums.get(item.target)
                if load is None:
                    load = self.peer_sums[item.target] = Load()
                load.add_reported(item, aging)
