"""This router's part of the limits of a pool's targets.

A limit applies to the requests of all routers together. Each router sends its
part of them, see `fleet_demand`.
"""

import dataclasses
import math
import random

from lentilbeam_core import ids
from lentilbeam_core.forwarding import cold_pace

MIN_RATE_PER_S = 0.5
"""Requests per second that the whole fleet sends to a target with a lower
limit. Without any request, nobody would learn that the limit has ended."""
MAX_BURST_S = 0.25
"""Time, in seconds, for which unused credit adds up, unless it takes longer
until a whole request may be sent."""
CREDIT_LIFETIME_S = 1.0
"""Time, in seconds, after which unused credit lapses. In a large fleet, routers
would otherwise keep one request each and send them all at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Supply:
    """When a pool takes requests whose targets are all limited or quiet.

    Attributes:
        next_at: when the next request can be sent to a limited target,
            monotonic seconds; infinite if there is none.
        per_s: requests per second that can be sent to limited targets.
        unlimited_from: when the first quiet target without a limit takes
            requests again, monotonic seconds; infinite if there is none.
    """

    next_at: float = math.inf
    per_s: float = 0.0
    unlimited_from: float = math.inf

    def find_time(self, position: int) -> float:
        """Returns when a waiting request is sent, monotonic seconds.

        Args:
            position: number of requests that are sent before it.
        """
        limited_at = self.next_at
        if position:
            limited_at += position / self.per_s if self.per_s else math.inf
        return min(limited_at, self.unlimited_from)


@dataclasses.dataclass(slots=True)
class Credit:
    """Requests that may be sent to one limited target.

    Attributes:
        per_s: requests per second added to the credit.
        progress: fraction of the next request that has been added.
        requests: whole requests that may be sent.
        updated_at: monotonic seconds.
    """

    per_s: float
    progress: float
    updated_at: float
    requests: int = 0

    def update(self, per_s: float, now: float) -> None:
        """Adds what has become due at the former rate, and sets a new one."""
        self.progress += max(now - self.updated_at, 0.0) * self.per_s
        self.updated_at = now
        added = math.floor(self.progress)
        self.progress -= added
        most = max(math.floor(self.per_s * MAX_BURST_S), 1)
        self.requests = min(self.requests + added, most)
        if self.progress > self.per_s * CREDIT_LIFETIME_S:
            self.requests = 0
        self.per_s = per_s

    def find_next(self) -> float:
        """Returns when the next request may be sent, monotonic seconds."""
        if self.requests:
            return self.updated_at
        if self.per_s <= 0:
            return math.inf
        return self.updated_at + (1 - self.progress) / self.per_s


class LimitParts:
    """Credits of this router at the limited targets of a pool.

    Attributes:
        rng: random number generator.
        credits: credit by target; targets without a limit have none.
        paces: pace at each cold target.
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.credits: dict[ids.TargetId, Credit] = {}
        self.paces: dict[ids.TargetId, cold_pace.Pace] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no target is limited."""
        return not self.credits and not self.paces

    def update(
        self, name: ids.TargetId, limit_per_s: float, part: float, now: float
    ) -> None:
        """Brings the credit at a target up to date.

        Args:
            name: the target.
            limit_per_s: requests per second that the target takes from the
                fleet; infinite if it has no limit.
            part: this router's part of the limit, as a fraction.
            now: monotonic seconds.
        """
        if math.isinf(limit_per_s):
            self.credits.pop(name, None)
            return
        per_s = max(limit_per_s, MIN_RATE_PER_S) * part
        credit = self.credits.get(name)
        if credit is None:
            # The routers learn of a limit together. With a random beginning
            # they don't send their next requests together as well.
            progress = self.rng.random()
            self.credits[name] = Credit(per_s, progress, now)
        else:
            credit.update(per_s, now)

    def update_pace(self, name: ids.TargetId, per_s: float, now: float) -> None:
        """Brings the pace at a cold target up to date.

        Args:
            name: the target.
            per_s: requests per second that this router may send to it.
            now: monotonic seconds.
        """
        pace = self.paces.get(name)
        if pace is None or pace.is_rising:
            # One whole interval has to pass, since this router may have sent
            # just before; the random rest spreads the routers.
            self.paces[name] = cold_pace.Pace(per_s, -self.rng.random(), now)
        else:
            pace.update(per_s, now)

    def raise_pace(self, name: ids.TargetId, per_s: float, now: float) -> None:
        """Lets the pace at a target grow that has become warm.

        Args:
            name: the target.
            per_s: requests per second that this router may send to it.
            now: monotonic seconds.
        """
        pace = self.paces[name]
        cold_pace.start_rising(pace, self.rng)
        pace.update(per_s, now)

    def is_paced_as_cold(self, name: ids.TargetId) -> bool:
        """Whether requests to a target count in its rate as a cold one."""
        pace = self.paces.get(name)
        return pace is not None and not pace.is_rising

    def keep_only(self, names: set[ids.TargetId]) -> None:
        """Removes the limits of all other targets."""
        for table in (self.credits, self.paces):
            for name in table.keys() - names:
                del table[name]

    def may_send(self, name: ids.TargetId) -> bool:
        """Whether a request may be sent to a target now."""
        credit = self.credits.get(name)
        pace = self.paces.get(name)
        return (credit is None or credit.requests > 0) and (
            pace is None or pace.may_send
        )

    def note_sent(self, name: ids.TargetId) -> None:
        """Uses credit for a request that is sent to a target."""
        credit = self.credits.get(name)
        if credit is not None:
            credit.requests -= 1
        pace = self.paces.get(name)
        if pace is not None:
            pace.note_sent()

    def find_limit(self, name: ids.TargetId) -> tuple[float, float] | None:
        """Returns when and how often requests may be sent to a target.

        Returns:
            When the next one may be sent, monotonic seconds, and the number of
            requests per second, of the strictest limit; None if there is none.
        """
        limits = [
            limit
            for limit in (self.credits.get(name), self.paces.get(name))
            if limit is not None
        ]
        if not limits:
            return None
        return (
            max(limit.find_next() for limit in limits),
            min(limit.per_s for limit in limits),
        )

    def find_next(self, now: float) -> float | None:
        """Returns when credit is added next at a target that has none.

        Returns:
            Monotonic seconds; None if no target is without credit.
        """
        times = [
            credit.find_next()
            for credit in self.credits.values()
            if credit.requests == 0
        ]
        times += [
            pace.find_next()
            for pace in self.paces.values()
            if not pace.may_send
        ]
        return max(min(times), now) if times else None

    def forget(self, name: ids.TargetId) -> None:
        """Removes the limits of a target that has restarted or is gone."""
        self.credits.pop(name, None)
        self.paces.pop(name, None)
