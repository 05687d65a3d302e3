"""Lets the routers of a large fleet share the reads of the target list."""

import math
import random

from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core import rendezvous
from lentilbeam_core.forwarding import read_pauses
from lentilbeam_core.forwarding import target_list
from lentilbeam_router.forwarding import cold_control
from lentilbeam_router.forwarding import peers as peers_lib

_READERS_KEY = "readers of targets"


class SharedReads:
    """Decides when this router reads the target list again.

    Attributes:
        pauses: what is known of the reads of this router and its peers.
        targets: targets of all pools.
        cold: tells in which pools it matters whether a target is warm.
        peers: the other routers.
        ranked: all listed routers, in the order in which they are readers.
        ranked_revision: value of `Peers.revision` for `ranked`.
    """

    def __init__(
        self,
        targets: target_list.TargetList,
        cold: cold_control.ColdControl,
        peers: peers_lib.Peers,
        rng: random.Random,
    ):
        self.pauses = read_pauses.ReadPauses(rng)
        self.targets = targets
        self.cold = cold
        self.peers = peers
        self.ranked: list[ids.InstanceId] = []
        self.ranked_revision = -1

    def note_report(
        self, peer: ids.InstanceId, report: messages.LoadReport, now: float
    ) -> None:
        """Records how far a peer has read the target list."""
        self.pauses.note_report(
            peer, report.targets_offset, report.targets_change, now
        )
        if self.pauses.complete_at > -math.inf:
            self.targets.note_complete(self.pauses.complete_at)

    def find_due(self, now: float) -> float:
        """Returns when the target list is read again, monotonic seconds."""
        return self.pauses.find_due(self.is_reader(now), self._has_cold(now))

    def is_reader(self, now: float) -> bool:
        """Whether this router is among the first that are heard."""
        if self.ranked_revision != self.peers.revision:
            self.ranked_revision = self.peers.revision
            self.ranked = sorted(
                [*self.peers.listed, self.peers.own_name],
                key=lambda name: rendezvous.score(_READERS_KEY, name),
            )
        readers = 0
        for name in self.ranked:
            if name == self.peers.own_name:
                return True
            readers += self.peers.is_alive(name, now)
            if readers >= read_pauses.READERS:
                return False
        return True

    def _has_cold(self, now: float) -> bool:
        """Whether a target is not known to be warm where this matters."""
        if not self.cold.pools:
            return False
        return any(
            entry.pool in self.cold.pools
            and not self.targets.cold.is_warm(entry.name, entry.start_ms, now)
            for entry in self.targets.entries.values()
        )
