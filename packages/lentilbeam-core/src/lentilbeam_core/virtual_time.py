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
    room: int = 0
    queued: int = 0
    idle_since: float = -math.inf
    tokens: float = 1.0
    filled_at: float = -math.inf
    place: tuple[float, ids.WorkspaceId] | None = None
    time: tuple[float, ids.WorkspaceId] | None = None

    def rank(self) -> float:
        """Returns the virtual time once all in flight has ended."""
        return self.virtual_time + self.expected / self.weight


class Ledger:
    """All accounts of a pool, and the order of those that may be served."""

    def __init__(self, wake_grace_s: float):
        self.wake_grace_s = wake_grace_s
        self.accounts: dict[ids.WorkspaceId, Account] = {}
        self.order = sortedcontainers.SortedList()
        self.times = sortedcontainers.SortedList()
        self.floor = 0.0
        self.weight = 0.0
        self.weighted_time = 0.0

    def charge(self, account: Account, service: float) -> None:
        """Settles service that a workspace has received."""
        account.virtual_time += max(service, 0.0) / account.weight

    def reweigh(self, account: Account, weight: float) -> None:
        """Changes the share that an account has from now on."""
        is_placed = account.place is not None
        self._place(account, False)
        account.weight = weight
        self._place(account, is_placed)

    def least(self) -> float:
        """Returns the least virtual time of those that wait; monotone."""
        if self.times:
            self.floor = max(self.floor, self.times[0][0])
        return self.floor

    def refresh(self, account: Account, is_eligible: bool, now: float) -> None:
        """Puts the account where it belongs in the order.

        One that becomes eligible after a time out of the order is lifted.
        """
        was_eligible = account.place is not None
        if was_eligible and not is_eligible:
            account.idle_since = now
        if is_eligible and not was_eligible:
            self._lift(account, now)
        self._place(account, is_eligible)

    def lift_all(self) -> None:
        """Lifts all that wait to the floor that other schedulers reached."""
        for account in self.accounts.values():
            account.virtual_time = max(account.virtual_time, self.floor)
            self._place(account, account.place is not None)

    def mean_time(self) -> float:
        """Returns the weighted mean virtual time of those that wait."""
        return self.weighted_time / self.weight if self.weight > 0 else 0.0

    def _lift(self, account: Account, now: float) -> None:
        if now - account.idle_since > self.wake_grace_s:
            account.virtual_time = max(account.virtual_time, self.least())

    def _place(self, account: Account, is_eligible: bool) -> None:
        place = (account.rank(), account.name) if is_eligible else None
        time = (account.virtual_time, account.name) if is_eligible else None
        if place != account.place:
            _move(self.order, account.place, place)
            self.weight += account.weight * (
                (place is not None) - (account.place is not None)
            )
            account.place = place
        if time != account.time:
            _move(self.times, account.time, time)
            before = account.time[0] if account.time else 0.0
            after = time[0] if time else 0.0
            self.weighted_time += account.weight * (after - before)
            account.time = time


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
    elapsed_s = now - account.filled_at
    if math.isinf(elapsed_s):
        account.tokens = burst
    elif elapsed_s > 0:
        account.tokens = min(burst, account.tokens + elapsed_s * rate)
    account.filled_at = now
