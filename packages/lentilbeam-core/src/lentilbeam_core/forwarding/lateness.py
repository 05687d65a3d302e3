"""Detects that a router is too busy to do its work in time.

A router that gets more requests than its processor can handle falls behind: its
timers fire late, new requests wait for their turn, and it sends requests on
that their callers have given up. It can tell by timers and turns, and then
refuses requests before that happens, first those of workspaces that have had
their fair share.
"""

import dataclasses
import enum


class Level(enum.Enum):
    """What a router does about its lateness; each level includes the last."""

    ON_TIME = "on_time"
    LATE = "late"  # Refuses workspaces that have had their fair share.
    STALLED = "stalled"  # Refuses all new requests.


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the detection.

    Attributes:
        late_s: timers that fire this much later make the router `LATE`, in
            seconds. On some instances the processor pauses for up to 0.1 s.
        stalled_s: the same for `STALLED`; the shortest goals of requests are
            over by then.
        decay_factor: factor by which the measured lateness falls with each
            timer that fires earlier.
        recovery_s: time without lateness after which callers are sent to the
            router again, in seconds.
    """

    late_s: float = 0.15
    stalled_s: float = 0.4
    decay_factor: float = 0.7
    recovery_s: float = 1.0


class Lateness:
    """How late the timers of this router fire.

    Attributes:
        settings: settings of the detection.
        late_s: recent lateness, in seconds.
        last_late_at: when the router was last `LATE` or `STALLED`, monotonic
            seconds; None if it never was.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        self.late_s = 0.0
        self.last_late_at: float | None = None

    def note_timer(self, due_at: float, now: float) -> None:
        """Records that a timer fired, or that a request got its turn.

        Args:
            due_at: when the timer was due or the request was read, monotonic
                seconds.
            now: monotonic seconds.
        """
        late_s = max(now - due_at, 0.0)
        self.late_s = max(late_s, self.late_s * self.settings.decay_factor)
        if self.level is not Level.ON_TIME:
            self.last_late_at = now

    @property
    def level(self) -> Level:
        """What the router should do about its lateness."""
        if self.late_s >= self.settings.stalled_s:
            return Level.STALLED
        if self.late_s >= self.settings.late_s:
            return Level.LATE
        return Level.ON_TIME

    def takes_callers(self, now: float) -> bool:
        """Whether callers should be sent to this router."""
        return (
            self.last_late_at is None
            or now - self.last_late_at >= self.settings.recovery_s
        )
