"""Checks whether a response of a target can be passed on to the caller."""

from lentilbeam_core.forwarding import event_stream
from lentilbeam_router.forwarding import connection as connection_lib
from lentilbeam_router.forwarding import progress as progress_lib
from lentilbeam_router.forwarding import wire as wire_lib


def check_head(
    response: wire_lib.Response, request_id: str
) -> progress_lib.SendOutcome | None:
    """Returns the outcome if a head is unusable, else None.

    A response without the request's own ID says nothing of the request, not
    even that it did not run.
    """
    if response.request_id != request_id:
        return progress_lib.SendOutcome(
            progress_lib.SendResult.BROKEN,
            f"response to request {response.request_id!r}",
        )
    if response.is_other_instance:
        return progress_lib.SendOutcome(
            progress_lib.SendResult.NOT_RUN, "wrong target instance"
        )
    if response.is_not_run:
        return progress_lib.SendOutcome(
            progress_lib.SendResult.NOT_RUN,
            f"status {response.status}",
            is_refused_by_target=True,
        )
    if response.is_encoded:
        return progress_lib.SendOutcome(
            progress_lib.SendResult.BROKEN, "unexpected content encoding"
        )
    if response.status < 300 and not response.is_sealed:
        return progress_lib.SendOutcome(
            progress_lib.SendResult.BROKEN, "no response seal"
        )
    return None


def check_continuation(
    begun: wire_lib.Response, response: wire_lib.Response
) -> progress_lib.SendOutcome | None:
    """Returns the outcome if an answer can't go on with a stream, else None.

    The caller would take the body of any other answer for a part of the stream
    and its end for the end of the stream.

    Args:
        begun: head of the stream that was passed on to the caller.
        response: head of the answer of another attempt.
    """
    kind = (response.status, response.media_type)
    if kind == (begun.status, begun.media_type):
        return None
    return progress_lib.SendOutcome(
        progress_lib.SendResult.FAILED,
        f"status {response.status} {response.media_type!r} within a stream",
    )


def check_stream_end(
    events: event_stream.EventStreamParser,
    end: connection_lib.End,
    has_events: bool,
) -> progress_lib.SendOutcome | None:
    """Returns the outcome if a stream was broken off, else None."""
    if events.partial_event:
        return progress_lib.SendOutcome(
            progress_lib.SendResult.BROKEN,
            "stream ended within an event",
            is_broken_off=end.is_by_close,
        )
    return check_end(end, is_empty=not has_events)


def check_end(
    end: connection_lib.End, is_empty: bool
) -> progress_lib.SendOutcome | None:
    """Returns the outcome if a success may have been broken off, else None.

    Args:
        end: end of the response.
        is_empty: whether nothing of its body was received.
    """
    if end.is_by_close and is_empty:
        # The target may as well have ended before it began to answer.
        return progress_lib.SendOutcome(
            progress_lib.SendResult.BROKEN,
            "closed after the head",
            is_broken_off=True,
        )
    return None
