"""The other routers: which exist, which are heard, which serve callers.

Every report is a sign of life: a router that is not heard for a while is not
given to callers.
"""

import dataclasses

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_router import addresses
from lentilbeam_router.forwarding import decision_log
from lentilbeam_router.forwarding import feeds

INTERVAL_PER_PEER_S = 0.01
"""Reports to all peers are further apart in a larger fleet, and take a bounded
part of a router's time."""
PEER_TIMEOUT_S = 2.0
"""A router that is not heard for longer is taken to be down."""
PEER_TIMEOUT_REPORTS = 2.5
"""The same in reports, for a fleet in which these are far apart: one of them
may be lost."""
PROBE_INTERVAL_S = 1.0
"""Silent routers get a report this often, so that they can return."""


@dataclasses.dataclass(slots=True)
class LastReport:
    """The last report of a peer.

    Attributes:
        at: when it came, monotonic seconds.
        incarnation: the peer's start.
        sequence: of the report.
        is_serving: whether callers may be sent there.
    """

    received_at: float
    incarnation: int
    sequence: int
    is_serving: bool


class Peers:
    """The other routers as this one knows them."""

    def __init__(
        self,
        instance: ids.InstanceId,
        clock: clock_lib.Clock,
        log: decision_log.DecisionLog,
    ):
        self.instance = instance
        self.clock = clock
        self.log = log
        self.listed: dict[ids.InstanceId, feeds.RouterEntry] = {}
        self.last_reports: dict[ids.InstanceId, LastReport] = {}
        self.silent: set[ids.InstanceId] = set()
        self.probed_at = 0.0

    def put(self, entry: feeds.RouterEntry) -> None:
        """Takes in a router's entry."""
        if entry.name != self.instance:
            self.listed[entry.name] = entry

    def note_report(
        self, peer: ids.InstanceId, report: messages.LoadReport
    ) -> bool:
        """Takes in a report; returns whether it is newer than the last."""
        now = self.clock.monotonic()
        previous = self.last_reports.get(peer)
        order = (report.incarnation, report.sequence)
        if previous and order <= (previous.incarnation, previous.sequence):
            return False
        is_serving = report.is_ready and not report.leaving
        if previous is None or previous.is_serving != is_serving:
            self.log.write_event("peer_serving", peer=peer, serving=is_serving)
        if peer in self.silent:
            self.silent.discard(peer)
            self.log.write_event("peer_regained", peer=peer)
        self.last_reports[peer] = LastReport(now, *order, is_serving)
        return True

    def count_routers(self) -> int:
        """Returns the number of routers that may be at work."""
        return 1 + len(self.listed)

    def find_serving(self) -> list[feeds.RouterEntry]:
        """Returns the routers that callers may be sent to, but this one."""
        now = self.clock.monotonic()
        return [
            entry
            for entry in self.listed.values()
            if self.is_serving(entry.name, now)
        ]

    @property
    def min_interval_s(self) -> float:
        """Least time between two reports to all peers."""
        return INTERVAL_PER_PEER_S * len(self.listed)

    @property
    def peer_timeout_s(self) -> float:
        """Time after which a router that is not heard is taken to be down."""
        return max(PEER_TIMEOUT_S, PEER_TIMEOUT_REPORTS * self.min_interval_s)

    def is_serving(self, name: ids.InstanceId, now: float) -> bool:
        """Whether callers may be sent to a peer."""
        last_report = self.last_reports.get(name)
        if last_report is None or not last_report.is_serving:
            return False
        return now - last_report.received_at < self.peer_timeout_s

    def list_receivers(self, now: float) -> list[addresses.Address]:
        """Returns where to send what all peers should hear."""
        is_probing = now - self.probed_at >= PROBE_INTERVAL_S
        if is_probing:
            self.probed_at = now
        receivers = []
        for entry in self.listed.values():
            last_report = self.last_reports.get(entry.name)
            is_alive = (
                last_report is not None
                and now - last_report.received_at < self.peer_timeout_s
            )
            if last_report and not is_alive and entry.name not in self.silent:
                self.silent.add(entry.name)
                age_s = round(now - last_report.received_at, 2)
                self.log.write_event(
                    "peer_silent", peer=entry.name, age_s=age_s
                )
            if is_alive or is_probing:
                receivers.append(entry.peer)
        return receivers
