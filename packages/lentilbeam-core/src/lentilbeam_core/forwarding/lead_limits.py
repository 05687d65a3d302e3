"""Limits on how far a workspace gets ahead of one that lacks service.

What a workspace receives may be limited by the routers that its callers use,
and not by the targets. Routers with time to spare would then fill the targets
for other workspaces, however little it receives. So the service of each
workspace is limited while another one lacks a part of its fair share.

The limit applies to all routers together: each one begins the same fraction of
the requests that come to it, so that they add up to the limit. A threshold on
the sum of all routers would be passed by many of them at the same moment, since
reports lag.
"""

from collections.abc import Mapping
import math
import random

from lentilbeam_core import ids

MAX_LEAD = 1.1
"""Service that a workspace may receive, as a multiple of that of a workspace
which lacks a part of its share, both relative to their fair shares."""
LACKING_FRACTION = 0.85
"""A workspace that receives at most this fraction of its fair share limits the
others fully."""
LARGEST_LEAD = 1.5
"""The lead to which the limit rises before nobody lacks service any more."""
MIN_FAIR_FRACTION = 0.9
"""Workspaces that ask for less than this fraction of the largest fair share are
not compared. They are preferred wherever they ask, and what they receive varies
by a large part."""
MIN_SHARE_FRACTION = 0.5
"""The same, relative to the usual fair share."""
SMOOTHING_S = 1.0
"""Time constant, in seconds, of the smoothed fractions of fair shares. The sums
of a workspace with few requests vary by a large part within a second."""
USUAL_LEVEL_S = 10.0
"""Time constant, in seconds, of the usual level."""
MIN_LEVEL_FRACTION = 0.3
"""Smallest level relative to the usual one. What the limit leaves unused lowers
the fair level, by which the limit is computed."""
LEAST_TOLERANCE = 1.05
"""Workspaces lack most whose fractions of their fair shares are up to this
multiple of the smallest one."""
MAX_CREDIT = 3.0
"""Largest number of requests of a workspace that a router begins in a row."""


class LeadLevel:
    """Service up to which each workspace may be served.

    Attributes:
        level: the level, in the unit of what workspaces receive; infinite if
            no workspace lacks service.
        fractions: for each workspace, what it receives relative to its fair
            share, smoothed.
        least_fraction: the smallest of them.
        usual_level: fair level, smoothed over a longer time.
        updated_at: when they were updated, monotonic seconds.
    """

    def __init__(self):
        self.level = math.inf
        self.usual_level = 0.0
        self.least_fraction = 1.0
        self.fractions: dict[ids.WorkspaceId, float] = {}
        self.updated_at = -math.inf

    def update(
        self,
        asked: Mapping[ids.WorkspaceId, float],
        served: Mapping[ids.WorkspaceId, float],
        fair_level: float,
        guaranteed_level: float,
        now: float,
    ) -> None:
        """Computes the level.

        Args:
            asked: what each workspace asks for.
            served: what each workspace receives, in the same unit, as for the
                levels below.
            fair_level: largest fair share; infinite if all get what they ask
                for.
            guaranteed_level: largest guaranteed share, which is not limited.
            now: monotonic seconds.
        """
        elapsed_s = now - self.updated_at
        weight = -math.expm1(-elapsed_s / SMOOTHING_S)
        self.updated_at = now
        if math.isinf(fair_level):
            self.level = math.inf
            return
        self.usual_level += (fair_level - self.usual_level) * (
            -math.expm1(-elapsed_s / USUAL_LEVEL_S)
        )
        least_asked = max(
            fair_level * MIN_FAIR_FRACTION,
            self.usual_level * MIN_SHARE_FRACTION,
        )
        fractions = {}
        for name, amount in asked.items():
            if amount < least_asked:
                continue
            share = min(amount, fair_level)
            fraction = min(served.get(name, 0.0) / share, 1.0)
            previous = self.fractions.get(name, fraction)
            fractions[name] = previous + (fraction - previous) * weight
        self.fractions = fractions
        least = min(fractions.values(), default=1.0)
        self.least_fraction = least
        if least >= 1.0:
            self.level = math.inf
            return
        # A limit that is there or not would be exceeded in turns.
        satisfied = (least - LACKING_FRACTION) / (1.0 - LACKING_FRACTION)
        lead = MAX_LEAD + (LARGEST_LEAD - MAX_LEAD) * max(satisfied, 0.0)
        self.level = max(
            lead * least * fair_level,
            self.usual_level * MIN_LEVEL_FRACTION,
            guaranteed_level,
        )

    def is_limited(self, workspace: ids.WorkspaceId, asked: float) -> bool:
        """Whether a workspace that asks for an amount is limited.

        Those that lack most aren't: as they set the level, it would fall with
        what the limit leaves unused.
        """
        if asked <= self.level:
            return False
        fraction = self.fractions.get(workspace, 1.0)
        return fraction > self.least_fraction * LEAST_TOLERANCE

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
