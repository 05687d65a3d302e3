"""Counters and HDR histograms of one process."""

import collections

from hdrh import histogram as hdr

MAX_DURATION_US = 3_600_000_000
"""Longer durations are recorded as this value (one hour)."""

SIGNIFICANT_DIGITS = 2
"""Decimal digits to which the histograms resolve durations."""


class Metrics:
    """The counters and duration histograms of a process.

    Attributes:
        counters: values of the counters, by name.
        histograms: durations in microseconds, by name.
    """

    def __init__(self):
        self.counters: collections.Counter[str] = collections.Counter()
        self.histograms: dict[str, hdr.HdrHistogram] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Adds `amount` to the counter `name`."""
        self.counters[name] += amount

    def record_duration(self, name: str, seconds: float) -> None:
        """Records a duration, in seconds, in the histogram `name`."""
        if name not in self.histograms:
            self.histograms[name] = hdr.HdrHistogram(
                1, MAX_DURATION_US, SIGNIFICANT_DIGITS
            )
        micros = max(1, min(MAX_DURATION_US, int(seconds * 1_000_000)))
        self.histograms[name].record_value(micros)

    def export(self) -> dict[str, dict]:
        """Returns all values for JSON; histograms are encoded in base64."""
        encoded = {
            name: histogram.encode().decode("ascii")
            for name, histogram in self.histograms.items()
        }
        return {"counters": dict(self.counters), "histograms": encoded}
