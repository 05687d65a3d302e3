"""A router refuses for memory only what its memory can't hold.

A router process is started with the memory that the smallest machines have.
"""

import asyncio
import pathlib

from tests.forwarding import platform_world

MEMORY_MB = 128
TARGETS = 10
CALLERS = 260
BODY_BYTES = 12_000
"""Usual size of the longest kind of request."""
RUN_S = 4.0


async def send(address: str, number: int) -> bytes:
    """Sends a request that runs for some time; returns the status line."""
    reader, writer = await asyncio.open_connection(*address.split(":"))
    head = (
        f"POST /look/for-{RUN_S} HTTP/1.1\r\nhost: {platform_world.HOST}\r\n"
        f"api-key: {platform_world.API_KEY}\r\nrequest-id: m-{number}\r\n"
        f"content-length: {BODY_BYTES}\r\n\r\n"
    )
    writer.write(head.encode() + b"x" * BODY_BYTES)
    status = await reader.readline()
    await reader.read(65_536)
    writer.close()
    return status


# Guards against FAIR: a router refuses most requests of a workspace for memory
# of which its process takes less than a half.
def test_router_holds_what_its_memory_allows(tmp_path):
    async def run():
        world = platform_world.PlatformWorld(pathlib.Path(tmp_path))
        world.process_limits = {"memory_mb": MEMORY_MB, "max_fds": 4096}
        try:
            await world.start(1, TARGETS)
            front = world.routers["router-1"]["front"]
            calls = [send(front, number) for number in range(CALLERS)]
            await asyncio.gather(*calls)
            peak_bytes = platform_world.read_peak_memory(
                world.processes["router-1"].pid
            )
            return world.read_log("router-1"), peak_bytes
        finally:
            await world.stop()

    log, peak_bytes = asyncio.run(run())
    assert log.count('"reason":"memory"') == 0
    assert peak_bytes < MEMORY_MB * 1_000_000
