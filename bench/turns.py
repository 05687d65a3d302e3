"""How much later than its fair turn a backlogged workspace is served.

The fair turn of each start follows the virtual clock of fair queueing: the
time of the last start (or of the last fair turn, if that is later) plus the
time that the workspace's fair share needs for the cost of that last request.
"""

import bisect
import dataclasses

from lentilbeam_core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Lateness:
    """The longest wait beyond a fair turn, in seconds."""

    seconds: float = 0.0
    time: float = 0.0
    workspace: str = ""


class TurnMeter:
    """Follows fair turns of all workspaces in virtual service time.

    Virtual time runs at capacity over the sum of the weights of all active
    workspaces, in cost units per weight and second.
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
        """Sets the capacity, in cost units per second, from `now` on."""
        self._advance(now)
        total = sum(self.weights[name] for name in active)
        self.speed = capacity / total if total else 0.0

    def set_backlogged(
        self, name: ids.WorkspaceId, is_backlogged: bool, now: float
    ) -> None:
        """Notes whether requests of the workspace wait."""
        if not is_backlogged:
            self.since.pop(name, None)
        elif name not in self.since:
            self._advance(now)
            self.since[name] = self.virtuals[-1]

    def start(self, name: ids.WorkspaceId, cost: float, now: float) -> None:
        """Notes the start of a request with this true cost."""
        self._check(name, now)
        virtual = self.virtuals[-1]
        turn = max(self.turns.get(name, 0.0), virtual)
        self.turns[name] = turn + cost / self.weights[name]
        if name in self.since:
            self.since[name] = virtual

    def finish(self, now: float) -> None:
        """Takes the waits that still go on at the end."""
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
