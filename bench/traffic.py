"""Sizes of peer messages and counts of what each router sent."""

import collections
import dataclasses

from lentilbeam_core import ids
from lentilbeam_core import messages

DATAGRAM_HEADER_BYTES = 28
"""Headers of IPv4 and UDP."""

MESSAGE_HEADER_BYTES = 24
WORKSPACE_ITEM_BYTES = 12
SLOT_ITEM_BYTES = 16
GRANT_ITEM_BYTES = 14


def estimate_size(message: messages.PeerMessage) -> int:
    """Returns the estimated size of the encoded message in bytes."""
    if isinstance(message, messages.DemandReport):
        size = MESSAGE_HEADER_BYTES + WORKSPACE_ITEM_BYTES * len(
            message.workspaces
        )
        return size + SLOT_ITEM_BYTES * len(message.slots)
    if isinstance(message, messages.GrantUpdate):
        return MESSAGE_HEADER_BYTES + GRANT_ITEM_BYTES * len(message.grants)
    return MESSAGE_HEADER_BYTES


def measure_datagram(message: messages.PeerMessage) -> int:
    """Returns the bytes that the message takes on a link."""
    return DATAGRAM_HEADER_BYTES + estimate_size(message)


@dataclasses.dataclass(slots=True)
class TrafficMeter:
    """Counts bytes of peer messages by sender, receiver and kind.

    Attributes:
        start: virtual time in seconds from which on bytes are counted.
        crossing: bytes that went from one data centre to another.
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
        size = measure_datagram(message)
        kind = type(message).__name__
        self.sent[sender] += size
        self.received[receiver] += size
        self.kinds[kind] += size
        self.counts[kind] += 1
        if crosses:
            self.crossing += size
