"""This router's pace at the cold targets of a pool.

A cold target takes a number of requests a second from all routers together, and
what counts is any one second at the target. A credit of one request at each of
61 routers would be more than that second allows. So only some routers send to a
cold target: at most as many as the margin above the rate allows to send one
request each at the same moment. Each of them leaves at least the inverse of its
part of the rate between two requests and saves nothing up.

The routers that share a target follow from the list of all routers, whether
they are heard or not. So partitions and restarts don't add to the rate.
"""

import dataclasses
import math
import random

from lentilbeam_core import ids

MARGIN_FRACTION = 0.6
"""Part of the margin that simultaneous requests of different routers may use.
The rest is for delays on the way to the target and for routers that are just
being added to the list."""
RISE_PER_S = 0.5
"""Highest rate at which this router's part grows, as a fraction per second.
Peers learn of its demand with their next report, so until then its part and
theirs add up to more than the whole."""


RAMP_S = 1.0
"""Time, in seconds, in which the rate of a target grows once it is warm. It is
idle then, and all routers prefer it."""
HOLD_S = 0.5
"""Time, in seconds, for which the last rate holds. The requests that waited
meanwhile are sent in it; without it they were sent in one moment: 97 within
0.1 s from 7 routers, where 30 had come in."""
RAMP_FACTOR = 2.0
"""Rate at the end of that time, as a multiple of the pool's requests for each
target, or of the rate of a cold target if that is more."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Margin of the operators above the rate of a cold target.

    Attributes:
        excess: factor on the rate.
        slack: requests in a second beyond that.
    """

    excess: float = 1.5
    slack: float = 5.0

    def count_sharers(self, per_s: float, routers: int) -> int:
        """Returns the number of routers that may send to a cold target.

        Args:
            per_s: requests per second that it takes from all routers.
            routers: number of routers in the fleet.
        """
        margin = per_s * (self.excess - 1.0) + self.slack
        return max(min(int(margin * MARGIN_FRACTION), routers), 1)


@dataclasses.dataclass(slots=True)
class Pace:
    """Requests of this router to one cold target.

    Attributes:
        per_s: requests per second; 0 if this router sends none.
        progress: fraction of the next request that has become due; at most 1.
        updated_at: monotonic seconds.
        is_rising: whether the target is warm, and the rate grows.
    """

    per_s: float
    progress: float
    updated_at: float
    is_rising: bool = False

    def update(self, per_s: float, now: float) -> None:
        """Adds what has become due at the former rate, and sets a new one."""
        elapsed_s = max(now - self.updated_at, 0.0)
        self.progress = min(self.progress + elapsed_s * self.per_s, 1.0)
        self.updated_at = now
        self.per_s = per_s

    @property
    def may_send(self) -> bool:
        """Whether a request may be sent now."""
        # The sum of small steps may stay a little below 1.
        return self.progress >= 1.0 - 1e-9

    def note_sent(self) -> None:
        """Begins to wait for the next request."""
        self.progress = 0.0

    def find_next(self) -> float:
        """Returns when the next request may be sent, monotonic seconds."""
        if self.may_send:
            return self.updated_at
        if self.per_s <= 0:
            return math.inf
        return self.updated_at + (1.0 - self.progress) / self.per_s


def find_ramp_rate(
    cold_per_s: float, fair_per_s: float, elapsed_s: float
) -> float:
    """Returns the requests per second for a target that has become warm.

    Args:
        cold_per_s: rate of a cold target, from all routers.
        fair_per_s: requests per second that each target of the pool gets.
        elapsed_s: time since it became warm, in seconds.
    """
    last_per_s = RAMP_FACTOR * max(cold_per_s, fair_per_s)
    part = min(max(elapsed_s / RAMP_S, 0.0), 1.0)
    return cold_per_s + (last_per_s - cold_per_s) * part


class Ramps:
    """When the targets of a pool became warm.

    Attributes:
        since: when each of them did, monotonic seconds.
    """

    def __init__(self):
        self.since: dict[ids.TargetId, float] = {}

    def keep(self, name: ids.TargetId, now: float) -> bool:
        """Whether the rate of a warm target still grows."""
        if now - self.since.setdefault(name, now) < RAMP_S + HOLD_S:
            return True
        del self.since[name]
        return False


def start_rising(pace: Pace, rng: random.Random) -> None:
    """Makes the rate of a pace grow, since its target is warm.

    Routers that sent nothing before begin at random times, or they would all
    do so at once.
    """
    if not pace.is_rising and pace.per_s <= 0:
        pace.progress = rng.random()
    pace.is_rising = True


class GrowingPart:
    """A part that falls at once and grows slowly.

    Attributes:
        part: the part, as a fraction.
        updated_at: monotonic seconds.
    """

    def __init__(self, part: float, now: float):
        self.part = part
        self.updated_at = now

    def update(self, wanted: float, now: float) -> float:
        """Returns the part, moved towards the wanted one."""
        elapsed_s = max(now - self.updated_at, 0.0)
        self.updated_at = now
        self.part = min(wanted, self.part + RISE_PER_S * elapsed_s)
        return self.part
