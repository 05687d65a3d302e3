"""What relaying one chunk of a stream costs a router."""

import asyncio

from bench import figures
from bench import path_requests
from bench import process_usage

TOKENS_PER_S = 18.9
"""Speed of a slot at two years' size: 53 ms between tokens."""

STREAMS = 48
MAX_TOKENS = 150


async def _count_chunks(routes: path_requests.Endpoints) -> int:
    order = path_requests.make_stream_request(routes, MAX_TOKENS)
    url = f"{routes.router_url}/v1/requests"
    count = 0
    async with path_requests.open_stream(routes, url, order.body) as parts:
        async for part in parts:
            count += part.count(b"event: chunk")
    return count


async def measure_chunks(routes: path_requests.Endpoints, pid: int) -> None:
    """Prints the CPU time for each chunk of streams that run side by side.

    The time includes the streams' begin and end, spread over their chunks.
    """
    cpu_s = process_usage.read_cpu_s(pid)
    streams = [_count_chunks(routes) for _ in range(STREAMS)]
    count = sum(await asyncio.gather(*streams))
    cpu_s = process_usage.read_cpu_s(pid) - cpu_s
    figures.print_figure(figures.Figure("chunks", count, "chunks"))
    figures.print_figure(
        figures.Figure("cpu_per_chunk", cpu_s / count * 1e6, "us")
    )
