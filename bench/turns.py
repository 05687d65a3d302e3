"""How much later than fair queueing a backlogged workspace is served.

The due time of a workspace's next start is the virtual finish time of its
last request in fair queueing: the start of that request, or its due time if
that is later, plus the time that the workspace's fair share needs to serve
the cost of that request.
"""

import bisect
import dataclasses

from lentilbeam_core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Lateness:
    """The longest delay of a start beyond its due time.

    Attributes:
        seconds: the delay.
        time: when it was measured, in seconds.
        workspace: the delayed workspace.
    """

    seconds: float = 0.0
    time: float = 0.0
    workspace: str = ""


class TurnMeter:
    """Computes the due times of all workspaces in virtual service time.

    Virtual time advances at the capacity divided by the sum of the weights
    of all active workspaces, in cost units per unit of weight and second.

    Attributes:
        weights: weight of each workspace.
        times: points in time, in seconds, at which virtual time is known.
        virtuals: virtual time at each of `times`.
        speed: current rate of virtual time.
        turns: virtual due time of each workspace's next start.
        since: virtual time of the last start, or of the begin of the backlog,
            of each backlogged workspace.
        worst: the longest delay so far.
    """

    def __init__(self, weights: dict[ids.WorkspaceId, float]):
        self.weights = weights
        self.times = [0.0]
        self.virtuals = [0.0]
        self.speed = 0.0
        self.turns: dict[ids.WorkspaceId, float] = {}
        self.since: dict[ids.WorkspaceId, float] = {}
        self.worst = Lateness()

    def set_speed(
        self, capacity: float, active: set[ids.WorkspaceId], now: float
    ) -> None:
        """Sets the capacity and the active workspaces from `now` on.

        Args:
            capacity: cost units that all slots serve per second.
            active: workspaces with waiting or running requests.
            now: current time in seconds.
        """
        self._advance(now)
        total = sum(self.weights[name] for name in active)
        self.speed = capacity / total if total else 0.0

    def set_backlogged(
        self, name: ids.WorkspaceId, is_backlogged: bool, now: float
    ) -> None:
        """Records whether requests of the workspace are waiting."""
        if not is_backlogged:
            self.since.pop(name, None)
        elif name not in self.since:
            self._advance(now)
            self.since[name] = self.virtuals[-1]

    def start(self, name: ids.WorkspaceId, cost: float, now: float) -> None:
        """Records the start of a request with this true cost."""
        self._check(name, now)
        virtual = self.virtuals[-1]
        turn = max(self.turns.get(name, 0.0), virtual)
        self.turns[name] = turn + cost / self.weights[name]
        if name in self.since:
            self.since[name] = virtual

    def finish(self, now: float) -> None:
        """Measures the delays of workspaces that are still backlogged."""
        for name in [*self.since]:
            self._check(name, now)

    def _check(self, name: ids.WorkspaceId, now: float) -> None:
        self._advance(now)
        if name not in self.since:
            return
        turn = max(self.turns.get(name, 0.0), self.since[name])
        late = now - self._time_of(turn)
        if late > self.worst.seconds:
            self.worst = Lateness(late, now, name)

    def _time_of(self, virtual: float) -> float:
        index = bisect.bisect_right(self.virtuals, virtual)
        if index >= len(self.times):
            return self.times[-1]
        low, high = self.virtuals[index - 1], self.virtuals[index]
        share = (virtual - low) / (high - low)
        begin, end = self.times[index - 1], self.times[index]
        return begin + share * (end - begin)

    def _advance(self, now: float) -> None:
        elapsed = now - self.times[-1]
        if elapsed > 0:
            self.virtuals.append(self.virtuals[-1] + elapsed * self.speed)
            self.times.append(now)
