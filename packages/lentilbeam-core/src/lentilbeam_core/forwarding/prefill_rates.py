"""Prefill rate of each engine, estimated from times to the first event.

A rate is the ratio of two decayed sums: prompt tokens processed and the time
this took. Short prompts have little weight in it, because most of their time
is spent waiting for the engine's next step.
"""

import dataclasses

from lentilbeam_core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of prefill rates.

    Attributes:
        initial_tokens_per_s: rate assumed before the first sample; from the
            operators' engine data sheets, less the time for decoding.
        prior_s: weight of the initial rate, as seconds of samples.
        decay_factor: factor applied to older samples with each new one.
        min_tokens_per_s: lower bound of an estimated rate.
        max_tokens_per_s: upper bound of an estimated rate.
    """

    initial_tokens_per_s: float = 90_000.0
    prior_s: float = 1.0
    decay_factor: float = 0.96
    min_tokens_per_s: float = 15_000.0
    max_tokens_per_s: float = 150_000.0


@dataclasses.dataclass(slots=True)
class _Sums:
    """Decayed sums of one engine's samples."""

    tokens: float = 0.0
    seconds: float = 0.0


class PrefillRates:
    """Prefill rates of all engines of a pool."""

    def __init__(self, settings: Settings):
        self.settings = settings
        self.sums: dict[ids.TargetId, _Sums] = {}

    def add_sample(
        self, target: ids.TargetId, tokens: float, seconds: float
    ) -> None:
        """Adds a sample; ignored unless both values are positive.

        Args:
            target: the engine.
            tokens: prompt tokens that the engine processed.
            seconds: time that this took.
        """
        if seconds <= 0 or tokens <= 0:
            return
        sums = self.sums.setdefault(target, _Sums())
        sums.tokens = sums.tokens * self.settings.decay_factor + tokens
        sums.seconds = sums.seconds * self.settings.decay_factor + seconds

    def read(self, target: ids.TargetId) -> float:
        """Returns the prompt tokens that a target processes per second."""
        settings = self.settings
        sums = self.sums.get(target, _Sums())
        prior_tokens = settings.initial_tokens_per_s * settings.prior_s
        rate = (sums.tokens + prior_tokens) / (sums.seconds + settings.prior_s)
        return min(
            max(rate, settings.min_tokens_per_s), settings.max_tokens_per_s
        )

    def forget(self, target: ids.TargetId) -> None:
        """Removes a target that has restarted or is no longer listed."""
        self.sums.pop(target, None)
