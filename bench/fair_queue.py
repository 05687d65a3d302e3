"""Queues of the baseline policies: start-time fair queueing and FIFO."""

import collections
from collections.abc import Callable
import dataclasses

from lentilbeam_core import events
from lentilbeam_core import ids


@dataclasses.dataclass(slots=True)
class Flow:
    """Queue of one workspace.

    Attributes:
        weight: share of the service relative to other workspaces.
        virtual_time: charged cost divided by the weight.
        queue: waiting requests in order of arrival.
    """

    weight: float
    virtual_time: float = 0.0
    queue: collections.deque[events.QueuedRequest] = dataclasses.field(
        default_factory=collections.deque
    )


class FairQueue:
    """Serves the backlogged workspace with the lowest virtual time."""

    def __init__(self, weights: dict[ids.WorkspaceId, float]):
        self.flows = {name: Flow(weight) for name, weight in weights.items()}

    def push(self, request: events.QueuedRequest) -> None:
        """Queues a request.

        The virtual time of a workspace that was idle is raised to the lowest
        among the backlogged ones, so that idle time earns no credit.
        """
        flow = self.flows[request.workspace]
        backlogged = [f.virtual_time for f in self.flows.values() if f.queue]
        if not flow.queue and backlogged:
            flow.virtual_time = max(flow.virtual_time, min(backlogged))
        flow.queue.append(request)

    def pop(self) -> events.QueuedRequest | None:
        """Removes and returns the next request; None if the queue is empty."""
        backlogged = [f for f in self.flows.values() if f.queue]
        if not backlogged:
            return None
        return min(
            backlogged, key=lambda flow: flow.virtual_time
        ).queue.popleft()

    def charge(self, workspace: ids.WorkspaceId, cost: float) -> None:
        """Charges a workspace for service; a negative cost is a refund."""
        flow = self.flows[workspace]
        flow.virtual_time += cost / flow.weight

    def length(self, workspace: ids.WorkspaceId) -> int:
        """Returns the number of waiting requests of a workspace."""
        return len(self.flows[workspace].queue)

    def remove(self, name: ids.RequestId) -> None:
        """Removes a request; does nothing if it is not queued."""
        for flow in self.flows.values():
            kept = [r for r in flow.queue if r.name != name]
            if len(kept) < len(flow.queue):
                flow.queue = collections.deque(kept)


class FifoQueue(FairQueue):
    """Serves requests in order of arrival, without fairness."""

    def __init__(self, weights: dict[ids.WorkspaceId, float]):
        super().__init__(weights)
        self.arrivals: collections.deque[ids.WorkspaceId] = collections.deque()

    def push(self, request: events.QueuedRequest) -> None:
        """Appends a request to the queue."""
        self.flows[request.workspace].queue.append(request)
        self.arrivals.append(request.workspace)

    def pop(self) -> events.QueuedRequest | None:
        """Removes and returns the oldest request; None if there is none."""
        while self.arrivals:
            flow = self.flows[self.arrivals.popleft()]
            if flow.queue:
                return flow.queue.popleft()
        return None


QueueFactory = Callable[[dict[ids.WorkspaceId, float]], FairQueue]
