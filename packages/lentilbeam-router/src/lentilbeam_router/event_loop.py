"""The event loop of a forwarding router, whose polls are timed."""

import asyncio
import selectors

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import poll_times as poll_times_lib

MIN_POLL_INTERVAL_S = 0.001
"""Shortest time, in seconds, between the end of a poll and the next one while
callbacks are ready. A callback that resumes a task would otherwise cost a poll
of its own, a second one for each event of a stream."""
MAX_DELAY_S = 0.02
"""Delay of a poll, in seconds, after which the loop polls in each iteration for
`CATCH_UP_S`. A caller that left meanwhile must be noticed before its request is
sent, and the end of a connection is read by the poll after that of its data."""
CATCH_UP_S = 0.1
"""See `MAX_DELAY_S`."""


class TimedSelector(selectors.DefaultSelector):
    """A selector that records the times of its polls.

    While callbacks are ready, the event loop asks without waiting. The system
    is then polled only if the last poll ended `MIN_POLL_INTERVAL_S` ago, or if
    the loop was late a moment ago.

    Attributes:
        clock: source of monotonic time.
        poll_times: the recorded times.
        polls_always_until: until when the system is polled in each iteration,
            monotonic seconds.
    """

    def __init__(self, clock: clock_lib.Clock):
        super().__init__()
        self.clock = clock
        self.poll_times = poll_times_lib.PollTimes(clock.monotonic())
        self.polls_always_until = 0.0

    def select(self, timeout: float | None = None):
        """Waits for events; see `selectors.BaseSelector.select`."""
        entered_at = self.clock.monotonic()
        times = self.poll_times
        if (
            timeout is not None
            and timeout <= 0
            and entered_at - times.returned_at < MIN_POLL_INTERVAL_S
            and entered_at >= self.polls_always_until
        ):
            times.note_no_poll()
            return []
        events = super().select(timeout)
        times.note_poll(entered_at, self.clock.monotonic(), timeout)
        if times.returned_at - times.read_until > MAX_DELAY_S:
            self.polls_always_until = times.returned_at + CATCH_UP_S
        return events


def build_runner(selector: TimedSelector) -> asyncio.Runner:
    """Returns a runner whose event loop uses the selector."""
    return asyncio.Runner(
        loop_factory=lambda: asyncio.SelectorEventLoop(selector)
    )
