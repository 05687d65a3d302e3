"""Estimates of how long received bytes have waited to be read."""

import asyncio
import time

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import poll_times as poll_times_lib
from lentilbeam_router import event_loop


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
