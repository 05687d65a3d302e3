"""Until when a router that shuts down begins requests, and which."""

import pytest

from lentilbeam_core.forwarding import stop_schedule
from tests.forwarding import makers

GRACE_S = 8.0


def make_schedule(late_s=0.0, address_ttl_s=1.0, grace_s=GRACE_S):
    """Returns the schedule for a signal at 100 s that was noticed late."""
    return stop_schedule.plan(100.0, 100.0 + late_s, grace_s, address_ttl_s)


# Guards against LOST: a long TTL, a short grace period or a signal that is
# noticed late leaves no time for what was begun, or for the answers.
@pytest.mark.parametrize("late_s", [0.0, 0.5, 2.0, 7.0])
@pytest.mark.parametrize("address_ttl_s", [0.5, 1.0, 5.0])
@pytest.mark.parametrize("grace_s", [2.0, 8.0, 30.0])
def test_times_fit_in_the_grace_period(late_s, address_ttl_s, grace_s):
    late_s = min(late_s, grace_s / 2)
    schedule = make_schedule(late_s, address_ttl_s, grace_s)
    assert 100.0 < schedule.begins_until <= 100.0 + 0.375 * grace_s
    assert schedule.begins_until <= 100.0 + 3 * address_ttl_s
    assert schedule.ends_at < schedule.closes_at < 100.0 + grace_s
    assert schedule.ends_at >= 100.0 + late_s


# Guards against LOST: requests are cut before the last sixth of the grace
# period though the router has time.
def test_requests_are_waited_for_until_the_last_sixth():
    for late_s in (0.0, 0.3, 1.0):
        assert make_schedule(late_s).ends_at >= 100.0 + GRACE_S * 5 / 6


# Guards against LOST: a request that must not be repeated is begun although
# it may well take longer than is left.
@pytest.mark.parametrize(
    ("route", "deadline_s", "duration_s", "left_s", "can_end"),
    [
        (makers.BOOK, 1.5, None, 4.0, True),  # Its deadline tells.
        (makers.BOOK, 15.0, 1.0, 4.0, True),
        (makers.BOOK, 15.0, 2.0, 4.0, False),
        (makers.BOOK, 15.0, None, 4.0, True),  # Its goal of 0.6 s tells.
        (makers.BOOK, 15.0, None, 1.5, False),
        (makers.LOOK_UP, 15.0, 2.0, 4.0, True),
        (makers.LOOK_UP, 15.0, 3.0, 4.0, False),
        (makers.CHAT, 15.0, None, 1.5, True),
        (makers.CHAT, 15.0, 3.0, 4.0, False),
        (makers.CHAT, 0.1, 0.01, 0.0, False),
    ],
)
def test_what_can_end(route, deadline_s, duration_s, left_s, can_end):
    schedule = make_schedule()
    now = schedule.ends_at - left_s
    request = makers.make_request(
        "r", route=route, now=now, deadline_at=now + deadline_s
    )
    assert schedule.can_end(request, duration_s, now) is can_end
