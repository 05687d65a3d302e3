"""An asyncio event loop in simulated time.

The loop never waits: if no callback is ready, it advances the clock to the
next timer.
"""

import asyncio
from collections.abc import Coroutine
import datetime
import selectors
from typing import Any

from lentilbeam_core import clock as clock_lib

START = datetime.datetime(2026, 1, 5, 9, 0, tzinfo=datetime.UTC)


class _ClockAdvancingSelector(selectors.DefaultSelector):
    """Advances the clock by the timeout instead of waiting."""

    def __init__(self, clock: clock_lib.ManualClock):
        super().__init__()
        self.clock = clock

    def select(self, timeout: float | None = None) -> list:
        """Returns the ready events without blocking.

        Args:
            timeout: seconds until the next timer; None if there is no timer.

        Raises:
            RuntimeError: nothing is ready and there is no timer, so that the
                loop would wait forever.
        """
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError("deadlock: no task is ready and no timer is set")
        self.clock.advance(max(0.0, timeout))
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop that runs on a `ManualClock`.

    Its tasks must not wait for real I/O, which the clock would outrun.
    """

    def __init__(self, clock: clock_lib.ManualClock):
        super().__init__(_ClockAdvancingSelector(clock))
        self.clock = clock

    def time(self) -> float:
        """Returns the clock's monotonic time in seconds."""
        return self.clock.monotonic()


def run(main: Coroutine[Any, Any, Any], clock: clock_lib.ManualClock) -> Any:
    """Runs a coroutine to completion in virtual time; returns its result."""
    with asyncio.Runner(loop_factory=lambda: VirtualTimeLoop(clock)) as runner:
        return runner.run(main)
