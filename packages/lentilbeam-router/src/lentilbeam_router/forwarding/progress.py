"""State of a request while it is forwarded."""

import dataclasses
import enum

from lentilbeam_core import ids
from lentilbeam_core.forwarding import event_stream
from lentilbeam_router.forwarding import wire as wire_lib


class SendResult(enum.Enum):
    """Result of sending a request to one target."""

    DONE = "done"  # The whole response was forwarded to the caller.
    NOT_RUN = "not_run"  # The target did not run the request.
    BROKEN = "broken"  # The target may have run it; no valid response came.
    FAILED = "failed"  # The target responded with a server error.


@dataclasses.dataclass(slots=True)
class SendOutcome:
    """Outcome of sending a request to one target.

    Attributes:
        result: kind of the outcome.
        detail: reason of the failure, for the log; empty on success.
        response: head of the error response; None unless the result is FAILED.
        body: body of the error response.
        is_refused_by_target: whether the target refused the request because it
            had no free capacity or too little time.
        is_broken_off: whether the connection ended before the answer did, as
            it does if the target crashes.
    """

    result: SendResult
    detail: str
    response: wire_lib.Response | None = None
    body: bytes = b""
    is_refused_by_target: bool = False
    is_broken_off: bool = False


@dataclasses.dataclass(slots=True)
class Progress:
    """What has happened to a request so far.

    Attributes:
        events: parser of the forwarded event stream; knows the last complete
            event.
        begun: head of the stream that has begun to be passed on; None before,
            and if the response to the caller isn't a stream.
        tried: targets to which a connection was tried or opened.
        may_have_run: whether a target may have run the request.
        send_count: number of targets that the request was written to.
        first_event_s: seconds from arrival to the first event; None before.
        last_event_at: when the last event was received, monotonic seconds;
            0 before the first.
        longest_gap_s: longest time between two events, in seconds.
    """

    events: event_stream.EventStreamParser
    begun: wire_lib.Response | None = None
    tried: set[ids.TargetId] = dataclasses.field(default_factory=set)
    may_have_run: bool = False
    send_count: int = 0
    first_event_s: float | None = None
    last_event_at: float = 0.0
    longest_gap_s: float = 0.0

    def note_event(self, now: float) -> None:
        """Records the arrival of an event at `now`, in monotonic seconds."""
        if self.last_event_at:
            gap_s = now - self.last_event_at
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self.last_event_at = now
