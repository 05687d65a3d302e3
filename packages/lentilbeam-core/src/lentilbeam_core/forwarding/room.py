"""Which engines have room for any request at all.

Most looks for an engine fail while a pool is full, and most of them for the
same reasons: too many slots in use, or too much prefill. These don't depend on
the request, so they are found once in a pass over the queue. A router with
little processor time would else spend it on the same comparisons for each
request of a long queue.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import enum

from lentilbeam_core import ids
from lentilbeam_core.forwarding import load_bounds
from lentilbeam_core.forwarding import loads as loads_lib
from lentilbeam_core.forwarding import target_list

EstimateRate = Callable[[ids.TargetId, loads_lib.Load, float], float]
"""Returns the prompt tokens that a target processes per second, given its load
and the time in monotonic seconds."""


class Exclusion(enum.Enum):
    """Why a target can't get a request now."""

    SLOTS = "slots"  # Too many of its slots are in use.
    PREFILL = "prefill"  # Too much of its time goes into prefill.
    GOAL = "goal"  # Its first event would come too late.
    PAUSE = "pause"  # It would pause its running streams for too long.
    COLD = "cold"  # It is cold and has a backlog.


def is_beyond_prefill(
    load: loads_lib.Load,
    unread: float,
    rate: float,
    bounds: load_bounds.Bounds,
) -> bool:
    """Whether a prompt exceeds the prefill bound of an engine.

    Args:
        load: load of the engine.
        unread: prompt tokens that the engine would have to process.
        rate: prompt tokens that it processes per second.
        bounds: limits on the load.
    """
    max_recent = bounds.prefill_fraction * rate * loads_lib.RECENT_DECAY_S
    return (
        load.recent + unread > max_recent
        and load.unread / rate > bounds.free_backlog_s
    )


class Room:
    """Exclusions of the engines of one pool that hold for any request.

    They are kept for as long as the loads only grow: what is full then stays
    full.

    Attributes:
        loads: loads of the engines.
        estimate_rate: estimates the prefill rate of an engine.
        found: the exclusion of each engine, None if it has room, by bounds.
        found_at: time and `LoadTracker.freed` that these belong to.
    """

    def __init__(
        self, loads: loads_lib.LoadTracker, estimate_rate: EstimateRate
    ):
        self.loads = loads
        self.estimate_rate = estimate_rate
        self.found: dict[
            load_bounds.Bounds, dict[ids.TargetId, Exclusion | None]
        ] = {}
        self.found_at = (0.0, -1)

    def find_known(
        self,
        targets: Iterable[target_list.Entry],
        bounds: load_bounds.Bounds,
        now: float,
    ) -> collections.Counter[Exclusion] | None:
        """Returns why no engine has room, if that was found before.

        Args:
            targets: the engines that may get a request.
            bounds: limits on the load of an engine.
            now: monotonic seconds.

        Returns:
            The number of engines by exclusion; None if an engine has room or
            was not looked at yet.
        """
        if self.found_at != (now, self.loads.freed):
            return None
        found = self.found.get(bounds)
        if not found:
            return None
        counts = collections.Counter(found.get(entry.name) for entry in targets)
        return None if None in counts else counts

    def find_open(
        self,
        targets: list[target_list.Entry],
        bounds: load_bounds.Bounds,
        now: float,
    ) -> set[int]:
        """Returns the indexes of the engines that have room for some request.

        Args:
            targets: the engines to look at.
            bounds: limits on the load of an engine.
            now: monotonic seconds.
        """
        self.loads.refresh(now)
        if self.found_at != (now, self.loads.freed):
            self.found_at = (now, self.loads.freed)
            self.found.clear()
        found = self.found.setdefault(bounds, {})
        indexes = set()
        for index, entry in enumerate(targets):
            if entry.name not in found:
                found[entry.name] = self._find_exclusion(entry, bounds, now)
            if found[entry.name] is None:
                indexes.add(index)
        return indexes

    def _find_exclusion(
        self, entry: target_list.Entry, bounds: load_bounds.Bounds, now: float
    ) -> Exclusion | None:
        slots = entry.slots * bounds.slots_fraction
        if self.loads.count_running(entry.name) >= slots:
            return Exclusion.SLOTS
        load = self.loads.total(entry.name, now)
        rate = self.estimate_rate(entry.name, load, now)
        # Every prompt has at least one token that no engine has cached.
        if is_beyond_prefill(load, 1, rate, bounds):
            return Exclusion.PREFILL
        return None
