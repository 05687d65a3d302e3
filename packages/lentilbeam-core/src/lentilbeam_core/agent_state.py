"""What the parts of a router's side of a pool share: requests and grants."""

import dataclasses

from lentilbeam_core import catalogue as catalogue_lib
from lentilbeam_core import channel
from lentilbeam_core import costs
from lentilbeam_core import ids
from lentilbeam_core import prefixes
from lentilbeam_core import queueing


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the router's side.

    Attributes:
        pace: how often reports are sent to another router.
        lazy_s: how long a change may wait that changes no decision.
        autonomy_s: a scheduler that has not answered for this long is
            silent, and slots are used again without it.
        max_tries: targets tried for one request while none took a byte.
        retry_ratio: retries allowed for each dispatched request.
        retry_burst: retries allowed at once.
        estimates: settings of cost estimates.
        prefix_memory: settings of the prefix memory.
    """

    pace: channel.Pace = channel.Pace(interval_s=0.15, resend_s=0.3)
    low_priority_delay_s: float = 0.25
    autonomous_after_s: float = 0.3
    max_tries: int = 4
    retry_ratio: float = 0.1
    retry_burst: float = 16.0
    estimates: costs.Settings = costs.Settings()
    prefix_index: prefixes.Settings = prefixes.Settings()


@dataclasses.dataclass(slots=True)
class Run:
    """A dispatched request.

    Attributes:
        pending: the request.
        target: where it runs.
        started: when it was dispatched, monotonic seconds.
        used: its cost so far.
    """

    pending: queueing.PendingRequest
    target: ids.TargetId
    started: float
    used: float = 0.0


@dataclasses.dataclass(slots=True)
class SlotCounts:
    """Grants and runs of one workspace on one target."""

    granted: int = 0
    spent: int = 0
    running: int = 0


class State:
    """Queues, runs and grants of one router for one pool.

    Attributes:
        targets: the pool's targets by name.
        draining: those that are leaving.
        queues: waiting requests by workspace.
        waiting: the same by name.
        running: dispatched requests by name.
        by_workspace: names of the same.
        cells: grants and runs by target and workspace.
        retry_budget: retries that may be made now.
        counters: decisions since the start.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        self.catalogue = catalogue_lib.EMPTY
        self.targets: dict[ids.TargetId, catalogue_lib.Target] = {}
        self.draining: set[ids.TargetId] = set()
        self.queues: dict[ids.WorkspaceId, queueing.WorkspaceQueue] = {}
        self.waiting: dict[ids.RequestId, queueing.PendingRequest] = {}
        self.running: dict[ids.RequestId, Run] = {}
        self.running_by_workspace: dict[
            ids.WorkspaceId, set[ids.RequestId]
        ] = {}
        self.slot_counts: dict[
            tuple[ids.TargetId, ids.WorkspaceId], SlotCounts
        ] = {}
        self.prefixes = prefixes.PrefixIndex(settings.prefix_index)
        self.retry_budget = settings.retry_burst
        self.counters: dict[str, int] = {}

    def queue(self, workspace: ids.WorkspaceId) -> queueing.WorkspaceQueue:
        """Returns the workspace's queue, a new one at first."""
        if workspace not in self.queues:
            self.queues[workspace] = queueing.WorkspaceQueue()
        return self.queues[workspace]

    def get_slot_counts(
        self, target: ids.TargetId, workspace: ids.WorkspaceId
    ) -> SlotCounts:
        """Returns the cell of a workspace on a target, a new one at first."""
        return self.slot_counts.setdefault((target, workspace), SlotCounts())

    def drop_idle_slot_counts(self) -> None:
        """Drops cells in which nothing runs."""
        self.slot_counts = {
            k: c for k, c in self.slot_counts.items() if c.running
        }

    def is_usable(self, target: ids.TargetId) -> bool:
        """Tells whether requests may be dispatched to the target."""
        return target in self.targets and target not in self.draining

    def runs(self, workspace: ids.WorkspaceId) -> list[Run]:
        """Returns the workspace's dispatched requests."""
        names = self.running_by_workspace.get(workspace, ())
        return [self.running[name] for name in names]

    def count(self, name: str, amount: int = 1) -> None:
        """Adds to a counter."""
        self.counters[name] = self.counters.get(name, 0) + amount


def expected_cost(runs: list[Run]) -> float:
    """Returns the cost that `runs` are still expected to use."""
    return sum(costs.remaining(r.pending.estimate, r.used) for r in runs)
