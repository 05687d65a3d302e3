"""Tells the other routers of this one's work, and hears of theirs.

Reports carry state, so a lost one is mended by the next. They double as
heartbeats: a router that is not heard for a while is not given to callers.
"""

import asyncio
import dataclasses

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_router import addresses
from lentilbeam_router import peer_link
from lentilbeam_router.forwarding import decision_log
from lentilbeam_router.forwarding import dispatcher as dispatcher_lib
from lentilbeam_router.forwarding import feeds

REPORT_INTERVAL_S = 0.04
"""Least time between two reports while work changes."""
INTERVAL_FOR_EACH_PEER_S = 0.01
"""Keeps the bytes of a router bounded as the fleet grows."""
IDLE_INTERVAL_S = 0.5
"""Longest time between two reports."""
SILENT_AFTER_S = 2.0
"""A router that is not heard for longer is taken to be down."""
PROBE_SILENT_S = 1.0
"""Silent routers get a report this often, so that they can return."""


@dataclasses.dataclass(slots=True)
class Heard:
    """The last report of a peer.

    Attributes:
        at: when it came, monotonic seconds.
        incarnation: the peer's start.
        sequence: of the report.
        is_serving: whether callers may be sent there.
    """

    at: float
    incarnation: int
    sequence: int
    is_serving: bool


class Peers:
    """The other routers as this one knows them."""

    def __init__(
        self,
        me: ids.InstanceId,
        incarnation: ids.Incarnation,
        clock: clock_lib.Clock,
        link: peer_link.PeerLink,
        log: decision_log.DecisionLog,
    ):
        self.me = me
        self.incarnation = incarnation
        self.clock = clock
        self.link = link
        self.log = log
        self.listed: dict[ids.InstanceId, feeds.RouterEntry] = {}
        self.heard: dict[ids.InstanceId, Heard] = {}
        self.silent: set[ids.InstanceId] = set()
        self.sequence = 0
        self.reported_at = 0.0
        self.probed_at = 0.0

    def put(self, entry: feeds.RouterEntry) -> None:
        """Takes in a router's entry."""
        if entry.name != self.me:
            self.listed[entry.name] = entry

    def hear(self, peer: ids.InstanceId, report: messages.LoadReport) -> bool:
        """Takes in a report; returns whether it is newer than the last."""
        now = self.clock.monotonic()
        before = self.heard.get(peer)
        order = (report.incarnation, report.sequence)
        if before and order <= (before.incarnation, before.sequence):
            return False
        is_serving = report.is_ready and not report.leaving
        if before is None or before.is_serving != is_serving:
            self.log.belief("peer_serving", peer=peer, serving=is_serving)
        if peer in self.silent:
            self.silent.discard(peer)
            self.log.belief("peer_regained", peer=peer)
        self.heard[peer] = Heard(now, *order, is_serving)
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
            if self._is_serving(entry.name, now)
        ]

    def is_due(self, is_changed: bool) -> bool:
        """Whether a report is to be sent now."""
        age_s = self.clock.monotonic() - self.reported_at
        least_s = INTERVAL_FOR_EACH_PEER_S * len(self.listed)
        if is_changed:
            return age_s >= max(REPORT_INTERVAL_S, least_s)
        return age_s >= max(IDLE_INTERVAL_S, least_s)

    def report(
        self,
        dispatchers: list[dispatcher_lib.Dispatcher],
        version: int,
        targets_offset: int,
        is_ready: bool,
        leaving: bool,
    ) -> None:
        """Sends a report to all peers."""
        now = self.clock.monotonic()
        self.reported_at = now
        self.sequence += 1
        loads = []
        uses = []
        placed = []
        for dispatcher in dispatchers:
            dispatcher.is_changed = False
            uses.extend(dispatcher.usage.export(dispatcher.pool.name, now))
            placed.extend(dispatcher.take_placed())
            loads.extend(dispatcher.loads.export(now))
        report = messages.LoadReport(
            incarnation=self.incarnation,
            sequence=self.sequence,
            version=version,
            targets_offset=targets_offset,
            leaving=leaving,
            is_ready=is_ready,
            loads=tuple(loads),
            uses=tuple(uses),
            placed=tuple(placed),
        )
        self.link.broadcast(self._list_receivers(now), report)

    def _is_serving(self, name: ids.InstanceId, now: float) -> bool:
        heard = self.heard.get(name)
        if heard is None or not heard.is_serving:
            return False
        return now - heard.at < SILENT_AFTER_S

    def _list_receivers(self, now: float) -> list[addresses.Address]:
        is_probing = now - self.probed_at >= PROBE_SILENT_S
        if is_probing:
            self.probed_at = now
        receivers = []
        for entry in self.listed.values():
            heard = self.heard.get(entry.name)
            is_alive = heard is not None and now - heard.at < SILENT_AFTER_S
            if heard and not is_alive and entry.name not in self.silent:
                self.silent.add(entry.name)
                age_s = round(now - heard.at, 2)
                self.log.belief("peer_silent", peer=entry.name, age_s=age_s)
            if is_alive or is_probing:
                receivers.append(entry.peer)
        return receivers


async def run_reports(send_if_due) -> None:
    """Calls `send_if_due` at the pace of reports, for ever."""
    while True:
        await asyncio.sleep(REPORT_INTERVAL_S)
        send_if_due()
