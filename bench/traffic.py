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
"""Time stamp for heartbeats; all stamps are encoded in equally many bytes."""


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
        sent: bytes by sender.
        received: bytes by addressed router, including lost datagrams.
        kinds: bytes by message type.
        counts: number of datagrams by message type.
        crossing: bytes sent from one data centre to another.
        seconds: bytes by whole second of virtual time.
    """

    start: float
    sent: collections.Counter[ids.InstanceId] = dataclasses.field(
        default_factory=collections.Counter
    )
    received: collections.Counter[ids.InstanceId] = dataclasses.field(
        default_factory=collections.Counter
    )
    kinds: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    crossing: int = 0
    seconds: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )

    def count(
        self,
        sender: ids.InstanceId,
        receiver: ids.InstanceId,
        message: messages.PeerMessage,
        crosses: bool,
        now: float,
    ) -> None:
        """Counts one sent datagram, whether it arrives or not.

        Args:
            sender: router that sends the datagram.
            receiver: router that it is addressed to.
            message: the peer message in it.
            crosses: whether sender and receiver are in different data
                centres.
            now: current virtual time in seconds.
        """
        if now < self.start:
            return
        size = measure_datagram(sender, message)
        kind = type(message).__name__
        self.sent[sender] += size
        self.received[receiver] += size
        self.kinds[kind] += size
        self.counts[kind] += 1
        self.seconds[int(now)] += size
        if crosses:
            self.crossing += size

    def growth(self, end: float) -> float:
        """Returns the ratio of bytes in the second and first half of a run.

        Args:
            end: end of the run, in seconds.
        """
        middle = (self.start + end) / 2
        first = sum(n for s, n in self.seconds.items() if s < middle)
        total = sum(self.seconds.values())
        return (total - first) / first if first else 1.0
