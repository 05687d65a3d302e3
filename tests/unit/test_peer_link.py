"""Datagrams that no router has sent."""

import asyncio

import pytest

from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_router import addresses
from lentilbeam_router import metrics as metrics_lib
from lentilbeam_router import peer_codec
from lentilbeam_router import peer_link

BEAT = messages.Heartbeat(
    incarnation=ids.Incarnation(1),
    leaving=False,
    is_ready=True,
    catalogue_offset=ids.Offset(3),
    interval_ms=100,
)
SENDER = ids.InstanceId("router-2")


@pytest.mark.parametrize("junk", [b"\xff" * 7, b"{}", b"\0" * 5000])
def test_undecodable_datagrams_are_counted_and_dropped(junk: bytes):
    metrics = metrics_lib.Metrics()
    sent = [junk, peer_codec.encode(SENDER, BEAT)]
    received, faults = asyncio.run(send(sent, metrics))
    assert faults == []
    assert metrics.counters["peer.undecodable"] == 1
    assert received == (SENDER, BEAT)


async def send(datagrams: list[bytes], metrics: metrics_lib.Metrics):
    """Returns the first message that came in and what the loop reported."""
    loop = asyncio.get_running_loop()
    received = loop.create_future()
    faults: list[dict] = []
    loop.set_exception_handler(lambda _, context: faults.append(context))
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
    return message, faults
