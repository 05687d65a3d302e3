"""Which router sums the work of a data centre in a large fleet: its relay.

Nothing is agreed on. Each router follows the first in rendezvous order of
those that it hears, so that all that hear the same follow the same.
"""

from collections.abc import Iterable

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import ids
from lentilbeam_core import rendezvous
from lentilbeam_router.forwarding import decision_log
from lentilbeam_router.forwarding import peers as peers_lib

RELAY_SILENT_S = 0.5
"""A relay that sends nothing for longer is replaced."""
RELAY_AVOIDED_S = 6.0
"""Time until a relay that fell silent is tried again."""
ALONE_AFTER_S = 1.5
"""A relay to which nobody reports for this time looks for another."""


class Relays:
    """The relays of all data centres, as this router sees them.

    Attributes:
        current: this data centre's; None if it is this router.
        since: when that became so, monotonic seconds.
        heard_at: when its last sum came.
        avoided: relays that fell silent, and until when.
    """

    def __init__(
        self,
        me: ids.InstanceId,
        data_centre: ids.DataCentreId,
        peers: peers_lib.Peers,
        clock: clock_lib.Clock,
        log: decision_log.DecisionLog,
    ):
        self.me = me
        self.data_centre = data_centre
        self.peers = peers
        self.log = log
        self.current: ids.InstanceId | None = None
        self.since = clock.monotonic()
        self.heard_at = 0.0
        self.avoided: dict[ids.InstanceId, float] = {}

    def follow(self, has_members: bool, now: float) -> None:
        """Turns to another relay if there is a better one or none is heard.

        Args:
            has_members: whether routers of this data centre report here.
            now: monotonic seconds.
        """
        if self.current and now - self.heard_at > RELAY_SILENT_S:
            self.avoided[self.current] = now + RELAY_AVOIDED_S
        candidates = self._list_candidates(self.data_centre, now)
        # If nobody reports to a relay, the others hear a better one: it joins
        # them by way of the next.
        if not candidates or has_members or not self._is_alone(now):
            candidates.append(self.me)
        found = self._rank(self.data_centre, candidates)
        relay = None if found == self.me else found
        if relay == self.current:
            return
        self.log.write_event(
            "relay", relay=found, before=self.current or self.me
        )
        self.current = relay
        self.since = now
        self.heard_at = now

    def list_others(
        self, heard: Iterable[ids.InstanceId], now: float
    ) -> list[ids.InstanceId]:
        """Returns the relays of other data centres: the chosen and the heard.

        A relay that others chose may not be the one that this router would.
        """
        data_centres = {
            entry.data_centre for entry in self.peers.listed.values()
        } - {self.data_centre}
        found = {
            self._rank(name, self._list_candidates(name, now))
            for name in data_centres
        }
        return sorted({*found, *heard} - {None})

    def is_member(self, name: ids.InstanceId) -> bool:
        """Whether a router is of this data centre."""
        entry = self.peers.listed.get(name)
        return entry is not None and entry.data_centre == self.data_centre

    def count_members(self) -> int:
        """Returns the number of other routers of this data centre."""
        return sum(map(self.is_member, self.peers.listed))

    def is_above(self, other: ids.InstanceId) -> bool:
        """Whether another router of this data centre goes before this one."""
        return self._rank(self.data_centre, (self.me, other)) == other

    def _is_alone(self, now: float) -> bool:
        if self.current is None:
            return now - self.since > ALONE_AFTER_S
        return not self.is_above(self.current)

    def _list_candidates(
        self, data_centre: ids.DataCentreId, now: float
    ) -> list[ids.InstanceId]:
        return [
            entry.name
            for entry in self.peers.listed.values()
            if entry.data_centre == data_centre
            and self.peers.is_serving(entry.name, now)
            and self.avoided.get(entry.name, 0.0) <= now
        ]

    def _rank(
        self,
        data_centre: ids.DataCentreId,
        candidates: Iterable[ids.InstanceId],
    ) -> ids.InstanceId | None:
        return rendezvous.choose(f"relay of {data_centre}", candidates)
