"""What a pool's scheduler knows of one router that follows it."""

import dataclasses

from lentilbeam_core import channel
from lentilbeam_core import ids
from lentilbeam_core import messages

SlotUseKey = tuple[ids.TargetId, ids.WorkspaceId]


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


NO_CONTRIBUTION = Contribution()


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
        self.reported_at: dict[ids.WorkspaceId, float] = {}
        self.uses: dict[SlotUseKey, messages.SlotUse] = {}
        self.targets: dict[ids.TargetId, messages.TargetUse] = {}
        self.granted: dict[SlotUseKey, int] = {}
        self.unconfirmed: dict[ids.WorkspaceId, int] = {}
        self.unconfirmed_by_key: dict[SlotUseKey, int] = {}
        self.ungranted: dict[ids.WorkspaceId, int] = {}
        self.contributions: dict[SlotUseKey, Contribution] = {}
        self.is_counted = True

    def has_full_report(self) -> bool:
        """Tells whether all state since the session's start was heard."""
        return self.receiver.complete_sequence > 0

    def count_ungranted(self, workspace: ids.WorkspaceId) -> int:
        """Returns waiting requests that are not granted yet."""
        demand = self.demands.get(workspace)
        if demand is None or not self.is_counted:
            return 0
        return max(demand.queued - self.unconfirmed.get(workspace, 0), 0)

    def oldest_ungranted_at(self, workspace: ids.WorkspaceId) -> float:
        """Returns about when the oldest request without grant arrived."""
        oldest_at = self.oldest_at[workspace]
        queued = max(self.demands[workspace].queued, 1)
        part = self.unconfirmed.get(workspace, 0) / queued
        return oldest_at + (self.reported_at[workspace] - oldest_at) * part

    def count_unconfirmed(self, key: SlotUseKey) -> int:
        """Returns grants of the cell that no report has confirmed."""
        use = self.uses.get(key)
        seen = use.granted if use else 0
        return max(self.granted.get(key, 0) - seen, 0)

    def update_unconfirmed(self, key: SlotUseKey) -> None:
        """Brings `pending` up to date with a changed cell."""
        workspace = key[1]
        unconfirmed = self.count_unconfirmed(key)
        change = unconfirmed - self.unconfirmed_by_key.get(key, 0)
        self.unconfirmed_by_key[key] = unconfirmed
        self.unconfirmed[workspace] = (
            self.unconfirmed.get(workspace, 0) + change
        )

    def contribution(self, key: SlotUseKey) -> Contribution:
        """Returns what the cell adds to the totals now."""
        if not self.is_counted:
            return NO_CONTRIBUTION
        use = self.uses.get(key)
        unconfirmed = self.count_unconfirmed(key)
        demand = self.demands.get(key[1])
        cost = unconfirmed * (demand.next_cost if demand else 0.0)
        if use is None:
            return Contribution(unconfirmed, cost)
        unused = max(use.granted - use.spent, 0)
        return Contribution(
            unconfirmed + unused + use.running, cost + use.estimate
        )
