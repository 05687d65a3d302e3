"""Prefill time of a prompt, from its length and the tokens that precede it.

Each chunk of a prompt attends to all tokens before it, so a token costs more
the more tokens precede it. The time per token is modelled as a straight line
over the preceding tokens. It is fitted to first events at all engines of a
pool and at all routers: one router sees too few of them at each engine.
"""

import dataclasses
import math

from lentilbeam_core import ids
from lentilbeam_core import messages

MIN_SAMPLE_TOKENS = 2_000
"""Shorter prompts are no samples: most of their time is spent waiting for the
engine's next step."""
MAX_AHEAD_FRACTION = 0.25
"""Prompts that had to wait for more than this fraction of their own tokens are
no samples, since what preceded the tokens ahead is unknown."""
POSITION_UNIT = 1_000.0
"""Unit of preceding tokens in `Sums`. Keeps the differences of their squares
within the precision of the reports between routers."""
REPORT_MAX_AGE_S = 3.0
"""The sums in a report count until it is older than this, in seconds."""


SLOWDOWN_PRIOR_S = 0.5
"""Weight of the pool's speed in that of a target, as seconds of samples; about
the prefill of one long prompt."""
MIN_SLOWDOWN = 2.0
"""A target whose prefills take less than this factor longer than expected is
taken for as fast as its pool. Noise makes half a second 2.5 times as long,
and without this bound targets were avoided for seconds because of it."""
MAX_SLOWDOWN = 8.0
"""Upper bound of a slowdown. Targets in trouble were a fifth as fast."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the model.

    Attributes:
        initial_tokens_per_s: rate before the first sample, without preceding
            tokens; that of `prefill_rates`.
        initial_double_tokens: number of preceding tokens that double the time
            of a token, before the first sample; half of the rate was seen
            beyond 10,000 tokens on an engine of 64,200 tokens a second.
        prior_tokens: weight of each of the two initial points, as tokens of
            samples.
        prior_position: number of preceding tokens of the second point; the
            first has none.
        min_double_tokens: smallest number of preceding tokens that may double
            the time of a token.
        decay_s: time constant of the exponential decay of samples, in
            seconds; long enough for some tens of samples in a small fleet.
    """

    initial_tokens_per_s: float = 90_000.0
    initial_double_tokens: float = 20_000.0
    prior_tokens: float = 4_000.0
    prior_position: float = 10_000.0
    min_double_tokens: float = 10_000.0
    decay_s: float = 20.0


@dataclasses.dataclass(slots=True)
class Sums:
    """Sums of a regression of time per token over the preceding tokens.

    The weight of a sample is its number of tokens. Preceding tokens are
    counted halfway through the prompt, in `POSITION_UNIT`.

    Attributes:
        tokens: sum of the weights.
        positions: weighted sum of the preceding tokens.
        seconds: weighted sum of the times per token, which is the time.
        squares: weighted sum of the squared preceding tokens.
        products: sum of time times preceding tokens.
    """

    tokens: float = 0.0
    positions: float = 0.0
    seconds: float = 0.0
    squares: float = 0.0
    products: float = 0.0

    def add_sample(self, tokens: float, position: float, token_s: float):
        """Adds a sample.

        Args:
            tokens: its weight.
            position: preceding tokens halfway through it.
            token_s: time per token, in seconds.
        """
        scaled = position / POSITION_UNIT
        self.tokens += tokens
        self.positions += tokens * scaled
        self.seconds += tokens * token_s
        self.squares += tokens * scaled * scaled
        self.products += tokens * scaled * token_s

    def add(self, other: "Sums") -> None:
        """Adds other sums."""
        self.tokens += other.tokens
        self.positions += other.positions
        self.seconds += other.seconds
        self.squares += other.squares
        self.products += other.products

    def scale(self, factor: float) -> None:
        """Multiplies all sums by a factor."""
        self.tokens *= factor
        self.positions *= factor
        self.seconds *= factor
        self.squares *= factor
        self.products *= factor


class PrefillModel:
    """Straight line of the time per token over the preceding tokens.

    Attributes:
        settings: settings of the model.
        prior: sums of the two initial points.
        own: decayed sums of this router's samples.
        decayed_at: when `own` was decayed, monotonic seconds.
        peers: last sums from each peer, and when they were received in
            monotonic seconds.
        base_s: time of a token without preceding ones, in seconds.
        slope_s: additional time for each preceding token, in seconds.
        mean_s: time of a token at the mean of the samples, in seconds.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        self.prior = Sums()
        initial_s = 1 / settings.initial_tokens_per_s
        for position in (0.0, settings.prior_position):
            slowdown = 1 + position / settings.initial_double_tokens
            self.prior.add_sample(
                settings.prior_tokens, position, initial_s * slowdown
            )
        self.own = Sums()
        self.decayed_at = -math.inf
        self.peers: dict[ids.InstanceId, tuple[float, Sums]] = {}
        self.base_s = initial_s
        self.slope_s = initial_s / settings.initial_double_tokens
        self.mean_s = self.prior.seconds / self.prior.tokens

    def estimate(self, tokens: float, preceding: float) -> float:
        """Returns the time to prefill part of a prompt, in seconds.

        Args:
            tokens: tokens to prefill.
            preceding: tokens before them, which are cached.
        """
        position = preceding + tokens / 2
        return tokens * (self.base_s + self.slope_s * position)

    def add_sample(
        self,
        tokens: float,
        preceding: float,
        ahead: float,
        seconds: float,
        now: float,
    ) -> bool:
        """Adds the first event of a response as a sample, if it qualifies.

        Args:
            tokens: tokens of the prompt that the engine prefilled.
            preceding: tokens before them, which were cached.
            ahead: tokens of other prompts that the engine had to prefill
                before.
            seconds: time for both.
            now: monotonic seconds.

        Returns:
            Whether it qualified.
        """
        if tokens < MIN_SAMPLE_TOKENS or seconds <= 0:
            return False
        if ahead > tokens * MAX_AHEAD_FRACTION:
            return False
        self._decay(now)
        token_s = seconds / (tokens + max(ahead, 0.0))
        self.own.add_sample(tokens, preceding + tokens / 2, token_s)
        self.fit(now)
        return True

    def read_own(self, now: float) -> Sums:
        """Returns the decayed sums of this router's samples."""
        self._decay(now)
        return self.own

    def apply_report(
        self, peer: ids.InstanceId, demand: messages.PoolDemand, now: float
    ) -> None:
        """Replaces the last sums of a peer."""
        sums = Sums(
            demand.sample_tokens,
            demand.sample_positions,
            demand.sample_s,
            demand.sample_squares,
            demand.sample_products,
        )
        self.peers[peer] = (now, sums)

    def forget_peer(self, peer: ids.InstanceId) -> None:
        """Removes the sums of a peer that another report includes."""
        self.peers.pop(peer, None)

    def fit(self, now: float) -> None:
        """Fits the line to the samples of all routers."""
        total = dataclasses.replace(self.prior)
        total.add(self.own)
        for received_at, sums in self.peers.values():
            if now - received_at < REPORT_MAX_AGE_S:
                total.add(sums)
        mean_position = total.positions / total.tokens
        mean_s = total.seconds / total.tokens
        self.mean_s = mean_s
        variance = total.squares / total.tokens - mean_position**2
        covariance = total.products / total.tokens - mean_position * mean_s
        base_s = mean_s - covariance / max(variance, 1e-6) * mean_position
        # With few samples, noise decides which part of the time the slope
        # gets; these bounds keep both parts positive.
        min_double = self.settings.min_double_tokens / POSITION_UNIT
        min_base_s = mean_s / (1 + mean_position / min_double)
        self.base_s = min(max(base_s, min_base_s), mean_s)
        self.slope_s = (mean_s - self.base_s) / (
            max(mean_position, 1e-3) * POSITION_UNIT
        )

    def _decay(self, now: float) -> None:
        elapsed_s = max(now - self.decayed_at, 0.0)
        self.decayed_at = now
        self.own.scale(math.exp(-elapsed_s / self.settings.decay_s))


def compute_slowdown(timed_s: float, expected_s: float) -> float:
    """Returns how much slower a target is than its pool, as a factor.

    Args:
        timed_s: time of its latest prefills, in seconds.
        expected_s: time that the model gave for them, in seconds.
    """
    slowdown = (timed_s + SLOWDOWN_PRIOR_S) / (expected_s + SLOWDOWN_PRIOR_S)
    if slowdown < MIN_SLOWDOWN:
        return 1.0
    return min(slowdown, MAX_SLOWDOWN)
