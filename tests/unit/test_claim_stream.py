"""When a router tries to append to a log that was away."""

from lentilbeam_core import claim_events
from lentilbeam_core import claim_stream
from lentilbeam_core import ids

UNKNOWN = claim_events.AppendAnswer.UNKNOWN
PAGE = claim_events.PageRead((), ids.Offset(1), ids.Offset(1))


def make_stream_after_outage(has_failed_read: bool):
    """Returns a stream whose appends failed for some seconds."""
    stream = claim_stream.ClaimStream(claim_events.Settings())
    for now in (0.0, 1.0, 3.0, 7.0):
        stream.start_append((), now)
        stream.end_append(UNKNOWN, now)
    stream.start_read(1.0, 7.0)
    if has_failed_read:
        stream.fail_read(7.5)
        stream.start_read(1.0, 8.5)
    return stream


def test_release_is_appended_at_once_when_the_log_can_be_read_again():
    """Else another router that retries the request finds its key claimed."""
    stream = make_stream_after_outage(has_failed_read=True)
    assert stream.next_append_at(is_urgent=True) > 9.0
    stream.end_read(PAGE)
    assert stream.next_append_at(is_urgent=True) <= 9.0


def test_log_that_only_refuses_appends_is_not_called_more_often():
    stream = make_stream_after_outage(has_failed_read=False)
    stream.end_read(PAGE)
    assert stream.next_append_at(is_urgent=True) > 9.0
