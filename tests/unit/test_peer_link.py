"""Tests that a router drops datagrams that it can't decode."""

import asyncio

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
