"""Callers that keep no limits neither end a router nor shut others out.

Each test starts a crowd against one router process with little memory and few
descriptors, and checks the process, its memory and descriptors, and that an
ordinary request is answered while the crowd stays. Nothing depends on how fast
the machine is: the timeouts only end a test that hangs.
"""

import asyncio
from collections.abc import Iterator
import contextlib
import itertools
import os
import pathlib
import resource
import socket

import httpx
import pytest

from tests.forwarding import platform_world

MEMORY_MB = 100
MAX_FDS = 160
MAX_HEADER_BYTES = 4096
FEW = 16
"""Callers that send without end."""
BYTES_EACH = 4 * 2**20
"""Bytes that each of them sends unless the router ends the connection."""
MANY = 200
"""Callers that hold connections, more than the router has descriptors."""
PIECE_BYTES = 65_536
HOST = platform_world.HOST
HEAD = (
    f"POST /look/1 HTTP/1.1\r\nhost: {HOST}\r\n"
    f"api-key: {platform_world.API_KEY}\r\n"
)
GET = HEAD.replace("POST", "GET")


def repeat(begin: str, rest: str) -> Iterator[bytes]:
    """Yields `begin`, and then `rest` again and again, in large pieces."""
    yield begin.encode()
    piece = (rest * (PIECE_BYTES // len(rest) + 1)).encode()
    yield from itertools.repeat(piece, BYTES_EACH // len(piece) + 1)


def number_requests(head: str) -> Iterator[bytes]:
    """Yields complete requests, each with an ID, in large pieces."""
    numbers = itertools.count()
    sent = 0
    while sent < BYTES_EACH:
        piece = "".join(
            f"{head}request-id: p-{next(numbers)}\r\n\r\n" for _ in range(300)
        ).encode()
        sent += len(piece)
        yield piece


WITHOUT_END = {
    "headers": lambda: repeat(HEAD, "a:b\r\n"),
    "long_header_line": lambda: repeat(HEAD + "a: ", "b"),
    "long_header_name": lambda: repeat(HEAD, "b"),
    "target": lambda: repeat("GET /", "b"),
    "method": lambda: repeat("", "G"),
    "empty_lines": lambda: repeat("", "\r\n"),
    "trailers": lambda: repeat(
        HEAD + "request-id: t\r\ntransfer-encoding: chunked\r\n\r\n"
        "1\r\na\r\n0\r\n",
        "a:b\r\n",
    ),
    "long_trailer_line": lambda: repeat(
        HEAD + "request-id: t\r\ntransfer-encoding: chunked\r\n\r\n0\r\na: ",
        "b",
    ),
    "chunk_extension": lambda: repeat(
        HEAD + "request-id: x\r\ntransfer-encoding: chunked\r\n\r\n1;a=", "b"
    ),
    "body_over_the_limit": lambda: repeat(
        HEAD + "request-id: b\r\ntransfer-encoding: chunked\r\n\r\n",
        "8\r\nabcdefgh\r\n",
    ),
    "after_a_refusal": lambda: repeat(
        "POST /none/1 HTTP/1.1\r\nhost: nobody\r\n"
        "transfer-encoding: chunked\r\n\r\n",
        "8\r\nabcdefgh\r\n",
    ),
    "pipelined": lambda: number_requests(GET),
    "pipelined_without_route": lambda: number_requests(
        "GET / HTTP/1.1\r\nhost: nobody\r\n"
    ),
    "behind_a_request": lambda: repeat(
        GET.replace("/look/1", "/look/for-3.0") + "request-id: g\r\n\r\n",
        "GET / HTTP/1.1\r\nhost: a\r\n\r\n",
    ),
}
HELD = {
    "silence": "",
    "empty_line": "\r\n",
    "part_of_a_head": HEAD,
    "no_body": HEAD + "request-id: {number}\r\ncontent-length: 900\r\n\r\n",
    "no_chunk": HEAD
    + "request-id: {number}\r\ntransfer-encoding: chunked\r\n\r\n",
    "no_trailer": HEAD
    + "request-id: {number}\r\ntransfer-encoding: chunked\r\n\r\n0\r\na: b",
    "waits_to_continue": HEAD
    + "request-id: {number}\r\nexpect: 100-continue\r\n"
    "content-length: 900\r\n\r\n",
    "many_headers": HEAD + "a:b\r\n" * 700,
    "large_body": HEAD
    + "request-id: {number}\r\ncontent-length: 4000000\r\n\r\n"
    + "b" * 200_000,
}


def run_crowd(tmp_path, crowd, role: str = "front") -> None:
    """Runs a crowd against a router, which has to serve another caller.

    Args:
        tmp_path: folder of the processes.
        crowd: called with the world and the address to connect to; an
            asynchronous context manager in which the crowd stays.
        role: the address of the router, see `PlatformWorld.routers`.
    """

    async def run():
        world = platform_world.PlatformWorld(pathlib.Path(tmp_path))
        world.process_limits = {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}
        world.limits = {
            "max_header_bytes": MAX_HEADER_BYTES,
            "header_timeout_ms": 1000,
            "idle_timeout_ms": 5000,
        }
        try:
            await world.start(1, 1)
            router = world.processes["router-1"]
            limit = resource.RLIMIT_NOFILE
            resource.prlimit(router.pid, limit, (MAX_FDS, MAX_FDS))
            host, port = world.routers["router-1"][role].split(":")
            async with crowd(host, int(port)):
                await world.wait_until(lambda: is_served(world))
                check_process(router)
            await world.wait_until(lambda: is_served(world))
            check_process(router)
        finally:
            await world.stop()

    asyncio.run(run())


def check_process(router) -> None:
    """Checks that the process lives within its limits."""
    assert router.poll() is None
    peak_bytes = platform_world.read_peak_memory(router.pid)
    assert peak_bytes < MEMORY_MB * 1_000_000
    assert len(os.listdir(f"/proc/{router.pid}/fd")) <= MAX_FDS


async def is_served(world) -> bool:
    """Returns whether an ordinary request on a new connection is answered."""
    async with httpx.AsyncClient(trust_env=False, timeout=10.0) as client:
        world.http, kept = client, world.http
        try:
            response = await world.call("router-1", "/look/1")
        except httpx.HTTPError:
            return False
        finally:
            world.http = kept
        return response.status_code == 200 and response.text == "done"


async def send_pieces(
    host: str, port: int, pieces: Iterator[bytes], has_sent: asyncio.Event
) -> None:
    """Sends without reading, until all is sent or the connection ends."""
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        with contextlib.suppress(OSError):
            sock.setblocking(False)
            await loop.sock_connect(sock, (host, port))
            for piece in pieces:
                await loop.sock_sendall(sock, piece)
        has_sent.set()
        await asyncio.Event().wait()


@contextlib.asynccontextmanager
async def keep_sending(host: str, port: int, build_pieces):
    """Some callers send without end; yields once all have sent or failed."""
    sent = [asyncio.Event() for _ in range(FEW)]
    callers = [
        asyncio.ensure_future(send_pieces(host, port, build_pieces(), has_sent))
        for has_sent in sent
    ]
    waits = [asyncio.ensure_future(has_sent.wait()) for has_sent in sent]
    # Callers whose bytes are not read can't send all of them.
    await asyncio.wait(waits, timeout=15.0)
    try:
        yield
    finally:
        for task in (*callers, *waits):
            task.cancel()
        await asyncio.gather(*callers, *waits, return_exceptions=True)


@contextlib.asynccontextmanager
async def hold_connections(host: str, port: int, text: str):
    """Many callers send something and then nothing more.

    Each connects again as soon as its connection ends.
    """

    async def hold(number: int) -> None:
        loop = asyncio.get_running_loop()
        while True:
            with socket.socket() as sock, contextlib.suppress(OSError):
                sock.setblocking(False)
                await loop.sock_connect(sock, (host, port))
                data = text.replace("{number}", f"h-{number}").encode()
                await loop.sock_sendall(sock, data)
                while await loop.sock_recv(sock, PIECE_BYTES):
                    pass
            await asyncio.sleep(0.2)

    callers = [asyncio.ensure_future(hold(number)) for number in range(MANY)]
    await asyncio.sleep(3.0)
    try:
        yield
    finally:
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)


# Guards against a router that runs out of memory, or serves nobody any more,
# since a few callers send bytes without end.
@pytest.mark.parametrize("shape", WITHOUT_END)
def test_router_serves_while_callers_send_without_end(tmp_path, shape):
    run_crowd(
        tmp_path,
        lambda host, port: keep_sending(host, port, WITHOUT_END[shape]),
    )


# Guards against a router whose descriptors or memory are all taken by callers
# that send nothing, or only a part of a request.
@pytest.mark.parametrize("shape", HELD)
def test_router_serves_while_callers_hold_connections(tmp_path, shape):
    run_crowd(
        tmp_path, lambda host, port: hold_connections(host, port, HELD[shape])
    )


# Guards against the same through the addresses for readiness and look-ups,
# which share the process's memory and descriptors.
@pytest.mark.parametrize("role", ["ready", "directory"])
@pytest.mark.parametrize("shape", ["headers", "silence"])
def test_router_serves_while_other_addresses_are_crowded(tmp_path, role, shape):
    def build_crowd(host, port):
        if shape in HELD:
            return hold_connections(host, port, HELD[shape])
        return keep_sending(host, port, WITHOUT_END[shape])

    run_crowd(tmp_path, build_crowd, role)


# Guards against answers that pile up, or connections that are never closed,
# since callers don't read.
def test_router_serves_while_callers_do_not_read(tmp_path):
    @contextlib.asynccontextmanager
    async def crowd(host, port):
        async def ask(number):
            loop = asyncio.get_running_loop()
            with contextlib.suppress(OSError):
                sock = socket.socket()
                sockets.append(sock)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1024)
                sock.setblocking(False)
                await loop.sock_connect(sock, (host, port))
                for at in range(300):
                    head = GET + f"request-id: n-{number}-{at}\r\n\r\n"
                    await loop.sock_sendall(sock, head.encode())

        sockets = []
        callers = [asyncio.ensure_future(ask(number)) for number in range(MANY)]
        await asyncio.wait(callers, timeout=10.0)
        try:
            yield
        finally:
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
            for sock in sockets:
                sock.close()

    run_crowd(tmp_path, crowd)
