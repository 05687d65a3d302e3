"""Exchanges load reports between routers.

In a small fleet each router reports directly to every other. In a larger one,
the routers of a data centre report to one of them, their relay. The relay sums
their work, exchanges sums with the relays of other data centres and sends the
total to its members. A relay holds no state of its own: when it stops
reporting, its members switch to the next candidate.

Reports differ in their kind:

GROUP: the work of a router and, if it is a relay, of its members: the routers
    of its data centre that report to it.
FLEET: the work of all routers; a relay sends it to its members.
PARTS: prompt parts that didn't fit into a GROUP or FLEET report.
PRESENCE: only the status of the sender, for all peers.

The work in a report is the sender's whole current work, so the next report
makes up for a lost one. Prompt parts are sent only once; those of a lost report
are not sent again.
"""

import collections
from collections.abc import Callable
import dataclasses

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core.forwarding import work_sums
from lentilbeam_router import addresses
from lentilbeam_router import peer_link
from lentilbeam_router.forwarding import decision_log
from lentilbeam_router.forwarding import peers as peers_lib
from lentilbeam_router.forwarding import relays as relays_lib

MIN_REPORT_INTERVAL_S = 0.04
"""Shortest time between two reports, used while the work changes."""
MAX_DIRECT_ROUTERS = 16
"""Largest fleet that reports directly. The number of direct reports grows with
the square of the number of routers; larger fleets use relays."""
INTERVAL_PER_MEMBER_S = 0.005
"""Minimum interval between two reports to or from a relay, per peer in this
router's data centre. A relay then receives at most some 200 reports a
second."""
IDLE_INTERVAL_S = 0.5
"""Time between two reports to all peers while the work doesn't change."""
RELAY_IDLE_INTERVAL_S = 0.2
"""Time between two reports to or from a relay while the work doesn't
change."""
GROUP_REPORT_MAX_AGE_S = 1.5
"""GROUP reports, of members and of other relays, are left out of sums once they
are older."""
MAX_PLACED_PARTS = 160
"""Maximum number of prompt parts in one report, which bounds the size of its
datagram. Routers that report directly drop further parts; with relays, they
follow in PARTS reports."""
MAX_PENDING_PARTS = 1600
"""Prompt parts that wait for the next report; the oldest are dropped."""
MAX_SENT_REPORTS = 64
"""Own reports that are kept, to subtract them from sums that include them."""


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """The sender's own status, which is part of each report.

    Attributes:
        version: version of the configuration in force; 0 if there is none.
        targets_offset: offset up to which the target list was read.
        is_ready: whether this router may receive requests.
        leaving: whether this router is shutting down.
        evacuations: evacuations that the store lacks.
        targets_change: offset after the last record of the target list that
            changed anything.
        busy_percent: share of the recent time in which its processor was busy,
            in percent, at least 1; 0 if that is unknown.
    """

    version: int
    targets_offset: int
    is_ready: bool
    leaving: bool
    evacuations: tuple[messages.KeptEvacuation, ...] = ()
    targets_change: int = 0
    busy_percent: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class OwnWork:
    """This router's own work, without that of its peers.

    Attributes:
        work: its requests at the targets and its usage by workspace.
        placed: prompt parts sent to targets since the last report.
        crashes: news about crashes of targets, from all routers.
        blocks: prompt parts that are blocked, or were.
    """

    work: work_sums.Work
    placed: tuple[messages.PlacedPart, ...]
    crashes: tuple[messages.CrashReport, ...] = ()
    blocks: tuple[messages.BlockReport, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedReport:
    """A report that is to be applied.

    Attributes:
        report: the report without this router's own work.
        replaced: peers whose earlier reports must be dropped, since this
            report includes their work.
    """

    report: messages.LoadReport
    replaced: tuple[ids.InstanceId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class _TimedReport:
    """A report and the time at which it was received or sent.

    Attributes:
        at: monotonic seconds.
        report: the report.
    """

    at: float
    report: messages.LoadReport

    def as_term(self, now: float) -> work_sums.Term:
        """Returns the report's work as a term of a sum at time `now`."""
        return work_sums.Term(work_sums.from_report(self.report), now - self.at)


class ReportExchange:
    """Sends this router's load reports and accepts those of its peers.

    Attributes:
        own_name: ID of this router.
        incarnation: start of this router's process.
        decay_s: seconds after which usage has decayed to 1/e.
        peers: the other routers.
        relays: chooses the relay of each data centre.
        link: socket on which reports are sent.
        sequence: sequence number of the last report sent.
        work_sent_at: when this router last sent its work, monotonic seconds.
        status_announced_at: when it last announced its status to all peers,
            monotonic seconds.
        fleet_report_sender: the relay whose FLEET report is in use; None if
            there is none, as on the relay itself. After a change of relay it
            is the former one until the new one has sent a FLEET report.
        last_fleet_report: the last FLEET report of `fleet_report_sender`,
            without this router's work.
        group_reports: last GROUP report of each peer that reports to this
            router: in a large fleet its members and the other relays.
        fleet_report_delay_s: time from sending a GROUP report until a FLEET
            report that includes it was read, in seconds; of the newest such
            pair. 0 if there is none.
        sent_reports: own GROUP reports, by sequence number.
        parts_for_relays: prompt parts to be sent to this router's relay or,
            if it is a relay, to those of other data centres.
        parts_for_members: prompt parts to be sent to the members.
    """

    def __init__(
        self,
        own_name: ids.InstanceId,
        incarnation: ids.Incarnation,
        data_centre: ids.DataCentreId,
        decay_s: float,
        peers: peers_lib.Peers,
        link: peer_link.PeerLink,
        clock: clock_lib.Clock,
        log: decision_log.DecisionLog,
    ):
        self.own_name = own_name
        self.incarnation = incarnation
        self.decay_s = decay_s
        self.peers = peers
        self.relays = relays_lib.Relays(
            own_name, data_centre, peers, clock, log
        )
        self.link = link
        self.clock = clock
        self.sequence = 0
        self.work_sent_at = 0.0
        self.status_announced_at = 0.0
        self.fleet_report_sender: ids.InstanceId | None = None
        self.last_fleet_report: _TimedReport | None = None
        self.fleet_report_delay_s = 0.0
        self.group_reports: dict[ids.InstanceId, _TimedReport] = {}
        self.sent_reports: collections.OrderedDict[int, _TimedReport] = (
            collections.OrderedDict()
        )
        self.parts_for_relays: collections.deque[messages.PlacedPart] = (
            collections.deque(maxlen=MAX_PENDING_PARTS)
        )
        self.parts_for_members: collections.deque[messages.PlacedPart] = (
            collections.deque(maxlen=MAX_PENDING_PARTS)
        )

    @property
    def is_direct(self) -> bool:
        """Whether each router reports directly to every other."""
        return self.peers.count_routers() <= MAX_DIRECT_ROUTERS

    def accept_report(
        self, sender: ids.InstanceId, report: messages.LoadReport
    ) -> AcceptedReport | None:
        """Records a report; returns what of it is to be applied.

        Args:
            sender: the peer that sent the report.
            report: the report.

        Returns:
            None if there is nothing to apply: the report only has the
            sender's status, or its work is counted by another report.
        """
        now = self.clock.monotonic()
        if report.kind is messages.ReportKind.FLEET:
            return self._accept_fleet(sender, report, now)
        if report.kind is messages.ReportKind.PRESENCE:
            return None
        if report.kind is messages.ReportKind.PARTS:
            return self._accept_parts(sender, report)
        if not self.is_direct and not self._counts_group_report(sender, report):
            return None
        self.group_reports[sender] = _TimedReport(now, report)
        replaced = ()
        if not self.is_direct:
            self._queue_placed(sender, report)
            if (
                self.relays.current is None
                and self.fleet_report_sender is not None
            ):
                # This router became the relay: its members report to it now.
                replaced, self.fleet_report_sender = (
                    (self.fleet_report_sender,),
                    None,
                )
        return AcceptedReport(report, replaced)

    def send_if_due(
        self,
        status: Status,
        is_changed: bool,
        collect: Callable[[], OwnWork],
    ) -> None:
        """Sends the reports whose interval has passed.

        Args:
            status: this router's status.
            is_changed: whether its work changed since the last report.
            collect: returns its work; called only if a report is due.
        """
        now = self.clock.monotonic()
        if self.is_direct:
            if now - self.work_sent_at >= self._find_direct_interval(
                is_changed
            ):
                self._send_directly(status, collect(), now)
            return
        has_members = any(
            map(self.relays.is_in_own_data_centre, self.group_reports)
        )
        self.relays.choose(has_members, now)
        if now - self.status_announced_at >= self._find_direct_interval(False):
            self.announce(status)
        if now - self.work_sent_at >= self._find_relay_interval(is_changed):
            self._send_by_relay(status, collect(), now)

    def announce(self, status: Status) -> None:
        """Sends this router's status to all peers, without its work."""
        now = self.clock.monotonic()
        self.status_announced_at = now
        self._send(
            self.peers.list_receivers(now),
            status,
            messages.ReportKind.PRESENCE,
            work_sums.Work(routers=0),
        )

    def _accept_parts(
        self, sender: ids.InstanceId, report: messages.LoadReport
    ) -> AcceptedReport | None:
        """Queues the prompt parts of a PARTS report.

        Returns None if the sender is not a member, another relay or this
        router's own relay.
        """
        if (
            sender not in self.group_reports
            and sender != self.fleet_report_sender
        ):
            return None
        self._queue_placed(sender, report)
        return AcceptedReport(report)

    def _queue_placed(
        self, sender: ids.InstanceId, report: messages.LoadReport
    ) -> None:
        """Queues the prompt parts of a report for forwarding."""
        self.parts_for_members.extend(report.placed)
        if sender in self.group_reports and self.relays.is_in_own_data_centre(
            sender
        ):
            self.parts_for_relays.extend(report.placed)

    def _accept_fleet(
        self, sender: ids.InstanceId, report: messages.LoadReport, now: float
    ) -> AcceptedReport | None:
        if self.is_direct or sender not in (
            self.relays.current,
            self.fleet_report_sender,
        ):
            return None
        replaced = ()
        if sender == self.relays.current:
            self.relays.last_report_at = now
            if self.fleet_report_sender != sender:
                replaced = self._change_fleet_report_sender(sender)
        if sender != self.fleet_report_sender:
            return None
        others = self._subtract_own(report, now)
        self.last_fleet_report = _TimedReport(now, others)
        self._queue_placed(sender, report)
        return AcceptedReport(others, replaced)

    def _change_fleet_report_sender(
        self, sender: ids.InstanceId
    ) -> tuple[ids.InstanceId, ...]:
        """Changes the sender whose FLEET reports are used.

        Returns the peers whose earlier reports it replaces.
        """
        replaced = [
            n
            for n in self.group_reports
            if not self.relays.is_in_own_data_centre(n)
        ]
        for name in replaced:
            del self.group_reports[name]
        if self.fleet_report_sender is not None:
            replaced.append(self.fleet_report_sender)
        self.fleet_report_sender = sender
        return tuple(replaced)

    def _subtract_own(
        self, report: messages.LoadReport, now: float
    ) -> messages.LoadReport:
        """Returns a FLEET report without this router's own work."""
        own = [
            (included, self.sent_reports[included.report])
            for included in report.included
            if included.router == self.own_name
            and included.report in self.sent_reports
        ]
        if own:
            self.fleet_report_delay_s = now - max(sent.at for _, sent in own)
        others = work_sums.subtract(
            work_sums.from_report(report),
            [_find_included_term(*pair, now) for pair in own],
            self.decay_s,
        )
        return dataclasses.replace(
            report,
            loads=others.loads,
            uses=others.uses,
            included=(),
            routers=others.routers,
            demands=others.demands,
        )

    def _counts_group_report(
        self, sender: ids.InstanceId, report: messages.LoadReport
    ) -> bool:
        """Whether this router counts the work of a GROUP report.

        It doesn't if the report includes this router's own work, or if the
        relay of this router counts the report: the work would be counted
        twice.
        """
        if any(
            included.router == self.own_name for included in report.included
        ):
            return False
        if self.relays.is_in_own_data_centre(sender):
            # This router receives its relay's work in FLEET reports and ignores
            # its GROUP reports. The exception is a relay that ranks after this
            # router: it uses this router as its relay.
            is_relay = sender == self.relays.current
            return not is_relay or not self.relays.outranks_self(sender)
        # Only a relay counts the reports of other data centres.
        return self.relays.current is None

    def _find_direct_interval(self, is_changed: bool) -> float:
        """Returns the seconds between two reports to all peers."""
        min_s = self.peers.min_interval_s
        return max(
            MIN_REPORT_INTERVAL_S if is_changed else IDLE_INTERVAL_S, min_s
        )

    def _find_relay_interval(self, is_changed: bool) -> float:
        """Returns the seconds between two reports to or from a relay.

        Args:
            is_changed: whether this router's own work changed. A router to
                which others report always uses the short interval.
        """
        min_s = INTERVAL_PER_MEMBER_S * self.relays.count_data_centre_peers()
        is_changed = is_changed or bool(self.group_reports)
        return max(
            MIN_REPORT_INTERVAL_S if is_changed else RELAY_IDLE_INTERVAL_S,
            min_s,
        )

    def _send_directly(self, status: Status, own: OwnWork, now: float) -> None:
        self.work_sent_at = now
        self._send(
            self.peers.list_receivers(now),
            status,
            messages.ReportKind.GROUP,
            own.work,
            own.placed[:MAX_PLACED_PARTS],
            evidence=own,
        )

    def _send_by_relay(self, status: Status, own: OwnWork, now: float) -> None:
        self.work_sent_at = now
        self.parts_for_relays.extend(own.placed)
        self.parts_for_members.extend(own.placed)
        self._drop_outdated(now)
        members = list(
            filter(self.relays.is_in_own_data_centre, self.group_reports)
        )
        relays = [name for name in self.group_reports if name not in members]
        group = own.work
        if members:
            terms = [self.group_reports[name].as_term(now) for name in members]
            group = work_sums.sum_terms(
                [work_sums.Term(own.work), *terms], self.decay_s
            )
        included = self._list_included(members, now)
        self._send_to_relays(status, group, included, relays, now, own)
        if members:
            self._send_to_members(
                status, group, included, members, relays, now, own
            )
        else:
            self.parts_for_members.clear()

    def _send_to_relays(
        self,
        status: Status,
        group: work_sums.Work,
        included: tuple[messages.Included, ...],
        relays: list[ids.InstanceId],
        now: float,
        evidence: OwnWork,
    ) -> None:
        """Sends the work of this router and its members to its relay.

        If this router is a relay, it sends to those of other data centres.
        """
        receiver_names = self.relays.list_remote_relays(relays, now)
        if self.relays.current is not None:
            receiver_names = [self.relays.current]
        receivers = self._find_addresses(receiver_names)
        report = self._send(
            receivers,
            status,
            messages.ReportKind.GROUP,
            group,
            _pop_parts(self.parts_for_relays),
            included,
            evidence,
        )
        self._keep_sent(report, now)
        self._send_remaining(receivers, status, self.parts_for_relays)

    def _send_to_members(
        self,
        status: Status,
        group: work_sums.Work,
        included: tuple[messages.Included, ...],
        members: list[ids.InstanceId],
        relays: list[ids.InstanceId],
        now: float,
        evidence: OwnWork,
    ) -> None:
        """Sends the work of the whole fleet to the members."""
        terms = [work_sums.Term(group)]
        terms += [self.group_reports[name].as_term(now) for name in relays]
        if (
            self.relays.current is not None
            and self.last_fleet_report is not None
        ):
            terms.append(self.last_fleet_report.as_term(now))
        receivers = self._find_addresses(members)
        self._send(
            receivers,
            status,
            messages.ReportKind.FLEET,
            work_sums.sum_terms(terms, self.decay_s),
            _pop_parts(self.parts_for_members),
            included,
            evidence,
        )
        self._send_remaining(receivers, status, self.parts_for_members)

    def _send_remaining(
        self,
        receivers: list[addresses.Address],
        status: Status,
        pending: collections.deque[messages.PlacedPart],
    ) -> None:
        """Sends the prompt parts that didn't fit into the report."""
        while pending:
            self._send(
                receivers,
                status,
                messages.ReportKind.PARTS,
                work_sums.Work(routers=0),
                _pop_parts(pending),
            )

    def _list_included(
        self, members: list[ids.InstanceId], now: float
    ) -> tuple[messages.Included, ...]:
        """Returns the reports that this router's GROUP report includes."""
        included = []
        for name in members:
            timed = self.group_reports[name]
            age_ms = max((now - timed.at) * messages.MS_PER_S, 1.0)
            included.append(
                messages.Included(name, timed.report.sequence, age_ms)
            )
            included.extend(
                dataclasses.replace(item, age_ms=item.age_ms + age_ms)
                if item.age_ms
                else item
                for item in timed.report.included
            )
        return tuple(included)

    def _drop_outdated(self, now: float) -> None:
        """Drops outdated GROUP reports and that of this router's own relay.

        The work of the relay is part of its FLEET reports.
        """
        for name, timed_report in list(self.group_reports.items()):
            if (
                now - timed_report.at > GROUP_REPORT_MAX_AGE_S
                or name == self.relays.current
            ):
                del self.group_reports[name]

    def _find_addresses(
        self, names: list[ids.InstanceId]
    ) -> list[addresses.Address]:
        listed = self.peers.listed
        return [listed[name].peer for name in names if name in listed]

    def _send(
        self,
        receivers: list[addresses.Address],
        status: Status,
        kind: messages.ReportKind,
        work: work_sums.Work,
        placed: tuple[messages.PlacedPart, ...] = (),
        included: tuple[messages.Included, ...] = (),
        evidence: OwnWork | None = None,
    ) -> messages.LoadReport:
        """Sends a report; `evidence` holds its crashes and blocks."""
        self.sequence += 1
        report = messages.LoadReport(
            incarnation=self.incarnation,
            sequence=self.sequence,
            version=status.version,
            targets_offset=status.targets_offset,
            leaving=status.leaving,
            is_ready=status.is_ready,
            kind=kind,
            loads=work.loads,
            uses=work.uses,
            placed=placed,
            included=included,
            crashes=evidence.crashes if evidence else (),
            blocks=evidence.blocks if evidence else (),
            routers=work.routers,
            demands=work.demands,
            evacuations=status.evacuations,
            targets_change=status.targets_change,
            busy_percent=status.busy_percent,
        )
        self.link.broadcast(receivers, report)
        return report

    def _keep_sent(self, report: messages.LoadReport, now: float) -> None:
        self.sent_reports[report.sequence] = _TimedReport(now, report)
        while len(self.sent_reports) > MAX_SENT_REPORTS:
            self.sent_reports.popitem(last=False)


def _find_included_term(
    included: messages.Included, sent: _TimedReport, now: float
) -> work_sums.Term:
    """Returns this router's own work as a sum contains it.

    Its usage has decayed since the relay received it, not since it was sent:
    datagrams may wait on both ways. A remainder would count as others' work.

    Args:
        included: tells for how long it has decayed.
        sent: the report that is included.
        now: monotonic seconds.
    """
    age_s = now - sent.at
    if included.age_ms:
        age_s = min(age_s, included.age_ms / messages.MS_PER_S)
    return work_sums.Term(work_sums.from_report(sent.report), age_s)


def _pop_parts(
    pending: collections.deque[messages.PlacedPart],
) -> tuple[messages.PlacedPart, ...]:
    count = min(len(pending), MAX_PLACED_PARTS)
    return tuple(pending.popleft() for _ in range(count))
