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
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = itertools.count()

    def at(self, time: float, callback: Callable[[], None]) -> None:
        """Schedules `callback` for `time`, or for now if that has passed."""
        entry = (max(time, self.now), next(self._serial), callback)
        heapq.heappush(self._heap, entry)

    def after(self, delay: float, callback: Callable[[], None]) -> None:
        """Schedules `callback` to run in `delay` seconds."""
        self.at(self.now + delay, callback)

    def every(
        self, period: float, callback: Callable[[], None], start: float = 0.0
    ) -> None:
        """Schedules `callback` every `period` seconds, first at `start`."""

        def fire() -> None:
            callback()
            self.after(period, fire)

        self.at(start, fire)

    def run(self, until: float) -> None:
        """Runs all callbacks due up to and including the time `until`."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        self.now = until
