"""Tracks the other routers of the fleet and which of them take requests.

Every report serves as a heartbeat: callers aren't sent to a router whose last
report is too old.
"""

import dataclasses

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_router import addresses
from lentilbeam_router.forwarding import decision_log
from lentilbeam_router.forwarding import feeds

INTERVAL_PER_PEER_S = 0.01
"""Minimum interval between two reports to all peers, per peer. It bounds the
share of a router's time that reports take."""
PEER_TIMEOUT_S = 2.0
"""A router that sends no report for this time, in seconds, counts as down."""
PEER_TIMEOUT_REPORTS = 2.5
"""The same in report intervals, for a large fleet whose reports are far apart.
One report may be lost."""
MAX_HEARD_GAP_S = 1.0
"""Longest time, in seconds, between two reports of a router that is heard
without a break. In a large fleet it is `PEER_TIMEOUT_REPORTS` intervals."""
REGAINED_S = 5.0
"""Time, in seconds, for which a peer counts as regained, or as new."""
PROBE_INTERVAL_S = 1.0
"""Time between two reports to routers that count as down, so that they notice
this router when they return."""


@dataclasses.dataclass(slots=True)
class LastReport:
    """What is kept of the last report of a peer.

    Attributes:
        received_at: when it was received, monotonic seconds.
        incarnation: start of the peer's process.
        sequence: sequence number of the report.
        takes_requests: whether the peer was ready and not leaving.
        heard_since: since when this process of the peer has been heard without
            a break, monotonic seconds.
        busy_fraction: share of the recent time in which its processor was
            busy; None if it does not tell.
    """

    received_at: float
    incarnation: int
    sequence: int
    takes_requests: bool
    heard_since: float
    busy_fraction: float | None = None


class Peers:
    """The other routers of the fleet.

    Attributes:
        own_name: ID of this router.
        listed: peers that have been registered in the store since the start,
            by ID; they are never removed.
        revision: number of changes of `listed`.
        last_reports: the last report of each peer that has sent one.
        logged_as_down: peers that were logged as down.
        probed_at: when peers that count as down were last sent a report,
            monotonic seconds.
    """

    def __init__(
        self,
        own_name: ids.InstanceId,
        clock: clock_lib.Clock,
        log: decision_log.DecisionLog,
    ):
        self.own_name = own_name
        self.clock = clock
        self.log = log
        self.listed: dict[ids.InstanceId, feeds.RouterEntry] = {}
        self.revision = 0
        self.last_reports: dict[ids.InstanceId, LastReport] = {}
        self.logged_as_down: set[ids.InstanceId] = set()
        self.probed_at = 0.0

    def put(self, entry: feeds.RouterEntry) -> None:
        """Adds or replaces a router; ignores this router's own entry."""
        if entry.name == self.own_name:
            return
        if self.listed.get(entry.name) != entry:
            self.revision += 1
        self.listed[entry.name] = entry

    def note_report(
        self, peer: ids.InstanceId, report: messages.LoadReport
    ) -> bool:
        """Records a report; returns False unless it is the newest so far."""
        now = self.clock.monotonic()
        previous = self.last_reports.get(peer)
        order = (report.incarnation, report.sequence)
        if previous and order <= (previous.incarnation, previous.sequence):
            return False
        takes_requests = report.is_ready and not report.leaving
        if previous is None or previous.takes_requests != takes_requests:
            self.log.write_event(
                "peer_serving", peer=peer, serving=takes_requests
            )
        if peer in self.logged_as_down:
            self.logged_as_down.discard(peer)
            self.log.write_event("peer_regained", peer=peer)
        heard_since = now
        if (
            previous
            and previous.incarnation == report.incarnation
            and now - previous.received_at < self.max_heard_gap_s
        ):
            heard_since = previous.heard_since
        busy_fraction = None
        if report.busy_percent > 0:
            busy_fraction = report.busy_percent / 100
        self.last_reports[peer] = LastReport(
            now, *order, takes_requests, heard_since, busy_fraction
        )
        return True

    def count_routers(self) -> int:
        """Returns the number of listed routers, this one included."""
        return 1 + len(self.listed)

    def find_serving(self) -> list[feeds.RouterEntry]:
        """Returns the peers that are up and take requests."""
        # Called for each refusal, so what is the same for all is found once.
        heard_after = self.clock.monotonic() - self.peer_timeout_s
        return [
            entry
            for name, entry in self.listed.items()
            if self._takes_requests(name, heard_after)
        ]

    def has_regained(self, now: float) -> bool:
        """Whether a peer was heard again, or at all, only a moment ago."""
        return any(
            now - report.heard_since < REGAINED_S
            for report in self.last_reports.values()
        )

    def read_busy_fraction(self, name: ids.InstanceId) -> float | None:
        """Returns how busy a peer's processor is; None if it does not tell."""
        last_report = self.last_reports.get(name)
        return None if last_report is None else last_report.busy_fraction

    @property
    def min_interval_s(self) -> float:
        """Shortest time between two reports to all peers, in seconds."""
        return INTERVAL_PER_PEER_S * len(self.listed)

    @property
    def peer_timeout_s(self) -> float:
        """Seconds without a report after which a router counts as down."""
        return max(PEER_TIMEOUT_S, PEER_TIMEOUT_REPORTS * self.min_interval_s)

    @property
    def max_heard_gap_s(self) -> float:
        """Seconds without a report that count as a break, see `LastReport`."""
        return max(MAX_HEARD_GAP_S, PEER_TIMEOUT_REPORTS * self.min_interval_s)

    def is_alive(self, name: ids.InstanceId, now: float) -> bool:
        """Whether a peer has sent a report lately."""
        last_report = self.last_reports.get(name)
        return (
            last_report is not None
            and now - last_report.received_at < self.peer_timeout_s
        )

    def is_serving(self, name: ids.InstanceId, now: float) -> bool:
        """Whether a peer is up and takes requests."""
        return self._takes_requests(name, now - self.peer_timeout_s)

    def _takes_requests(self, name: ids.InstanceId, heard_after: float) -> bool:
        """Whether a peer was heard after a time and takes requests."""
        last_report = self.last_reports.get(name)
        return (
            last_report is not None
            and last_report.takes_requests
            and last_report.received_at > heard_after
        )

    def list_receivers(self, now: float) -> list[addresses.Address]:
        """Returns the addresses for a report to all peers.

        Logs each peer that has gone down since the last call.
        Peers that count as down are included once per `PROBE_INTERVAL_S`.
        """
        is_probing = now - self.probed_at >= PROBE_INTERVAL_S
        if is_probing:
            self.probed_at = now
        receivers = []
        for entry in self.listed.values():
            last_report = self.last_reports.get(entry.name)
            is_alive = self.is_alive(entry.name, now)
            if (
                last_report
                and not is_alive
                and entry.name not in self.logged_as_down
            ):
                self.logged_as_down.add(entry.name)
                age_s = round(now - last_report.received_at, 2)
                self.log.write_event(
                    "peer_silent", peer=entry.name, age_s=age_s
                )
            if is_alive or is_probing:
                receivers.append(entry.peer)
        return receivers
