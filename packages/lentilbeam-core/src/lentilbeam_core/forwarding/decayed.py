"""Sums whose items decay exponentially with their age."""

import dataclasses
import math


@dataclasses.dataclass(slots=True)
class DecayingSum:
    """A sum whose items decay exponentially with their age.

    Attributes:
        value: the sum as of `updated_at`.
        updated_at: when an item was last added, monotonic seconds.
    """

    value: float = 0.0
    updated_at: float = 0.0

    def read(self, now: float, decay_s: float) -> float:
        """Returns the sum as of `now`.

        Args:
            now: monotonic seconds.
            decay_s: time constant of the exponential decay, in seconds.
        """
        age_s = now - self.updated_at
        if age_s <= 0.0:
            return self.value
        return self.value * math.exp(-age_s / decay_s)

    def add(self, amount: float, now: float, decay_s: float) -> None:
        """Adds an item.

        Args:
            amount: weight of the item at `now`.
            now: monotonic seconds.
            decay_s: time constant of the exponential decay, in seconds.
        """
        self.value = self.read(now, decay_s) + amount
        self.updated_at = now
