"""Measures the time until a change is in force at all 7 routers.

`make bench-catalogue` simulates the routers' catalogue readers in virtual
time. There are three data centres: one has the log, and another can't reach
it. The network loses 1% of the packets: a lost segment of a connection is sent
again after a timeout, a lost heartbeat is not. Prints one line of JSON with
the figures and their limits.
"""

import asyncio
import itertools
import json
import random

import httpx

from lentilbeam_core import catalogue_log
from lentilbeam_core import clock as clock_lib
from lentilbeam_core import ids
from lentilbeam_core import node
from lentilbeam_router import catalogue_reader
from lentilbeam_router import platform_log
from tests import model_log
from tests import virtual_time
from tests.unit import catalogue_builders as builders

DATA_CENTRE_BY_ROUTER = {
    "router-1": "north",
    "router-2": "north",
    "router-3": "north",
    "router-4": "west",
    "router-5": "west",
    "router-6": "east",
    "router-7": "east",
}
LOG_DATA_CENTRE = "north"
ISOLATED_DATA_CENTRE = "east"
REMOTE_DELAY_S = 0.0035
LOCAL_DELAY_S = 0.0003
LOSS_RATE = 0.01
RETRANSMISSION_TIMEOUT_S = 0.2
SCHEDULER = "router-6"
"""Scheduler of the only pool; its data centre can't reach the log."""
CHANGES = 1000
MEAN_INTERVAL_S = 1.0
PROPAGATION_WAIT_S = 60.0
SEED = 3
MAX_MEDIAN_S = 1.0
MAX_P99_S = 5.0
GOLD = builders.make_key("class", "gold")


class Network:
    """Random delays and losses of the network between data centres."""

    def __init__(self):
        self.rng = random.Random(SEED)

    def delay(self, source: str, receiver: str) -> float:
        """Returns a one-way delay in seconds, without loss."""
        base = LOCAL_DELAY_S if source == receiver else REMOTE_DELAY_S
        # Mean jitter: 20% of the delay.
        return base * (1 + self.rng.expovariate(5))

    def stream_delay(self, source: str, receiver: str) -> float:
        """Returns a one-way delay in seconds, including retransmissions."""
        delay = self.delay(source, receiver)
        timeout = RETRANSMISSION_TIMEOUT_S
        while self.rng.random() < LOSS_RATE:
            delay += timeout
            timeout *= 2
        return delay


class Router:
    """A router's catalogue reader and heartbeats.

    Attributes:
        in_force_at: time at which each change came into force, by offset.
        peer_offsets: offset in force at each peer, from its last heartbeat.
    """

    def __init__(self, fleet: "Fleet", name: str):
        self.fleet = fleet
        self.name = name
        self.data_centre = DATA_CENTRE_BY_ROUTER[name]
        self.in_force_at: dict[int, float] = {}
        self.peer_offsets: dict[str, ids.Offset] = {}
        http = httpx.AsyncClient(transport=httpx.MockTransport(self.route))
        self.reader = catalogue_reader.CatalogueReader(
            platform_log.LogClient(model_log.URL, http),
            fleet.clock,
            self.note_in_force,
            catalogue_reader.Settings(),
            self.list_peers,
            random.Random(name),
        )

    def note_in_force(self, catalogue, offset: ids.Offset) -> None:
        """Records the time for all changes up to `offset`."""
        del catalogue
        for changed in range(len(self.in_force_at) + 1, offset + 1):
            self.in_force_at[changed] = self.fleet.clock.monotonic()

    def list_peers(self) -> list[catalogue_reader.Peer]:
        """Returns the peers with the offsets from their heartbeats."""
        return [
            catalogue_reader.Peer(f"http://{name}", offset)
            for name, offset in self.peer_offsets.items()
        ]

    async def route(self, request: httpx.Request) -> httpx.Response:
        """Sends a request to the log or a peer, with network delays.

        Raises:
            httpx.ConnectError: the log can't be reached.
        """
        network = self.fleet.network
        host = request.url.host
        is_log = host not in DATA_CENTRE_BY_ROUTER
        if is_log and self.data_centre == ISOLATED_DATA_CENTRE:
            raise httpx.ConnectError("no route")
        data_centre = LOG_DATA_CENTRE if is_log else DATA_CENTRE_BY_ROUTER[host]
        await asyncio.sleep(network.stream_delay(self.data_centre, data_centre))
        if is_log:
            response = await self.fleet.log.handle(request)
        else:
            reader = self.fleet.routers[host].reader
            after = int(request.url.params["after"])
            response = httpx.Response(200, json=reader.build_export(after))
        await asyncio.sleep(network.stream_delay(data_centre, self.data_centre))
        return response

    async def send_heartbeats(self, peer: "Router") -> None:
        """Periodically sends the offset in force here to a peer."""
        network = self.fleet.network
        while True:
            await asyncio.sleep(_choose_interval_s(self, peer))
            if network.rng.random() >= LOSS_RATE:
                asyncio.get_running_loop().call_later(
                    network.delay(self.data_centre, peer.data_centre),
                    peer.peer_offsets.__setitem__,
                    self.name,
                    self.reader.offset,
                )


def _choose_interval_s(sender: Router, receiver: Router) -> float:
    settings = node.Settings(ids.InstanceId(sender.name), sender.data_centre)
    if sender.name == SCHEDULER:
        return settings.scheduler_heartbeat_s
    if receiver.name == SCHEDULER:
        return settings.to_scheduler_heartbeat_s
    return settings.other_heartbeat_s


class Fleet:
    """All routers and the log, in virtual time.

    Attributes:
        appended_at: time of each append, by offset.
    """

    def __init__(self, clock: clock_lib.ManualClock):
        self.clock = clock
        self.network = Network()
        self.log = model_log.ModelLog(clock)
        self.routers = {
            name: Router(self, name) for name in DATA_CENTRE_BY_ROUTER
        }
        self.appended_at: dict[int, float] = {}

    async def run(self) -> None:
        """Appends all changes and waits until they have propagated."""
        routers = self.routers.values()
        jobs = [router.reader.run() for router in routers]
        jobs += [
            router.send_heartbeats(peer)
            for router, peer in itertools.permutations(routers, 2)
        ]
        tasks = [asyncio.create_task(job) for job in jobs]
        for number in range(CHANGES):
            pause = self.network.rng.expovariate(1 / MEAN_INTERVAL_S)
            await asyncio.sleep(pause)
            self.append(number)
        await asyncio.sleep(PROPAGATION_WAIT_S)
        for task in tasks:
            task.cancel()

    def append(self, number: int) -> None:
        """Appends a change based on the latest version of the entry."""
        base = max(self.appended_at, default=0)
        entry = builders.make_class("gold", weight=1 + number % 8)
        change = builders.make_change(number, [entry], bases={GOLD: base})
        offset = self.log.append(catalogue_log.STREAM, [change])
        self.appended_at[offset] = self.clock.monotonic()


def main() -> None:
    """Runs the benchmark and prints one line of JSON."""
    clock = clock_lib.ManualClock(virtual_time.START)
    fleet = Fleet(clock)
    virtual_time.run(fleet.run(), clock)
    delays_by_router = {
        name: [
            router.in_force_at[offset] - appended
            for offset, appended in fleet.appended_at.items()
        ]
        for name, router in fleet.routers.items()
    }
    max_delays = sorted(map(max, zip(*delays_by_router.values(), strict=True)))
    connected = sorted(
        max(times)
        for times in zip(
            *(
                delays_by_router[name]
                for name, data_centre in DATA_CENTRE_BY_ROUTER.items()
                if data_centre != ISOLATED_DATA_CENTRE
            ),
            strict=True,
        )
    )
    median, p99 = max_delays[CHANGES // 2], max_delays[CHANGES * 99 // 100]
    report = {
        "routers": len(DATA_CENTRE_BY_ROUTER),
        "changes": CHANGES,
        "all_median_s": round(median, 3),
        "all_p99_s": round(p99, 3),
        "all_max_s": round(max_delays[-1], 3),
        "connected_median_s": round(connected[CHANGES // 2], 3),
        "connected_p99_s": round(connected[CHANGES * 99 // 100], 3),
        "targets": {"median_s": MAX_MEDIAN_S, "p99_s": MAX_P99_S},
        "is_met": median <= MAX_MEDIAN_S and p99 <= MAX_P99_S,
    }
    print(json.dumps(report))


if __name__ == "__main__":
    main()
