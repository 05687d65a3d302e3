"""Utilisation of slots, measured only while requests are waiting."""

import dataclasses

BIN_S = 0.1
WINDOW_S = 2.0
MIN_WAITING_FRACTION = 0.99
"""Minimum fraction of a window during which requests must be waiting for the
window to count."""


@dataclasses.dataclass(slots=True)
class TimeBin:
    """Slot time within one time bin, counted while requests were waiting.

    Attributes:
        busy: occupied slots, integrated over time, in slot-seconds.
        available: slots in service, integrated over time, in slot-seconds.
        waiting_s: time for which requests were waiting.
    """

    busy: float = 0.0
    available: float = 0.0
    waiting_s: float = 0.0


class UtilisationMeter:
    """Integrates busy and available slots from `start` on, in seconds."""

    def __init__(self, start: float):
        self.start = start
        self.now = 0.0
        self.busy = 0
        self.available = 0
        self.is_waiting = False
        self.bins: list[TimeBin] = []

    def set_state(
        self, busy: int, available: int, is_waiting: bool, now: float
    ) -> None:
        """Sets the state from `now` on.

        Args:
            busy: number of occupied slots.
            available: number of slots in service.
            is_waiting: whether requests are waiting for slots.
            now: current time in seconds.
        """
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

    def get_overall(self) -> float:
        """Returns the utilisation since `start` while requests were waiting.

        The utilisation is from 0 to 1.
        """
        return _compute_ratio(self.bins)

    def find_lowest_window(self, start: float, end: float) -> float:
        """Returns the lowest utilisation of any window in a time span.

        A window lasts `WINDOW_S` and begins between `start` and `end`, in
        seconds. Windows in which requests waited for less than
        `MIN_WAITING_FRACTION` of the time are skipped; returns 1.0 if no
        window is left.
        """
        width = round(WINDOW_S / BIN_S)
        first = max(0, int(start / BIN_S))
        last = min(len(self.bins) - width, int(end / BIN_S))
        lowest = 1.0
        for step in range(first, last + 1):
            window = self.bins[step : step + width]
            waiting_s = sum(time_bin.waiting_s for time_bin in window)
            if waiting_s >= MIN_WAITING_FRACTION * WINDOW_S:
                lowest = min(lowest, _compute_ratio(window))
        return lowest

    def _add(self, step: int, seconds: float) -> None:
        while len(self.bins) <= step:
            self.bins.append(TimeBin())
        if self.is_waiting:
            time_bin = self.bins[step]
            time_bin.busy += self.busy * seconds
            time_bin.available += self.available * seconds
            time_bin.waiting_s += seconds


class TimeAverage:
    """Time-weighted average of a value from `start` on, in seconds."""

    def __init__(self, start: float):
        self.start = start
        self.now = start
        self.value = 0.0
        self.integral = 0.0

    def set_value(self, value: float, now: float) -> None:
        """Sets the value from `now` on."""
        if now > self.now:
            self.integral += self.value * (now - self.now)
            self.now = now
        self.value = value

    def get_average(self) -> float:
        """Returns the average up to the last call of `set_value`."""
        elapsed = self.now - self.start
        return self.integral / elapsed if elapsed else 0.0


def _compute_ratio(bins: list[TimeBin]) -> float:
    available = sum(time_bin.available for time_bin in bins)
    busy = sum(time_bin.busy for time_bin in bins)
    return busy / available if available else 1.0
