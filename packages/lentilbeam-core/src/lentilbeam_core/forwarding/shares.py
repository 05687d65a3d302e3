"""Service that each workspace has asked for and received lately, fleet-wide.

Sums decay, so that shares follow the users' window. The level is the
max-min share of a pool's capacity: workspaces that ask for less get all of
it, and those that ask for more get the same.
"""

import math

from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core.forwarding import decayed

PEER_USAGE_AGE_S = 3.0
"""Usage reported by a peer that is silent for longer counts no more."""
LEVEL_AGE_S = 0.1
"""The level is computed anew at most this often."""

_PeerUses = dict[ids.WorkspaceId, messages.WorkspaceUse]


class Usage:
    """Recent cost by workspace: this router's own and its peers'."""

    def __init__(self, window_s: float):
        self.window_s = window_s
        self.served: dict[ids.WorkspaceId, decayed.Decayed] = {}
        self.asked: dict[ids.WorkspaceId, decayed.Decayed] = {}
        self.peers: dict[ids.InstanceId, tuple[float, _PeerUses]] = {}
        self.level = math.inf
        self.level_at = -math.inf

    def ask(self, workspace: ids.WorkspaceId, cost: float, now: float) -> None:
        """Notes that a request came."""
        asked = self.asked.setdefault(workspace, decayed.Decayed())
        asked.add(cost, now, self.window_s)

    def charge(
        self, workspace: ids.WorkspaceId, cost: float, now: float
    ) -> None:
        """Charges a request that is sent."""
        served = self.served.setdefault(workspace, decayed.Decayed())
        served.add(cost, now, self.window_s)

    def hear(
        self,
        peer: ids.InstanceId,
        uses: tuple[messages.WorkspaceUse, ...],
        now: float,
    ) -> None:
        """Takes in what a peer has served and was asked for."""
        self.peers[peer] = (now, {use.workspace: use for use in uses})

    def total(self, workspace: ids.WorkspaceId, now: float) -> float:
        """Returns what the workspace received of all routers heard of."""
        own = self.served.get(workspace)
        total = own.read(now, self.window_s) if own is not None else 0.0
        for heard_at, uses in self.peers.values():
            age_s = now - heard_at
            if age_s < PEER_USAGE_AGE_S and workspace in uses:
                remains = math.exp(-age_s / self.window_s)
                total += uses[workspace].cost * remains
        return total

    def is_within_share(
        self, workspace: ids.WorkspaceId, capacity_per_s: float, now: float
    ) -> bool:
        """Whether the workspace has received less than its max-min share."""
        if capacity_per_s <= 0:
            return True
        if now - self.level_at > LEVEL_AGE_S:
            self.level_at = now
            capacity = capacity_per_s * self.window_s
            self.level = find_level(self._list_asked(now), capacity)
        return self.total(workspace, now) < self.level

    def export(
        self, pool: ids.PoolId, now: float
    ) -> tuple[messages.WorkspaceUse, ...]:
        """Returns this router's own usage for its peers."""
        uses = []
        for workspace, asked in self.asked.items():
            served = self.served.get(workspace, decayed.Decayed())
            cost = served.read(now, self.window_s)
            wanted = asked.read(now, self.window_s)
            if wanted >= 1.0:
                uses.append(
                    messages.WorkspaceUse(pool, workspace, cost, wanted)
                )
        return tuple(uses)

    def _list_asked(self, now: float) -> list[float]:
        asked = {
            workspace: own.read(now, self.window_s)
            for workspace, own in self.asked.items()
        }
        for heard_at, uses in self.peers.values():
            age_s = now - heard_at
            if age_s >= PEER_USAGE_AGE_S:
                continue
            remains = math.exp(-age_s / self.window_s)
            for workspace, use in uses.items():
                before = asked.get(workspace, 0.0)
                asked[workspace] = before + use.asked * remains
        return list(asked.values())


def find_level(asked: list[float], capacity: float) -> float:
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
