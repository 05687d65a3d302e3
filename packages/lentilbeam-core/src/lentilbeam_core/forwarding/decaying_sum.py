"""Sums whose items lose weight exponentially with age."""

import dataclasses
import math


@dataclasses.dataclass(slots=True)
class DecayingSum:
    """A sum whose items lose weight exponentially with age."""

    value: float = 0.0
    at: float = 0.0

    def read(self, now: float, decay_s: float) -> float:
        """Returns the sum as of `now`."""
        return self.value * math.exp(-max(now - self.at, 0.0) / decay_s)

    def add(self, amount: float, now: float, decay_s: float) -> None:
        """Adds an item."""
        self.value = self.read(now, decay_s) + amount
        self.at = now
