"""Relays on loopback that a test can cut and heal."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import random
import urllib.parse

HOST = "127.0.0.1"
CHUNK_BYTES = 65_536


class Rules:
    """Who reaches whom; `ports` tells senders apart.

    Attributes:
        parts: names that reach only each other; all others form one part.
        ports: name of the process that sends from a port.
        loss: part of the datagrams that get lost anyway.
        rng: which ones.
    """

    def __init__(self, loss: float = 0.0) -> None:
        self.loss = loss
        self.rng = random.Random(1)
        self.parts: list[frozenset[str]] = []
        self.ports: dict[int, str] = {}

    def cut(self, *parts: Iterable[str]) -> None:
        """Separates the parts from each other and from all others."""
        self.parts = [frozenset(part) for part in parts]

    def heal(self) -> None:
        """Joins all parts."""
        self.parts = []

    def is_open(self, sender: str, receiver: str) -> bool:
        """Whether a datagram of the sender gets to the receiver."""
        if self.rng.random() < self.loss:
            return False
        return all(
            (sender in part) == (receiver in part) for part in self.parts
        )


class PeerRelay(asyncio.DatagramProtocol):
    """Carries peer messages to one router.

    Attributes:
        port: where its peers send to; known once the relay is open.
        receiver_port: where the router listens.
        dropped: datagrams that did not get through.
    """

    def __init__(self, receiver: str, rules: Rules):
        self.receiver = receiver
        self.rules = rules
        self.port = 0
        self.receiver_port = 0
        self.dropped = 0
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keeps the open socket."""
        self.transport = transport
        self.port = transport.get_extra_info("sockname")[1]

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Passes a datagram on if the rules let it through."""
        sender = self.rules.ports[addr[1]]
        if not self.rules.is_open(sender, self.receiver):
            self.dropped += 1
            return
        self.transport.sendto(data, (HOST, self.receiver_port))


async def open_peer_relay(receiver: str, rules: Rules) -> PeerRelay:
    """Returns an open relay to one router."""
    relay = PeerRelay(receiver, rules)
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(lambda: relay, local_addr=(HOST, 0))
    return relay


class StreamRelay:
    """Carries connections to one service; a cut leaves them all silent.

    Attributes:
        find_url: returns where the service listens.
    """

    def __init__(self, find_url: Callable[[], str]):
        self.find_url = find_url
        self.is_cut = False
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task] = set()
        self.silent: set[asyncio.StreamWriter] = set()

    @property
    def url(self) -> str:
        """Where the relay listens."""
        return f"http://{HOST}:{self.server.sockets[0].getsockname()[1]}"

    async def open(self) -> None:
        """Starts to listen."""
        self.server = await asyncio.start_server(self._serve, HOST, 0)

    def cut(self) -> None:
        """Makes open and new connections silent."""
        self.is_cut = True
        for task in self.tasks:
            task.cancel()

    def heal(self) -> None:
        """Carries new connections again and closes the silent ones."""
        self.is_cut = False
        for writer in self.silent:
            writer.close()
        self.silent.clear()

    async def close(self) -> None:
        """Closes everything."""
        self.cut()
        self.server.close()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.heal()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.is_cut:
            self.silent.add(writer)
            return
        carrying = asyncio.create_task(self._carry(reader, writer))
        self.tasks.add(carrying)
        await asyncio.wait([carrying])
        self.tasks.discard(carrying)
        if carrying.cancelled() and self.is_cut:
            self.silent.add(writer)
        else:
            writer.close()

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        url = urllib.parse.urlsplit(self.find_url())
        far_reader, far_writer = await asyncio.open_connection(
            url.hostname, url.port
        )
        pumps = [
            asyncio.create_task(_pump(reader, far_writer)),
            asyncio.create_task(_pump(far_reader, writer)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            far_writer.close()


async def _pump(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Copies until the reader's end or either side's loss."""
    try:
        while data := await reader.read(CHUNK_BYTES):
            writer.write(data)
            await writer.drain()
    except ConnectionError:
        return
