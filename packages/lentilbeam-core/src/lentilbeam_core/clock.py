"""Clock interface for time-dependent code, and its implementations."""

import datetime
import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic and wall-clock time."""

    def monotonic(self) -> float:
        """Returns the time of a clock that never goes back, in seconds."""

    def now(self) -> datetime.datetime:
        """Returns the wall-clock time in UTC."""


class SystemClock:
    """The clock of the operating system."""

    def monotonic(self) -> float:
        """Returns the seconds since an arbitrary point in time."""
        return time.monotonic()

    def now(self) -> datetime.datetime:
        """Returns the wall-clock time in UTC."""
        return datetime.datetime.now(datetime.UTC)


class ManualClock:
    """A clock that is advanced explicitly, for tests and emulation.

    Attributes:
        start: wall-clock time at the start.
        elapsed_s: seconds advanced so far.
    """

    def __init__(self, start: datetime.datetime):
        self.start = start
        self.elapsed_s = 0.0

    def monotonic(self) -> float:
        """Returns the number of seconds advanced so far."""
        return self.elapsed_s

    def now(self) -> datetime.datetime:
        """Returns the start time plus the seconds advanced so far."""
        return self.start + datetime.timedelta(seconds=self.elapsed_s)

    def advance(self, seconds: float) -> None:
        """Advances the clock by `seconds`."""
        self.elapsed_s += seconds
