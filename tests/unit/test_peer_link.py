"""Tests of the datagrams between routers."""

import asyncio
import socket

import pytest

from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_router import addresses
from lentilbeam_router import metrics as metrics_lib
from lentilbeam_router import peer_codec
from lentilbeam_router import peer_link

HEARTBEAT = messages.Heartbeat(
    incarnation=ids.Incarnation(1),
    leaving=False,
    is_ready=True,
    catalogue_offset=ids.Offset(3),
    interval_ms=100,
)
SENDER = ids.InstanceId("router-2")


@pytest.mark.parametrize("invalid", [b"\xff" * 7, b"{}", b"\0" * 5000])
def test_undecodable_datagrams_are_counted_and_dropped(invalid: bytes):
    metrics = metrics_lib.Metrics()
    sent = [invalid, peer_codec.encode(SENDER, HEARTBEAT)]
    received, errors = asyncio.run(send(sent, metrics))
    assert errors == []
    assert metrics.counters["peer.undecodable"] == 1
    assert received == (SENDER, HEARTBEAT)


async def send(datagrams: list[bytes], metrics: metrics_lib.Metrics):
    """Sends datagrams to a peer link until it receives a message.

    Args:
        datagrams: the datagrams; at least one must be a valid message.
        metrics: metrics of the link.

    Returns:
        The first (sender, message) that the link received, and the contexts
        of the exceptions that reached the event loop.
    """
    loop = asyncio.get_running_loop()
    received = loop.create_future()
    errors: list[dict] = []
    loop.set_exception_handler(lambda _, context: errors.append(context))
    link = peer_link.PeerLink(
        ids.InstanceId("router-1"),
        lambda *message: received.set_result(message),
        metrics,
    )
    await peer_link.open_link(link, addresses.Address("127.0.0.1", 0))
    address = link.transport.get_extra_info("sockname")
    sender, _ = await loop.create_datagram_endpoint(
        asyncio.DatagramProtocol, remote_addr=address
    )
    for datagram in datagrams:
        sender.sendto(datagram)
    message = await received
    sender.close()
    link.close()
    return message, errors


# Guards against FAIR: while a router handled requests, it read one datagram in
# each iteration of its event loop. Reports waited longer and longer.
def test_datagrams_that_wait_are_read_together():
    count = 50
    received = asyncio.run(send_while_busy(count))
    assert received == count


async def send_while_busy(count: int) -> int:
    """Sends datagrams to a peer link whose event loop doesn't run meanwhile.

    Returns:
        The number of messages that the link received in five iterations.
    """
    received = []
    link = peer_link.PeerLink(
        ids.InstanceId("router-1"),
        lambda *message: received.append(message),
        metrics_lib.Metrics(),
    )
    await peer_link.open_link(link, addresses.Address("127.0.0.1", 0))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.connect(link.transport.get_extra_info("sockname"))
        for _ in range(count):
            sender.send(peer_codec.encode(SENDER, HEARTBEAT))
        for _ in range(5):
            await asyncio.sleep(0)
    link.close()
    return len(received)
