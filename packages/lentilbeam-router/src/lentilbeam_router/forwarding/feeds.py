"""Router entries of the platform's store, and the lag of its feeds."""

import asyncio
from collections.abc import Iterator
import contextlib
import dataclasses

from lentilbeam_core import ids
from lentilbeam_core.forwarding import feed_lag
from lentilbeam_router import addresses


@dataclasses.dataclass(frozen=True, slots=True)
class RouterEntry:
    """A router's own entry in the store.

    Attributes:
        name: ID of the router.
        data_centre: the data centre that it runs in.
        front: address on which callers connect.
        peer: UDP address on which it receives reports of its peers.
        follows_rules: whether its software lets rules choose the versions at
            which streams begin.
    """

    name: ids.InstanceId
    data_centre: ids.DataCentreId
    front: addresses.Address
    peer: addresses.Address
    follows_rules: bool = True


class FeedWatch:
    """Tells the reader of a feed to read again if it is behind for too long.

    Attributes:
        lag: positions up to which this router and its peers have read.
        must_reread: set when the reader must read the feed again on a new
            connection.
        is_held: whether the reader pauses, so that peers may have read further
            although no connection is broken.
    """

    def __init__(self, max_lag_s: float):
        self.lag = feed_lag.FeedLag(max_lag_s)
        self.must_reread = asyncio.Event()
        self.is_held = False

    @contextlib.contextmanager
    def hold(self) -> Iterator[None]:
        """Counts the time behind peers only from the end of this context."""
        self.is_held = True
        try:
            yield
        finally:
            self.is_held = False

    def note_peer_position(self, position: int, now: float) -> bool:
        """Records a peer's position; returns whether it set `must_reread`.

        Args:
            position: position up to which the peer has read the feed.
            now: monotonic seconds.
        """
        self.lag.note_peer_position(position, now)
        if self.is_held:
            self.lag.restart_timer(now)
            return False
        if not self.lag.take_due_reread(now):
            return False
        self.must_reread.set()
        return True
