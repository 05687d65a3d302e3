"""Estimates request costs from earlier requests of a workspace and call."""

import dataclasses
import math

from lentilbeam_core import ids

OVERRUN_FRACTION = 0.25
"""Minimum expected remaining cost of a running request, as a fraction of its
cost so far. Also applies after the request has exceeded its estimate."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of cost estimates.

    Attributes:
        gain: weight of the newest observation in the moving averages, from
            0 to 1.
        max_hint_ratio: largest factor by which the learned correction raises
            or lowers a caller's hint.
        default_fraction: estimate without hint or history, as a fraction of
            the largest allowed request.
    """

    gain: float = 0.15
    max_hint_ratio: float = 8.0
    default_fraction: float = 0.25


@dataclasses.dataclass(slots=True)
class CallStatistics:
    """Moving averages for one workspace and call.

    Attributes:
        log_ratio: mean natural logarithm of cost divided by hint.
        mean: mean cost, or None before the first observation.
    """

    log_ratio: float = 0.0
    mean: float | None = None


class Estimator:
    """Estimates costs and learns from completed requests.

    Attributes:
        settings: settings of cost estimates.
        statistics: averages by workspace and call.
    """

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
        """Returns the expected cost, above 0 and at most `largest`.

        Args:
            workspace: the workspace that sent the request.
            call: name of the requested call.
            hint: the caller's own estimate, or None.
            largest: cost of the largest request the workspace may send.
        """
        statistics = self.statistics.get((workspace, call), CallStatistics())
        if hint is not None and hint > 0:
            guess = hint * math.exp(statistics.log_ratio)
        elif statistics.mean is not None:
            guess = statistics.mean
        else:
            guess = largest * self.settings.default_fraction
        # The lower limit keeps the estimate above 0.
        return min(max(guess, largest * 1e-3), largest)

    def learn(
        self,
        workspace: ids.WorkspaceId,
        call: str,
        hint: float | None,
        cost: float,
    ) -> None:
        """Updates the averages with the final cost of a completed request."""
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
    """Returns the expected remaining cost of a running request.

    Args:
        estimate: the request's estimated total cost.
        used: its cost so far.
    """
    return max(estimate - used, used * OVERRUN_FRACTION)
