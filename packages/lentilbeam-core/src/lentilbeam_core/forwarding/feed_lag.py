"""Tells when a feed of the store has fallen behind what peers have read.

A connection can go silent for good while new ones work. A long poll on such
a connection looks like a quiet feed; peers that are further on show that it
is not.
"""

import dataclasses
import math


@dataclasses.dataclass(slots=True)
class FeedLag:
    """How far this router and its peers have read one feed.

    Attributes:
        patience_s: a feed may be behind for this long: its reads are paused
            on purpose, and reports overtake answers.
        own: position up to which this router has read.
        furthest: highest position that a peer has reported.
        behind_since: when this router first was behind `furthest`.
    """

    max_lag_s: float
    own_position: int = 0
    furthest_peer_position: int = 0
    behind_since: float = math.inf

    def note_own_position(self, position: int) -> None:
        """Takes in that this router has read up to `position`."""
        self.own_position = max(self.own_position, position)
        if self.own_position >= self.furthest_peer_position:
            self.behind_since = math.inf

    def note_peer_position(self, position: int, now: float) -> None:
        """Takes in that a peer has read up to `position`."""
        self.furthest_peer_position = max(self.furthest_peer_position, position)
        if self.own_position < self.furthest_peer_position:
            self.behind_since = min(self.behind_since, now)

    def check_reread_due(self, now: float) -> bool:
        """Tells whether to read anew; then again after the patience only."""
        if now - self.behind_since < self.max_lag_s:
            return False
        self.behind_since = now
        return True
