"""Utilisation of slots over the instants at which work waits."""

import dataclasses

BIN_S = 0.1
WINDOW_S = 2.0
FULL_SHARE = 0.99
"""A window counts if work waited for this share of it."""


@dataclasses.dataclass(slots=True)
class Bin:
    """Slot-seconds within one bin of time, while work waited."""

    busy: float = 0.0
    available: float = 0.0
    waiting_s: float = 0.0


class UtilisationMeter:
    """Integrates busy and available slots from the time `start` on."""

    def __init__(self, start: float):
        self.start = start
        self.now = 0.0
        self.busy = 0
        self.available = 0
        self.is_waiting = False
        self.bins: list[Bin] = []

    def set_state(
        self, busy: int, available: int, is_waiting: bool, now: float
    ) -> None:
        """Sets the slots in use and in service from `now` on."""
        self.advance(now)
        self.busy = busy
        self.available = available
        self.is_waiting = is_waiting

    def advance(self, now: float) -> None:
        """Integrates up to `now`, in seconds."""
        time = max(self.now, self.start)
        while time < now:
            step = int(time / BIN_S + 1e-9)
            end = min(now, (step + 1) * BIN_S)
            self._add(step, end - time)
            time = end
        self.now = max(self.now, now)

    def overall(self) -> float:
        """Returns busy over available slot time while work waited."""
        return _ratio(self.bins)

    def worst_window(self, start: float, end: float) -> float:
        """Returns the least utilisation of any window that meets a span.

        A window lasts `WINDOW_S` and begins within `start` to `end`, in
        seconds. Returns 1.0 if there is none in which work always waited.
        """
        width = round(WINDOW_S / BIN_S)
        first = max(0, int(start / BIN_S))
        last = min(len(self.bins) - width, int(end / BIN_S))
        worst = 1.0
        for step in range(first, last + 1):
            window = self.bins[step : step + width]
            waited = sum(item.waiting_s for item in window)
            if waited >= FULL_SHARE * WINDOW_S:
                worst = min(worst, _ratio(window))
        return worst

    def _add(self, step: int, seconds: float) -> None:
        while len(self.bins) <= step:
            self.bins.append(Bin())
        if self.is_waiting:
            item = self.bins[step]
            item.busy += self.busy * seconds
            item.available += self.available * seconds
            item.waiting_s += seconds


class TimeAverage:
    """Averages a number over time from `start` on, in seconds."""

    def __init__(self, start: float):
        self.start = start
        self.now = start
        self.value = 0.0
        self.area = 0.0

    def set_value(self, value: float, now: float) -> None:
        """Sets the number from `now` on."""
        if now > self.now:
            self.area += self.value * (now - self.now)
            self.now = now
        self.value = value

    def average(self) -> float:
        """Returns the average up to the last change."""
        elapsed = self.now - self.start
        return self.area / elapsed if elapsed else 0.0


def _ratio(bins: list[Bin]) -> float:
    available = sum(item.available for item in bins)
    busy = sum(item.busy for item in bins)
    return busy / available if available else 1.0
