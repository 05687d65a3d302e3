"""Measures the processor time that a fleet's routers need for their reports.

Usage: `python -m bench.fleet_cost`. Runs whole routers (`Gateway`) in one
process, in virtual time, and adds up the processor time of what each does for
reports and housekeeping. Prints one JSON line per figure, in milliseconds of a
core per second of virtual time: means over the relays and over the other
routers. Callers, targets and the network are emulated and don't count. With
`--profile=FILE` the run is profiled by cProfile, which makes its figures
invalid.
"""

import asyncio
import collections
import cProfile
import functools
import gc
import math
import time
import zlib

from absl import app
from absl import flags

from bench import figures
from lentilbeam_core.forwarding import configuration
from tests.forwarding import gateway_fleet

ROUTERS = flags.DEFINE_integer("routers", 61, "Number of routers.")
TARGETS = flags.DEFINE_integer("targets", 33, "Number of targets.")
WORKSPACES = flags.DEFINE_integer("workspaces", 24, "Number of workspaces.")
REQUESTS_PER_S = flags.DEFINE_float(
    "requests_per_s", 800.0, "Requests a second of the whole fleet."
)
SECONDS = flags.DEFINE_float("seconds", 3.0, "Measured virtual seconds.")
PROFILE = flags.DEFINE_string(
    "profile", None, "File for the statistics of cProfile."
)

WARM_UP_S = 3.0
ENGINE = configuration.Engine(slots=64, cache_tokens=800_000)
SHARED_PROMPTS = 40
MS = 1000
KINDS = ("receive", "send", "entries", "housekeeping", "decide")
MAX_ENTRY_DELAY_S = 0.8


class ProcessorTimes:
    """Processor time by router and kind of work.

    Attributes:
        spent_s: seconds, by name of the router and kind of work.
        counts: number of calls, likewise.
    """

    def __init__(self):
        self.spent_s: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def clear(self) -> None:
        """Sets all times to 0."""
        self.spent_s.clear()
        self.counts.clear()

    def wrap(self, router: str, kind: str, function):
        """Returns the function, with its calls timed."""

        @functools.wraps(function)
        def timed(*arguments, **keywords):
            began_at = time.thread_time()
            try:
                return function(*arguments, **keywords)
            finally:
                self.spent_s[router, kind] += time.thread_time() - began_at
                self.counts[router, kind] += 1

        return timed


class TimedFleet(gateway_fleet.Fleet):
    """A fleet whose routers' work is timed.

    Attributes:
        times: the processor times.
    """

    def __init__(self, **arguments):
        self.times = ProcessorTimes()
        super().__init__(**arguments)

    def start_router(self, name: str):
        """Starts a router; times what it does for reports."""
        gateway = super().start_router(name)
        link = gateway.link
        link.datagram_received = self.times.wrap(
            name, "receive", link.datagram_received
        )
        exchange = gateway.report_exchange
        exchange.send_if_due = self.times.wrap(
            name, "send", exchange.send_if_due
        )
        gateway._log_avoided = self.times.wrap(
            name, "housekeeping", gateway._log_avoided
        )
        gateway.put_target = self.times.wrap(
            name, "entries", gateway.put_target
        )
        gateway.find_dispatcher = self._time_dispatchers(name, gateway)
        return gateway

    def _time_dispatchers(self, router: str, gateway):
        """Returns `find_dispatcher`; times the placement of each request."""
        find_dispatcher = gateway.find_dispatcher
        timed = set()

        def find(pool):
            dispatcher = find_dispatcher(pool)
            if pool not in timed:
                timed.add(pool)
                dispatcher.decide = self.times.wrap(
                    router, "decide", dispatcher.decide
                )
            return dispatcher

        return find

    def hash_choices(self) -> int:
        """Returns a checksum of which requests reached which target.

        Two versions that decide alike have the same, with the same
        `PYTHONHASHSEED`.
        """
        lines = [
            f"{name} {arrival.at:.3f} {arrival.router}"
            for name, target in sorted(self.targets.items())
            for arrival in target.arrivals
        ]
        return zlib.crc32("\n".join(lines).encode())

    def find_relays(self) -> set[str]:
        """Returns the names of the routers that others report to."""
        return {
            name
            for name, gateway in self.gateways.items()
            if gateway.report_exchange.relays.current is None
        }


def print_figures(fleet: TimedFleet, load: str) -> None:
    """Prints the means over the relays and over the other routers."""
    relays = fleet.find_relays()
    for role, names in (
        ("relay", relays),
        ("member", set(fleet.gateways) - relays),
    ):
        total_ms = 0.0
        for kind in KINDS:
            divisor = max(len(names), 1) * SECONDS.value
            spent_ms = MS * sum(fleet.times.spent_s[n, kind] for n in names)
            if kind != "decide":
                # Calls by the other kinds are part of these.
                total_ms += spent_ms / divisor
            prefix = f"{load}.{role}.{kind}"
            figures.print_figure(
                figures.Figure(prefix, spent_ms / divisor, "ms/s")
            )
            count = sum(fleet.times.counts[n, kind] for n in names)
            figures.print_figure(
                figures.Figure(f"{prefix}.calls", count / divisor, "1/s")
            )
        figures.print_figure(
            figures.Figure(f"{load}.{role}.total", total_ms, "ms/s")
        )


async def _send_prompts(fleet: TimedFleet, seconds: float) -> None:
    """Sends streams with partly shared prompts of many workspaces."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds
    names = list(fleet.gateways)
    while True:
        pause_s = fleet.rng.expovariate(REQUESTS_PER_S.value)
        if loop.time() + pause_s >= ends_at:
            return
        await asyncio.sleep(pause_s)
        shared = fleet.rng.randrange(SHARED_PROMPTS)
        own = fleet.rng.randrange(1 << 40)
        fleet.send_soon(
            fleet.rng.choice(names),
            path="/chat/x",
            deadline_ms=8000,
            api_key=f"key-{fleet.rng.randrange(WORKSPACES.value)}",
            token_count="900,160",
            prefix_hash=f"{shared:016x}:600,{own:016x}:300",
        )


def run() -> None:
    """Runs the fleet without and with requests."""
    profiler = cProfile.Profile()
    fleet = TimedFleet(
        routers=ROUTERS.value,
        targets=TARGETS.value,
        engine=ENGINE,
        cold_per_s=17.0,
        tokens_per_s=400_000.0,
        workspaces={f"key-{n}": f"w{n}" for n in range(WORKSPACES.value)},
    )

    async def measure(load: str) -> None:
        # The collector would go through the objects of all routers.
        gc.collect()
        gc.freeze()
        fleet.times.clear()
        if PROFILE.value:
            profiler.enable()
        await asyncio.sleep(SECONDS.value)
        profiler.disable()
        print_figures(fleet, load)

    async def scenario(_) -> None:
        writing = asyncio.ensure_future(
            fleet.write_entries(math.inf, MAX_ENTRY_DELAY_S)
        )
        await asyncio.sleep(WARM_UP_S)
        await measure("idle")
        sending = asyncio.ensure_future(
            _send_prompts(fleet, WARM_UP_S + SECONDS.value)
        )
        await asyncio.sleep(WARM_UP_S)
        await measure("load")
        sending.cancel()
        writing.cancel()
        done = sum(result.is_complete for result in fleet.results)
        figures.print_figure(figures.Figure("load.completed", done, ""))
        figures.print_figure(
            figures.Figure("load.choices", fleet.hash_choices(), "")
        )

    fleet.run(scenario)
    if PROFILE.value:
        profiler.dump_stats(PROFILE.value)


def main(_: list[str]) -> None:
    """Runs the benchmark."""
    run()


if __name__ == "__main__":
    app.run(main)
