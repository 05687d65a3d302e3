"""Start-time fair queueing, as the baseline policies use it."""

import collections
from collections.abc import Callable
import dataclasses

from lentilbeam_core import events
from lentilbeam_core import ids


@dataclasses.dataclass(slots=True)
class Flow:
    """One workspace's queue and its virtual time."""

    weight: float
    virtual: float = 0.0
    queue: collections.deque[events.QueuedRequest] = dataclasses.field(
        default_factory=collections.deque
    )


class FairQueue:
    """Picks the backlogged workspace with the least virtual time."""

    def __init__(self, weights: dict[ids.WorkspaceId, float]):
        self.flows = {name: Flow(weight) for name, weight in weights.items()}

    def push(self, request: events.QueuedRequest) -> None:
        """Queues a request; a workspace that wakes up banks nothing."""
        flow = self.flows[request.workspace]
        backlogged = [f.virtual for f in self.flows.values() if f.queue]
        if not flow.queue and backlogged:
            flow.virtual = max(flow.virtual, min(backlogged))
        flow.queue.append(request)

    def pop(self) -> events.QueuedRequest | None:
        """Returns the next request, or None when nothing waits."""
        backlogged = [f for f in self.flows.values() if f.queue]
        if not backlogged:
            return None
        return min(backlogged, key=lambda flow: flow.virtual).queue.popleft()

    def charge(self, workspace: ids.WorkspaceId, cost: float) -> None:
        """Adds service, or takes it back if `cost` is negative."""
        flow = self.flows[workspace]
        flow.virtual += cost / flow.weight

    def length(self, workspace: ids.WorkspaceId) -> int:
        """Returns how many requests of the workspace wait."""
        return len(self.flows[workspace].queue)

    def remove(self, name: ids.RequestId) -> None:
        """Drops a request that waits, if it does."""
        for flow in self.flows.values():
            kept = [r for r in flow.queue if r.name != name]
            if len(kept) < len(flow.queue):
                flow.queue = collections.deque(kept)


class ArrivalQueue(FairQueue):
    """Serves in arrival order, without any fairness."""

    def __init__(self, weights: dict[ids.WorkspaceId, float]):
        super().__init__(weights)
        self.arrivals: collections.deque[ids.WorkspaceId] = collections.deque()

    def push(self, request: events.QueuedRequest) -> None:
        """Queues a request behind all others."""
        self.flows[request.workspace].queue.append(request)
        self.arrivals.append(request.workspace)

    def pop(self) -> events.QueuedRequest | None:
        """Returns the request that came first, or None."""
        while self.arrivals:
            flow = self.flows[self.arrivals.popleft()]
            if flow.queue:
                return flow.queue.popleft()
        return None


QueueFactory = Callable[[dict[ids.WorkspaceId, float]], FairQueue]
