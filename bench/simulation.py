"""A discrete-event loop in virtual time."""

from collections.abc import Callable
import heapq
import itertools


class Simulation:
    """Runs callbacks in the order of their virtual times, in seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = itertools.count()

    def at(self, time: float, callback: Callable[[], None]) -> None:
        """Runs `callback` at `time`, or at once if that has passed."""
        entry = (max(time, self.now), next(self._serial), callback)
        heapq.heappush(self._heap, entry)

    def after(self, delay: float, callback: Callable[[], None]) -> None:
        """Runs `callback` in `delay` seconds."""
        self.at(self.now + delay, callback)

    def every(
        self, period: float, callback: Callable[[], None], start: float = 0.0
    ) -> None:
        """Runs `callback` each `period` seconds from `start` on."""

        def fire() -> None:
            callback()
            self.after(period, fire)

        self.at(start, fire)

    def run(self, until: float) -> None:
        """Runs all callbacks that are due up to the time `until`."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        self.now = until
