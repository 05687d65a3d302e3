"""What has happened to a request on its way."""

import dataclasses
import enum

from lentilbeam_core import ids
from lentilbeam_core.forwarding import event_stream
from lentilbeam_router.forwarding import wire as wire_lib


class SendResult(enum.Enum):
    """How sending a request to one target ended."""

    DONE = "done"  # The answer was passed on, whole.
    NOT_RUN = "not_run"  # The target ran nothing.
    BROKEN = "broken"  # It may have run; no whole answer came.
    FAILED = "failed"  # The target answered that it failed.


@dataclasses.dataclass(slots=True)
class Sent:
    """What is known after sending to one target.

    Attributes:
        result: how it ended.
        detail: what was wrong, for the log.
        answer: what a target that failed has answered.
        body: of that answer.
        is_full: whether the target ran nothing for want of room or time.
    """

    result: SendResult
    detail: str
    answer: wire_lib.Answer | None = None
    body: bytes = b""
    is_full: bool = False


@dataclasses.dataclass(slots=True)
class Progress:
    """What has happened to a request so far.

    Attributes:
        tried: targets that it was sent to.
        may_have_run: whether some target may have run it.
        events: state of the stream that is passed on.
        sent: number of hand-overs.
        first_event_s: time from arrival to the first event.
        last_event_at: when the last event came, monotonic seconds.
        longest_gap_s: longest pause between two events.
    """

    events: event_stream.EventStreamParser
    tried: set[ids.TargetId] = dataclasses.field(default_factory=set)
    may_have_run: bool = False
    sent: int = 0
    first_event_s: float | None = None
    last_event_at: float = 0.0
    longest_gap_s: float = 0.0

    def note_event(self, now: float) -> None:
        """Keeps the longest pause between events."""
        if self.last_event_at:
            gap_s = now - self.last_event_at
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self.last_event_at = now
