"""Servers whose responses don't end, wherever the router reads from others.

Answers to the requests of callers are in `test_endless_answers`.
"""

import asyncio

import httpx
import pytest

from lentilbeam_core import clock as clock_lib
from lentilbeam_platform import call_wire
from lentilbeam_platform import store as store_lib
from lentilbeam_router import addresses
from lentilbeam_router import environment
from lentilbeam_router import metrics as metrics_lib
from lentilbeam_router.forwarding import connection_pool
from lentilbeam_router.forwarding import process_check
from tests.forwarding import makers

PIECE = b"x" * 65_536
ENDLESS_BYTES = 200_000_000
"""Bytes after which the server of a test ends a response that nobody closes."""
MAX_KEPT_BYTES = 60_000_000
"""Bytes, with those in the buffers of sockets, within which a reader must have
closed its connection. The smallest instances have 150 MB."""
MAX_SOCKET_BYTES = 12_000_000
"""What the buffers of a connection on loopback hold at most."""
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n"
PAGE = (
    b'{"items": [{"key": "k", "value": "QQ=="}], "has_more": true,'
    b' "end_offset": 1}'
)


class EndlessServer:
    """HTTP server that sends the same bytes again and again.

    Attributes:
        first: sent once after each request.
        piece: sent until the other side closes the connection.
        sent: bytes sent on all connections.
        requests: number of requests.
    """

    def __init__(self, first: bytes, piece: bytes):
        self.first = first
        self.piece = piece
        self.sent = 0
        self.requests = 0

    async def start(self) -> int:
        """Starts the server; returns its port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"content-length:" in head.lower():
                    await reader.read(65_536)
                self.requests += 1
                writer.write(self.first)
                while self.piece and self.sent < ENDLESS_BYTES:
                    writer.write(self.piece)
                    await writer.drain()
                    self.sent += len(self.piece)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def serve(first, piece, scenario):
    """Runs a scenario, given a port, beside a server; returns the server."""

    async def run():
        server = EndlessServer(first, piece)
        port = await server.start()
        await asyncio.wait_for(scenario(port), 30)
        server.server.close()
        return server

    return asyncio.run(run())


# Guards against LOST: a target that answers the question for its process
# without end fills the memory of the router that asks.
def test_answer_about_a_process_is_not_kept_beyond_its_size():
    async def scenario(port):
        clock = clock_lib.SystemClock()
        connections = connection_pool.ConnectionPool(
            clock, metrics_lib.Metrics()
        )
        target = makers.make_target("t", port=port, started_at_ms=1)
        with pytest.raises(process_check.UnconfirmedError):
            await process_check.acquire(connections, target, 0.0, call_wire)
        connections.close()

    assert serve(HEAD, PIECE, scenario).sent < MAX_SOCKET_BYTES


async def read_store(port, call):
    """Calls the store at a port, which must fail."""
    client = store_lib.StoreClient(
        addresses.Address("127.0.0.1", port), lambda *args, **fields: None
    )
    with pytest.raises(store_lib.StoreError):
        await call(client)
    await client.close()


# Guards against LOST: a store whose response doesn't end fills the memory of
# all routers.
@pytest.mark.parametrize(
    "call",
    [
        lambda client: client.read_newest("keyed.op"),
        lambda client: client.read_from("keyed.op", 1, 0.1),
        lambda client: client.read_plain("streams", 1, 64),
        lambda client: client.append("streams", [b"record"]),
    ],
    ids=["newest", "from", "plain", "append"],
)
def test_response_of_the_store_is_not_kept_beyond_its_size(call):
    server = serve(HEAD, PIECE, lambda port: read_store(port, call))
    assert server.sent < MAX_KEPT_BYTES


# Guards against LOST: a store that says after each page that there are more.
def test_pages_of_the_store_that_do_not_go_on_are_given_up():
    page = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (
        len(PAGE),
        PAGE,
    )

    async def scenario(port):
        await read_store(port, lambda client: client.read_newest("keyed.op"))

    assert serve(page, b"", scenario).requests == 2


# Guards against LOST: a log, an instance list, a target or a peer of the own
# interface whose response doesn't end.
@pytest.mark.parametrize("is_streamed", [False, True])
def test_response_to_an_http_client_is_not_kept_beyond_its_size(is_streamed):
    async def scenario(port):
        url = f"http://127.0.0.1:{port}/"
        http = environment.Environment().open_http(
            httpx.Timeout(5.0), httpx.Limits()
        )
        async with http:
            with pytest.raises(httpx.ReadError):
                if not is_streamed:
                    await http.get(url)
                async with http.stream("GET", url) as response:
                    async for _ in response.aiter_lines():
                        pass

    assert serve(HEAD, PIECE, scenario).sent < MAX_KEPT_BYTES
