"""Service that each workspace has received lately, over the whole fleet.

Usage decays, so that the order among workspaces follows the users' window:
whoever got least in it goes first, which approaches max-min shares.
"""

import math

from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core.forwarding import decayed

PEER_USAGE_AGE_S = 3.0
"""Usage reported by a peer that is silent for longer counts no more."""


class Usage:
    """Recent cost by workspace: this router's own and its peers'."""

    def __init__(self, window_s: float):
        self.window_s = window_s
        self.own: dict[ids.WorkspaceId, decayed.Decayed] = {}
        self.peers: dict[
            ids.InstanceId, tuple[float, dict[ids.WorkspaceId, float]]
        ] = {}

    def charge(
        self, workspace: ids.WorkspaceId, cost: float, now: float
    ) -> None:
        """Charges a request that is sent; a negative cost gives back."""
        own = self.own.setdefault(workspace, decayed.Decayed())
        own.add(cost, now, self.window_s)

    def hear(
        self,
        peer: ids.InstanceId,
        uses: tuple[messages.WorkspaceUse, ...],
        now: float,
    ) -> None:
        """Takes in what a peer has served."""
        self.peers[peer] = (now, {use.workspace: use.cost for use in uses})

    def total(self, workspace: ids.WorkspaceId, now: float) -> float:
        """Returns what the workspace received of all routers heard of."""
        own = self.own.get(workspace)
        total = own.read(now, self.window_s) if own is not None else 0.0
        for heard_at, uses in self.peers.values():
            age_s = now - heard_at
            if age_s < PEER_USAGE_AGE_S and workspace in uses:
                total += uses[workspace] * math.exp(-age_s / self.window_s)
        return total

    def export(
        self, pool: ids.PoolId, now: float
    ) -> tuple[messages.WorkspaceUse, ...]:
        """Returns this router's own usage for its peers."""
        uses = []
        for workspace, own in self.own.items():
            cost = own.read(now, self.window_s)
            if cost >= 1.0:
                uses.append(messages.WorkspaceUse(pool, workspace, cost))
        return tuple(uses)
