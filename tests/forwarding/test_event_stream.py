"""Parser of event streams: returns only complete events, in order.

The result doesn't depend on how the received bytes are split.
"""

import itertools

import hypothesis
from hypothesis import strategies
import pytest

from lentilbeam_core.forwarding import event_stream

STREAM = b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(1, 30))


@hypothesis.given(strategies.lists(strategies.integers(0, len(STREAM))))
@hypothesis.settings(derandomize=True)
def test_bytes_are_returned_unchanged_however_they_are_split(splits):
    parser = event_stream.EventStreamParser()
    edges = [0, *sorted(splits), len(STREAM)]
    out = b""
    for start, end in itertools.pairwise(edges):
        events = parser.feed(STREAM[start:end])
        assert events == b"" or events.endswith(b"\n\n")
        out += events
    assert out == STREAM
    assert parser.partial_event == b""
    assert parser.last_event_id == 29


def test_discarded_partial_event_is_not_returned():
    parser = event_stream.EventStreamParser()
    assert parser.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert parser.partial_event
    parser.discard_partial_event()
    assert parser.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"


@pytest.mark.parametrize("number", [1, 3])
def test_repeated_or_missing_event_raises(number):
    parser = event_stream.EventStreamParser()
    parser.feed(b"id: 1\ndata: a\n\n")
    with pytest.raises(event_stream.OutOfOrderError):
        parser.feed(b"id: %d\ndata: b\n\n" % number)


def test_resumed_stream_must_continue_after_the_last_event_of_the_caller():
    parser = event_stream.EventStreamParser(last_event_id=7)
    assert parser.feed(b"id: 8\ndata: a\n\n")
    with pytest.raises(event_stream.OutOfOrderError):
        event_stream.EventStreamParser(last_event_id=7).feed(
            b"id: 1\ndata: a\n\n"
        )
