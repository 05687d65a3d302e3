"""Emulates a fleet of routers that exchange load reports, in virtual time."""

import dataclasses
import functools
import os

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core.forwarding import crash_evidence
from lentilbeam_core.forwarding import loads
from lentilbeam_core.forwarding import shares
from lentilbeam_core.forwarding import work_sums
from lentilbeam_router import addresses
from lentilbeam_router import peer_codec
from lentilbeam_router.forwarding import decision_log
from lentilbeam_router.forwarding import feeds
from lentilbeam_router.forwarding import peers
from lentilbeam_router.forwarding import report_exchange
from tests import virtual_time

STEP_S = 0.01
NETWORK_DELAY_S = 0.004
DECAY_S = 4.0
"""Time constant of the exponential decay of a workspace's usage, in seconds."""
POOL = ids.PoolId("engines")
TARGET = ids.TargetId("t")
WORKSPACE = ids.WorkspaceId("w")


# Many routers receive the same datagram; decoding it once makes tests faster.
decode = functools.lru_cache(maxsize=1024)(peer_codec.decode)


class Router:
    """The report exchange of one router, with work set by the test.

    Attributes:
        fleet: the fleet that the router belongs to.
        entry: entry of the router in the store.
        running: number of requests that run at the router.
        loads: load of the target at the other routers, as reported.
        usage: usage of the workspace at the other routers, as reported.
        received_parts: prefixes of the prompt parts in received reports.
        placed: prompt parts to send with the next report.
        is_frozen: whether the router neither sends nor receives.
        read_delay_s: time for which datagrams wait before the router reads
            them, in seconds.
        is_leaving: whether the router reports that it is shutting down.
        datagrams_sent: number of datagrams sent.
        sent_bytes: number of bytes sent.
        crash_evidence: what the router knows about deadly prompt parts.
        peers: the other routers.
        report_exchange: sends and receives the reports.
    """

    def __init__(self, fleet: "Fleet", entry: feeds.RouterEntry, output: int):
        self.fleet = fleet
        self.entry = entry
        self.running = 0
        self.loads = loads.LoadTracker()
        self.usage = shares.Usage(DECAY_S)
        self.received_parts: set[str] = set()
        self.placed: list[messages.PlacedPart] = []
        self.is_frozen = False
        self.read_delay_s = 0.0
        self.is_leaving = False
        self.datagrams_sent = 0
        self.sent_bytes = 0
        self.crash_evidence = crash_evidence.CrashEvidence(
            crash_evidence.Settings(), lambda part: False
        )
        log = decision_log.DecisionLog(fleet.clock, entry.name, output)
        self.peers = peers.Peers(entry.name, fleet.clock, log)
        self.report_exchange = report_exchange.ReportExchange(
            entry.name,
            ids.Incarnation(1),
            entry.data_centre,
            DECAY_S,
            self.peers,
            self,
            fleet.clock,
            log,
        )

    def broadcast(
        self,
        receivers: list[addresses.Address],
        report: messages.LoadReport,
    ) -> None:
        """Encodes a report and sends it to these routers.

        Stands for the peer link, which `ReportExchange` calls.
        """
        data = peer_codec.encode(self.entry.name, report)
        for address in receivers:
            self.datagrams_sent += 1
            self.sent_bytes += len(data)
            self.fleet.send(self.entry.name, address.host, data)

    def send_due_reports(self) -> None:
        """Sends the reports that are due."""
        status = report_exchange.Status(1, 1, True, self.is_leaving)
        self.report_exchange.send_if_due(status, True, self.collect_own_work)

    def collect_own_work(self) -> report_exchange.OwnWork:
        """Returns the work that the test has set."""
        load = messages.TargetLoad(
            "t", self.running * 100.0, self.running, 0, 0
        )
        use = messages.WorkspaceUse(
            POOL, WORKSPACE, self.running * 1000.0, 2000.0
        )
        placed, self.placed = tuple(self.placed), []
        now = self.fleet.clock.monotonic()
        self.crash_evidence.decide(now)
        return report_exchange.OwnWork(
            work_sums.Work((load,), (use,)),
            placed,
            *self.crash_evidence.export(now),
        )

    def receive(self, data: bytes) -> None:
        """Applies a received datagram, as the gateway does."""
        sender, report = decode(data)
        if not self.peers.note_report(sender, report):
            return
        self.crash_evidence.apply(
            report.crashes, report.blocks, self.fleet.clock.monotonic()
        )
        accepted = self.report_exchange.accept_report(sender, report)
        if accepted is None:
            return
        for peer in accepted.replaced:
            self.loads.forget_peer(peer)
            self.usage.forget_peer(peer)
        now = self.fleet.clock.monotonic()
        if accepted.report.kind is not messages.ReportKind.PARTS:
            self.loads.apply_report(sender, accepted.report.loads, now)
            self.usage.apply_report(sender, accepted.report.uses, now)
        self.received_parts |= {part.prefix for part in accepted.report.placed}

    def count_running_elsewhere(self) -> int:
        """Returns the number of requests at other routers, as reported."""
        now = self.fleet.clock.monotonic()
        return self.loads.total(TARGET, now).running

    def get_usage_elsewhere(self) -> float:
        """Returns the usage of the workspace at other routers, as reported."""
        return self.usage.total_served(WORKSPACE, self.fleet.clock.monotonic())


@dataclasses.dataclass
class Datagram:
    """A datagram that has not arrived yet.

    Attributes:
        arrives_at: monotonic seconds.
        receiver: name of the receiving router.
        data: the encoded report.
    """

    arrives_at: float
    receiver: str
    data: bytes


class Fleet:
    """Routers in the data centres "a", "b" and "c", and their network.

    Attributes:
        clock: the clock of all routers.
        output: file descriptor to which the routers log.
        in_flight: datagrams that have not arrived yet.
        blocked_links: pairs of sender and receiver between which all
            datagrams are lost.
        routers: the routers by name: "r0", "r1" and so on.
    """

    def __init__(self, count: int):
        self.clock = clock_lib.ManualClock(virtual_time.START)
        self.output = os.open(os.devnull, os.O_WRONLY)
        self.in_flight: list[Datagram] = []
        self.blocked_links: set[tuple[str, str]] = set()
        self.routers: dict[str, Router] = {}
        for index in range(count):
            name = f"r{index}"
            entry = feeds.RouterEntry(
                ids.InstanceId(name),
                ids.DataCentreId("abc"[index % 3]),
                addresses.Address(name, 1),
                addresses.Address(name, 2),
            )
            self.routers[name] = Router(self, entry, self.output)
        for router in self.routers.values():
            for other in self.routers.values():
                router.peers.put(other.entry)

    def send(self, sender: str, receiver: str, data: bytes) -> None:
        """Delivers a datagram later, or loses it if the link is blocked."""
        if (sender, receiver) not in self.blocked_links:
            delay_s = NETWORK_DELAY_S + self.routers[receiver].read_delay_s
            arrives_at = self.clock.monotonic() + delay_s
            self.in_flight.append(Datagram(arrives_at, receiver, data))

    def run(self, seconds: float) -> None:
        """Runs the fleet for this many seconds of virtual time."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            now = self.clock.monotonic()
            arrived = [
                each for each in self.in_flight if each.arrives_at <= now
            ]
            self.in_flight = [
                each for each in self.in_flight if each.arrives_at > now
            ]
            for datagram in arrived:
                receiver = self.routers[datagram.receiver]
                if not receiver.is_frozen:
                    receiver.receive(datagram.data)
            for router in self.routers.values():
                if not router.is_frozen:
                    router.send_due_reports()

    def find_relay(self, data_centre: str) -> Router:
        """Returns the relay of a data centre.

        Fails unless all running routers of the data centre agree on it.
        """
        names = {
            router.report_exchange.relays.current
            for router in self.routers.values()
            if router.entry.data_centre == data_centre and not router.is_frozen
        } - {None}
        assert len(names) == 1
        return self.routers[names.pop()]

    def find_wrong_counts(self) -> dict[str, tuple[int, int]]:
        """Returns the routers with a wrong count of the requests elsewhere.

        Returns:
            The counted and the actual number, by name of the router.
        """
        alive = [r for r in self.routers.values() if not r.is_frozen]
        running_in_fleet = sum(router.running for router in alive)
        return {
            router.entry.name: (
                router.count_running_elsewhere(),
                running_in_fleet - router.running,
            )
            for router in alive
            if router.count_running_elsewhere()
            != running_in_fleet - router.running
        }
