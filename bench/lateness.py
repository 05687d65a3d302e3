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


class LatenessMeter:
    """Computes the due times of all workspaces in virtual service time.

    Virtual time advances at the capacity divided by the sum of the weights
    of all active workspaces, in tokens per unit of weight and second.

    Attributes:
        weights: weight of each workspace.
        times: points in time, in seconds, at which virtual time is known.
        virtual_times: virtual time at each of `times`.
        virtual_rate: current rate of virtual time.
        due_times: virtual due time of each workspace's next start.
        wait_started: for each backlogged workspace, the virtual time of its
            last start, or of the beginning of its backlog if that is later.
        max_lateness: the longest delay so far.
    """

    def __init__(self, weights: dict[ids.WorkspaceId, float]):
        self.weights = weights
        self.times = [0.0]
        self.virtual_times = [0.0]
        self.virtual_rate = 0.0
        self.due_times: dict[ids.WorkspaceId, float] = {}
        self.wait_started: dict[ids.WorkspaceId, float] = {}
        self.max_lateness = Lateness()

    def set_capacity(
        self, capacity: float, active: set[ids.WorkspaceId], now: float
    ) -> None:
        """Sets the capacity and the active workspaces from `now` on.

        Args:
            capacity: tokens that all slots serve per second.
            active: workspaces with waiting or running requests.
            now: current time in seconds.
        """
        self._advance(now)
        total = sum(self.weights[name] for name in active)
        self.virtual_rate = capacity / total if total else 0.0

    def set_backlogged(
        self, name: ids.WorkspaceId, is_backlogged: bool, now: float
    ) -> None:
        """Records whether requests of the workspace are waiting."""
        if not is_backlogged:
            self.wait_started.pop(name, None)
        elif name not in self.wait_started:
            self._advance(now)
            self.wait_started[name] = self.virtual_times[-1]

    def start(self, name: ids.WorkspaceId, cost: float, now: float) -> None:
        """Records the start of a request with this true cost."""
        self._update_lateness(name, now)
        virtual_now = self.virtual_times[-1]
        due = max(self.due_times.get(name, 0.0), virtual_now)
        self.due_times[name] = due + cost / self.weights[name]
        if name in self.wait_started:
            self.wait_started[name] = virtual_now

    def finish(self, now: float) -> None:
        """Measures the delays of workspaces that are still backlogged."""
        for name in [*self.wait_started]:
            self._update_lateness(name, now)

    def _update_lateness(self, name: ids.WorkspaceId, now: float) -> None:
        self._advance(now)
        if name not in self.wait_started:
            return
        due = max(self.due_times.get(name, 0.0), self.wait_started[name])
        lateness_s = now - self._to_real_time(due)
        if lateness_s > self.max_lateness.seconds:
            self.max_lateness = Lateness(lateness_s, now, name)

    def _to_real_time(self, virtual: float) -> float:
        index = bisect.bisect_right(self.virtual_times, virtual)
        if index >= len(self.times):
            return self.times[-1]
        low, high = self.virtual_times[index - 1], self.virtual_times[index]
        fraction = (virtual - low) / (high - low)
        begin, end = self.times[index - 1], self.times[index]
        return begin + fraction * (end - begin)

    def _advance(self, now: float) -> None:
        elapsed = now - self.times[-1]
        if elapsed > 0:
            self.virtual_times.append(
                self.virtual_times[-1] + elapsed * self.virtual_rate
            )
            self.times.append(now)
