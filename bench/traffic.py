"""Counts the bytes of peer messages that routers send and receive."""

import collections
import dataclasses

from lentilbeam_core import hlc
from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_router import peer_codec

DATAGRAM_HEADER_BYTES = 28
"""Size of the IPv4 header and the UDP header."""

SAMPLE_STAMP = 1_700_000_000_000_000 << hlc.COUNTER_BITS
"""Time stamp for heartbeats; all stamps are encoded in the same number of
bytes."""


def measure_datagram(
    sender: ids.InstanceId, message: messages.PeerMessage
) -> int:
    """Returns the size of a message in bytes, with the datagram's headers."""
    if isinstance(message, messages.Heartbeat):
        message = dataclasses.replace(message, stamp=SAMPLE_STAMP)
    return DATAGRAM_HEADER_BYTES + len(peer_codec.encode(sender, message))


@dataclasses.dataclass(slots=True)
class TrafficMeter:
    """Counts bytes of peer messages by sender, receiver and message type.

    Attributes:
        start: virtual time in seconds at which counting begins.
        sent_bytes: bytes by sender.
        received_bytes: bytes by addressed router, including lost datagrams.
        bytes_by_type: bytes by message type.
        messages_by_type: number of datagrams by message type.
        cross_centre_bytes: bytes sent from one data centre to another.
        bytes_by_second: bytes by whole second of virtual time.
    """

    start: float
    sent_bytes: collections.Counter[ids.InstanceId] = dataclasses.field(
        default_factory=collections.Counter
    )
    received_bytes: collections.Counter[ids.InstanceId] = dataclasses.field(
        default_factory=collections.Counter
    )
    bytes_by_type: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    messages_by_type: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    cross_centre_bytes: int = 0
    bytes_by_second: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )

    def count(
        self,
        sender: ids.InstanceId,
        receiver: ids.InstanceId,
        message: messages.PeerMessage,
        crosses_data_centres: bool,
        now: float,
    ) -> None:
        """Counts one sent datagram, whether it arrives or not.

        Args:
            sender: router that sends the datagram.
            receiver: router that it is addressed to.
            message: the peer message in it.
            crosses_data_centres: whether sender and receiver are in different
                data centres.
            now: current virtual time in seconds.
        """
        if now < self.start:
            return
        size = measure_datagram(sender, message)
        type_name = type(message).__name__
        self.sent_bytes[sender] += size
        self.received_bytes[receiver] += size
        self.bytes_by_type[type_name] += size
        self.messages_by_type[type_name] += 1
        self.bytes_by_second[int(now)] += size
        if crosses_data_centres:
            self.cross_centre_bytes += size

    def compute_growth(self, end: float) -> float:
        """Returns the ratio of bytes in the second and first half of a run.

        Args:
            end: end of the run, in seconds.
        """
        middle = (self.start + end) / 2
        first = sum(n for s, n in self.bytes_by_second.items() if s < middle)
        total = sum(self.bytes_by_second.values())
        return (total - first) / first if first else 1.0
