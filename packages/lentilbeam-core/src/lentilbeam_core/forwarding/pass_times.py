"""Measures how far apart the passes over a queue are."""

from lentilbeam_core.forwarding import decayed

RATE_DECAY_S = 1.0
"""Time constant of the rate of passes, in seconds."""
INTERVAL_WEIGHT = 0.1
"""Weight of a pass in the mean time for which requests wait for one."""


class PassTimes:
    """Times of the passes over a queue.

    Attributes:
        interval_s: mean time for which requests waited for the next pass, in
            seconds. Times without waiting requests do not count.
        waiting_since: since when requests have waited for the next pass,
            monotonic seconds; None if none wait.
    """

    def __init__(self):
        self.interval_s = 0.0
        self.waiting_since: float | None = None
        self._passes = decayed.DecayingSum()

    def note_waiting(self, now: float) -> None:
        """Records that requests wait for the next pass."""
        if self.waiting_since is None:
            self.waiting_since = now

    def note_pass(self, now: float, is_waiting: bool) -> None:
        """Records a pass.

        Args:
            now: monotonic seconds.
            is_waiting: whether it left requests in the queue.
        """
        if self.waiting_since is not None:
            waited_s = now - self.waiting_since
            self.interval_s += (waited_s - self.interval_s) * INTERVAL_WEIGHT
        self._passes.add(1.0, now, RATE_DECAY_S)
        self.waiting_since = now if is_waiting else None

    def read_rate(self, now: float) -> float:
        """Returns the recent number of passes per second."""
        return self._passes.read(now, RATE_DECAY_S) / RATE_DECAY_S
