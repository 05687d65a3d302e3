"""An asyncio event loop whose time jumps to the next timer at once."""

import asyncio
from collections.abc import Coroutine
import datetime
import selectors
from typing import Any

from lentilbeam_core import clock as clock_lib

START = datetime.datetime(2026, 1, 5, 9, 0, tzinfo=datetime.UTC)


class _JumpingSelector(selectors.DefaultSelector):
    """Advances the clock instead of waiting."""

    def __init__(self, clock: clock_lib.ManualClock):
        super().__init__()
        self.clock = clock

    def select(self, timeout: float | None = None) -> list:
        """Returns what is ready now; a wait without end is a deadlock."""
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError("all tasks wait for something that never comes")
        self.clock.advance(max(0.0, timeout))
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs on a `ManualClock`; nothing in it may wait for real I/O."""

    def __init__(self, clock: clock_lib.ManualClock):
        super().__init__(_JumpingSelector(clock))
        self.clock = clock

    def time(self) -> float:
        """Returns the clock's seconds."""
        return self.clock.monotonic()


def run(main: Coroutine[Any, Any, Any], clock: clock_lib.ManualClock) -> Any:
    """Runs a coroutine to its end in virtual time; returns its result."""
    with asyncio.Runner(loop_factory=lambda: VirtualLoop(clock)) as runner:
        return runner.run(main)
