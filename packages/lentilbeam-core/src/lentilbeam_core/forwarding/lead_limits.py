"""Limits on how far a workspace gets ahead of one that lacks service.

What a workspace receives may be limited by the routers that its callers use,
and not by the targets: by their processor time, their memory or their accept
queues. Routers with room to spare would then fill the targets for other
workspaces, however little it receives. So the service of the others is limited
as well, whatever is short.

A workspace that asks for `a` and receives `r` limits all others to the level
`L` at which, with n = 2,

    1 / r^n = 1 / a^n + 1 / L^n

so that it receives at least 2^(-1/n), or 0.71, of the smaller one of what it
asks for and what any other one receives. The operators promise a half; the
margin allows for the age of reports. The limit ends smoothly: it is about `r`
for a workspace that receives little of what it asks for, and infinite for one
that receives all.

The limit applies to all routers together: each one begins the same fraction of
the requests that come to it, so that they add up to the limit. A threshold on
the sum of all routers would be passed by many of them at the same moment, since
reports lag.
"""

from collections.abc import Mapping
import math
import random

from lentilbeam_core import ids
from lentilbeam_core.forwarding import max_min

LEVEL_EXPONENT = 2.0
"""The exponent n above. With 1 the promise would have no margin."""
PROMISED_FRACTION = 0.5
"""Fraction of its fair share that the operators promise to each workspace. The
limit leaves every workspace this much, however little another one receives."""
PROMISE_WINDOW_S = 6.0
"""Time, in seconds, over which the operators compare services."""
TOLERATED_REQUESTS = 3
"""Number of the largest requests that a workspace may lack in that time."""
YIELD_DECAY_S = 3.0
"""Time constant, in seconds, with which the yield follows a pool that gives
less than before."""
MAX_CREDIT = 3.0
"""Largest number of requests of a workspace that a router begins in a row."""


class LeadLevel:
    """Service up to which each workspace may be served.

    Attributes:
        level: the level, in the unit of what workspaces receive; infinite if
            no workspace lacks service.
        least_received: what the workspace receives that sets the level.
        pool_yield: service that the targets give to all workspaces together
            while nobody is limited.
        updated_at: when they were updated, monotonic seconds.
    """

    def __init__(self):
        self.level = math.inf
        self.least_received = 0.0
        self.pool_yield = 0.0
        self.updated_at = -math.inf

    def update(
        self,
        asked: Mapping[ids.WorkspaceId, float],
        served: Mapping[ids.WorkspaceId, float],
        guaranteed: float,
        guaranteed_level: float,
        tolerance: float,
        now: float,
    ) -> None:
        """Computes the level.

        Args:
            asked: what each workspace asks for.
            served: what each workspace receives, in the same unit, as for the
                following amounts.
            guaranteed: service that the operators guarantee to all workspaces
                together.
            guaranteed_level: max-min fair share of it; infinite if it is
                enough for all.
            tolerance: what a workspace may lack.
            now: monotonic seconds.
        """
        self._update_yield(asked, sum(served.values()), guaranteed, now)
        floor = self._find_floor(asked, guaranteed, guaranteed_level)
        level = math.inf
        for name, amount in asked.items():
            if amount <= floor:
                # What it is due does not depend on what is above the floor.
                continue
            received = served.get(name, 0.0) + tolerance
            found = find_level(amount, received)
            if found < level:
                level = found
                self.least_received = received
        self.level = max(level, floor)

    def is_limited(self, asked: float, received: float) -> bool:
        """Whether a workspace is limited.

        One that receives no more than the one that sets the level is not: the
        level would fall with what the limit leaves unused.

        Args:
            asked: what it asks for.
            received: what it receives.
        """
        return asked > self.level and received > self.least_received

    def find_fraction(self, asked: float, received: float) -> float:
        """Returns which fraction of a limited workspace's requests may begin.

        Args:
            asked: what it asks for.
            received: what it receives.
        """
        fraction = self.level / asked
        if 0.0 < received < self.level:
            fraction *= self.level / received
        return min(fraction, 1.0)

    def _update_yield(
        self,
        asked: Mapping[ids.WorkspaceId, float],
        received: float,
        guaranteed: float,
        now: float,
    ) -> None:
        """Follows what the targets give, which a limit leaves partly unused."""
        if math.isinf(self.updated_at):
            # Until it was seen, the pool is taken to give what is guaranteed.
            self.pool_yield = guaranteed
        elif max(asked.values(), default=0.0) <= self.level:
            elapsed_s = now - self.updated_at
            weight = -math.expm1(-elapsed_s / YIELD_DECAY_S)
            self.pool_yield += (received - self.pool_yield) * weight
        self.pool_yield = max(self.pool_yield, received)
        self.updated_at = now

    def _find_floor(
        self,
        asked: Mapping[ids.WorkspaceId, float],
        guaranteed: float,
        guaranteed_level: float,
    ) -> float:
        """Returns the level below which nobody is limited.

        A router that has come nearly to a halt must not stop the others.
        """
        amounts = list(asked.values())
        most_asked = max(amounts, default=0.0)
        share = max_min.compute_share(amounts, self.pool_yield)
        floor = min(share, most_asked) * PROMISED_FRACTION
        if guaranteed <= self.pool_yield:
            floor = max(floor, min(guaranteed_level, most_asked))
        return floor


def find_level(asked: float, received: float) -> float:
    """Returns the service up to which a workspace lets others be served.

    Args:
        asked: what it asks for.
        received: what it receives, in the same unit.
    """
    if received >= asked:
        return math.inf
    lacking = 1.0 - (received / asked) ** LEVEL_EXPONENT
    return received * lacking ** (-1.0 / LEVEL_EXPONENT)


class LeadLimits:
    """Decides which requests of limited workspaces a router may begin.

    Attributes:
        rng: random number generator.
        credits: for each limited workspace, the number of requests that may
            begin.
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.credits: dict[ids.WorkspaceId, float] = {}

    def may_begin(self, workspace: ids.WorkspaceId, fraction: float) -> bool:
        """Whether the next request of a workspace may begin.

        Each request adds its fraction of a whole one to the credit, and those
        that begin use it up. So the number of requests that begin does not
        vary as it would by lot.

        Args:
            workspace: the workspace.
            fraction: fraction of its requests that may begin, 1 if all may.
        """
        if fraction >= 1.0:
            self.credits.pop(workspace, None)
            return True
        credit = self.credits.get(workspace)
        if credit is None:
            # Routers that learn of a limit together don't all begin at once.
            credit = self.rng.random()
        credit = min(credit + fraction, MAX_CREDIT)
        may_begin = credit >= 1.0
        self.credits[workspace] = credit - 1.0 if may_begin else credit
        return may_begin

    def give_back(self, workspace: ids.WorkspaceId) -> None:
        """Returns the credit of a request that did not begin after all."""
        if workspace in self.credits:
            self.credits[workspace] += 1.0
