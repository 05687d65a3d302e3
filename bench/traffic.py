"""Sizes of peer messages and counts of what each router sent."""

import collections
import dataclasses

from lentilbeam_core import hlc
from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_router import peer_codec

DATAGRAM_HEADER_BYTES = 28
"""Headers of IPv4 and UDP."""

SAMPLE_STAMP = 1_700_000_000_000_000 << hlc.COUNTER_BITS
"""What a driver would set; it takes as many bytes as any stamp."""


def measure_datagram(
    sender: ids.InstanceId, message: messages.PeerMessage
) -> int:
    """Returns the bytes that the encoded message takes on a link."""
    if isinstance(message, messages.Heartbeat):
        message = dataclasses.replace(message, stamp=SAMPLE_STAMP)
    return DATAGRAM_HEADER_BYTES + len(peer_codec.encode(sender, message))


@dataclasses.dataclass(slots=True)
class TrafficMeter:
    """Counts bytes of peer messages by sender, receiver and kind.

    Attributes:
        start: virtual time in seconds from which on bytes are counted.
        crossing: bytes that went from one data centre to another.
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
        """Counts one datagram that `sender` put on the link."""
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
        """Returns bytes of the second half of the run over the first."""
        middle = (self.start + end) / 2
        first = sum(n for s, n in self.seconds.items() if s < middle)
        total = sum(self.seconds.values())
        return (total - first) / first if first else 1.0
