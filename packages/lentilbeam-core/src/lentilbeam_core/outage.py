"""How long to leave a service alone that fails."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Bounds of the pause after a failure, in seconds."""

    min_pause_s: float = 0.5
    max_pause_s: float = 30.0


class Outage:
    """Doubles the pause with each failed probe, up to a bound."""

    def __init__(self, settings: Settings):
        self.settings = settings
        self.pause_s = 0.0
        self.probe_at = float("-inf")

    @property
    def is_on(self) -> bool:
        """Whether the last call failed."""
        return self.pause_s > 0

    def blocks(self, now: float) -> bool:
        """Returns whether the service is to be left alone now."""
        return self.is_on and now < self.probe_at

    def get_retry_after_s(self, now: float) -> float:
        """Returns when a caller is to come back, in seconds from now."""
        return max(self.probe_at - now, self.settings.min_pause_s)

    def note_failure(self, now: float) -> None:
        """Takes in a failed call; one failure counts for each pause."""
        if self.blocks(now):
            return
        doubled = max(self.settings.min_pause_s, self.pause_s * 2)
        self.pause_s = min(doubled, self.settings.max_pause_s)
        self.probe_at = now + self.pause_s

    def note_success(self) -> None:
        """Takes in a call that worked."""
        self.pause_s = 0.0
        self.probe_at = float("-inf")
