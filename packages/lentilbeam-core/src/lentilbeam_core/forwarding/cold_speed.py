"""How much slower the cold engines of a pool are, and what they may get.

The factor is learned from the first events at cold engines, at all routers:
the times in `loads.Load`, which reports sum over the fleet. So it takes no room
in reports, and all routers assume about the same.
"""

from collections.abc import Iterable
import math

from lentilbeam_core import ids
from lentilbeam_core.forwarding import decayed
from lentilbeam_core.forwarding import loads as loads_lib

INITIAL_FACTOR = 1.6
"""How much longer a cold engine takes, before the first sample; set by the
design page."""
MIN_FACTOR = 1.0
MAX_FACTOR = 5.0
"""Bounds of the factor. Speeds of engines differ by 5 in trouble."""
PRIOR_S = 1.0
"""Weight of the initial factor, in seconds of prefill."""
SAMPLE_INTERVAL_S = 0.5
"""Time, in seconds, between two samples of the sums of all routers."""
DECAY_S = 60.0
"""Time constant of the decay of what was learned, in seconds. It is longer than
the time for which targets are cold."""
LONG_FRACTION = 0.25
"""A prompt is long for a cold engine if the engine needs more than this
fraction of the goal for it. It then delays all that come after it."""
MAX_BACKLOG_S = 0.05
"""A cold engine with a longer backlog, in seconds, gets no long prompt, so that
one at a time is processed there and short ones are in time behind it."""


class ColdSpeed:
    """What is known about the speed of the cold engines of one pool.

    Attributes:
        cold: engines that are cold now, and since when, monotonic seconds.
        timed_s: decayed time of prefills at cold engines, in seconds.
        expected_s: decayed time that warm engines would have taken, in
            seconds.
        warm_slowdown: how much longer the warm engines take than the initial
            rate says, as a factor.
        sampled_at: when the sums were last sampled, monotonic seconds.
    """

    def __init__(self):
        self.cold: dict[ids.TargetId, float] = {}
        self.timed_s = decayed.DecayingSum()
        self.expected_s = decayed.DecayingSum()
        self.warm_slowdown = 1.0
        self.sampled_at = -math.inf

    def update(
        self,
        cold: Iterable[ids.TargetId],
        names: Iterable[ids.TargetId],
        loads: loads_lib.LoadTracker,
        now: float,
    ) -> None:
        """Notes which engines are cold, and learns from their times.

        Args:
            cold: engines that are cold.
            names: all engines that may get requests.
            loads: loads of the engines.
            now: monotonic seconds.
        """
        self.cold = {name: self.cold.get(name, now) for name in cold}
        if not self.cold or now - self.sampled_at < SAMPLE_INTERVAL_S:
            return
        # Each sum is that of the last `loads.OUTCOME_DECAY_S`.
        interval_s = min(now - self.sampled_at, SAMPLE_INTERVAL_S)
        weight = interval_s / loads_lib.OUTCOME_DECAY_S
        self.sampled_at = now
        warm = [loads.total(n, now) for n in names if n not in self.cold]
        self.warm_slowdown = (sum(w.timed_s for w in warm) + PRIOR_S) / (
            sum(w.expected_s for w in warm) + PRIOR_S
        )
        for name, since in self.cold.items():
            if now - since < loads_lib.OUTCOME_DECAY_S:
                # The sums still contain its times before it turned cold.
                continue
            load = loads.total(name, now)
            expected_s = load.expected_s * self.warm_slowdown
            self.timed_s.add(load.timed_s * weight, now, DECAY_S)
            self.expected_s.add(expected_s * weight, now, DECAY_S)

    def find_factor(self, now: float) -> float:
        """Returns how much longer a cold engine takes than a warm one."""
        timed_s = self.timed_s.read(now, DECAY_S) + PRIOR_S * INITIAL_FACTOR
        expected_s = self.expected_s.read(now, DECAY_S) + PRIOR_S
        return min(max(timed_s / expected_s, MIN_FACTOR), MAX_FACTOR)

    def correct(
        self, name: ids.TargetId, slowdown: float, base: float, now: float
    ) -> float:
        """Returns how much longer an engine takes, as a factor.

        Args:
            name: the engine.
            slowdown: what its own latest prefills say. They may be from
                before it turned cold, or there may be none.
            base: the same for a warm engine of the pool.
            now: monotonic seconds.
        """
        if name not in self.cold:
            return slowdown
        return max(slowdown, base * self.find_factor(now))


def is_long(prefill_s: float, goal_s: float) -> bool:
    """Whether a prompt is long for a cold engine.

    Args:
        prefill_s: time in which the engine processes it, in seconds.
        goal_s: response-time goal of the request, in seconds.
    """
    return prefill_s > LONG_FRACTION * goal_s
