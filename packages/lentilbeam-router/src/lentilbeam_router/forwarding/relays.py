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
        rankings: peers of each data centre, in the order in which they become
            its relay. Hashing all names for each report would take longer than
            the report.
        ranked_revision: `Peers.revision` of `rankings`.
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
        self.rankings: dict[ids.DataCentreId, list[ids.InstanceId]] = {}
        self.ranked_revision = -1

    def choose(self, has_members: bool, now: float) -> None:
        """Changes the relay if it timed out or another one ranks first.

        Args:
            has_members: whether routers of this data centre report to this
                router.
            now: monotonic seconds.
        """
        if self.current and now - self.last_report_at > RELAY_TIMEOUT_S:
            self.retry_at[self.current] = now + RELAY_RETRY_S
        chosen = self._find_first(self.data_centre, now)
        # If no member reports to this router, the other routers may have a
        # relay that ranks first but doesn't reach this router. This router
        # then uses the candidate that ranks next.
        if chosen is None or (
            (has_members or not self._excludes_self(now))
            and not self.outranks_self(chosen)
        ):
            chosen = self.own_name
        relay = None if chosen == self.own_name else chosen
        if relay == self.current:
            return
        unheard_s = None
        if self.current is not None:
            unheard_s = round(now - self.last_report_at, 3)
        self.log.write_event(
            "relay",
            relay=chosen,
            before=self.current or self.own_name,
            unheard_s=unheard_s,
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
        chosen = {
            self._find_first(name, now)
            for name in self._rank()
            if name != self.data_centre
        }
        return sorted({*chosen, *known} - {None})

    def is_in_own_data_centre(self, name: ids.InstanceId) -> bool:
        """Whether a peer runs in this router's data centre."""
        entry = self.peers.listed.get(name)
        return entry is not None and entry.data_centre == self.data_centre

    def count_data_centre_peers(self) -> int:
        """Returns the number of peers in this router's data centre."""
        return len(self._rank().get(self.data_centre, ()))

    def outranks_self(self, other: ids.InstanceId) -> bool:
        """Whether a peer in this data centre ranks before this router."""
        key = _make_key(self.data_centre)
        return rendezvous.choose(key, (self.own_name, other)) == other

    def _excludes_self(self, now: float) -> bool:
        """Whether a router without members must not choose itself as relay.

        It must not if it has been its own relay for more than
        `NO_MEMBERS_TIMEOUT_S`. It must not either if its current relay ranks
        after it, because it would otherwise switch back to itself at once.
        """
        if self.current is None:
            return now - self.since > NO_MEMBERS_TIMEOUT_S
        return not self.outranks_self(self.current)

    def _find_first(
        self, data_centre: ids.DataCentreId, now: float
    ) -> ids.InstanceId | None:
        """Returns the peer that ranks first among those that may be relay.

        Returns None if a data centre has none.
        """
        for name in self._rank().get(data_centre, ()):
            if (
                self.peers.is_serving(name, now)
                and self.retry_at.get(name, 0.0) <= now
            ):
                return name
        return None

    def _rank(self) -> dict[ids.DataCentreId, list[ids.InstanceId]]:
        """Returns `rankings`, computed again if peers were added or moved."""
        if self.ranked_revision != self.peers.revision:
            self.ranked_revision = self.peers.revision
            self.rankings = {}
            for entry in self.peers.listed.values():
                ranking = self.rankings.setdefault(entry.data_centre, [])
                ranking.append(entry.name)
            for data_centre, ranking in self.rankings.items():
                key = _make_key(data_centre)
                ranking.sort(
                    key=lambda name, key=key: rendezvous.score(key, name),
                    reverse=True,
                )
        return self.rankings


def _make_key(data_centre: ids.DataCentreId) -> str:
    return f"relay of {data_centre}"
