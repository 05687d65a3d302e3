"""The event loop of a forwarding router, whose polls are timed."""

import asyncio
import selectors

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import poll_times as poll_times_lib


class TimedSelector(selectors.DefaultSelector):
    """A selector that records the times of its polls.

    Attributes:
        clock: source of monotonic time.
        poll_times: the recorded times.
    """

    def __init__(self, clock: clock_lib.Clock):
        super().__init__()
        self.clock = clock
        self.poll_times = poll_times_lib.PollTimes(clock.monotonic())

    def select(self, timeout: float | None = None):
        """Waits for events; see `selectors.BaseSelector.select`."""
        entered_at = self.clock.monotonic()
        events = super().select(timeout)
        self.poll_times.note_poll(entered_at, self.clock.monotonic(), timeout)
        return events


def build_runner(selector: TimedSelector) -> asyncio.Runner:
    """Returns a runner whose event loop uses the selector."""
    return asyncio.Runner(
        loop_factory=lambda: asyncio.SelectorEventLoop(selector)
    )
