"""Start-time fair queueing over workspaces.

A workspace's virtual time is the service charged to it, divided by its weight.
It never decreases. Workspaces are ordered by their projected virtual time,
which adds the expected remaining cost of their running and granted requests.
The virtual time of a workspace that becomes eligible for grants again is
raised to the lowest one of the eligible workspaces, so that being idle earns
no credit.
"""

import dataclasses
import math

import sortedcontainers

from lentilbeam_core import catalogue as catalogue_lib
from lentilbeam_core import ids


@dataclasses.dataclass(slots=True)
class Account:
    """Service, demand and limits of one workspace in one pool.

    Attributes:
        name: the workspace.
        weight: its share relative to other workspaces.
        limits: its fleet-wide limits.
        virtual_time: charged service divided by weight, in cost units.
        expected: expected remaining cost of running and granted requests.
        in_flight: number of running and granted requests.
        ungranted: number of queued requests without a grant.
        queued: number of queued requests, as reported by routers.
        ineligible_since: when the workspace last ceased to be eligible for
            grants, in monotonic seconds.
        tokens: number of requests that the rate limit permits now.
        refilled_at: when `tokens` was last updated, in monotonic seconds.
        projected_time_key: key in `by_projected_time`, or None if the
            workspace is not eligible for grants.
        virtual_time_key: key in `by_virtual_time`, or None if the workspace
            is not eligible for grants.
    """

    name: ids.WorkspaceId
    weight: float
    limits: catalogue_lib.Limits
    virtual_time: float = 0.0
    expected: float = 0.0
    in_flight: int = 0
    ungranted: int = 0
    queued: int = 0
    ineligible_since: float = -math.inf
    tokens: float = 1.0
    refilled_at: float = -math.inf
    projected_time_key: tuple[float, ids.WorkspaceId] | None = None
    virtual_time_key: tuple[float, ids.WorkspaceId] | None = None

    def projected_virtual_time(self) -> float:
        """Returns the expected virtual time after all requests in flight."""
        return self.virtual_time + self.expected / self.weight


class AccountQueue:
    """Accounts of a pool, with the eligible ones ordered by virtual time.

    Attributes:
        idle_grace_s: a workspace that was ineligible for at most this many
            seconds keeps its virtual time.
        accounts: all accounts, by workspace.
        by_projected_time: keys of the eligible accounts, ordered by projected
            virtual time.
        by_virtual_time: keys of the eligible accounts, ordered by virtual
            time.
        floor: highest value so far of the lowest virtual time among the
            workspaces eligible for grants; never decreases.
        total_weight: sum of the weights of the eligible accounts.
        weighted_time_sum: sum of their virtual times multiplied by weight.
    """

    def __init__(self, idle_grace_s: float):
        self.idle_grace_s = idle_grace_s
        self.accounts: dict[ids.WorkspaceId, Account] = {}
        self.by_projected_time = sortedcontainers.SortedList()
        self.by_virtual_time = sortedcontainers.SortedList()
        self.floor = 0.0
        self.total_weight = 0.0
        self.weighted_time_sum = 0.0

    def charge(self, account: Account, service: float) -> None:
        """Charges an account for service, in cost units."""
        account.virtual_time += max(service, 0.0) / account.weight

    def set_weight(self, account: Account, weight: float) -> None:
        """Changes an account's weight, without effect on earlier charges."""
        was_eligible = account.projected_time_key is not None
        self._reposition(account, False)
        account.weight = weight
        self._reposition(account, was_eligible)

    def raise_floor(self) -> float:
        """Raises the floor to the lowest virtual time, and returns it.

        The floor never decreases. It stays the same while no workspace is
        eligible for grants.
        """
        if self.by_virtual_time:
            self.floor = max(self.floor, self.by_virtual_time[0][0])
        return self.floor

    def refresh(self, account: Account, is_eligible: bool, now: float) -> None:
        """Updates an account's position in the orders.

        If it becomes eligible after more than `idle_grace_s`, its virtual
        time is first raised to the floor.
        """
        was_eligible = account.projected_time_key is not None
        if was_eligible and not is_eligible:
            account.ineligible_since = now
        if is_eligible and not was_eligible:
            self._raise_to_floor(account, now)
        self._reposition(account, is_eligible)

    def raise_all_to_floor(self) -> None:
        """Raises all virtual times to the floor.

        After full reports, the floor is at least the highest one that routers
        received from earlier schedulers.
        """
        for account in self.accounts.values():
            account.virtual_time = max(account.virtual_time, self.floor)
            self._reposition(account, account.projected_time_key is not None)

    def mean_virtual_time(self) -> float:
        """Returns the weighted mean virtual time of the eligible accounts.

        Returns 0 if there are none.
        """
        return (
            self.weighted_time_sum / self.total_weight
            if self.total_weight > 0
            else 0.0
        )

    def _raise_to_floor(self, account: Account, now: float) -> None:
        if now - account.ineligible_since > self.idle_grace_s:
            account.virtual_time = max(account.virtual_time, self.raise_floor())

    def _reposition(self, account: Account, is_eligible: bool) -> None:
        projected_time_key = (
            (account.projected_virtual_time(), account.name)
            if is_eligible
            else None
        )
        virtual_time_key = (
            (account.virtual_time, account.name) if is_eligible else None
        )
        if projected_time_key != account.projected_time_key:
            _move(
                self.by_projected_time,
                account.projected_time_key,
                projected_time_key,
            )
            self.total_weight += account.weight * (
                (projected_time_key is not None)
                - (account.projected_time_key is not None)
            )
            account.projected_time_key = projected_time_key
        if virtual_time_key != account.virtual_time_key:
            _move(
                self.by_virtual_time, account.virtual_time_key, virtual_time_key
            )
            before = (
                account.virtual_time_key[0] if account.virtual_time_key else 0.0
            )
            after = virtual_time_key[0] if virtual_time_key else 0.0
            self.weighted_time_sum += account.weight * (after - before)
            account.virtual_time_key = virtual_time_key


def _move(
    index: sortedcontainers.SortedList,
    old: tuple[float, ids.WorkspaceId] | None,
    new: tuple[float, ids.WorkspaceId] | None,
) -> None:
    if old is not None:
        index.remove(old)
    if new is not None:
        index.add(new)


def refill(account: Account, now: float, fraction: float) -> None:
    """Refills the token bucket of an account's rate limit.

    Args:
        account: the account.
        now: monotonic time in seconds.
        fraction: fraction of the fleet-wide rate that this scheduler may use.
    """
    if account.limits.rate_per_s is None:
        account.tokens = math.inf
        return
    rate = account.limits.rate_per_s * fraction
    burst = max(1.0, rate)
    elapsed_s = now - account.refilled_at
    if math.isinf(elapsed_s):
        account.tokens = burst
    elif elapsed_s > 0:
        account.tokens = min(burst, account.tokens + elapsed_s * rate)
    account.refilled_at = now
