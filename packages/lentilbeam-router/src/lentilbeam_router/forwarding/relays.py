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

RELAY_TIMEOUT_S = 0.5
"""A relay that sends nothing for longer is replaced."""
RELAY_RETRY_S = 6.0
"""Time until a relay that fell silent is tried again."""
NO_MEMBERS_TIMEOUT_S = 1.5
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
        instance: ids.InstanceId,
        data_centre: ids.DataCentreId,
        peers: peers_lib.Peers,
        clock: clock_lib.Clock,
        log: decision_log.DecisionLog,
    ):
        self.instance = instance
        self.data_centre = data_centre
        self.peers = peers
        self.log = log
        self.current: ids.InstanceId | None = None
        self.since = clock.monotonic()
        self.last_report_at = 0.0
        self.avoided: dict[ids.InstanceId, float] = {}

    def choose(self, has_members: bool, now: float) -> None:
        """Turns to another relay if there is a better one or none is heard.

        Args:
            has_members: whether routers of this data centre report here.
            now: monotonic seconds.
        """
        if self.current and now - self.last_report_at > RELAY_TIMEOUT_S:
            self.avoided[self.current] = now + RELAY_RETRY_S
        candidates = self._list_candidates(self.data_centre, now)
        # If nobody reports to a relay, the others hear a better one: it joins
        # them by way of the next.
        if not candidates or has_members or not self._should_yield(now):
            candidates.append(self.instance)
        chosen = self._choose_first(self.data_centre, candidates)
        relay = None if chosen == self.instance else chosen
        if relay == self.current:
            return
        self.log.write_event(
            "relay", relay=chosen, before=self.current or self.instance
        )
        self.current = relay
        self.since = now
        self.last_report_at = now

    def list_remote_relays(
        self, known: Iterable[ids.InstanceId], now: float
    ) -> list[ids.InstanceId]:
        """Returns the relays of other data centres: the chosen and the heard.

        A relay that others chose may not be the one that this router would.
        """
        data_centres = {
            entry.data_centre for entry in self.peers.listed.values()
        } - {self.data_centre}
        chosen = {
            self._choose_first(name, self._list_candidates(name, now))
            for name in data_centres
        }
        return sorted({*chosen, *known} - {None})

    def is_member(self, name: ids.InstanceId) -> bool:
        """Whether a router is of this data centre."""
        entry = self.peers.listed.get(name)
        return entry is not None and entry.data_centre == self.data_centre

    def count_members(self) -> int:
        """Returns the number of other routers of this data centre."""
        return sum(map(self.is_member, self.peers.listed))

    def outranks_self(self, other: ids.InstanceId) -> bool:
        """Whether another router of this data centre goes before this one."""
        return (
            self._choose_first(self.data_centre, (self.instance, other))
            == other
        )

    def _should_yield(self, now: float) -> bool:
        if self.current is None:
            return now - self.since > NO_MEMBERS_TIMEOUT_S
        return not self.outranks_self(self.current)

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

    def _choose_first(
        self,
        data_centre: ids.DataCentreId,
        candidates: Iterable[ids.InstanceId],
    ) -> ids.InstanceId | None:
        return rendezvous.choose(f"relay of {data_centre}", candidates)
