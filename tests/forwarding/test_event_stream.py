"""Only whole events in order are passed on, however bytes are cut."""

import itertools

import hypothesis
from hypothesis import strategies
import pytest

from lentilbeam_core.forwarding import event_stream

STREAM = b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(1, 30))


@hypothesis.given(strategies.lists(strategies.integers(0, len(STREAM))))
@hypothesis.settings(derandomize=True)
def test_bytes_come_through_unchanged_however_cut(cuts):
    stream = event_stream.EventStreamParser()
    edges = [0, *sorted(cuts), len(STREAM)]
    out = b""
    for start, end in itertools.pairwise(edges):
        whole = stream.feed(STREAM[start:end])
        assert whole == b"" or whole.endswith(b"\n\n")
        out += whole
    assert out == STREAM
    assert stream.partial_event == b""
    assert stream.last_event_id == 29


def test_an_event_that_was_cut_is_not_passed_on():
    stream = event_stream.EventStreamParser()
    assert stream.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert stream.partial_event
    stream.discard_partial_event()
    assert stream.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"


@pytest.mark.parametrize("number", [1, 3])
def test_a_repeated_or_missing_event_is_found(number):
    stream = event_stream.EventStreamParser()
    stream.feed(b"id: 1\ndata: a\n\n")
    with pytest.raises(event_stream.OutOfOrderError):
        stream.feed(b"id: %d\ndata: b\n\n" % number)


def test_a_resumed_stream_goes_on_after_the_callers_last_event():
    stream = event_stream.EventStreamParser(last_event_id=7)
    assert stream.feed(b"id: 8\ndata: a\n\n")
    with pytest.raises(event_stream.OutOfOrderError):
        event_stream.EventStreamParser(last_event_id=7).feed(
            b"id: 1\ndata: a\n\n"
        )
