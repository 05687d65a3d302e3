"""Relays on loopback whose traffic a test can interrupt and restore."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import random
import urllib.parse

HOST = "127.0.0.1"
CHUNK_BYTES = 65_536


class NetworkRules:
    """Decides which peer messages are delivered.

    Attributes:
        loss: fraction of the datagrams that is lost regardless of the
            partition.
        rng: decides which datagrams are lost.
        parts: sides of the partition, as sets of names; the names that are
            in no set form one more side.
        ports: name of the process that sends from a port.
    """

    def __init__(self, loss: float = 0.0) -> None:
        self.loss = loss
        self.rng = random.Random(1)
        self.parts: list[frozenset[str]] = []
        self.ports: dict[int, str] = {}

    def partition(self, *parts: Iterable[str]) -> None:
        """Separates these parts from each other and from all other names."""
        self.parts = [frozenset(part) for part in parts]

    def heal_partition(self) -> None:
        """Removes the partition."""
        self.parts = []

    def should_deliver(self, sender: str, receiver: str) -> bool:
        """Decides, partly at random, whether a datagram is delivered."""
        if self.rng.random() < self.loss:
            return False
        return all(
            (sender in part) == (receiver in part) for part in self.parts
        )


class PeerRelay(asyncio.DatagramProtocol):
    """Forwards UDP peer messages to one router.

    Attributes:
        receiver: name of the router.
        rules: decide which datagrams are forwarded.
        port: port that the peers send to; 0 until the relay is open.
        receiver_port: port on which the router listens.
        dropped: number of datagrams that were not forwarded.
        transport: the relay's socket; None until the relay is open.
    """

    def __init__(self, receiver: str, rules: NetworkRules):
        self.receiver = receiver
        self.rules = rules
        self.port = 0
        self.receiver_port = 0
        self.dropped = 0
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Stores the transport and its port."""
        self.transport = transport
        self.port = transport.get_extra_info("sockname")[1]

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Forwards a datagram if the rules allow it."""
        sender = self.rules.ports[addr[1]]
        if not self.rules.should_deliver(sender, self.receiver):
            self.dropped += 1
            return
        self.transport.sendto(data, (HOST, self.receiver_port))


async def open_peer_relay(receiver: str, rules: NetworkRules) -> PeerRelay:
    """Opens a relay of peer messages to one router."""
    relay = PeerRelay(receiver, rules)
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(lambda: relay, local_addr=(HOST, 0))
    return relay


class StreamRelay:
    """Forwards TCP connections to one service until it is blocked.

    While it is blocked, connections stay open but carry no data.

    Attributes:
        get_url: returns the URL of the service.
        is_blocked: whether connections carry no data.
        server: the listening socket; None until the relay is open.
        tasks: tasks that forward open connections.
        blocked_writers: writers of the clients' connections that carry no
            data.
    """

    def __init__(self, get_url: Callable[[], str]):
        self.get_url = get_url
        self.is_blocked = False
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task] = set()
        self.blocked_writers: set[asyncio.StreamWriter] = set()

    @property
    def url(self) -> str:
        """URL at which the relay listens."""
        return f"http://{HOST}:{self.server.sockets[0].getsockname()[1]}"

    async def open(self) -> None:
        """Starts listening."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)

    def block(self) -> None:
        """Stops forwarding data on open and new connections."""
        self.is_blocked = True
        for task in self.tasks:
            task.cancel()

    def unblock(self) -> None:
        """Forwards new connections again and closes the blocked ones."""
        self.is_blocked = False
        for writer in self.blocked_writers:
            writer.close()
        self.blocked_writers.clear()

    async def close(self) -> None:
        """Closes the listening socket and all connections."""
        self.block()
        self.server.close()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.unblock()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.is_blocked:
            self.blocked_writers.add(writer)
            return
        forwarding = asyncio.create_task(self._forward(reader, writer))
        self.tasks.add(forwarding)
        await asyncio.wait([forwarding])
        self.tasks.discard(forwarding)
        if forwarding.cancelled() and self.is_blocked:
            self.blocked_writers.add(writer)
        else:
            writer.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        url = urllib.parse.urlsplit(self.get_url())
        upstream_reader, upstream_writer = await asyncio.open_connection(
            url.hostname, url.port
        )
        copies = [
            asyncio.create_task(_copy(reader, upstream_writer)),
            asyncio.create_task(_copy(upstream_reader, writer)),
        ]
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for copy in copies:
                copy.cancel()
            upstream_writer.close()


async def _copy(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Copies data until the reader ends or a connection fails."""
    try:
        while data := await reader.read(CHUNK_BYTES):
            writer.write(data)
            await writer.drain()
    except ConnectionError:
        return
