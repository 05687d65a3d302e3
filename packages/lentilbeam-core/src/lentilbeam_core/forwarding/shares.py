"""Service that each workspace has asked for and received lately, fleet-wide.

Sums decay, so that shares follow the users' window. A level is the max-min
share of a capacity: workspaces that ask for less get all of it, and those
that ask for more get the same. There are two: of what the users owe, and of
what the pool actually yields, which is more most of the time.
"""

import enum
import math

from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core.forwarding import decaying_sum

DECAY_FRACTION = 0.25
"""Part of the users' window after which usage counts 1/e: they judge shares by
the second, and what a workspace received before a burst must not hold it back
in it."""
PEER_USAGE_MAX_AGE_S = 3.0
"""Usage reported by a peer that is silent for longer counts no more."""
LEVELS_MAX_AGE_S = 0.1
"""The level is computed anew at most this often."""

FAIR_SHARE_TOLERANCE = 1.15
"""Served beyond the even share of the yield by this factor is too much: the
sums are up to a report's age old."""


BELOW_FAIR_SHARE_FRACTION = 0.6
"""The users promise half of the even share; decayed sums lag behind it."""


class ShareStatus(enum.Enum):
    """What a workspace has received, compared with its shares."""

    BELOW_GUARANTEE = "owed"  # Less than its share of what the users owe.
    BELOW_FAIR_SHARE = (
        "behind"  # That, but far less than its share of the yield.
    )
    AT_FAIR_SHARE = "even"  # About its share of the yield.
    ABOVE_FAIR_SHARE = "ahead"  # More than its share of the yield.


_PeerUses = dict[ids.WorkspaceId, messages.WorkspaceUse]


class Usage:
    """Recent cost by workspace: this router's own and its peers'."""

    def __init__(self, decay_s: float):
        self.decay_s = decay_s
        self.served: dict[ids.WorkspaceId, decaying_sum.DecayingSum] = {}
        self.asked: dict[ids.WorkspaceId, decaying_sum.DecayingSum] = {}
        self.peers: dict[ids.InstanceId, tuple[float, _PeerUses]] = {}
        self.guaranteed_level = math.inf
        self.fair_level = math.inf
        self.levels_updated_at = -math.inf

    def note_asked(
        self, workspace: ids.WorkspaceId, cost: float, now: float
    ) -> None:
        """Notes that a request came."""
        asked = self.asked.setdefault(workspace, decaying_sum.DecayingSum())
        asked.add(cost, now, self.decay_s)

    def note_served(
        self, workspace: ids.WorkspaceId, cost: float, now: float
    ) -> None:
        """Charges a request that is sent."""
        served = self.served.setdefault(workspace, decaying_sum.DecayingSum())
        served.add(cost, now, self.decay_s)

    def apply_report(
        self,
        peer: ids.InstanceId,
        uses: tuple[messages.WorkspaceUse, ...],
        now: float,
    ) -> None:
        """Takes in what a peer has served and was asked for."""
        self.peers[peer] = (now, {use.workspace: use for use in uses})

    def forget_peer(self, peer: ids.InstanceId) -> None:
        """Forgets what a peer reported: another report includes it."""
        self.peers.pop(peer, None)

    def total(self, workspace: ids.WorkspaceId, now: float) -> float:
        """Returns what the workspace received of all routers heard of."""
        own = self.served.get(workspace)
        total = own.read(now, self.decay_s) if own is not None else 0.0
        for heard_at, uses in self.peers.values():
            age_s = now - heard_at
            if age_s < PEER_USAGE_MAX_AGE_S and workspace in uses:
                remains = math.exp(-age_s / self.decay_s)
                total += uses[workspace].cost * remains
        return total

    def find_share_status(
        self, workspace: ids.WorkspaceId, guaranteed_per_s: float, now: float
    ) -> ShareStatus:
        """Returns where a workspace stands.

        Args:
            workspace: whose standing.
            guaranteed_per_s: what the users owe all workspaces together; 0 if
                unknown, and then each is owed all that it asks for.
            now: monotonic seconds.
        """
        if guaranteed_per_s <= 0:
            return ShareStatus.BELOW_GUARANTEE
        if now - self.levels_updated_at > LEVELS_MAX_AGE_S:
            self._refresh_levels(guaranteed_per_s * self.decay_s, now)
        received = self.total(workspace, now)
        if received < self.guaranteed_level:
            return ShareStatus.BELOW_GUARANTEE
        if received < self.fair_level * BELOW_FAIR_SHARE_FRACTION:
            return ShareStatus.BELOW_FAIR_SHARE
        if received <= self.fair_level * FAIR_SHARE_TOLERANCE:
            return ShareStatus.AT_FAIR_SHARE
        return ShareStatus.ABOVE_FAIR_SHARE

    def export(
        self, pool: ids.PoolId, now: float
    ) -> tuple[messages.WorkspaceUse, ...]:
        """Returns this router's own usage for its peers."""
        uses = []
        for workspace, asked in self.asked.items():
            served = self.served.get(workspace, decaying_sum.DecayingSum())
            cost = served.read(now, self.decay_s)
            wanted = asked.read(now, self.decay_s)
            if wanted >= 1.0:
                uses.append(
                    messages.WorkspaceUse(pool, workspace, cost, wanted)
                )
        return tuple(uses)

    def _refresh_levels(self, owed: float, now: float) -> None:
        asked: dict[ids.WorkspaceId, float] = {}
        received = 0.0
        for workspace, own in self.asked.items():
            asked[workspace] = own.read(now, self.decay_s)
        for own in self.served.values():
            received += own.read(now, self.decay_s)
        for heard_at, uses in self.peers.values():
            age_s = now - heard_at
            if age_s >= PEER_USAGE_MAX_AGE_S:
                continue
            remains = math.exp(-age_s / self.decay_s)
            for workspace, use in uses.items():
                before = asked.get(workspace, 0.0)
                asked[workspace] = before + use.asked * remains
                received += use.cost * remains
        amounts = list(asked.values())
        self.levels_updated_at = now
        self.guaranteed_level = compute_max_min_share(amounts, owed)
        self.fair_level = compute_max_min_share(amounts, max(received, owed))


def compute_max_min_share(asked: list[float], capacity: float) -> float:
    """Returns the max-min share of each that asks for more than it.

    Infinite if the capacity is enough for all.
    """
    left = capacity
    rest = len(asked)
    for amount in sorted(asked):
        if amount * rest > left:
            return left / rest
        left -= amount
        rest -= 1
    return math.inf
