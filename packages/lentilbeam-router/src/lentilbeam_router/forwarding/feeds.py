"""What the platform's store tells a router, and how far it was read."""

import asyncio
import dataclasses

from lentilbeam_core import ids
from lentilbeam_core.forwarding import feed_lag
from lentilbeam_router import addresses


@dataclasses.dataclass(frozen=True, slots=True)
class RouterEntry:
    """A router as it listed itself.

    Attributes:
        name: the instance.
        data_centre: where it is.
        front: where callers connect.
        peer: where it receives datagrams of its peers.
    """

    name: ids.InstanceId
    data_centre: ids.DataCentreId
    front: addresses.Address
    peer: addresses.Address


class FeedWatch:
    """Wakes the reader of a feed that has fallen behind its peers.

    Attributes:
        lag: how far this router and its peers have read.
        must_reread: set when the feed is to be read anew.
    """

    def __init__(self, patience_s: float):
        self.lag = feed_lag.FeedLag(patience_s)
        self.must_reread = asyncio.Event()

    def hear(self, position: int, now: float) -> bool:
        """Takes in a peer's position; tells whether the reader was woken."""
        self.lag.note_peer_position(position, now)
        if not self.lag.check_reread_due(now):
            return False
        self.must_reread.set()
        return True
