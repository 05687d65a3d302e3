"""Error of an estimate of durations, relative to what they were."""

from lentilbeam_core.forwarding import decayed

DECAY_S = 20.0
"""Time constant of the exponential decay of samples, in seconds."""
MIN_SAMPLES = 10.0
"""Decayed number of samples below which an estimate is trusted; the first ones
are those from which it is learned."""


class EstimateError:
    """Mean absolute error of an estimate over its mean result.

    0 is exact; an estimate that is always 0 has 1.

    Attributes:
        deviation_s: decayed sum of absolute errors, in seconds.
        actual_s: decayed sum of the durations, in seconds.
        samples: decayed number of samples.
    """

    def __init__(self):
        self.deviation_s = decayed.DecayingSum()
        self.actual_s = decayed.DecayingSum()
        self.samples = decayed.DecayingSum()

    def add(self, expected_s: float, actual_s: float, now: float) -> None:
        """Adds a sample.

        Args:
            expected_s: the estimate, in seconds.
            actual_s: the duration, in seconds.
            now: monotonic seconds.
        """
        self.deviation_s.add(abs(expected_s - actual_s), now, DECAY_S)
        self.actual_s.add(actual_s, now, DECAY_S)
        self.samples.add(1.0, now, DECAY_S)

    def read(self, now: float) -> float:
        """Returns the error; 0 without samples."""
        actual_s = self.actual_s.read(now, DECAY_S)
        if actual_s <= 0.0:
            return 0.0
        return self.deviation_s.read(now, DECAY_S) / actual_s

    def is_above(self, bound: float, now: float) -> bool:
        """Whether the error is above a bound, by enough samples."""
        if self.samples.read(now, DECAY_S) < MIN_SAMPLES:
            return False
        return self.read(now) > bound
