"""Measures the CPU time that a router needs to relay a stream's chunk."""

import asyncio

from bench import figures
from bench import path_requests
from bench import process_usage

TOKENS_PER_S = 18.9
"""Tokens that a slot generates per second at the largest planned fleet size:
one every 53 ms."""

STREAMS = 48
MAX_TOKENS = 150


async def _count_chunks(endpoints: path_requests.Endpoints) -> int:
    request = path_requests.make_stream_request(endpoints, MAX_TOKENS)
    url = f"{endpoints.router_url}/v1/requests"
    count = 0
    async with path_requests.open_stream(
        endpoints, url, request.body
    ) as body_chunks:
        async for body_chunk in body_chunks:
            count += body_chunk.count(b"event: chunk")
    return count


async def measure_chunks(endpoints: path_requests.Endpoints, pid: int) -> None:
    """Measures concurrent streams; prints the CPU time per chunk.

    The figure includes the cost of starting and ending the streams.

    Args:
        endpoints: URLs of the router and its targets.
        pid: process id of the router.
    """
    cpu_s = process_usage.read_cpu_s(pid)
    streams = [_count_chunks(endpoints) for _ in range(STREAMS)]
    count = sum(await asyncio.gather(*streams))
    cpu_s = process_usage.read_cpu_s(pid) - cpu_s
    figures.print_figure(figures.Figure("chunks", count, "chunks"))
    figures.print_figure(
        figures.Figure("cpu_per_chunk", cpu_s / count * 1e6, "us")
    )
