"""How much work the targets of a pool have, over the whole fleet.

Each router knows what it sent itself and hears from its peers what they did;
an engine's own reports come too late to place the next request by them.
"""

import collections
import dataclasses
import math

from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core.forwarding import decaying_sum

PEER_REPORT_MAX_AGE_S = 1.5
"""Reports of a peer that is silent for longer count no more."""
PEER_SUMS_MAX_AGE_S = 0.02
"""Sums over peers are made anew after this time, to drop the silent."""
RECENT_DECAY_S = 0.5
"""Time after which prompt tokens sent to a target count 1/e."""
OUTCOME_DECAY_S = 3.0
"""Time after which requests that ended at a target count 1/e: a failing
target has some tens of requests in it, and is tried again after it."""
MIN_REPORTED_OUTCOMES = 0.1
"""Outcomes that count less are not reported."""


@dataclasses.dataclass(slots=True)
class Load:
    """Work at one target.

    Attributes:
        unread: prompt tokens sent there and not yet read.
        running: requests sent there that have not ended.
        held: tokens that these take in the target's memory, at most.
        recent: prompt tokens sent there lately; older ones count less.
        outcomes: requests that ended there lately, likewise.
        failures: those of them that failed.
    """

    unread: float = 0.0
    running: int = 0
    held: float = 0.0
    recent: float = 0.0
    outcomes: float = 0.0
    failures: float = 0.0

    def add(self, other: "Load", sign: int = 1) -> None:
        """Adds another load, or takes it off if `sign` is -1."""
        self.unread += sign * other.unread
        self.running += sign * other.running
        self.held += sign * other.held
        self.recent += sign * other.recent
        self.outcomes += sign * other.outcomes
        self.failures += sign * other.failures

    def add_reported(
        self, item: messages.TargetLoad, age_s: float, sign: int = 1
    ) -> None:
        """Adds what a router reported `age_s` ago, or takes it off."""
        remains = sign * math.exp(-age_s / RECENT_DECAY_S)
        outcomes_remain = sign * math.exp(-age_s / OUTCOME_DECAY_S)
        self.unread += item.unread * sign
        self.running += item.running * sign
        self.held += item.held * sign
        self.recent += item.recent * remains
        self.outcomes += item.outcomes * outcomes_remain
        self.failures += item.failures * outcomes_remain

    def report(self, target: ids.TargetId) -> messages.TargetLoad | None:
        """Returns this for other routers; None if it says nothing."""
        is_busy = self.running > 0 or self.recent >= 1.0
        if not is_busy and self.outcomes < MIN_REPORTED_OUTCOMES:
            return None
        return messages.TargetLoad(
            target,
            max(self.unread, 0.0),
            max(self.running, 0),
            max(self.held, 0.0),
            max(self.recent, 0.0),
            max(self.outcomes, 0.0),
            max(self.failures, 0.0),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReport:
    """What a peer has at the targets, and when it said so."""

    at: float
    reported: tuple[messages.TargetLoad, ...]


@dataclasses.dataclass(slots=True)
class SentRequest:
    """A request that this router has at a target."""

    target: ids.TargetId
    load: Load


class LoadTracker:
    """Work at all targets: this router's own and its peers'."""

    def __init__(self):
        self.own_loads: dict[ids.TargetId, Load] = collections.defaultdict(Load)
        self.sent_requests: dict[str, SentRequest] = {}
        self.recent: dict[ids.TargetId, decaying_sum.DecayingSum] = {}
        self.outcomes: dict[ids.TargetId, decaying_sum.DecayingSum] = {}
        self.failures: dict[ids.TargetId, decaying_sum.DecayingSum] = {}
        self.peers: dict[ids.InstanceId, PeerReport] = {}
        self.peer_sums: dict[ids.TargetId, Load] = {}
        self.summed_at = -math.inf

    def start_request(
        self,
        name: str,
        target: ids.TargetId,
        unread: float,
        held: float,
        now: float,
    ) -> None:
        """Notes that a request is sent to `target`."""
        recent = self.recent.setdefault(target, decaying_sum.DecayingSum())
        recent.add(unread, now, RECENT_DECAY_S)
        load = Load(unread, 1, held)
        self.own_loads[target].add(load)
        self.sent_requests[name] = SentRequest(target, load)

    def note_prompt_read(self, name: str) -> None:
        """Notes that a request's prompt was read: its answer has begun."""
        sent = self.sent_requests.get(name)
        if sent is not None:
            self.own_loads[sent.target].unread -= sent.load.unread
            sent.load.unread = 0.0

    def end_request(self, name: str) -> None:
        """Notes that a request is no longer at its target."""
        sent = self.sent_requests.pop(name, None)
        if sent is not None:
            self.own_loads[sent.target].add(sent.load, -1)

    def note_outcome(
        self, target: ids.TargetId, is_failure: bool, now: float
    ) -> None:
        """Notes whether a request failed at its target."""
        for sums, amount in ((self.outcomes, 1.0), (self.failures, is_failure)):
            outcomes = sums.setdefault(target, decaying_sum.DecayingSum())
            outcomes.add(amount, now, OUTCOME_DECAY_S)

    def apply_report(
        self,
        peer: ids.InstanceId,
        reported: tuple[messages.TargetLoad, ...],
        now: float,
    ) -> None:
        """Takes in what a peer has at the targets."""
        self.peers[peer] = PeerReport(now, reported)
        self.summed_at = -math.inf

    def forget_peer(self, peer: ids.InstanceId) -> None:
        """Forgets what a peer reported: another report includes it."""
        self.peers.pop(peer, None)
        self.summed_at = -math.inf

    def total(self, target: ids.TargetId, now: float) -> Load:
        """Returns the work that all routers heard of have at `target`."""
        if now - self.summed_at > PEER_SUMS_MAX_AGE_S:
            self._sum_peers(now)
        total = Load()
        peers = self.peer_sums.get(target)
        if peers is not None:
            total.add(peers)
            age_s = now - self.summed_at
            total.recent *= math.exp(-age_s / RECENT_DECAY_S)
            total.outcomes *= math.exp(-age_s / OUTCOME_DECAY_S)
            total.failures *= math.exp(-age_s / OUTCOME_DECAY_S)
        total.add(self._read_own(target, now))
        return total

    def export(self, now: float) -> list[messages.TargetLoad]:
        """Returns this router's own work for its peers."""
        targets = self.own_loads.keys() | self.outcomes.keys()
        reports = (self._read_own(t, now).report(t) for t in targets)
        return [report for report in reports if report is not None]

    def forget(self, target: ids.TargetId) -> None:
        """Drops the entry of a target that is gone and has no work here."""
        own = self.own_loads.get(target)
        if own is not None and own.running == 0:
            for table in (
                self.own_loads,
                self.recent,
                self.outcomes,
                self.failures,
            ):
                table.pop(target, None)

    def _read_own(self, target: ids.TargetId, now: float) -> Load:
        load = Load()
        if target in self.own_loads:
            load.add(self.own_loads[target])
        for sums, decay_s, name in (
            (self.recent, RECENT_DECAY_S, "recent"),
            (self.outcomes, OUTCOME_DECAY_S, "outcomes"),
            (self.failures, OUTCOME_DECAY_S, "failures"),
        ):
            if target in sums:
                setattr(load, name, sums[target].read(now, decay_s))
        return load

    def _sum_peers(self, now: float) -> None:
        """Sums all reports: there are far fewer items than pairs."""
        self.summed_at = now
        self.peer_sums = {}
        for heard in self.peers.values():
            age_s = now - heard.at
            if age_s >= PEER_REPORT_MAX_AGE_S:
                continue
            for item in heard.reported:
                load = self.peer_sums.setdefault(item.target, Load())
                load.add_reported(item, age_s)
