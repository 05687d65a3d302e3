"""Hybrid logical clock: wall-clock stamps that never run against causality.

A stamp is one integer: microseconds since 1970 shifted left by
`COUNTER_BITS`, plus a counter for events within one microsecond. After
"Logical Physical Clocks" (Kulkarni et al., 2014).
"""

from lentilbeam_core import clock as clock_lib

COUNTER_BITS = 12
MAX_DRIFT_US = 60_000_000
"""A peer's stamp further ahead than this is not followed."""


class HybridClock:
    """Gives stamps that grow with every event and every message seen."""

    def __init__(self, clock: clock_lib.Clock):
        self.clock = clock
        self.last = 0

    def tick(self) -> int:
        """Returns the stamp of a new local event."""
        self.last = max(self.last + 1, self._wall())
        return self.last

    def observe(self, stamp: int) -> int:
        """Returns the stamp of receiving a message stamped `stamp`."""
        limit = self._wall() + (MAX_DRIFT_US << COUNTER_BITS)
        if stamp <= limit:
            self.last = max(self.last, stamp)
        return self.tick()

    def _wall(self) -> int:
        micros = int(self.clock.now().timestamp() * 1_000_000)
        return micros << COUNTER_BITS
