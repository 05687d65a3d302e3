"""Estimates of what a request will cost, learned per workspace and call."""

import dataclasses
import math

from lentilbeam_core import ids

OVERRUN_FRACTION = 0.25
"""Cost still expected of a request beyond its estimate, relative to use."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of cost estimates.

    Attributes:
        gain: weight of the newest observation, 0 to 1.
        largest_ratio: bound of the learned correction of hints, either way.
        default_fraction: first guess, relative to the largest request.
    """

    gain: float = 0.15
    max_hint_ratio: float = 8.0
    default_fraction: float = 0.25


@dataclasses.dataclass(slots=True)
class CallStatistics:
    """What was learned of one workspace's call."""

    log_ratio: float = 0.0
    mean: float | None = None


class Estimator:
    """Learns from ended requests."""

    def __init__(self, settings: Settings):
        self.settings = settings
        self.statistics: dict[tuple[ids.WorkspaceId, str], CallStatistics] = {}

    def estimate(
        self,
        workspace: ids.WorkspaceId,
        call: str,
        hint: float | None,
        largest: float,
    ) -> float:
        """Returns the expected cost, above 0 and at most `largest`."""
        statistics = self.statistics.get((workspace, call), CallStatistics())
        if hint is not None and hint > 0:
            guess = hint * math.exp(statistics.log_ratio)
        elif statistics.mean is not None:
            guess = statistics.mean
        else:
            guess = largest * self.settings.default_fraction
        return min(max(guess, largest * 1e-3), largest)

    def learn(
        self,
        workspace: ids.WorkspaceId,
        call: str,
        hint: float | None,
        cost: float,
    ) -> None:
        """Takes in the final cost of a request that ran to its end."""
        statistics = self.statistics.setdefault(
            (workspace, call), CallStatistics()
        )
        gain = self.settings.gain
        if statistics.mean is None:
            statistics.mean = cost
        statistics.mean += gain * (cost - statistics.mean)
        if hint is None or hint <= 0 or cost <= 0:
            return
        bound = math.log(self.settings.max_hint_ratio)
        ratio = min(max(math.log(cost / hint), -bound), bound)
        statistics.log_ratio += gain * (ratio - statistics.log_ratio)


def remaining(estimate: float, used: float) -> float:
    """Returns the cost still expected of a running request."""
    return max(estimate - used, used * OVERRUN_FRACTION)
