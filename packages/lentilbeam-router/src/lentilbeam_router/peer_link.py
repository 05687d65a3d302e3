"""The UDP socket between routers."""

import asyncio
from collections.abc import Callable

from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_router import addresses
from lentilbeam_router import metrics as metrics_lib
from lentilbeam_router import peer_codec

Receive = Callable[[ids.InstanceId, messages.PeerMessage], None]


class PeerLink(asyncio.DatagramProtocol):
    """Sends and receives peer messages, without promise of delivery."""

    def __init__(
        self,
        me: ids.InstanceId,
        receive: Receive,
        metrics: metrics_lib.Metrics,
    ):
        self.me = me
        self.receive = receive
        self.metrics = metrics
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keeps the socket once it is open."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Decodes one datagram and passes it on; bad ones are counted."""
        del addr
        try:
            sender, message = peer_codec.decode(data)
        except peer_codec.PeerCodecError:
            self.metrics.count("peer.undecodable")
            return
        self.metrics.count("peer.received_bytes", len(data))
        self.receive(sender, message)

    def error_received(self, exc: Exception) -> None:
        """Counts what the system reports of earlier sends."""
        del exc
        self.metrics.count("peer.socket_errors")

    def send(
        self, address: addresses.Address, message: messages.PeerMessage
    ) -> None:
        """Sends a message, counting its bytes by kind."""
        if self.transport is None or self.transport.is_closing():
            return
        data = peer_codec.encode(self.me, message)
        kind = type(message).__name__
        self.metrics.count(f"peer.sent_bytes.{kind}", len(data))
        self.metrics.count(f"peer.sent.{kind}")
        self.transport.sendto(data, (address.host, address.port))

    def broadcast(
        self,
        addresses: list[addresses.Address],
        message: messages.PeerMessage,
    ) -> None:
        """Sends one message to many; it is encoded once."""
        if self.transport is None or self.transport.is_closing():
            return
        data = peer_codec.encode(self.me, message)
        kind = type(message).__name__
        size = len(data) * len(addresses)
        self.metrics.count(f"peer.sent_bytes.{kind}", size)
        self.metrics.count(f"peer.sent.{kind}", len(addresses))
        for address in addresses:
            self.transport.sendto(data, (address.host, address.port))

    def close(self) -> None:
        """Closes the socket."""
        if self.transport is not None:
            self.transport.close()


async def open_link(link: PeerLink, address: addresses.Address) -> None:
    """Opens the link's socket. Raises OSError if the address is taken."""
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(
        lambda: link, local_addr=(address.host, address.port)
    )
