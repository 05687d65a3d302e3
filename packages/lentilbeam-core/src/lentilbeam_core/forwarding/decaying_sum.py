"""Sums whose items lose weight exponentially with age.

Times are monotonic seconds. `decay_s` is the time after which an item counts
1/e, in seconds.
"""

import dataclasses
import math


@dataclasses.dataclass(slots=True)
class DecayingSum:
    """A sum whose items lose weight exponentially with age."""

    value: float = 0.0
    updated_at: float = 0.0

    def read(self, now: float, decay_s: float) -> float:
        """Returns the sum as of `now`."""
        return self.value * math.exp(-max(now - self.updated_at, 0.0) / decay_s)

    def add(self, amount: float, now: float, decay_s: float) -> None:
        """Adds an item whose weight at `now` is `amount`."""
        self.value = self.read(now, decay_s) + amount
        self.updated_at = now
