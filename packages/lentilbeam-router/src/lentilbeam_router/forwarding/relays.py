"""Chooses the relay of a data centre: the router that sums its work.

There is no election. Each router ranks the routers of the data centre that are
up and take requests by rendezvous hashing and uses the first. Routers that
receive reports from the same peers therefore choose the same relay.

The members of a router are the peers that report to it as their relay.

Not related to `lentilbeam_router.relay`, which runs requests at targets and
passes on the answers.
"""

from collections.abc import Iterable

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import ids
from lentilbeam_core import rendezvous
from lentilbeam_router.forwarding import decision_log
from lentilbeam_router.forwarding import peers as peers_lib

RELAY_TIMEOUT_S = 0.5
"""A relay is replaced if it sends no FLEET report for this time, in seconds."""
RELAY_RETRY_S = 6.0
"""Seconds for which a relay that timed out isn't chosen again."""
NO_MEMBERS_TIMEOUT_S = 1.5
"""A router that has been its own relay for this time, in seconds, and has no
members chooses another relay."""


class Relays:
    """The relays of all data centres, as chosen by this router.

    Attributes:
        own_name: ID of this router.
        data_centre: the data centre that this router runs in.
        peers: the other routers.
        current: relay of this data centre; None if it is this router.
        since: when `current` was chosen, monotonic seconds.
        last_report_at: when `current` was chosen or last sent a FLEET report,
            monotonic seconds.
        retry_at: relays that timed out, and when each may be chosen again,
            monotonic seconds.
    """

    def __init__(
        self,
        own_name: ids.InstanceId,
        data_centre: ids.DataCentreId,
        peers: peers_lib.Peers,
        clock: clock_lib.Clock,
        log: decision_log.DecisionLog,
    ):
        self.own_name = own_name
        self.data_centre = data_centre
        self.peers = peers
        self.log = log
        self.current: ids.InstanceId | None = None
        self.since = clock.monotonic()
        self.last_report_at = 0.0
        self.retry_at: dict[ids.InstanceId, float] = {}

    def choose(self, has_members: bool, now: float) -> None:
        """Changes the relay if it timed out or another one ranks first.

        Args:
            has_members: whether routers of this data centre report to this
                router.
            now: monotonic seconds.
        """
        if self.current and now - self.last_report_at > RELAY_TIMEOUT_S:
            self.retry_at[self.current] = now + RELAY_RETRY_S
        candidates = self._list_candidates(self.data_centre, now)
        # If no member reports to this router, the other routers may have a
        # relay that ranks first but doesn't reach this router. This router
        # then uses the candidate that ranks next.
        if not candidates or has_members or not self._excludes_self(now):
            candidates.append(self.own_name)
        chosen = self._choose_first(self.data_centre, candidates)
        relay = None if chosen == self.own_name else chosen
        if relay == self.current:
            return
        self.log.write_event(
            "relay", relay=chosen, before=self.current or self.own_name
        )
        self.current = relay
        self.since = now
        self.last_report_at = now

    def list_remote_relays(
        self, known: Iterable[ids.InstanceId], now: float
    ) -> list[ids.InstanceId]:
        """Returns the relays of other data centres.

        These are the ones that this router would choose and `known`: the
        routers there may have chosen another one.

        Args:
            known: relays of other data centres that report to this router.
            now: monotonic seconds.
        """
        data_centres = {
            entry.data_centre for entry in self.peers.listed.values()
        } - {self.data_centre}
        chosen = {
            self._choose_first(name, self._list_candidates(name, now))
            for name in data_centres
        }
        return sorted({*chosen, *known} - {None})

    def is_in_own_data_centre(self, name: ids.InstanceId) -> bool:
        """Whether a peer runs in this router's data centre."""
        entry = self.peers.listed.get(name)
        return entry is not None and entry.data_centre == self.data_centre

    def count_data_centre_peers(self) -> int:
        """Returns the number of peers in this router's data centre."""
        return sum(map(self.is_in_own_data_centre, self.peers.listed))

    def outranks_self(self, other: ids.InstanceId) -> bool:
        """Whether a peer in this data centre ranks before this router."""
        return (
            self._choose_first(self.data_centre, (self.own_name, other))
            == other
        )

    def _excludes_self(self, now: float) -> bool:
        """Whether a router without members must not choose itself as relay.

        It must not if it has been its own relay for more than
        `NO_MEMBERS_TIMEOUT_S`. It must not either if its current relay ranks
        after it, because it would otherwise switch back to itself at once.
        """
        if self.current is None:
            return now - self.since > NO_MEMBERS_TIMEOUT_S
        return not self.outranks_self(self.current)

    def _list_candidates(
        self, data_centre: ids.DataCentreId, now: float
    ) -> list[ids.InstanceId]:
        """Returns the peers in a data centre that may be its relay."""
        return [
            entry.name
            for entry in self.peers.listed.values()
            if entry.data_centre == data_centre
            and self.peers.is_serving(entry.name, now)
            and self.retry_at.get(entry.name, 0.0) <= now
        ]

    def _choose_first(
        self,
        data_centre: ids.DataCentreId,
        candidates: Iterable[ids.InstanceId],
    ) -> ids.InstanceId | None:
        """Returns the candidate that ranks first; None if there is none."""
        return rendezvous.choose(f"relay of {data_centre}", candidates)
