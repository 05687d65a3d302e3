"""What a pool's scheduler knows of one router that follows it."""

import dataclasses

from lentilbeam_core import channel
from lentilbeam_core import ids
from lentilbeam_core import messages

CellKey = tuple[ids.TargetId, ids.WorkspaceId]


@dataclasses.dataclass(slots=True)
class Baseline:
    """Service of one router incarnation that is settled already."""

    incarnation: ids.Incarnation
    served: dict[ids.WorkspaceId, float] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Contribution:
    """What one cell adds to the totals: slots and expected cost."""

    slots: int = 0
    cost: float = 0.0


NOTHING = Contribution()


class Session:
    """One router's state in one session.

    Attributes:
        granted: cumulative grants by target and workspace.
        pending: grants by workspace that no report has confirmed.
        is_counted: whether the router is heard and its state counts.
    """

    def __init__(
        self,
        name: ids.InstanceId,
        incarnation: ids.Incarnation,
        number: int,
        pace: channel.Pace,
    ):
        self.name = name
        self.incarnation = incarnation
        self.number = number
        self.sender = channel.StateSender(pace)
        self.receiver = channel.StateReceiver()
        self.demands: dict[ids.WorkspaceId, messages.WorkspaceDemand] = {}
        self.oldest_at: dict[ids.WorkspaceId, float] = {}
        self.heard_at: dict[ids.WorkspaceId, float] = {}
        self.uses: dict[CellKey, messages.SlotUse] = {}
        self.targets: dict[ids.TargetId, messages.TargetUse] = {}
        self.granted: dict[CellKey, int] = {}
        self.pending: dict[ids.WorkspaceId, int] = {}
        self.counted: dict[CellKey, int] = {}
        self.rooms: dict[ids.WorkspaceId, int] = {}
        self.applied: dict[CellKey, Contribution] = {}
        self.is_counted = True

    def is_full(self) -> bool:
        """Tells whether all state since the session's start was heard."""
        return self.receiver.complete > 0

    def room(self, workspace: ids.WorkspaceId) -> int:
        """Returns waiting requests that are not granted yet."""
        demand = self.demands.get(workspace)
        if demand is None or not self.is_counted:
            return 0
        return max(demand.queued - self.pending.get(workspace, 0), 0)

    def oldest(self, workspace: ids.WorkspaceId) -> float:
        """Returns about when the oldest request without grant arrived."""
        oldest_at = self.oldest_at[workspace]
        queued = max(self.demands[workspace].queued, 1)
        part = self.pending.get(workspace, 0) / queued
        return oldest_at + (self.heard_at[workspace] - oldest_at) * part

    def unseen(self, key: CellKey) -> int:
        """Returns grants of the cell that no report has confirmed."""
        use = self.uses.get(key)
        seen = use.granted if use else 0
        return max(self.granted.get(key, 0) - seen, 0)

    def count_pending(self, key: CellKey) -> None:
        """Brings `pending` up to date with a changed cell."""
        workspace = key[1]
        unseen = self.unseen(key)
        change = unseen - self.counted.get(key, 0)
        self.counted[key] = unseen
        self.pending[workspace] = self.pending.get(workspace, 0) + change

    def contribution(self, key: CellKey) -> Contribution:
        """Returns what the cell adds to the totals now."""
        if not self.is_counted:
            return NOTHING
        use = self.uses.get(key)
        unseen = self.unseen(key)
        demand = self.demands.get(key[1])
        cost = unseen * (demand.next_cost if demand else 0.0)
        if use is None:
            return Contribution(unseen, cost)
        unused = max(use.granted - use.spent, 0)
        return Contribution(unseen + unused + use.running, cost + use.estimate)
