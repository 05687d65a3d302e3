"""Many routers that exchange reports over an emulated network."""

import dataclasses
import functools
import os

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import ids
from lentilbeam_core import messages
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
DELAY_S = 0.004
WINDOW_S = 4.0
POOL = ids.PoolId("engines")
TARGET = ids.TargetId("t")
WORKSPACE = ids.WorkspaceId("w")


# All receivers of a datagram read the same bytes.
decode = functools.lru_cache(maxsize=1024)(peer_codec.decode)


class Router:
    """A router's reports, with work that the test sets."""

    def __init__(self, fleet: "Fleet", entry: feeds.RouterEntry, output: int):
        self.fleet = fleet
        self.entry = entry
        self.running = 0
        self.loads = loads.Loads()
        self.usage = shares.Usage(WINDOW_S)
        self.seen_parts: set[str] = set()
        self.placed: list[messages.PlacedPart] = []
        self.is_frozen = False
        self.is_leaving = False
        self.sent = 0
        self.sent_bytes = 0
        log = decision_log.DecisionLog(fleet.clock, entry.name, output)
        self.peers = peers.Peers(entry.name, fleet.clock, log)
        self.report_exchange = report_exchange.ReportExchange(
            entry.name,
            ids.Incarnation(1),
            entry.data_centre,
            WINDOW_S,
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
        """Sends a report through the real codec, as the link does."""
        data = peer_codec.encode(self.entry.name, report)
        for address in receivers:
            self.sent += 1
            self.sent_bytes += len(data)
            self.fleet.send(self.entry.name, address.host, data)

    def tick(self) -> None:
        """Sends what is due."""
        status = report_exchange.Status(1, 1, True, self.is_leaving)
        self.report_exchange.send_if_due(status, True, self.collect)

    def collect(self) -> report_exchange.OwnWork:
        """Returns the work that the test set."""
        load = messages.TargetLoad(
            "t", self.running * 100.0, self.running, 0, 0
        )
        use = messages.WorkspaceUse(
            POOL, WORKSPACE, self.running * 1000.0, 2000.0
        )
        placed, self.placed = tuple(self.placed), []
        return report_exchange.OwnWork(work_sums.Work((load,), (use,)), placed)

    def receive(self, data: bytes) -> None:
        """Takes in a datagram as the gateway does."""
        sender, report = decode(data)
        if not self.peers.note_report(sender, report):
            return
        accepted = self.report_exchange.accept_report(sender, report)
        if accepted is None:
            return
        for peer in accepted.replaced:
            self.loads.drop(peer)
            self.usage.drop(peer)
        now = self.fleet.clock.monotonic()
        if accepted.report.kind is not messages.ReportKind.PARTS:
            self.loads.hear(sender, accepted.report.loads, now)
            self.usage.hear(sender, accepted.report.uses, now)
        self.seen_parts |= {part.prefix for part in accepted.report.placed}

    def count_others(self) -> int:
        """Returns how many requests the others are believed to run."""
        now = self.fleet.clock.monotonic()
        return self.loads.total(TARGET, now).running

    def read_usage(self) -> float:
        """Returns what the workspace is believed to have used elsewhere."""
        return self.usage.total(WORKSPACE, self.fleet.clock.monotonic())


@dataclasses.dataclass
class Datagram:
    """On its way."""

    at: float
    receiver: str
    data: bytes


class Fleet:
    """Routers in three data centres, and the network between them."""

    def __init__(self, count: int):
        self.clock = clock_lib.ManualClock(virtual_time.START)
        self.output = os.open(os.devnull, os.O_WRONLY)
        self.under_way: list[Datagram] = []
        self.cut: set[tuple[str, str]] = set()
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
        """Carries a datagram, unless the way is cut."""
        if (sender, receiver) not in self.cut:
            at = self.clock.monotonic() + DELAY_S
            self.under_way.append(Datagram(at, receiver, data))

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            now = self.clock.monotonic()
            arrived = [d for d in self.under_way if d.at <= now]
            self.under_way = [d for d in self.under_way if d.at > now]
            for datagram in arrived:
                receiver = self.routers[datagram.receiver]
                if not receiver.is_frozen:
                    receiver.receive(datagram.data)
            for router in self.routers.values():
                if not router.is_frozen:
                    router.tick()

    def find_relay(self, data_centre: str) -> Router:
        """Returns the router to which those of a data centre report."""
        names = {
            router.report_exchange.relays.current
            for router in self.routers.values()
            if router.entry.data_centre == data_centre and not router.is_frozen
        } - {None}
        assert len(names) == 1
        return self.routers[names.pop()]

    def find_wrong(self) -> dict[str, tuple[int, int]]:
        """Returns who is wrong of the others' work: (believed, true)."""
        alive = [r for r in self.routers.values() if not r.is_frozen]
        total = sum(router.running for router in alive)
        return {
            router.entry.name: (router.count_others(), total - router.running)
            for router in alive
            if router.count_others() != total - router.running
        }
