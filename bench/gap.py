"""The fairness gap between continuously backlogged workspaces.

For two workspaces i and j that both have waiting requests throughout an
interval, `D(t) = S_i(t) / w_i - S_j(t) / w_j`, where S is the service
received up to the time t and w is the weight. The gap is the change of D
since the start of the interval; its unit is the cost of the largest request
of a workspace of weight 1. D is linear between starts and ends of requests,
so its extremes are at these times, and the meter is updated at each of them.
"""

import dataclasses

from lentilbeam_core import ids

SERIES_STEP_S = 0.05
"""Width of one step of the recorded series, in seconds."""


@dataclasses.dataclass(slots=True)
class Service:
    """Service received by one workspace, including running requests.

    Attributes:
        completed: tokens received by requests that have left their slots.
        running: number of requests that occupy slots.
        start_time_sum: sum of the start times of these requests, in seconds.
    """

    completed: float = 0.0
    running: int = 0
    start_time_sum: float = 0.0

    def get_received(self, now: float, rate: float) -> float:
        """Returns the service up to `now`, in tokens.

        Args:
            now: current time in seconds.
            rate: tokens that one slot serves per second.
        """
        return self.completed + rate * (
            self.running * now - self.start_time_sum
        )


@dataclasses.dataclass(slots=True)
class BackloggedPair:
    """One interval in which two workspaces are both backlogged.

    Attributes:
        base: D at the start of the interval.
        low: smallest D so far.
        high: largest D so far.
    """

    base: float
    low: float
    high: float


@dataclasses.dataclass(frozen=True, slots=True)
class GapPeak:
    """The largest gap so far.

    Attributes:
        gap: the gap, in units of the largest request.
        time: when it occurred, in seconds.
        ahead: workspace that had received more service.
        behind: workspace that had received less service.
    """

    gap: float = 0.0
    time: float = 0.0
    ahead: str = ""
    behind: str = ""


class GapMeter:
    """Measures the gap between all pairs of backlogged workspaces.

    Args:
        weights: weight of each workspace.
        max_cost: cost of the largest request, in tokens.
        rate: tokens that one slot serves per second.

    Attributes:
        peak: the largest gap so far, measured from the start of the pair's
            interval.
        max_range: the largest difference between the extremes of D within
            one interval of a pair.
        series: the largest gap in each step of `SERIES_STEP_S`.
    """

    def __init__(
        self,
        weights: dict[ids.WorkspaceId, float],
        max_cost: float,
        rate: float,
    ):
        self.service_scales = {
            w: 1 / (v * max_cost) for w, v in weights.items()
        }
        self.rate = rate
        self.services = {name: Service() for name in weights}
        self.backlogged: set[ids.WorkspaceId] = set()
        self.pairs: dict[
            tuple[ids.WorkspaceId, ids.WorkspaceId], BackloggedPair
        ] = {}
        self.peak = GapPeak()
        self.max_range = 0.0
        self.series: list[float] = []

    def start(self, name: ids.WorkspaceId, now: float) -> None:
        """Records that a request of the workspace took a slot."""
        self.update(now)
        service = self.services[name]
        service.running += 1
        service.start_time_sum += now

    def stop(self, name: ids.WorkspaceId, started: float, now: float) -> None:
        """Records that a request left its slot.

        Args:
            name: workspace of the request.
            started: when the request took the slot, in seconds.
            now: current time in seconds.
        """
        self.update(now)
        service = self.services[name]
        service.running -= 1
        service.start_time_sum -= started
        service.completed += self.rate * (now - started)

    def set_backlogged(
        self, name: ids.WorkspaceId, is_backlogged: bool, now: float
    ) -> None:
        """Records whether requests of the workspace are waiting."""
        if is_backlogged == (name in self.backlogged):
            return
        self.update(now)
        if is_backlogged:
            self._start_pairs(name, now)
        else:
            self.backlogged.discard(name)
            for key in [key for key in self.pairs if name in key]:
                del self.pairs[key]

    def update(self, now: float) -> None:
        """Measures the gaps of all pairs at the time `now`."""
        levels = {n: self._normalise_service(n, now) for n in self.backlogged}
        largest = 0.0
        for (one, other), pair in self.pairs.items():
            difference = levels[one] - levels[other]
            if difference < pair.low:
                pair.low = difference
            elif difference > pair.high:
                pair.high = difference
            gap = difference - pair.base
            if abs(gap) > largest:
                largest = abs(gap)
                if largest > self.peak.gap:
                    names = (one, other) if gap > 0 else (other, one)
                    self.peak = GapPeak(largest, now, *names)
            if pair.high - pair.low > self.max_range:
                self.max_range = pair.high - pair.low
        self._add_to_series(largest, now)

    def find_max(self, start: float, end: float) -> float:
        """Returns the largest gap from `start` to `end`.

        The times are in seconds, the gap in units of the largest request.
        """
        first = int(start / SERIES_STEP_S)
        last = int(end / SERIES_STEP_S) + 1
        return max(self.series[first:last], default=0.0)

    def find_last_above(self, limit: float, start: float) -> float | None:
        """Returns the last time, in seconds, with a gap above `limit`.

        Returns None if there is none at or after `start`.
        """
        first = int(start / SERIES_STEP_S)
        for step in range(len(self.series) - 1, first - 1, -1):
            if self.series[step] > limit:
                return step * SERIES_STEP_S
        return None

    def _normalise_service(self, name: ids.WorkspaceId, now: float) -> float:
        received = self.services[name].get_received(now, self.rate)
        return received * self.service_scales[name]

    def _start_pairs(self, name: ids.WorkspaceId, now: float) -> None:
        level = self._normalise_service(name, now)
        for other in self.backlogged:
            base = level - self._normalise_service(other, now)
            self.pairs[name, other] = BackloggedPair(base, base, base)
        self.backlogged.add(name)

    def _add_to_series(self, largest: float, now: float) -> None:
        step = int(now / SERIES_STEP_S)
        while len(self.series) <= step:
            self.series.append(0.0)
        self.series[step] = max(self.series[step], largest)
