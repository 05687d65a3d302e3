"""Estimates of how long received bytes have waited to be read."""

import asyncio
import time

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import poll_times as poll_times_lib
from lentilbeam_router import event_loop
from tests import virtual_time


def test_busy_loop_reads_late_by_the_time_since_its_last_poll():
    times = poll_times_lib.PollTimes(0.0)
    times.note_poll(1.5, 1.5, 0.0)
    assert times.read_until == 0.0


def test_wait_for_events_is_no_delay():
    times = poll_times_lib.PollTimes(0.0)
    times.note_poll(0.25, 4.25, None)
    assert times.read_until == 4.0
    times.note_poll(4.25, 4.5, 1.0)
    assert times.read_until == 4.5


def test_poll_that_ends_after_its_timeout_is_a_delay():
    times = poll_times_lib.PollTimes(0.0)
    times.note_poll(0.0, 3.0, 0.5)
    assert times.read_until == 0.5


def test_polls_before_the_last_are_kept():
    times = poll_times_lib.PollTimes(0.0)
    for at in (1.0, 2.0, 3.0):
        times.note_poll(at, at, 0.0)
    assert times.read_until == 2.0
    assert times.before_read_until == (1.0, 0.0)


def test_selector_records_the_polls_of_its_event_loop():
    selector = event_loop.TimedSelector(clock_lib.SystemClock())

    async def block():
        asyncio.get_running_loop().call_soon(time.sleep, 0.2)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return time.monotonic() - selector.poll_times.read_until

    with event_loop.build_runner(selector) as runner:
        assert runner.run(block()) >= 0.19


def test_iteration_without_a_poll_keeps_the_time_of_what_was_read():
    """A new connection would count as older or younger than it is."""
    times = poll_times_lib.PollTimes(0.0)
    times.note_poll(0.0, 3.0, None)
    times.note_no_poll()
    times.note_no_poll()
    assert times.read_until == 3.0
    assert times.before_read_until == (3.0, 3.0)
    assert times.returned_at == 3.0


def count_polls(selector, timeouts):
    """Returns how often the system is polled by selects with timeouts."""
    polls = 0
    for timeout in timeouts:
        returned_at = selector.poll_times.returned_at
        selector.clock.advance(event_loop.MIN_POLL_INTERVAL_S / 10)
        selector.select(timeout)
        polls += selector.poll_times.returned_at != returned_at
    return polls


def make_selector():
    clock = clock_lib.ManualClock(virtual_time.START)
    return event_loop.TimedSelector(clock)


def test_ready_callbacks_cost_no_polls_of_their_own():
    selector = make_selector()
    selector.clock.advance(0.5 * event_loop.MAX_DELAY_S)
    selector.select(0.0)
    assert count_polls(selector, [0.0] * 8) == 0
    assert count_polls(selector, [0.0] * 20) == 2
    assert count_polls(selector, [1e-9] * 5) == 5


def test_late_loop_polls_in_each_iteration():
    """Requests of callers that left during a stall would be sent."""
    selector = make_selector()
    selector.clock.advance(2 * event_loop.MAX_DELAY_S)
    selector.select(0.0)
    assert count_polls(selector, [0.0] * 8) == 8
    selector.clock.advance(event_loop.CATCH_UP_S)
    selector.select(0.0)
    # That was a delay itself.
    assert count_polls(selector, [0.0] * 8) == 8
