"""Service that each workspace has received lately, over the whole fleet.

Usage decays, so that the order among workspaces follows the users' window:
whoever got least in it goes first, which approaches max-min shares.
"""

import dataclasses
import math

from lentilbeam_core import ids
from lentilbeam_core import messages

PEER_USAGE_AGE_S = 3.0
"""Usage reported by a peer that is silent for longer counts no more."""


@dataclasses.dataclass(slots=True)
class Decayed:
    """A sum whose items lose weight exponentially with age."""

    value: float = 0.0
    at: float = 0.0

    def read(self, now: float, window_s: float) -> float:
        """Returns the sum as of `now`."""
        return self.value * math.exp(-max(now - self.at, 0.0) / window_s)

    def add(self, amount: float, now: float, window_s: float) -> None:
        """Adds an item."""
        self.value = self.read(now, window_s) + amount
        self.at = now


class Usage:
    """Recent cost by workspace: this router's own and its peers'."""

    def __init__(self, window_s: float):
        self.window_s = window_s
        self.own: dict[ids.WorkspaceId, Decayed] = {}
        self.peers: dict[
            ids.InstanceId, tuple[float, dict[ids.WorkspaceId, float]]
        ] = {}

    def charge(
        self, workspace: ids.WorkspaceId, cost: float, now: float
    ) -> None:
        """Charges a request that is sent; a negative cost gives back."""
        decayed = self.own.setdefault(workspace, Decayed())
        decayed.add(cost, now, self.window_s)

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
        for workspace, decayed in self.own.items():
            cost = decayed.read(now, self.window_s)
            if cost >= 1.0:
                uses.append(messages.WorkspaceUse(pool, workspace, cost))
        return tuple(uses)
