"""Detects that this router reads a feed of the store more slowly than peers.

A connection can stop delivering data for good while new connections work. A
long poll on such a connection looks like a feed without changes. The positions
that peers report show that the feed has changed.
"""

import dataclasses
import math


@dataclasses.dataclass(slots=True)
class FeedLag:
    """Positions in one feed that this router and its peers have read up to.

    Attributes:
        max_lag_s: time in seconds for which the router may be behind its
            peers. Some lag is normal: the router pauses between reads, and a
            peer's report may arrive before the answer of the store.
        own_position: position up to which this router has read.
        furthest_peer_position: highest position that a peer has reported.
        reread_timer_started_at: when the router fell behind
            `furthest_peer_position`, or when `take_due_reread` last returned
            True, monotonic seconds; infinite if it isn't behind.
    """

    max_lag_s: float
    own_position: int = 0
    furthest_peer_position: int = 0
    reread_timer_started_at: float = math.inf

    def note_own_position(self, position: int) -> None:
        """Records that this router has read up to `position`."""
        self.own_position = max(self.own_position, position)
        if self.own_position >= self.furthest_peer_position:
            self.reread_timer_started_at = math.inf

    def note_peer_position(self, position: int, now: float) -> None:
        """Records that a peer has read up to `position`."""
        self.furthest_peer_position = max(self.furthest_peer_position, position)
        if self.own_position < self.furthest_peer_position:
            self.reread_timer_started_at = min(
                self.reread_timer_started_at, now
            )

    def restart_timer(self, now: float) -> None:
        """Counts the time for which this router is behind from now on."""
        if self.reread_timer_started_at < now:
            self.reread_timer_started_at = now

    def take_due_reread(self, now: float) -> bool:
        """Returns whether the feed must be read again on a new connection.

        If so, it restarts the timer: it returns False until another
        `max_lag_s` has passed.
        """
        if now - self.reread_timer_started_at < self.max_lag_s:
            return False
        self.reread_timer_started_at = now
        return True
