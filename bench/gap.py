"""The fairness gap between continuously backlogged workspaces.

For two workspaces i and j that both have waiting requests without a break,
`D(t) = S_i(t) / w_i - S_j(t) / w_j`, where S is the service truly received
up to t and w the weight. The unit is the largest request of a workspace of
weight 1. D is linear between starts and ends of requests, so that updates at
these times see its extremes.
"""

import dataclasses

from lentilbeam_core import ids

SERIES_STEP_S = 0.05


@dataclasses.dataclass(slots=True)
class Service:
    """Service received by one workspace, progressively.

    Attributes:
        done: cost units of requests that have left their slots.
        running: requests that hold slots now.
        starts: sum of the start times of these requests.
    """

    done: float = 0.0
    running: int = 0
    starts: float = 0.0

    def received(self, now: float, rate: float) -> float:
        """Returns all service up to `now`, in cost units."""
        return self.done + rate * (self.running * now - self.starts)


@dataclasses.dataclass(slots=True)
class Pair:
    """One interval in which two workspaces are both backlogged."""

    base: float
    low: float
    high: float


@dataclasses.dataclass(frozen=True, slots=True)
class Worst:
    """The largest gap so far, in largest requests."""

    gap: float = 0.0
    time: float = 0.0
    ahead: str = ""
    behind: str = ""


class GapMeter:
    """Follows the gap of all pairs of backlogged workspaces.

    Args:
        weights: weight of each workspace.
        largest: cost of the largest request, in cost units.
        rate: cost units that one slot serves per second.
    """

    def __init__(
        self,
        weights: dict[ids.WorkspaceId, float],
        largest: float,
        rate: float,
    ):
        self.scales = {w: 1 / (v * largest) for w, v in weights.items()}
        self.rate = rate
        self.services = {name: Service() for name in weights}
        self.backlogged: set[ids.WorkspaceId] = set()
        self.pairs: dict[tuple[ids.WorkspaceId, ids.WorkspaceId], Pair] = {}
        self.worst = Worst()
        self.strict = 0.0
        self.series: list[float] = []

    def start(self, name: ids.WorkspaceId, now: float) -> None:
        """Notes that a request of the workspace got a slot."""
        self.update(now)
        service = self.services[name]
        service.running += 1
        service.starts += now

    def stop(self, name: ids.WorkspaceId, started: float, now: float) -> None:
        """Notes that a request of the workspace left its slot."""
        self.update(now)
        service = self.services[name]
        service.running -= 1
        service.starts -= started
        service.done += self.rate * (now - started)

    def set_backlogged(
        self, name: ids.WorkspaceId, is_backlogged: bool, now: float
    ) -> None:
        """Notes whether requests of the workspace wait."""
        if is_backlogged == (name in self.backlogged):
            return
        self.update(now)
        if is_backlogged:
            self._open(name, now)
        else:
            self.backlogged.discard(name)
            for key in [key for key in self.pairs if name in key]:
                del self.pairs[key]

    def update(self, now: float) -> None:
        """Takes the gaps of all pairs at the time `now`."""
        levels = {n: self._level(n, now) for n in self.backlogged}
        largest = 0.0
        for (one, other), pair in self.pairs.items():
            gap = levels[one] - levels[other]
            if gap < pair.low:
                pair.low = gap
            elif gap > pair.high:
                pair.high = gap
            moved = gap - pair.base
            if abs(moved) > largest:
                largest = abs(moved)
                if largest > self.worst.gap:
                    names = (one, other) if moved > 0 else (other, one)
                    self.worst = Worst(largest, now, *names)
            if pair.high - pair.low > self.strict:
                self.strict = pair.high - pair.low
        self._record(largest, now)

    def highest(self, start: float, end: float) -> float:
        """Returns the largest gap from `start` to `end`, in seconds."""
        first = int(start / SERIES_STEP_S)
        last = int(end / SERIES_STEP_S) + 1
        return max(self.series[first:last], default=0.0)

    def last_above(self, limit: float, start: float) -> float | None:
        """Returns the last time from `start` on with a gap over `limit`."""
        first = int(start / SERIES_STEP_S)
        for step in range(len(self.series) - 1, first - 1, -1):
            if self.series[step] > limit:
                return step * SERIES_STEP_S
        return None

    def _level(self, name: ids.WorkspaceId, now: float) -> float:
        received = self.services[name].received(now, self.rate)
        return received * self.scales[name]

    def _open(self, name: ids.WorkspaceId, now: float) -> None:
        level = self._level(name, now)
        for other in self.backlogged:
            base = level - self._level(other, now)
            self.pairs[name, other] = Pair(base, base, base)
        self.backlogged.add(name)

    def _record(self, largest: float, now: float) -> None:
        step = int(now / SERIES_STEP_S)
        while len(self.series) <= step:
            self.series.append(0.0)
        self.series[step] = max(self.series[step], largest)
