"""Start-time fair queueing over workspaces.

A workspace's virtual time is its settled service divided by its weight, and
never falls. Its place in the order adds what its running requests are still
expected to use. A workspace that wakes up is lifted to the least virtual time
of those that wait, so that idleness earns nothing.
"""

import dataclasses
import math

import sortedcontainers

from lentilbeam_core import catalogue as catalogue_lib
from lentilbeam_core import ids


@dataclasses.dataclass(slots=True)
class Account:
    """One workspace's standing in one pool.

    Attributes:
        name: whose.
        weight: share relative to others.
        limits: fleet-wide limits.
        virtual_time: settled service by weight, in cost units.
        expected: cost still expected of running and granted requests.
        in_flight: running and granted requests.
        room: waiting requests that are not granted yet.
        queued: waiting requests as reported.
        idle_since: when it left the order, monotonic seconds.
        tokens: requests that the rate limit allows at once.
        filled_at: when `tokens` was computed.
        place: current place in the order, or None.
        time: the same in the order of virtual times.
    """

    name: ids.WorkspaceId
    weight: float
    limits: catalogue_lib.Limits
    virtual_time: float = 0.0
    expected: float = 0.0
    in_flight: int = 0
    ungranted: int = 0
    queued: int = 0
    idle_since: float = -math.inf
    tokens: float = 1.0
    refilled_at: float = -math.inf
    rank_key: tuple[float, ids.WorkspaceId] | None = None
    time_key: tuple[float, ids.WorkspaceId] | None = None

    def projected_virtual_time(self) -> float:
        """Returns the virtual time once all in flight has ended."""
        return self.virtual_time + self.expected / self.weight


class AccountQueue:
    """All accounts of a pool, and the order of those that may be served."""

    def __init__(self, idle_grace_s: float):
        self.idle_grace_s = idle_grace_s
        self.accounts: dict[ids.WorkspaceId, Account] = {}
        self.by_projected_time = sortedcontainers.SortedList()
        self.by_virtual_time = sortedcontainers.SortedList()
        self.floor = 0.0
        self.total_weight = 0.0
        self.weighted_time_sum = 0.0

    def charge(self, account: Account, service: float) -> None:
        """Settles service that a workspace has received."""
        account.virtual_time += max(service, 0.0) / account.weight

    def set_weight(self, account: Account, weight: float) -> None:
        """Changes the share that an account has from now on."""
        is_placed = account.rank_key is not None
        self._reposition(account, False)
        account.weight = weight
        self._reposition(account, is_placed)

    def raise_floor(self) -> float:
        """Returns the least virtual time of those that wait; monotone."""
        if self.by_virtual_time:
            self.floor = max(self.floor, self.by_virtual_time[0][0])
        return self.floor

    def refresh(self, account: Account, is_eligible: bool, now: float) -> None:
        """Puts the account where it belongs in the order.

        One that becomes eligible after a time out of the order is lifted.
        """
        was_eligible = account.rank_key is not None
        if was_eligible and not is_eligible:
            account.idle_since = now
        if is_eligible and not was_eligible:
            self._raise_to_floor(account, now)
        self._reposition(account, is_eligible)

    def raise_all_to_floor(self) -> None:
        """Lifts all that wait to the floor that other schedulers reached."""
        for account in self.accounts.values():
            account.virtual_time = max(account.virtual_time, self.floor)
            self._reposition(account, account.rank_key is not None)

    def mean_virtual_time(self) -> float:
        """Returns the weighted mean virtual time of those that wait."""
        return (
            self.weighted_time_sum / self.total_weight
            if self.total_weight > 0
            else 0.0
        )

    def _raise_to_floor(self, account: Account, now: float) -> None:
        if now - account.idle_since > self.idle_grace_s:
            account.virtual_time = max(account.virtual_time, self.raise_floor())

    def _reposition(self, account: Account, is_eligible: bool) -> None:
        rank_key = (
            (account.projected_virtual_time(), account.name)
            if is_eligible
            else None
        )
        time = (account.virtual_time, account.name) if is_eligible else None
        if rank_key != account.rank_key:
            _move(self.by_projected_time, account.rank_key, rank_key)
            self.total_weight += account.weight * (
                (rank_key is not None) - (account.rank_key is not None)
            )
            account.rank_key = rank_key
        if time != account.time_key:
            _move(self.by_virtual_time, account.time_key, time)
            before = account.time_key[0] if account.time_key else 0.0
            after = time[0] if time else 0.0
            self.weighted_time_sum += account.weight * (after - before)
            account.time_key = time


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
    """Adds the tokens that the rate limit has earned since last time.

    `fraction` is the part of the fleet-wide rate that may be used here.
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
