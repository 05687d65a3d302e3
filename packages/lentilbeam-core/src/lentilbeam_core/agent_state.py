"""State of one router for one pool: its requests and grants."""

import dataclasses

from lentilbeam_core import catalogue as catalogue_lib
from lentilbeam_core import channel
from lentilbeam_core import costs
from lentilbeam_core import ids
from lentilbeam_core import prefixes
from lentilbeam_core import queueing


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of an agent.

    Attributes:
        pace: how often reports are sent to a scheduler on another router.
        low_priority_delay_s: how long to delay the report of a change that
            affects no scheduling decision, in seconds.
        autonomous_after_s: a scheduler that has not answered for this many
            seconds is considered unresponsive; the router then reuses freed
            slots without grants.
        max_tries: how often one request is dispatched while no byte of it
            reaches a target.
        retry_ratio: retries added to the budget per dispatched request.
        retry_burst: maximum retry budget.
        estimates: settings of cost estimates.
        prefix_index: settings of the prefix index.
    """

    pace: channel.Pace = channel.Pace(max_interval_s=0.15, resend_s=0.3)
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
        pending: the request, with the state from its queue.
        target: the target that runs it.
        started: when it was dispatched, in monotonic seconds.
        used: its cost so far.
    """

    pending: queueing.PendingRequest
    target: ids.TargetId
    started: float
    used: float = 0.0


@dataclasses.dataclass(slots=True)
class SlotCounts:
    """Grants and running requests of one workspace on one target.

    Attributes:
        granted: cumulative grants received in this session.
        spent: cumulative grants of this session used or returned.
        running: number of requests running now.
    """

    granted: int = 0
    spent: int = 0
    running: int = 0


class State:
    """Queues, running requests and grants of one router for one pool.

    Attributes:
        settings: the agent's settings.
        catalogue: the catalogue the agent uses.
        targets: the pool's targets, by name.
        draining: targets that are draining.
        queues: queued requests, by workspace.
        queued_by_name: queued requests, by name.
        running: dispatched requests, by name.
        running_by_workspace: names of the dispatched requests, by workspace.
        slot_counts: grants and running requests, by target and workspace.
        prefixes: where prompt prefixes ran last.
        retry_budget: number of retries allowed now.
        counters: number of decisions since the start, by name.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        self.catalogue = catalogue_lib.EMPTY
        self.targets: dict[ids.TargetId, catalogue_lib.Target] = {}
        self.draining: set[ids.TargetId] = set()
        self.queues: dict[ids.WorkspaceId, queueing.WorkspaceQueue] = {}
        self.queued_by_name: dict[ids.RequestId, queueing.PendingRequest] = {}
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
        """Returns the workspace's queue, creating it if necessary."""
        if workspace not in self.queues:
            self.queues[workspace] = queueing.WorkspaceQueue()
        return self.queues[workspace]

    def get_slot_counts(
        self, target: ids.TargetId, workspace: ids.WorkspaceId
    ) -> SlotCounts:
        """Returns a workspace's counts on a target, creating them if needed."""
        return self.slot_counts.setdefault((target, workspace), SlotCounts())

    def drop_idle_slot_counts(self) -> None:
        """Removes the slot counts of pairs without running requests."""
        self.slot_counts = {
            k: c for k, c in self.slot_counts.items() if c.running
        }

    def is_usable(self, target: ids.TargetId) -> bool:
        """Returns whether requests may be dispatched to the target."""
        return target in self.targets and target not in self.draining

    def runs(self, workspace: ids.WorkspaceId) -> list[Run]:
        """Returns the workspace's dispatched requests."""
        names = self.running_by_workspace.get(workspace, ())
        return [self.running[name] for name in names]

    def count(self, name: str, amount: int = 1) -> None:
        """Adds `amount` to the counter `name`."""
        self.counters[name] = self.counters.get(name, 0) + amount


def expected_cost(runs: list[Run]) -> float:
    """Returns the expected remaining cost of `runs`."""
    return sum(costs.remaining(r.pending.estimate, r.used) for r in runs)
