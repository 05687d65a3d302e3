"""Measures what a router adds to the path between caller and target.

Usage: `python -m bench.path`. Prints one JSON line for each figure, with
its aim where there is one. With `--profile=FILE` the router of the latency
measurements runs under cProfile and writes its statistics to FILE; the
figures of such a run are distorted.
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

PAIRS = flags.DEFINE_integer("pairs", 400, "Requests of each kind and way.")
STREAM_PAIRS = flags.DEFINE_integer("stream_pairs", 200, "Streams each way.")
SPACED_PAIRS = flags.DEFINE_integer("spaced_pairs", 60, "Spaced bookings.")
LOOP_S = flags.DEFINE_float("loop_s", 4.0, "Length of the closed loop.")
STREAMS = flags.DEFINE_integer("streams", 300, "Idle streams held open.")
PROFILE = flags.DEFINE_string("profile", None, "File for cProfile's result.")

ADDED_AIM_MS = 4.0
STREAM_AIM_KB = 10.0
WARM_UP = 30
CONCURRENCY = 16
STREAM_TOKENS = 10
IDLE_STREAM_TOKENS = 100
SETTLE_S = 2.0
PAUSE_S = 0.15
US_PER_S = 1_000_000
LONGEST_US = 60 * US_PER_S
DIGITS = 3
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
    """Median and 99th percentile in milliseconds."""

    median_ms: float
    p99_ms: float


def summarize(times: histogram.HdrHistogram) -> Latency:
    """Returns the percentiles of a histogram of microseconds."""
    return Latency(
        times.get_value_at_percentile(50) / 1000,
        times.get_value_at_percentile(99) / 1000,
    )


async def compare(
    direct: path_requests.Send, routed: path_requests.Send, pairs: int
) -> tuple[Latency, Latency]:
    """Sends requests in turn both ways, one at a time."""
    direct_times = histogram.HdrHistogram(1, LONGEST_US, DIGITS)
    routed_times = histogram.HdrHistogram(1, LONGEST_US, DIGITS)
    for number in range(WARM_UP + pairs):
        direct_s, routed_s = await direct(), await routed()
        if number >= WARM_UP:
            direct_times.record_value(int(direct_s * US_PER_S))
            routed_times.record_value(int(routed_s * US_PER_S))
    return summarize(direct_times), summarize(routed_times)


async def measure_added(
    name: str,
    direct: path_requests.Send,
    routed: path_requests.Send,
    pairs: int,
) -> None:
    """Prints what the router adds to one kind of request."""
    one, other = await compare(direct, routed, pairs)
    added_ms = other.median_ms - one.median_ms
    figures.print_figure(
        figures.Figure(f"{name}.direct.median", one.median_ms, "ms")
    )
    figures.print_figure(figures.Figure(f"{name}.direct.p99", one.p99_ms, "ms"))
    figures.print_figure(
        figures.Figure(f"{name}.routed.median", other.median_ms, "ms")
    )
    figures.print_figure(
        figures.Figure(f"{name}.routed.p99", other.p99_ms, "ms")
    )
    figures.print_figure(
        figures.Figure(f"{name}.added.median", added_ms, "ms", ADDED_AIM_MS)
    )
    figures.print_figure(
        figures.Figure(f"{name}.added.p99", other.p99_ms - one.p99_ms, "ms")
    )


def pause_before(send: path_requests.Send) -> path_requests.Send:
    """Returns a sender that pauses first, so that no pacing is felt."""

    async def send_later() -> float:
        await asyncio.sleep(PAUSE_S)
        return await send()

    return send_later


async def measure_latencies(routes: path_requests.Routes) -> None:
    """Prints the added latency of lookups, bookings and streams.

    Bookings are measured back to back and with pauses between them.
    """
    for name, call in (("lookup", "lookup"), ("booking", "book")):
        await measure_added(
            name,
            path_requests.call_directly(routes, call),
            path_requests.call_through_router(routes, call),
            PAIRS.value,
        )
    await measure_added(
        "spaced_booking",
        path_requests.call_directly(routes, "book"),
        pause_before(path_requests.call_through_router(routes, "book")),
        SPACED_PAIRS.value,
    )
    await measure_added(
        "first_byte",
        path_requests.stream_directly(routes, STREAM_TOKENS),
        path_requests.stream_through_router(routes, STREAM_TOKENS),
        STREAM_PAIRS.value,
    )


async def measure_throughput(
    routes: path_requests.Routes, pid: int, clock: clock_lib.Clock
) -> None:
    """Prints the lookups that the router serves per second of its CPU."""
    send = path_requests.call_through_router(routes, "lookup")
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


async def measure_streams(routes: path_requests.Routes, pid: int) -> None:
    """Prints the router's memory for each open stream that is idle."""
    lookup = path_requests.call_through_router(routes, "lookup")
    for _ in range(WARM_UP):
        await lookup()
    await path_requests.stream_through_router(routes, 1)()
    await asyncio.sleep(SETTLE_S)
    before = process_usage.read_rss_bytes(pid)
    async with contextlib.AsyncExitStack() as stack:
        streams = [
            stack.enter_async_context(
                path_requests.open_stream(
                    routes,
                    f"{routes.router_url}/v1/requests",
                    path_requests.make_stream_order(
                        routes, IDLE_STREAM_TOKENS
                    ).body,
                )
            )
            for _ in range(STREAMS.value)
        ]
        parts = await asyncio.gather(*streams)
        await asyncio.gather(*(anext(each) for each in parts))
        await asyncio.sleep(SETTLE_S)
        held = process_usage.read_rss_bytes(pid) - before
    figures.print_figure(
        figures.Figure(
            "idle_stream", held / len(parts) / KB, "KB", STREAM_AIM_KB
        )
    )


@contextlib.asynccontextmanager
async def open_fleet(settings: fleet_lib.Settings):
    """Starts a fleet; yields the routes and the router's process id."""
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
                routes = path_requests.Routes(
                    http=http,
                    router_url=fleet.instances[ROUTER].url,
                    engine_url=fleet.engines[0].url,
                    bookings_url=fleet.bookings[0].url,
                    clock=clock_lib.SystemClock(),
                    rng=random.Random(1),
                )
                yield routes, fleet.processes.by_name[ROUTER].popen.pid
            await fleet.processes.stop([ROUTER])
        finally:
            fleet.processes.kill_remaining()
            await fleet.http.aclose()


def choose_settings() -> fleet_lib.Settings:
    """Returns the settings of the latency measurements."""
    if PROFILE.value is None:
        return FAST
    command = ("cProfile", "-o", PROFILE.value, "-m", "lentilbeam_router")
    return dataclasses.replace(FAST, router_command=command)


async def run() -> None:
    """Runs all measurements."""
    async with open_fleet(choose_settings()) as (routes, pid):
        await measure_latencies(routes)
        await measure_throughput(routes, pid, routes.clock)
    if PROFILE.value is None:
        async with open_fleet(IDLE) as (routes, pid):
            await measure_streams(routes, pid)
        async with open_fleet(STREAMING) as (routes, pid):
            await chunks.measure_chunks(routes, pid)


def main(_: list[str]) -> None:
    """Runs the benchmark."""
    logging.getLogger("httpx").setLevel(logging.WARNING)
    try:
        asyncio.run(run())
    except processes.StartError as error:
        raise SystemExit(str(error)) from error


if __name__ == "__main__":
    app.run(main)
