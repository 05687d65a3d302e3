"""State that a pool's scheduler keeps of one router."""

import dataclasses

from lentilbeam_core import channel
from lentilbeam_core import ids
from lentilbeam_core import messages

SlotUseKey = tuple[ids.TargetId, ids.WorkspaceId]


@dataclasses.dataclass(slots=True)
class Baseline:
    """Service of one router incarnation that has been charged already.

    Attributes:
        incarnation: start time of the router's process.
        charged: cumulative cost charged so far, by workspace.
    """

    incarnation: ids.Incarnation
    charged: dict[ids.WorkspaceId, float] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Contribution:
    """What one workspace on one target adds to the scheduler's totals.

    Attributes:
        slots: number of slots in use or granted.
        cost: expected remaining cost.
    """

    slots: int = 0
    cost: float = 0.0


NO_CONTRIBUTION = Contribution()


class Session:
    """State of one router in one session.

    Grants are counted cumulatively, by target and workspace: those that the
    scheduler made (`granted`), those that the router has reported as received
    (`SlotUse.granted`), and those that it has reported as used or returned
    (`SlotUse.spent`). Each of these counts is at least as high as the next.
    A grant is unreported if it is in the first count but not in the second,
    and unused if it is in the second but not in the third.

    Attributes:
        name: the router.
        incarnation: start time of the router's process.
        number: session number.
        sender: tracks which grants the router has acknowledged.
        receiver: tracks which reports have arrived.
        demands: last reported demand, by workspace.
        oldest_at: when the oldest queued request arrived, by workspace, in
            monotonic seconds.
        reported_at: when the demand was last reported, by workspace, in
            monotonic seconds.
        slot_uses: last reported slot use, by target and workspace.
        targets: last reported failures and draining state, by target.
        granted: cumulative grants, by target and workspace.
        unreported: number of unreported grants, by workspace.
        unreported_by_key: the same by target and workspace, as added to
            `unreported`.
        ungranted: queued requests without a grant, by workspace, as counted
            in the scheduler's totals.
        contributions: what each target and workspace has been counted with in
            the scheduler's totals.
        is_counted: whether the router is reachable, and its state therefore
            counted in the scheduler's totals.
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
        self.slot_uses: dict[SlotUseKey, messages.SlotUse] = {}
        self.targets: dict[ids.TargetId, messages.TargetUse] = {}
        self.granted: dict[SlotUseKey, int] = {}
        self.unreported: dict[ids.WorkspaceId, int] = {}
        self.unreported_by_key: dict[SlotUseKey, int] = {}
        self.ungranted: dict[ids.WorkspaceId, int] = {}
        self.contributions: dict[SlotUseKey, Contribution] = {}
        self.is_counted = True

    def has_full_report(self) -> bool:
        """Returns whether a complete report of the session has arrived.

        The first report of a session lists the full state.
        """
        return self.receiver.complete_sequence > 0

    def count_ungranted(self, workspace: ids.WorkspaceId) -> int:
        """Returns the number of queued requests without a grant."""
        demand = self.demands.get(workspace)
        if demand is None or not self.is_counted:
            return 0
        return max(demand.queued - self.unreported.get(workspace, 0), 0)

    def oldest_ungranted_at(self, workspace: ids.WorkspaceId) -> float:
        """Estimates when the oldest request without a grant arrived.

        The time is in monotonic seconds. Interpolates between the arrival of
        the oldest request and the last report.
        """
        oldest_at = self.oldest_at[workspace]
        queued = max(self.demands[workspace].queued, 1)
        granted_fraction = self.unreported.get(workspace, 0) / queued
        return (
            oldest_at
            + (self.reported_at[workspace] - oldest_at) * granted_fraction
        )

    def count_unreported(self, key: SlotUseKey) -> int:
        """Returns the number of unreported grants of `key`."""
        use = self.slot_uses.get(key)
        reported = use.granted if use else 0
        return max(self.granted.get(key, 0) - reported, 0)

    def update_unreported(self, key: SlotUseKey) -> None:
        """Updates `unreported` after a change of `key`."""
        workspace = key[1]
        unreported = self.count_unreported(key)
        change = unreported - self.unreported_by_key.get(key, 0)
        self.unreported_by_key[key] = unreported
        self.unreported[workspace] = self.unreported.get(workspace, 0) + change

    def contribution(self, key: SlotUseKey) -> Contribution:
        """Returns what `key` currently adds to the scheduler's totals."""
        if not self.is_counted:
            return NO_CONTRIBUTION
        use = self.slot_uses.get(key)
        unreported = self.count_unreported(key)
        demand = self.demands.get(key[1])
        cost = unreported * (demand.next_cost if demand else 0.0)
        if use is None:
            return Contribution(unreported, cost)
        unused = max(use.granted - use.spent, 0)
        return Contribution(
            unreported + unused + use.running, cost + use.estimate
        )
