"""Prefill time of a prompt, from its length and the tokens that precede it.

Each chunk of a prompt attends to all tokens before it, so a token costs more
the more tokens precede it. The time per token is modelled as a straight line
over the preceding tokens. It is fitted to first events at all engines of a
pool: one router sees too few of them at each engine.
"""

import dataclasses

MIN_SAMPLE_TOKENS = 2_000
"""Shorter prompts are no samples: most of their time is spent waiting for the
engine's next step."""
MAX_AHEAD_FRACTION = 0.25
"""Prompts that had to wait for more than this fraction of their own tokens are
no samples, since what preceded the tokens ahead is unknown."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the model.

    Attributes:
        initial_tokens_per_s: rate before the first sample, for any number of
            preceding tokens; that of `prefill_rates`.
        prior_tokens: weight of the initial rate, as tokens of samples.
        prior_position: number of preceding tokens at which the initial rate is
            assumed as well as at 0.
        decay_factor: factor applied to older samples with each new one. A
            noisy half second at one engine is a few of these samples.
        min_double_tokens: smallest number of preceding tokens that may double
            the time of a token; half of what engines show that prefill 64,200
            tokens a second.
    """

    initial_tokens_per_s: float = 90_000.0
    prior_tokens: float = 4_000.0
    prior_position: float = 10_000.0
    decay_factor: float = 0.99
    min_double_tokens: float = 10_000.0


class PrefillModel:
    """Straight line of the time per token over the preceding tokens.

    The sums belong to a regression that is weighted by tokens.

    Attributes:
        settings: settings of the model.
        weight: sum of the weights.
        position: weighted sum of the preceding tokens, halfway through each
            prompt.
        time: weighted sum of the times per token, in seconds.
        position_squared: weighted sum of the squared preceding tokens.
        product: weighted sum of time per token times preceding tokens.
        base_s: time of a token without preceding ones, in seconds.
        slope_s: additional time for each preceding token, in seconds.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        self.weight = 0.0
        self.position = 0.0
        self.time = 0.0
        self.position_squared = 0.0
        self.product = 0.0
        initial_s = 1 / settings.initial_tokens_per_s
        for position in (0.0, settings.prior_position):
            self._add(position, initial_s, settings.prior_tokens)
        self.base_s = initial_s
        self.slope_s = 0.0

    def estimate(self, tokens: float, preceding: float) -> float:
        """Returns the time to prefill part of a prompt, in seconds.

        Args:
            tokens: tokens to prefill.
            preceding: tokens before them, which are cached.
        """
        position = preceding + tokens / 2
        return tokens * (self.base_s + self.slope_s * position)

    def add_sample(
        self, tokens: float, preceding: float, ahead: float, seconds: float
    ) -> None:
        """Adds the first event of a response as a sample, if it qualifies.

        Args:
            tokens: tokens of the prompt that the engine prefilled.
            preceding: tokens before them, which were cached.
            ahead: tokens of other prompts that the engine had to prefill
                before.
            seconds: time for both.
        """
        if tokens < MIN_SAMPLE_TOKENS or seconds <= 0:
            return
        if ahead > tokens * MAX_AHEAD_FRACTION:
            return
        decay = self.settings.decay_factor
        self.weight *= decay
        self.position *= decay
        self.time *= decay
        self.position_squared *= decay
        self.product *= decay
        token_s = seconds / (tokens + max(ahead, 0.0))
        self._add(preceding + tokens / 2, token_s, tokens)
        self._fit()

    def _add(self, position: float, token_s: float, weight: float) -> None:
        self.weight += weight
        self.position += weight * position
        self.time += weight * token_s
        self.position_squared += weight * position * position
        self.product += weight * position * token_s

    def _fit(self) -> None:
        mean_position = self.position / self.weight
        mean_s = self.time / self.weight
        variance = self.position_squared / self.weight - mean_position**2
        covariance = self.product / self.weight - mean_position * mean_s
        base_s = mean_s - covariance / max(variance, 1.0) * mean_position
        # With few samples, noise decides which part of the time the slope
        # gets; these bounds keep both parts positive.
        min_double = self.settings.min_double_tokens
        min_base_s = mean_s / (1 + mean_position / min_double)
        self.base_s = min(max(base_s, min_base_s), mean_s)
        self.slope_s = (mean_s - self.base_s) / max(mean_position, 1.0)
