"""How fast each engine reads prompts, learned from first events.

A ratio of two decayed sums, tokens read over time taken, so that short
prompts, whose time is mostly waiting for the next step, weigh little.
"""

import dataclasses

from lentilbeam_core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of reading rates.

    Attributes:
        first_tokens_per_s: rate assumed before anything was seen; from the
            users' sheets, less what decoding takes.
        prior_s: weight of that assumption, as seconds of observation.
        memory: decay of older observations with each new one.
        least: lowest believed rate, tokens a second.
        most: highest believed rate, tokens a second.
    """

    initial_tokens_per_s: float = 90_000.0
    prior_s: float = 1.0
    decay_factor: float = 0.96
    min_tokens_per_s: float = 15_000.0
    max_tokens_per_s: float = 150_000.0


@dataclasses.dataclass(slots=True)
class _Sums:
    tokens: float = 0.0
    seconds: float = 0.0


class PrefillRates:
    """Rates of all engines of a pool."""

    def __init__(self, settings: Settings):
        self.settings = settings
        self.sums: dict[ids.TargetId, _Sums] = {}

    def add_sample(
        self, target: ids.TargetId, tokens: float, seconds: float
    ) -> None:
        """Takes in that `tokens` unread ahead were read in `seconds`."""
        if seconds <= 0 or tokens <= 0:
            return
        sums = self.sums.setdefault(target, _Sums())
        sums.tokens = sums.tokens * self.settings.decay_factor + tokens
        sums.seconds = sums.seconds * self.settings.decay_factor + seconds

    def read(self, target: ids.TargetId) -> float:
        """Returns the tokens that a target reads in a second."""
        settings = self.settings
        sums = self.sums.get(target, _Sums())
        prior_tokens = settings.initial_tokens_per_s * settings.prior_s
        rate = (sums.tokens + prior_tokens) / (sums.seconds + settings.prior_s)
        return min(
            max(rate, settings.min_tokens_per_s), settings.max_tokens_per_s
        )

    def forget(self, target: ids.TargetId) -> None:
        """Drops what was learned of a target that started anew or is gone."""
        self.sums.pop(target, None)
