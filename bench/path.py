"""Measures the latency and resources that a router adds to a request.

Usage: `python -m bench.path`. Prints one JSON line per figure, with its upper
limit (`aim`) where there is one. With `--profile=FILE` the router of the
latency and throughput measurements runs under cProfile and writes its
statistics to FILE. Profiling slows the router down, so the figures of such a
run are not valid, and the measurements of streams are skipped.
"""

import asyncio
import contextlib
import dataclasses
import logging
import pathlib
import random
import tempfile

from absl import app
from absl import flags
from hdrh import histogram
import httpx

from bench import chunks
from bench import figures
from bench import path_requests
from bench import process_usage
from demo import catalogue
from demo import fleet as fleet_lib
from demo import processes
from lentilbeam_core import clock as clock_lib

PAIRS = flags.DEFINE_integer(
    "pairs", 400, "Pairs of a direct and a routed call, for each call."
)
STREAM_PAIRS = flags.DEFINE_integer(
    "stream_pairs", 200, "Pairs of a direct and a routed stream."
)
SPACED_PAIRS = flags.DEFINE_integer(
    "spaced_pairs", 60, "Pairs of bookings with pauses in between."
)
LOOP_S = flags.DEFINE_float(
    "loop_s", 4.0, "Seconds of closed-loop load for the throughput."
)
STREAMS = flags.DEFINE_integer("streams", 300, "Number of open idle streams.")
PROFILE = flags.DEFINE_string(
    "profile", None, "File for the statistics of cProfile."
)

MAX_ADDED_MS = 4.0
MAX_STREAM_KB = 10.0
WARM_UP_REQUESTS = 30
CONCURRENCY = 16
STREAM_TOKENS = 10
IDLE_STREAM_TOKENS = 100
SETTLE_S = 2.0
PAUSE_S = 0.15
US_PER_S = 1_000_000
MAX_LATENCY_US = 60 * US_PER_S
SIGNIFICANT_DIGITS = 3
KB = 1024
TIMEOUT = httpx.Timeout(60.0)
UNLIMITED = httpx.Limits(max_connections=None)
ROUTER = "router-1"

FAST = fleet_lib.Settings(
    data_centres=("east",),
    routers=1,
    engines=1,
    engine_slots=64,
    tokens_per_s=1000.0,
    bookings=1,
    bookings_slots=64,
    busy_ms=0.0,
    list_lag_s=0.1,
)
STREAMING = dataclasses.replace(FAST, tokens_per_s=chunks.TOKENS_PER_S)
IDLE = dataclasses.replace(
    FAST,
    engine_slots=1024,
    tokens_per_s=0.2,
    limits={"stream_idle_s": 600.0},
)


@dataclasses.dataclass(frozen=True, slots=True)
class Latency:
    """Median and 99th percentile of a latency, in milliseconds."""

    median_ms: float
    p99_ms: float


def summarize(times: histogram.HdrHistogram) -> Latency:
    """Returns the percentiles of a histogram in microseconds."""
    return Latency(
        times.get_value_at_percentile(50) / 1000,
        times.get_value_at_percentile(99) / 1000,
    )


async def measure_both(
    direct: path_requests.Send, routed: path_requests.Send, pairs: int
) -> tuple[Latency, Latency]:
    """Alternates direct and routed requests, one at a time.

    Args:
        direct: sends a request to the target.
        routed: sends the same request through the router.
        pairs: number of measured pairs; `WARM_UP_REQUESTS` pairs before them
            are not measured.

    Returns:
        Latencies of the direct and of the routed requests.
    """
    direct_times = histogram.HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    routed_times = histogram.HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for number in range(WARM_UP_REQUESTS + pairs):
        direct_s, routed_s = await direct(), await routed()
        if number >= WARM_UP_REQUESTS:
            direct_times.record_value(int(direct_s * US_PER_S))
            routed_times.record_value(int(routed_s * US_PER_S))
    return summarize(direct_times), summarize(routed_times)


async def measure_added(
    name: str,
    direct: path_requests.Send,
    routed: path_requests.Send,
    pairs: int,
) -> None:
    """Prints the latency that the router adds to one kind of request."""
    direct_latency, routed_latency = await measure_both(direct, routed, pairs)
    added_ms = routed_latency.median_ms - direct_latency.median_ms
    figures.print_figure(
        figures.Figure(f"{name}.direct.median", direct_latency.median_ms, "ms")
    )
    figures.print_figure(
        figures.Figure(f"{name}.direct.p99", direct_latency.p99_ms, "ms")
    )
    figures.print_figure(
        figures.Figure(f"{name}.routed.median", routed_latency.median_ms, "ms")
    )
    figures.print_figure(
        figures.Figure(f"{name}.routed.p99", routed_latency.p99_ms, "ms")
    )
    figures.print_figure(
        figures.Figure(f"{name}.added.median", added_ms, "ms", MAX_ADDED_MS)
    )
    figures.print_figure(
        figures.Figure(
            f"{name}.added.p99",
            routed_latency.p99_ms - direct_latency.p99_ms,
            "ms",
        )
    )


def add_pause(send: path_requests.Send) -> path_requests.Send:
    """Returns a function that pauses for `PAUSE_S` before it calls `send`.

    The pause is longer than the interval between appends to the claim log, so
    that a request doesn't wait for that interval.
    """

    async def send_later() -> float:
        await asyncio.sleep(PAUSE_S)
        return await send()

    return send_later


async def measure_latencies(endpoints: path_requests.Endpoints) -> None:
    """Prints the added latency of lookups, bookings and streams.

    Bookings are measured back to back and with pauses between them.
    """
    for name, call in (("lookup", "lookup"), ("booking", "book")):
        await measure_added(
            name,
            path_requests.make_direct_call(endpoints, call),
            path_requests.make_routed_call(endpoints, call),
            PAIRS.value,
        )
    await measure_added(
        "spaced_booking",
        path_requests.make_direct_call(endpoints, "book"),
        add_pause(path_requests.make_routed_call(endpoints, "book")),
        SPACED_PAIRS.value,
    )
    await measure_added(
        "first_byte",
        path_requests.make_direct_stream(endpoints, STREAM_TOKENS),
        path_requests.make_routed_stream(endpoints, STREAM_TOKENS),
        STREAM_PAIRS.value,
    )


async def measure_throughput(
    endpoints: path_requests.Endpoints, pid: int, clock: clock_lib.Clock
) -> None:
    """Prints how many lookups the router serves per second of CPU time."""
    send = path_requests.make_routed_call(endpoints, "lookup")
    ends_at = clock.monotonic() + LOOP_S.value
    cpu_s = process_usage.read_cpu_s(pid)

    async def repeat() -> int:
        count = 0
        while clock.monotonic() < ends_at:
            await send()
            count += 1
        return count

    counts = await asyncio.gather(*(repeat() for _ in range(CONCURRENCY)))
    cpu_s = process_usage.read_cpu_s(pid) - cpu_s
    count = sum(counts)
    figures.print_figure(
        figures.Figure("requests", count / LOOP_S.value, "1/s")
    )
    figures.print_figure(
        figures.Figure("requests_per_core", count / cpu_s, "1/s")
    )
    figures.print_figure(
        figures.Figure("cpu_per_request", cpu_s / count * 1000, "ms")
    )


async def measure_streams(endpoints: path_requests.Endpoints, pid: int) -> None:
    """Prints the router's memory per open idle stream."""
    lookup = path_requests.make_routed_call(endpoints, "lookup")
    for _ in range(WARM_UP_REQUESTS):
        await lookup()
    await path_requests.make_routed_stream(endpoints, 1)()
    await asyncio.sleep(SETTLE_S)
    before = process_usage.read_rss_bytes(pid)
    async with contextlib.AsyncExitStack() as stack:
        streams = [
            stack.enter_async_context(
                path_requests.open_stream(
                    endpoints,
                    f"{endpoints.router_url}/v1/requests",
                    path_requests.make_stream_request(
                        endpoints, IDLE_STREAM_TOKENS
                    ).body,
                )
            )
            for _ in range(STREAMS.value)
        ]
        open_streams = await asyncio.gather(*streams)
        await asyncio.gather(*(anext(each) for each in open_streams))
        await asyncio.sleep(SETTLE_S)
        used_bytes = process_usage.read_rss_bytes(pid) - before
    figures.print_figure(
        figures.Figure(
            "idle_stream",
            used_bytes / len(open_streams) / KB,
            "KB",
            MAX_STREAM_KB,
        )
    )


@contextlib.asynccontextmanager
async def open_fleet(settings: fleet_lib.Settings):
    """Starts a fleet; yields its endpoints and the router's process id.

    Raises:
        processes.StartError: if a process doesn't start.
    """
    workspace = catalogue.WorkspaceSpec(
        path_requests.WORKSPACE, "studio", 1.0, 1, True, queue_length=2048
    )
    with tempfile.TemporaryDirectory(prefix="lentilbeam-bench-") as folder:
        fleet = fleet_lib.Fleet(settings, pathlib.Path(folder))
        try:
            await fleet.start([workspace])
            async with httpx.AsyncClient(
                timeout=TIMEOUT, limits=UNLIMITED, trust_env=False
            ) as http:
                endpoints = path_requests.Endpoints(
                    http=http,
                    router_url=fleet.instances[ROUTER].url,
                    engine_url=fleet.engines[0].url,
                    bookings_url=fleet.bookings[0].url,
                    clock=clock_lib.SystemClock(),
                    rng=random.Random(1),
                )
                yield endpoints, fleet.processes.by_name[ROUTER].popen.pid
            await fleet.processes.stop([ROUTER])
        finally:
            fleet.processes.kill_remaining()
            await fleet.release()


def choose_settings() -> fleet_lib.Settings:
    """Returns the fleet settings of the latency measurements."""
    if PROFILE.value is None:
        return FAST
    command = ("cProfile", "-o", PROFILE.value, "-m", "lentilbeam_router")
    return dataclasses.replace(FAST, router_command=command)


async def run() -> None:
    """Runs all measurements."""
    async with open_fleet(choose_settings()) as (endpoints, pid):
        await measure_latencies(endpoints)
        await measure_throughput(endpoints, pid, endpoints.clock)
    if PROFILE.value is None:
        async with open_fleet(IDLE) as (endpoints, pid):
            await measure_streams(endpoints, pid)
        async with open_fleet(STREAMING) as (endpoints, pid):
            await chunks.measure_chunks(endpoints, pid)


def main(_: list[str]) -> None:
    """Runs the benchmark; exits with a message if the fleet can't start."""
    logging.getLogger("httpx").setLevel(logging.WARNING)
    try:
        asyncio.run(run())
    except processes.StartError as error:
        raise SystemExit(str(error)) from error


if __name__ == "__main__":
    app.run(main)
