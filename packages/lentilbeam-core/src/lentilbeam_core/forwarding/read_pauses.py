"""Decides when a router of a large fleet reads a busy feed of the store again.

Each call to the store has a price, and most records of a busy feed change
nothing: a target that runs on writes its entry again. Routers report how far
they have read a feed, and where the last record was that changed anything. A
few routers, the readers, read at short intervals. Every other router reads when
a peer reports a change, and otherwise puts its next read off for as long as
reports show that it has missed nothing.

Only reads count for that, never what reports of others have shown. So routers
can't keep each other waiting when none of them reaches the store.
"""

import dataclasses
import math
import random

from lentilbeam_core import ids

READERS = 8
"""Number of routers that don't put reads off. The first of them to read a
change does so 0.13 s after it on average."""
PAUSE_S = 1.2
"""Pause between two reads that are not put off, in seconds; a random part of
it, at least `MIN_PAUSE_PART`, for readers. Together with a read, which takes up
to 0.5 s, it stays below 2 s, within which a target that leaves must be known,
also by a router whose peers are silent."""
MIN_PAUSE_PART = 0.6
"""Readers that pause equally long read at the same moments: in a fleet whose
routers started together no read was then put off for longer than a pause."""
COMPLETE_S = 1.2
"""Time, in seconds, for which a router that is known to have missed nothing may
put off its next read. With 1.0 s, 61 routers, whose reports are 0.6 s apart,
made 2,051 calls in 45 s and 27 routers 695, with 1.2 s 1,798 and 527."""
COLD_PAUSE_S = 1.0
"""Pause of a router that must read records itself, in seconds, since it does
not know whether a target is warm. A record is then at most 1.5 s old when it is
read (`cold_targets.MAX_RECORD_DELAY_S`), of which a read takes up to 0.5 s."""
MAX_BREAK_S = 2.5
"""Longest time between two reads of a router that has read without a break, in
seconds. It is shorter than three heartbeats of a target, after which an entry
lapses while the store is away."""
MIN_UNBROKEN_S = 6.0
"""Time, in seconds, for which a router must have read without a break to know
that nothing has lapsed because the store was away: entries lapse after three
heartbeats, and running targets are back within two seconds."""
MAX_PAUSE_S = 10.0
"""Longest pause between two reads. The store keeps records for 20 s on the
known deployments."""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerRead:
    """How far a peer has read.

    Attributes:
        position: position up to which it has read.
        reported_at: when it last reported that, monotonic seconds.
    """

    position: int
    reported_at: float


class ReadPauses:
    """Pauses between a router's own reads of a feed.

    Attributes:
        own_position: position up to which this router has read.
        own_change: position after the last record that changed anything.
        rng: random numbers for pauses.
        read_at: time of this router's last read, monotonic seconds.
        unbroken_since: since when there was no break between two reads,
            monotonic seconds.
        reader_pause_s: pause after it if this router is a reader, in seconds.
        furthest_change: highest position after a change that a peer reported.
        complete_at: latest time up to which a peer's read has shown that this
            router knows all changes, monotonic seconds.
        peers: how far each peer has read.
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.reader_pause_s = PAUSE_S
        self.own_position = 0
        self.own_change = 0
        self.read_at = -math.inf
        self.unbroken_since = math.inf
        self.furthest_change = 0
        self.complete_at = -math.inf
        self.peers: dict[ids.InstanceId, PeerRead] = {}

    def note_read(self, position: int, is_changed: bool, now: float) -> None:
        """Records a read of this router.

        Args:
            position: position up to which it has read.
            is_changed: whether any record that was read changed anything.
            now: monotonic seconds.
        """
        self.own_position = max(self.own_position, position)
        if is_changed:
            self.own_change = self.own_position
        if now - self.read_at > MAX_BREAK_S:
            self.unbroken_since = now
        self.read_at = now
        self.reader_pause_s = PAUSE_S * self.rng.uniform(MIN_PAUSE_PART, 1.0)

    def is_read_without_break(self, now: float) -> bool:
        """Whether this router has read often enough, for `MIN_UNBROKEN_S`.

        Nothing that it sees removed can then have lapsed because the store was
        away.
        """
        return (
            now - self.read_at <= MAX_BREAK_S
            and now - self.unbroken_since >= MIN_UNBROKEN_S
        )

    def note_report(
        self, peer: ids.InstanceId, position: int, change: int, now: float
    ) -> None:
        """Records how far a peer has read.

        Args:
            peer: the peer.
            position: position up to which it has read.
            change: position after the last record that changed anything for
                it; 0 if it does not tell, so that any record may have.
            now: monotonic seconds.
        """
        change = change or position
        self.furthest_change = max(self.furthest_change, change)
        previous = self.peers.get(peer)
        self.peers[peer] = PeerRead(position, now)
        # The read that moved the position ended after the previous report.
        if (
            previous is not None
            and position > previous.position
            and change <= self.own_position
        ):
            self.complete_at = max(self.complete_at, previous.reported_at)

    def find_due(self, is_reader: bool, has_cold: bool) -> float:
        """Returns when this router reads the feed again, monotonic seconds.

        Args:
            is_reader: whether this router never puts reads off.
            has_cold: whether it does not know of a target whether it is warm.
        """
        if has_cold:
            return self.read_at + COLD_PAUSE_S
        if is_reader:
            return self.read_at + self.reader_pause_s
        due_at = self.read_at + PAUSE_S
        if self.furthest_change > self.own_position:
            return due_at
        due_at = max(due_at, self.complete_at + COMPLETE_S)
        return min(due_at, self.read_at + MAX_PAUSE_S)
