"""Tells the other routers of this one's work, and hears of theirs.

While routers are few, each reports to every other. In a larger fleet those of
a data centre report to one of them, their relay, which sums their work,
exchanges sums with the relays of other data centres, and tells its own
routers of everything. A relay has no state that it alone knows: when it is
silent, those that reported to it turn to the next.

Reports carry state, so a lost one is mended by the next.
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

TICK_S = 0.04
"""Least time between two reports while work changes."""
DIRECT_ROUTERS = 16
"""In a larger fleet routers report to relays: the messages of direct reports
grow with the square of the routers."""
INTERVAL_FOR_EACH_MEMBER_S = 0.005
"""Reports to and from a relay are further apart in a larger data centre: it
takes in some 200 a second."""
IDLE_INTERVAL_S = 0.5
"""Longest time between two reports to all peers."""
RELAY_IDLE_INTERVAL_S = 0.2
"""Longest time between two reports of a relay."""
MEMBER_SILENT_S = 1.5
"""A member that sends nothing for longer is no part of the sum any more."""
MAX_PLACED_PARTS = 160
"""Parts of prompts in one report, so that its datagram stays small."""
MAX_PENDING_PARTS = 1600
"""Parts of prompts that wait for a report; older ones are dropped."""
KEPT_REPORTS = 64
"""Own reports that are remembered, to be taken off sums that include them."""


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """What a router says of itself in each report.

    Attributes:
        version: of the configuration in force.
        targets_offset: how far the list of targets was read.
        is_ready: whether callers may be sent here.
        leaving: whether this router was told to stop.
    """

    version: int
    targets_offset: int
    is_ready: bool
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class OwnWork:
    """This router's work, and the parts of prompts that it placed lately."""

    work: work_sums.Work
    placed: tuple[messages.PlacedPart, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Taken:
    """What a report says of the work of others.

    Attributes:
        report: with this router's own work taken off.
        replaced: peers whose earlier reports this one includes.
    """

    report: messages.LoadReport
    replaced: tuple[ids.InstanceId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class _Heard:
    """A report and when it came or was sent."""

    at: float
    report: messages.LoadReport

    def as_term(self, now: float) -> work_sums.Term:
        work = work_sums.Work(self.report.loads, self.report.uses)
        return work_sums.Term(work, now - self.at)


class Reports:
    """The exchange of reports with the other routers.

    Attributes:
        relays: who sums the work of each data centre.
        source: whose sums are in use; follows the relay once it is heard.
        groups: last reports of those that report to this router, and of
            other relays.
    """

    def __init__(
        self,
        me: ids.InstanceId,
        incarnation: ids.Incarnation,
        data_centre: ids.DataCentreId,
        window_s: float,
        peers: peers_lib.Peers,
        link: peer_link.PeerLink,
        clock: clock_lib.Clock,
        log: decision_log.DecisionLog,
    ):
        self.me = me
        self.incarnation = incarnation
        self.window_s = window_s
        self.peers = peers
        self.relays = relays_lib.Relays(me, data_centre, peers, clock, log)
        self.link = link
        self.clock = clock
        self.sequence = 0
        self.reported_at = 0.0
        self.present_at = 0.0
        self.source: ids.InstanceId | None = None
        self.source_report: _Heard | None = None
        self.groups: dict[ids.InstanceId, _Heard] = {}
        self.sent: collections.OrderedDict[int, _Heard] = (
            collections.OrderedDict()
        )
        self.placed_up: collections.deque[messages.PlacedPart] = (
            collections.deque(maxlen=MAX_PENDING_PARTS)
        )
        self.placed_down: collections.deque[messages.PlacedPart] = (
            collections.deque(maxlen=MAX_PENDING_PARTS)
        )

    @property
    def is_direct(self) -> bool:
        """Whether each router reports to every other."""
        return self.peers.count_routers() <= DIRECT_ROUTERS

    def take_in(
        self, sender: ids.InstanceId, report: messages.LoadReport
    ) -> Taken | None:
        """Takes in a report; returns what it says of the work of others."""
        now = self.clock.monotonic()
        if report.kind is messages.ReportKind.FLEET:
            return self._take_fleet(sender, report, now)
        if report.kind is messages.ReportKind.PRESENCE:
            return None
        if report.kind is messages.ReportKind.PARTS:
            return self._take_parts(sender, report)
        if not self.is_direct and not self._is_group_expected(sender, report):
            return None
        self.groups[sender] = _Heard(now, report)
        replaced = ()
        if not self.is_direct:
            self._pass_on(sender, report)
            if self.relays.current is None and self.source is not None:
                # This router became the relay: its members now tell it all.
                replaced, self.source = (self.source,), None
        return Taken(report, replaced)

    def send_if_due(
        self,
        status: Status,
        is_changed: bool,
        collect: Callable[[], OwnWork],
    ) -> None:
        """Sends what is due.

        Args:
            status: of this router.
            is_changed: whether its work changed since the last report.
            collect: returns its work.
        """
        now = self.clock.monotonic()
        if self.is_direct:
            if now - self.reported_at >= self._find_direct_interval(is_changed):
                self._send_directly(status, collect(), now)
            return
        has_members = any(map(self.relays.is_member, self.groups))
        self.relays.follow(has_members, now)
        if now - self.present_at >= self._find_direct_interval(False):
            self.announce(status)
        if now - self.reported_at >= self._find_relay_interval(is_changed):
            self._send_by_relay(status, collect(), now)

    def announce(self, status: Status) -> None:
        """Tells all peers of this router's status."""
        now = self.clock.monotonic()
        self.present_at = now
        self._send(
            self.peers.list_receivers(now),
            status,
            messages.ReportKind.PRESENCE,
            work_sums.Work(),
        )

    def _take_parts(
        self, sender: ids.InstanceId, report: messages.LoadReport
    ) -> Taken | None:
        if sender not in self.groups and sender != self.source:
            return None
        self._pass_on(sender, report)
        return Taken(report)

    def _pass_on(
        self, sender: ids.InstanceId, report: messages.LoadReport
    ) -> None:
        """Keeps placed parts for those that hear of them by this router."""
        self.placed_down.extend(report.placed)
        if sender in self.groups and self.relays.is_member(sender):
            self.placed_up.extend(report.placed)

    def _take_fleet(
        self, sender: ids.InstanceId, report: messages.LoadReport, now: float
    ) -> Taken | None:
        if self.is_direct or sender not in (self.relays.current, self.source):
            return None
        replaced = ()
        if sender == self.relays.current:
            self.relays.heard_at = now
            if self.source != sender:
                replaced = self._change_source(sender)
        if sender != self.source:
            return None
        others = self._take_off_own(report, now)
        self.source_report = _Heard(now, others)
        self._pass_on(sender, report)
        return Taken(others, replaced)

    def _change_source(
        self, source: ids.InstanceId
    ) -> tuple[ids.InstanceId, ...]:
        """Returns the peers whose work the new source includes."""
        replaced = [n for n in self.groups if not self.relays.is_member(n)]
        for name in replaced:
            del self.groups[name]
        if self.source is not None:
            replaced.append(self.source)
        self.source = source
        return tuple(replaced)

    def _take_off_own(
        self, report: messages.LoadReport, now: float
    ) -> messages.LoadReport:
        terms = [work_sums.Term(work_sums.Work(report.loads, report.uses))]
        for included in report.included:
            own = self.sent.get(included.report)
            if included.router == self.me and own is not None:
                terms.append(dataclasses.replace(own.as_term(now), sign=-1))
        others = work_sums.sum_terms(terms, self.window_s)
        return dataclasses.replace(
            report, loads=others.loads, uses=others.uses, included=()
        )

    def _is_group_expected(
        self, sender: ids.InstanceId, report: messages.LoadReport
    ) -> bool:
        """Whether a sum belongs here; else it comes by the relay as well."""
        if any(included.router == self.me for included in report.included):
            return False
        if self.relays.is_member(sender):
            is_relay = sender == self.relays.current
            return not is_relay or not self.relays.is_above(sender)
        return self.relays.current is None

    def _find_direct_interval(self, is_changed: bool) -> float:
        least_s = self.peers.least_interval_s
        return max(TICK_S if is_changed else IDLE_INTERVAL_S, least_s)

    def _find_relay_interval(self, is_changed: bool) -> float:
        least_s = INTERVAL_FOR_EACH_MEMBER_S * self.relays.count_members()
        is_changed = is_changed or bool(self.groups)
        return max(TICK_S if is_changed else RELAY_IDLE_INTERVAL_S, least_s)

    def _send_directly(self, status: Status, own: OwnWork, now: float) -> None:
        self.reported_at = now
        self._send(
            self.peers.list_receivers(now),
            status,
            messages.ReportKind.GROUP,
            own.work,
            own.placed[:MAX_PLACED_PARTS],
        )

    def _send_by_relay(self, status: Status, own: OwnWork, now: float) -> None:
        self.reported_at = now
        self.placed_up.extend(own.placed)
        self.placed_down.extend(own.placed)
        self._drop_silent(now)
        members = list(filter(self.relays.is_member, self.groups))
        relays = [name for name in self.groups if name not in members]
        group = work_sums.sum_terms(
            [
                work_sums.Term(own.work),
                *(self.groups[name].as_term(now) for name in members),
            ],
            self.window_s,
        )
        included = self._list_included(members)
        self._send_up(status, group, included, relays, now)
        if members:
            self._send_down(status, group, included, members, relays, now)
        else:
            self.placed_down.clear()

    def _send_up(
        self,
        status: Status,
        group: work_sums.Work,
        included: tuple[messages.Included, ...],
        relays: list[ids.InstanceId],
        now: float,
    ) -> None:
        """Sends this router's and its members' work to its relay.

        If it is the relay itself, to those of other data centres.
        """
        above = self.relays.list_others(relays, now)
        if self.relays.current is not None:
            above = [self.relays.current]
        receivers = self._find_addresses(above)
        report = self._send(
            receivers,
            status,
            messages.ReportKind.GROUP,
            group,
            _take_some(self.placed_up),
            included,
        )
        self._remember(report, now)
        self._send_rest(receivers, status, self.placed_up)

    def _send_down(
        self,
        status: Status,
        group: work_sums.Work,
        included: tuple[messages.Included, ...],
        members: list[ids.InstanceId],
        relays: list[ids.InstanceId],
        now: float,
    ) -> None:
        """Sends all that is known to those that report here."""
        terms = [work_sums.Term(group)]
        terms += [self.groups[name].as_term(now) for name in relays]
        if self.relays.current is not None and self.source_report is not None:
            terms.append(self.source_report.as_term(now))
        receivers = self._find_addresses(members)
        self._send(
            receivers,
            status,
            messages.ReportKind.FLEET,
            work_sums.sum_terms(terms, self.window_s),
            _take_some(self.placed_down),
            included,
        )
        self._send_rest(receivers, status, self.placed_down)

    def _send_rest(
        self,
        receivers: list[addresses.Address],
        status: Status,
        pending: collections.deque[messages.PlacedPart],
    ) -> None:
        """Sends the placed parts that a report had no room for."""
        while pending:
            self._send(
                receivers,
                status,
                messages.ReportKind.PARTS,
                work_sums.Work(),
                _take_some(pending),
            )

    def _list_included(
        self, members: list[ids.InstanceId]
    ) -> tuple[messages.Included, ...]:
        """Returns the reports that the sum of the members is made of."""
        included = []
        for name in members:
            report = self.groups[name].report
            included.append(messages.Included(name, report.sequence))
            included.extend(report.included)
        return tuple(included)

    def _drop_silent(self, now: float) -> None:
        for name, heard in list(self.groups.items()):
            if now - heard.at > MEMBER_SILENT_S or name == self.relays.current:
                del self.groups[name]

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
    ) -> messages.LoadReport:
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
        )
        self.link.broadcast(receivers, report)
        return report

    def _remember(self, report: messages.LoadReport, now: float) -> None:
        self.sent[report.sequence] = _Heard(now, report)
        while len(self.sent) > KEPT_REPORTS:
            self.sent.popitem(last=False)


def _take_some(
    pending: collections.deque[messages.PlacedPart],
) -> tuple[messages.PlacedPart, ...]:
    count = min(len(pending), MAX_PLACED_PARTS)
    return tuple(pending.popleft() for _ in range(count))
