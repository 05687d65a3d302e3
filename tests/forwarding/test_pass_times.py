"""Times between two passes over a queue, for the metrics."""

import pytest

from lentilbeam_core.forwarding import pass_times


# Guards against FAIR: a router whose queue waits for passes looks idle.
def test_time_counts_only_while_requests_wait():
    times = pass_times.PassTimes()
    now = 0.0
    for _ in range(100):
        now += 5.0
        times.note_waiting(now)
        times.note_waiting(now + 0.01)
        now += 0.03
        times.note_pass(now, is_waiting=True)
        now += 0.03
        times.note_pass(now, is_waiting=False)
    assert times.interval_s == pytest.approx(0.03, abs=0.001)


def test_rate_is_that_of_the_last_seconds():
    times = pass_times.PassTimes()
    for number in range(1000):
        times.note_pass(number * 0.02, is_waiting=False)
    assert times.read_rate(20.0) == pytest.approx(50.0, rel=0.05)
    assert times.read_rate(30.0) < 1.0
