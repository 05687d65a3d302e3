"""A discrete-event simulation loop in virtual time."""

from collections.abc import Callable
import heapq
import itertools


class Simulation:
    """Runs callbacks in the order of their due times.

    Callbacks with the same due time run in the order in which they were
    scheduled.

    Attributes:
        now: current virtual time in seconds.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def call_at(self, time: float, callback: Callable[[], None]) -> None:
        """Schedules `callback` for `time`, or for now if that has passed."""
        entry = (max(time, self.now), next(self._sequence), callback)
        heapq.heappush(self._events, entry)

    def call_later(self, delay: float, callback: Callable[[], None]) -> None:
        """Schedules `callback` to run in `delay` seconds."""
        self.call_at(self.now + delay, callback)

    def call_every(
        self, period: float, callback: Callable[[], None], start: float = 0.0
    ) -> None:
        """Schedules `callback` every `period` seconds, first at `start`."""

        def run_and_reschedule() -> None:
            callback()
            self.call_later(period, run_and_reschedule)

        self.call_at(start, run_and_reschedule)

    def run(self, until: float) -> None:
        """Runs all callbacks due up to and including the time `until`."""
        while self._events and self._events[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = until
