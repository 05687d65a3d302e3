"""Fair shares: recent service of each workspace, compared with its shares.

The service of a workspace is the cost of its requests that were placed at
targets, summed over all routers. This sum, and the sum of the cost asked for,
decay exponentially with a time constant of a fraction of the operators' quota
window. The max-min fair share of a capacity is called a level: a workspace that
asks for less gets all that it asks for, and those that ask for more get the
level. One level divides the guaranteed capacity. The other divides the service
that the pool actually gives, which is usually more.
"""

from collections.abc import Callable
import enum
import math

from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core.forwarding import decayed
from lentilbeam_core.forwarding import lead_limits
from lentilbeam_core.forwarding import max_min
from lentilbeam_core.forwarding import recent_max

DECAY_FRACTION = 0.25
"""Time constant of the exponential decay, as a fraction of the quota window.

The operators evaluate shares each second. With a longer time constant, service
received before a burst would restrict a workspace during the burst."""
PEER_USAGE_MAX_AGE_S = 3.0
"""A peer's last report is ignored once it is older than this."""
REPORT_HOLD_S = 0.6
"""Age, in seconds, up to which the sums of a report count in full. Reports of a
large fleet are this far apart, and the sender goes on meanwhile."""
LEVELS_MAX_AGE_S = 0.1
"""Levels are recomputed once they are older than this."""

FAIR_SHARE_TOLERANCE = 1.15
"""A workspace counts as above its fair share if the service received is more
than this multiple of it. The tolerance is needed because the sums of peers may
be as old as their last report."""

BELOW_FAIR_SHARE_FRACTION = 0.6
"""A workspace counts as below its fair share if the service received is less
than this fraction of it. The operators guarantee half of the fair share; the
margin allows for the delay of decayed sums."""

BELOW_OTHERS_FRACTION = 0.9
"""A workspace counts as below others if the service received is less than this
fraction of what it asked for, and of what the workspace received that received
most. Without this status, a workspace would be preferred until it has little
more than the half that is guaranteed, and no longer."""

ROUTER_SHARE_FRACTION = 0.99
"""A workspace counts as having received its fair share of a router if it
received this fraction of it; less than 1 for errors of rounding only."""

MAX_UNREAD_FACTOR = 4.0
"""Largest factor by which callers that were not read raise what a workspace has
asked for. Some of them come several times."""


class ShareStatus(enum.Enum):
    """Service that a workspace has received, compared with its shares."""

    BELOW_GUARANTEE = "owed"  # Below its guaranteed share.
    BELOW_FAIR_SHARE = "behind"  # Above its guarantee, far below fair.
    BELOW_OTHERS = "short"  # Short of what it asked for, while others got more.
    AT_FAIR_SHARE = "even"  # About its fair share.
    ABOVE_FAIR_SHARE = "ahead"  # More than its fair share.


_PeerUsage = dict[ids.WorkspaceId, messages.WorkspaceUse]


class Usage:
    """Service received and cost asked for by all workspaces, at all routers.

    Attributes:
        decay_s: time constant of the exponential decay, in seconds.
        served: service received from this router: decayed cost of the
            requests that it placed at targets.
        asked: decayed cost of all requests that this router received,
            refused ones included.
        read: decayed number of requests that this router received.
        unread: decayed number of callers that left before theirs was.
        largest_cost: cost of the largest request that this router received
            lately.
        count_waiting: returns the number of requests that wait to be read.
        peers: last report of each peer, and when it was received in
            monotonic seconds.
        guaranteed_level: service received up to which a workspace is within
            its guarantee; infinite if the guaranteed capacity is enough for
            all.
        fair_level: fair share of the service that was actually given, or of
            the guaranteed capacity if that is larger; infinite if that is
            enough for all.
        router_level: fair share of the service from this router; infinite if
            all get what they ask for here.
        lead: service up to which each workspace may be served while another
            one lacks service.
        most_served: service received by the workspace that received most.
        asked_totals: cost that each workspace asked for, at all routers.
        levels_updated_at: when these were computed, monotonic seconds.
    """

    def __init__(self, decay_s: float):
        self.decay_s = decay_s
        self.served: dict[ids.WorkspaceId, decayed.DecayingSum] = {}
        self.asked: dict[ids.WorkspaceId, decayed.DecayingSum] = {}
        self.read = decayed.DecayingSum()
        self.unread = decayed.DecayingSum()
        self.largest_cost = recent_max.RecentMax(lead_limits.PROMISE_WINDOW_S)
        self.count_waiting: Callable[[], int] = lambda: 0
        self.peers: dict[ids.InstanceId, tuple[float, _PeerUsage]] = {}
        self.guaranteed_level = math.inf
        self.fair_level = math.inf
        self.router_level = math.inf
        self.lead = lead_limits.LeadLevel()
        self.most_served = 0.0
        self.asked_totals: dict[ids.WorkspaceId, float] = {}
        self.levels_updated_at = -math.inf

    def note_asked(
        self, workspace: ids.WorkspaceId, cost: float, now: float
    ) -> None:
        """Adds the cost of a new request to what its workspace has asked for.

        Args:
            workspace: the workspace of the request.
            cost: estimated cost of the request, in cost units.
            now: monotonic seconds.
        """
        asked = self.asked.setdefault(workspace, decayed.DecayingSum())
        asked.add(cost, now, self.decay_s)
        self.read.add(1.0, now, self.decay_s)
        self.largest_cost.add(cost, now)

    def note_unread(self, now: float) -> None:
        """Records a caller that left before its request was read.

        Such requests count as those that were read at the same time: whose
        they were isn't known, and all workspaces of a router wait alike.
        """
        self.unread.add(1.0, now, self.decay_s)

    def note_served(
        self, workspace: ids.WorkspaceId, cost: float, now: float
    ) -> None:
        """Adds the cost of a placed request to the service received.

        Args:
            workspace: the workspace of the request.
            cost: estimated cost of the request, in cost units.
            now: monotonic seconds.
        """
        served = self.served.setdefault(workspace, decayed.DecayingSum())
        served.add(cost, now, self.decay_s)

    def note_unserved(
        self,
        workspace: ids.WorkspaceId,
        cost: float,
        placed_at: float,
        now: float,
    ) -> None:
        """Takes back the service of a placed request that got no answer.

        Args:
            workspace: the workspace of the request.
            cost: estimated cost of the request, in cost units.
            placed_at: when it was added, monotonic seconds.
            now: monotonic seconds.
        """
        decay = math.exp((placed_at - now) / self.decay_s)
        self.note_served(workspace, -cost * decay, now)

    def apply_report(
        self,
        peer: ids.InstanceId,
        uses: tuple[messages.WorkspaceUse, ...],
        now: float,
    ) -> None:
        """Replaces the last report of a peer with `uses`."""
        self.peers[peer] = (now, {use.workspace: use for use in uses})

    def forget_peer(self, peer: ids.InstanceId) -> None:
        """Removes the report of a peer that another report includes."""
        self.peers.pop(peer, None)

    def total_served(self, workspace: ids.WorkspaceId, now: float) -> float:
        """Returns the decayed service received by a workspace from all routers.

        Peers whose last report is too old are left out.
        """
        own = self.served.get(workspace)
        total = own.read(now, self.decay_s) if own is not None else 0.0
        for received_at, uses in self.peers.values():
            age_s = now - received_at
            if age_s < PEER_USAGE_MAX_AGE_S and workspace in uses:
                total += uses[workspace].cost * self._find_decay(age_s)
        return total

    def find_share_status(
        self, workspace: ids.WorkspaceId, guaranteed_per_s: float, now: float
    ) -> ShareStatus:
        """Compares the service received by a workspace with its shares.

        Args:
            workspace: the workspace.
            guaranteed_per_s: service that the operators guarantee to all
                workspaces together, in cost units per second. 0 if unknown;
                then every workspace counts as below its guarantee.
            now: monotonic seconds.
        """
        if guaranteed_per_s <= 0:
            return ShareStatus.BELOW_GUARANTEE
        self._refresh_levels(guaranteed_per_s, now)
        received = self.total_served(workspace, now)
        if received < self.guaranteed_level:
            return ShareStatus.BELOW_GUARANTEE
        # Its fair share, or the service of the workspace that received most:
        # that is more where demand changes faster than the sums decay.
        asked = self.asked_totals.get(workspace, 0.0)
        other = min(asked, self.most_served)
        if received < max(self.fair_level, other) * BELOW_FAIR_SHARE_FRACTION:
            return ShareStatus.BELOW_FAIR_SHARE
        if received < other * BELOW_OTHERS_FRACTION:
            return ShareStatus.BELOW_OTHERS
        if received <= self.fair_level * FAIR_SHARE_TOLERANCE:
            return ShareStatus.AT_FAIR_SHARE
        return ShareStatus.ABOVE_FAIR_SHARE

    def has_had_router_share(
        self, workspace: ids.WorkspaceId, guaranteed_per_s: float, now: float
    ) -> bool:
        """Whether a workspace received its fair share of this router lately.

        What this router begins is divided among those who ask here, so one that
        has most of it has its share, however little it is of the fleet's.

        Args:
            workspace: the workspace.
            guaranteed_per_s: see `find_share_status`. If it is unknown, nobody
                counts as having received a share.
            now: monotonic seconds.
        """
        own = self.served.get(workspace)
        if guaranteed_per_s <= 0 or own is None:
            return False
        self._refresh_levels(guaranteed_per_s, now)
        received = own.read(now, self.decay_s)
        return 0.0 < received >= self.router_level * ROUTER_SHARE_FRACTION

    def find_admitted_fraction(
        self, workspace: ids.WorkspaceId, guaranteed_per_s: float, now: float
    ) -> float:
        """Returns the fraction of a workspace's requests that may begin.

        It is less than 1 if the workspace asks for more than the lead level.

        Args:
            workspace: the workspace.
            guaranteed_per_s: see `find_share_status`.
            now: monotonic seconds.
        """
        if guaranteed_per_s <= 0:
            return 1.0
        self._refresh_levels(guaranteed_per_s, now)
        asked = self.asked_totals.get(workspace, 0.0)
        received = self.total_served(workspace, now)
        if not self.lead.is_limited(asked, received):
            return 1.0
        fraction = self.lead.find_fraction(asked, received)
        # Requests that are never read need no part of the limit.
        return min(fraction * self._find_unread_factor(now), 1.0)

    def export(
        self, pool: ids.PoolId, now: float
    ) -> tuple[messages.WorkspaceUse, ...]:
        """Returns this router's own sums as messages to its peers.

        Omits workspaces that asked for less than 1 cost unit.
        """
        uses = []
        unread_factor = self._find_unread_factor(now)
        for workspace, asked in self.asked.items():
            served = self.served.get(workspace, decayed.DecayingSum())
            cost = served.read(now, self.decay_s)
            asked_cost = asked.read(now, self.decay_s) * unread_factor
            if asked_cost >= 1.0:
                uses.append(
                    messages.WorkspaceUse(pool, workspace, cost, asked_cost)
                )
        return tuple(uses)

    def _find_unread_factor(self, now: float) -> float:
        """Returns what came to this router relative to what it read."""
        read = self.read.read(now, self.decay_s)
        unread = self.unread.read(now, self.decay_s) + self.count_waiting()
        if read <= 0.0:
            return 1.0
        return min(1.0 + unread / read, MAX_UNREAD_FACTOR)

    def _find_decay(self, age_s: float) -> float:
        """Returns the factor by which the sums of a report have decayed."""
        return math.exp(-max(age_s - REPORT_HOLD_S, 0.0) / self.decay_s)

    def _refresh_levels(self, guaranteed_per_s: float, now: float) -> None:
        """Computes the levels again if they are too old."""
        if now - self.levels_updated_at <= LEVELS_MAX_AGE_S:
            return
        guaranteed = guaranteed_per_s * self.decay_s
        asked: dict[ids.WorkspaceId, float] = {}
        served: dict[ids.WorkspaceId, float] = {}
        unread_factor = self._find_unread_factor(now)
        for workspace, own in self.asked.items():
            asked[workspace] = own.read(now, self.decay_s) * unread_factor
        for workspace, own in self.served.items():
            served[workspace] = own.read(now, self.decay_s)
        self.router_level = max_min.compute_share(
            list(asked.values()), sum(served.values())
        )
        for received_at, uses in self.peers.values():
            age_s = now - received_at
            if age_s >= PEER_USAGE_MAX_AGE_S:
                continue
            decay = self._find_decay(age_s)
            for workspace, use in uses.items():
                previous = asked.get(workspace, 0.0)
                asked[workspace] = previous + use.asked * decay
                previous = served.get(workspace, 0.0)
                served[workspace] = previous + use.cost * decay
        received = sum(served.values())
        self.most_served = max(served.values(), default=0.0)
        self.asked_totals = asked
        amounts = list(asked.values())
        self.levels_updated_at = now
        self.guaranteed_level = max_min.compute_share(amounts, guaranteed)
        self.fair_level = max_min.compute_share(
            amounts, max(received, guaranteed)
        )
        tolerance = (
            lead_limits.TOLERATED_REQUESTS
            * self.largest_cost.read(now)
            * self.decay_s
            / lead_limits.PROMISE_WINDOW_S
        )
        self.lead.update(
            asked, served, guaranteed, self.guaranteed_level, tolerance, now
        )
