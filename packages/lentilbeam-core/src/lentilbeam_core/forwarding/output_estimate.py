"""Estimate of the output tokens of a request.

The length of an answer is drawn from what the route's requests of the same
workspace had lately. A caller's hint narrows this down by Bayes' rule, with the
recent ratios of the actual to the hinted length as the distribution of its
errors: hints that were good lately decide, bad ones change little.
"""

import collections
from collections.abc import Iterable
import dataclasses
import math

from lentilbeam_core import ids
from lentilbeam_core.forwarding import estimate_error
from lentilbeam_core.forwarding import requests

BUCKETS_PER_OCTAVE = 4
"""Buckets of a histogram for each factor of 2; each is 19% wide."""
MIN_WEIGHT = 1e-3
"""Buckets with less weight are dropped, which bounds a histogram's size."""
HINT_FLOOR = 0.02
"""Probability that the error of a hint is none of those seen lately. Without
it, one unusual hint would leave no possible length."""
HIGH_QUANTILE = 0.9
"""Quantile of the length that is used for memory."""
OVERDUE_FRACTION = 0.25
"""What is left of an answer that is longer than any recent one, as a fraction
of its length so far."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the estimates.

    Attributes:
        decay_s: time constant of the exponential decay of samples, in seconds;
            some tens of samples of a busy workspace at one of 60 routers.
        min_samples: decayed number of samples from which on a distribution is
            used instead of the next more general one.
        max_workspaces: number of workspaces for each route whose samples are
            kept; those seen longest ago are dropped.
    """

    decay_s: float = 60.0
    min_samples: float = 8.0
    max_workspaces: int = 64


class Histogram:
    """Histogram with logarithmic buckets and exponential decay.

    Attributes:
        weights: decayed number of samples of each bucket.
        decayed_at: when the weights were decayed, monotonic seconds.
    """

    def __init__(self):
        self.weights: dict[int, float] = {}
        self.decayed_at = -math.inf

    def add(self, value: float, now: float, decay_s: float) -> None:
        """Adds a sample, which must be above 0."""
        factor = math.exp(-max(now - self.decayed_at, 0.0) / decay_s)
        self.decayed_at = now
        self.weights = {
            bucket: weight * factor
            for bucket, weight in self.weights.items()
            if weight * factor >= MIN_WEIGHT
        }
        bucket = find_bucket(value)
        self.weights[bucket] = self.weights.get(bucket, 0.0) + 1.0

    def count(self, now: float, decay_s: float) -> float:
        """Returns the decayed number of samples."""
        factor = math.exp(-max(now - self.decayed_at, 0.0) / decay_s)
        return sum(self.weights.values()) * factor


def find_bucket(value: float) -> int:
    """Returns the bucket of a value above 0."""
    return round(BUCKETS_PER_OCTAVE * math.log2(value))


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """Distribution of the length of one answer.

    Attributes:
        lengths: possible lengths and their weights, ascending, in tokens.
        mean: mean length, in tokens.
        high: the `HIGH_QUANTILE` of the length, in tokens.
        max_tokens: the request's bound of the length.
    """

    lengths: tuple[tuple[float, float], ...]
    mean: float
    high: float
    max_tokens: float

    def find_left(self, produced: float) -> float:
        """Returns the expected number of tokens that are still to come.

        Args:
            produced: tokens that the answer has so far.
        """
        if produced <= 0:
            return self.mean
        weight_sum = left = 0.0
        for length, weight in self.lengths:
            if length > produced:
                weight_sum += weight
                left += weight * (length - produced)
        if weight_sum > 0:
            return left / weight_sum
        to_bound = max(self.max_tokens - produced, 0.0)
        return min(OVERDUE_FRACTION * produced, to_bound)


def make_estimate(
    weighted: Iterable[tuple[float, float]], max_tokens: float
) -> Estimate:
    """Returns an estimate from lengths in tokens and their weights.

    Args:
        weighted: lengths and weights, not empty.
        max_tokens: bound of the length.
    """
    lengths = tuple(
        sorted((min(length, max_tokens), weight) for length, weight in weighted)
    )
    total = sum(weight for _, weight in lengths)
    mean = sum(length * weight for length, weight in lengths) / total
    high = max_tokens
    reached = 0.0
    for length, weight in lengths:
        reached += weight
        if reached >= HIGH_QUANTILE * total:
            high = length
            break
    return Estimate(lengths, mean, high, max_tokens)


class OutputEstimates:
    """Estimates of output tokens for the requests of one pool.

    Attributes:
        settings: settings of the estimates.
        by_route: lengths of recent answers, by route.
        by_workspace: the same by workspace, for each route.
        ratios: actual length as a multiple of the hinted one, by route.
        error: error of the mean lengths.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        self.by_route: dict[str, Histogram] = {}
        self.by_workspace: dict[
            str, collections.OrderedDict[ids.WorkspaceId, Histogram]
        ] = {}
        self.ratios: dict[str, Histogram] = {}
        self.error = estimate_error.EstimateError()

    def estimate(self, request: requests.Request, now: float) -> Estimate:
        """Returns the estimate for a request with a prompt.

        It is the bound of the length until there are enough samples.
        """
        prompt = request.prompt
        max_tokens = max(prompt.max_output_tokens, 1)
        histogram = self._find_histogram(request, now)
        if histogram is None:
            return make_estimate([(max_tokens, 1.0)], max_tokens)
        weights = histogram.weights
        ratios = self._find_ratios(request, now)
        if ratios is not None:
            hinted = find_bucket(prompt.hinted_output_tokens)
            floor = HINT_FLOOR * sum(ratios.values()) / len(weights)
            weights = {
                bucket: weight * (ratios.get(bucket - hinted, 0.0) + floor)
                for bucket, weight in weights.items()
            }
        return make_estimate(
            (
                (2 ** (bucket / BUCKETS_PER_OCTAVE), weight)
                for bucket, weight in weights.items()
            ),
            max_tokens,
        )

    def note_output(
        self,
        request: requests.Request,
        estimate: Estimate,
        tokens: float,
        now: float,
    ) -> None:
        """Adds the length of a whole answer.

        Args:
            request: its request.
            estimate: what was estimated when it was placed.
            tokens: its length in tokens.
            now: monotonic seconds.
        """
        if tokens <= 0:
            return
        settings = self.settings
        route = request.route.name
        if self._find_histogram(request, now) is not None:
            # The bound of the length is no estimate that could be wrong.
            self.error.add(estimate.mean, tokens, now)
        known = self.by_workspace.setdefault(route, collections.OrderedDict())
        own = known.setdefault(request.workspace, Histogram())
        known.move_to_end(request.workspace)
        if len(known) > settings.max_workspaces:
            known.popitem(last=False)
        whole = self.by_route.setdefault(route, Histogram())
        for histogram in (own, whole):
            histogram.add(tokens, now, settings.decay_s)
        if request.prompt.hinted_output_tokens:
            ratio = tokens / request.prompt.hinted_output_tokens
            ratios = self.ratios.setdefault(route, Histogram())
            ratios.add(ratio, now, settings.decay_s)

    def keep_routes(self, names: Iterable[str]) -> None:
        """Drops the samples of all routes but these."""
        kept = set(names)
        for table in (self.by_route, self.by_workspace, self.ratios):
            for name in table.keys() - kept:
                del table[name]

    def _find_histogram(
        self, request: requests.Request, now: float
    ) -> Histogram | None:
        settings = self.settings
        route = request.route.name
        own = self.by_workspace.get(route, {}).get(request.workspace)
        for histogram in (own, self.by_route.get(route)):
            if histogram is None:
                continue
            if histogram.count(now, settings.decay_s) >= settings.min_samples:
                return histogram
        return None

    def _find_ratios(
        self, request: requests.Request, now: float
    ) -> dict[int, float] | None:
        """Returns the weights of the ratios; None if there is no hint."""
        if not request.prompt.hinted_output_tokens:
            return None
        ratios = self.ratios.get(request.route.name)
        if ratios is None:
            return None
        decay_s = self.settings.decay_s
        if ratios.count(now, decay_s) < self.settings.min_samples:
            return None
        return ratios.weights
