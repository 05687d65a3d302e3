"""A target in this process that answers each connection by a script."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import socket
import struct

from lentilbeam_core.forwarding import target_list
from tests.forwarding import makers

Script = Callable[
    [bytes, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


class FakeTarget:
    """Listens on loopback; keeps the heads of the requests it got.

    Attributes:
        heads: heads of requests, as received.
        connections: number of connections accepted.
    """

    def __init__(self, script: Script):
        self.script = script
        self.heads: list[bytes] = []
        self.bodies: list[bytes] = []
        self.connections = 0
        self.closed = asyncio.Event()
        self.server: asyncio.Server | None = None

    async def start(self, name: str, **changes) -> target_list.Entry:
        """Listens; returns the target's entry."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        return makers.make_target(name, port=port, **changes)

    async def stop(self) -> None:
        """Stops listening."""
        self.server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.heads.append(head)
                length = 0
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        length = int(line.partition(b":")[2])
                self.bodies.append(await reader.readexactly(length))
                await self.script(head, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed.set()
        finally:
            writer.close()


def answer(
    body: bytes,
    status: int = 200,
    headers: str = "",
    name: str = "r",
    seal: str = "Response-Seal: s\r\n",
) -> bytes:
    """Returns an answer with a length."""
    return (
        f"HTTP/1.1 {status} X\r\nRequest-Id: {name}\r\n{seal}{headers}"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def stream_head(name: str = "r") -> bytes:
    """Returns the head of a chunked event stream."""
    return (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\nResponse-Seal: s\r\n"
        "Content-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()


def chunk(data: bytes) -> bytes:
    """Returns a chunk; an empty one ends the body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number: int) -> bytes:
    """Returns an event of a stream."""
    return b"id: %d\ndata: x%d\n\n" % (number, number)


def saying(*pieces: bytes, then: str = "keep") -> Script:
    """Returns a script that sends pieces and then keeps, ends or resets."""

    async def script(head, reader, writer) -> None:
        del head
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
        if then == "reset":
            # Without this the system ends the connection in good order.
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
            raise ConnectionError
        if then == "end":
            writer.close()
            raise ConnectionError
        if then == "hang":
            await reader.read()
            raise ConnectionError

    return script
