"""Exponential back-off for calls to a failing service."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Shortest and longest pause after a failure, in seconds."""

    min_pause_s: float = 0.5
    max_pause_s: float = 30.0


class Backoff:
    """Doubles the pause between calls after each failed one, up to a maximum.

    Attributes:
        pause_s: length of the current pause; 0 if the last call succeeded.
        next_call_at: when the next call is allowed, in monotonic seconds.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        self.pause_s = 0.0
        self.next_call_at = float("-inf")

    @property
    def is_failing(self) -> bool:
        """Whether the last call failed."""
        return self.pause_s > 0

    def blocks(self, now: float) -> bool:
        """Returns whether the service must not be called yet."""
        return self.is_failing and now < self.next_call_at

    def get_retry_after_s(self, now: float) -> float:
        """Returns how long a caller should wait before retrying, in seconds."""
        return max(self.next_call_at - now, self.settings.min_pause_s)

    def note_failure(self, now: float) -> None:
        """Records a failed call and starts a longer pause.

        Failures during a pause are ignored.
        """
        if self.blocks(now):
            return
        doubled = max(self.settings.min_pause_s, self.pause_s * 2)
        self.pause_s = min(doubled, self.settings.max_pause_s)
        self.next_call_at = now + self.pause_s

    def note_success(self) -> None:
        """Records a successful call and ends the pause."""
        self.pause_s = 0.0
        self.next_call_at = float("-inf")
