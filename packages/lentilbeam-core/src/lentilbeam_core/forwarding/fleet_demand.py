"""Demand for the targets of a pool, at this router and at its peers.

A router divides by demand what the fleet shares: its part is its own demand
relative to that of all routers. What is due to routers that it doesn't hear
from is left to them. They may run on the other side of a network partition,
where they hear nobody and use their even part. So the parts of all routers
never add up to more than the whole.
"""

import dataclasses

from lentilbeam_core import ids
from lentilbeam_core.forwarding import decayed

DECAY_S = 2.0
"""Time constant of the exponential decay of demand, in seconds."""
HEARD_MAX_AGE_S = 1.5
"""A peer counts as heard from until its last report is older than this."""
REPORT_MAX_AGE_S = 3.0
"""The demand in a report counts until it is older than this. It counts for
longer than its sender is heard from, so that nobody takes over the part of a
router that is silent."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerDemand:
    """Demand that a peer has reported.

    Attributes:
        received_at: when the report was received, monotonic seconds.
        requests: decayed number of requests, not decayed any further.
        routers: number of routers whose demand it adds up.
    """

    received_at: float
    requests: float
    routers: int


class FleetDemand:
    """Recent requests for one pool, at all routers.

    Attributes:
        own: decayed number of requests that this router received.
        peers: last report of each peer.
    """

    def __init__(self):
        self.own = decayed.DecayingSum()
        self.peers: dict[ids.InstanceId, PeerDemand] = {}

    def note_request(self, now: float) -> None:
        """Counts a request from a caller."""
        self.own.add(1.0, now, DECAY_S)

    def read_own(self, now: float) -> float:
        """Returns the decayed number of requests that this router received."""
        return self.own.read(now, DECAY_S)

    def apply_report(
        self, peer: ids.InstanceId, requests: float, routers: int, now: float
    ) -> None:
        """Replaces the last report of a peer.

        Args:
            peer: the sender.
            requests: decayed number of requests.
            routers: number of routers that received them.
            now: monotonic seconds.
        """
        self.peers[peer] = PeerDemand(now, requests, routers)

    def forget_peer(self, peer: ids.InstanceId) -> None:
        """Removes the report of a peer that another report includes."""
        self.peers.pop(peer, None)

    def compute_part(self, routers: int, now: float) -> float:
        """Returns this router's part of what the fleet shares, as a fraction.

        Args:
            routers: number of routers in the fleet, this one included.
            now: monotonic seconds.
        """
        own = self.read_own(now)
        if own <= 0.0:
            return 0.0
        heard = self.count_heard(now)
        total = own + self._sum_others(now)
        return min(heard / routers, 1.0) * own / total

    def count_heard(self, now: float) -> int:
        """Returns how many routers are heard from, this one included."""
        return 1 + sum(
            report.routers
            for report in self.peers.values()
            if now - report.received_at < HEARD_MAX_AGE_S
        )

    def estimate_per_s(self, now: float) -> float:
        """Returns the requests per second that all routers receive."""
        return self.read_own(now) / DECAY_S + self.estimate_others_per_s(now)

    def estimate_others_per_s(self, now: float) -> float:
        """Returns the requests per second that other routers receive."""
        return self._sum_others(now) / DECAY_S

    def _sum_others(self, now: float) -> float:
        return sum(
            report.requests
            for report in self.peers.values()
            if now - report.received_at < REPORT_MAX_AGE_S
        )
