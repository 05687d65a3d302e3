"""Hybrid logical clock: wall-clock stamps that respect causality.

A stamp is an integer: microseconds since 1970 shifted left by `COUNTER_BITS`,
plus a counter that orders events within one microsecond. See "Logical
Physical Clocks" (Kulkarni et al., 2014).
"""

from lentilbeam_core import clock as clock_lib

COUNTER_BITS = 12
MAX_DRIFT_US = 60_000_000
"""Stamps further than this ahead of the local clock are ignored."""


class HybridClock:
    """Issues stamps that increase with each event and received message.

    Attributes:
        clock: source of the wall-clock time.
        last: the last stamp that was issued.
    """

    def __init__(self, clock: clock_lib.Clock):
        self.clock = clock
        self.last = 0

    def tick(self) -> int:
        """Returns a stamp for a new local event."""
        self.last = max(self.last + 1, self._wall())
        return self.last

    def observe(self, stamp: int) -> int:
        """Returns a stamp for the receipt of a message stamped `stamp`."""
        limit = self._wall() + (MAX_DRIFT_US << COUNTER_BITS)
        if stamp <= limit:
            self.last = max(self.last, stamp)
        return self.tick()

    def _wall(self) -> int:
        micros = int(self.clock.now().timestamp() * 1_000_000)
        return micros << COUNTER_BITS
