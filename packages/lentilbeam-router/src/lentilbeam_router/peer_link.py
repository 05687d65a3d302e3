"""UDP transport of messages between routers."""

import asyncio
from collections.abc import Callable
import socket

from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_router import addresses
from lentilbeam_router import metrics as metrics_lib
from lentilbeam_router import peer_codec

MAX_READ_TOGETHER = 64
"""Number of datagrams that are read in one iteration of the event loop. The
loop itself reads one, and a busy router has few iterations a second."""

Receive = Callable[[ids.InstanceId, messages.PeerMessage], None]


class PeerLink(asyncio.DatagramProtocol):
    """Sends and receives peer messages; delivery is not guaranteed.

    Attributes:
        own_name: name of this router, sent with each message.
        receive: called with the sender and the message of each datagram.
        metrics: counts messages, bytes and errors.
        transport: the socket, or None before it is open.
        sock: the same socket, to read the datagrams that wait; None if the
            event loop alone reads.
    """

    def __init__(
        self,
        own_name: ids.InstanceId,
        receive: Receive,
        metrics: metrics_lib.Metrics,
    ):
        self.own_name = own_name
        self.receive = receive
        self.metrics = metrics
        self.transport: asyncio.DatagramTransport | None = None
        self.sock: socket.socket | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Stores the transport of the opened socket."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Receives a datagram, and those that wait behind it."""
        del addr
        self._receive_one(data)
        if self.sock is None:
            return
        for _ in range(MAX_READ_TOGETHER - 1):
            try:
                data = self.sock.recv(peer_codec.MAX_DATAGRAM_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                self.error_received(error)
                return
            self._receive_one(data)

    def _receive_one(self, data: bytes) -> None:
        """Passes a datagram's message to `receive`; counts undecodable ones."""
        try:
            sender, message = peer_codec.decode(data)
        except peer_codec.PeerCodecError:
            self.metrics.count("peer.undecodable")
            return
        self.metrics.count("peer.received_bytes", len(data))
        self.receive(sender, message)

    def error_received(self, exc: Exception) -> None:
        """Counts an error that the operating system reports for a past send."""
        del exc
        self.metrics.count("peer.socket_errors")

    def send(
        self, address: addresses.Address, message: messages.PeerMessage
    ) -> None:
        """Sends a message and counts it by message type.

        Does nothing if the socket is not open.
        """
        if self.transport is None or self.transport.is_closing():
            return
        data = peer_codec.encode(self.own_name, message)
        kind = type(message).__name__
        self.metrics.count(f"peer.sent_bytes.{kind}", len(data))
        self.metrics.count(f"peer.sent.{kind}")
        self.transport.sendto(data, (address.host, address.port))

    def broadcast(
        self,
        receivers: list[addresses.Address],
        message: messages.PeerMessage,
    ) -> None:
        """Sends one message to several receivers, encoding it only once.

        Does nothing if the socket is not open.
        """
        if self.transport is None or self.transport.is_closing():
            return
        data = peer_codec.encode(self.own_name, message)
        kind = type(message).__name__
        size = len(data) * len(receivers)
        self.metrics.count(f"peer.sent_bytes.{kind}", size)
        self.metrics.count(f"peer.sent.{kind}", len(receivers))
        for address in receivers:
            self.transport.sendto(data, (address.host, address.port))

    def close(self) -> None:
        """Closes the socket if it is open."""
        self.sock = None
        if self.transport is not None:
            self.transport.close()


async def open_link(link: PeerLink, address: addresses.Address) -> None:
    """Opens the link's socket on a local address.

    Raises:
        OSError: the address is invalid or in use.
    """
    loop = asyncio.get_running_loop()
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_DGRAM)
    try:
        sock.setblocking(False)
        sock.bind((address.host, address.port))
        await loop.create_datagram_endpoint(lambda: link, sock=sock)
    except OSError:
        sock.close()
        raise
    link.sock = sock
