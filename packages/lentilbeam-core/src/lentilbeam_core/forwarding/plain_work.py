"""Choice among plain targets that many routers share.

With tens of routers, reports are up to 0.3 s old, longer than many requests of
plain services take. If all routers choose the target that was least loaded
then, they fill it together, and a low bound on what they place there makes them
wait and then send together. In a large fleet a router therefore draws a target
at random, in proportion to the room that it is known to have, up to a bound
that follows from the response-time goal.

Work is counted in seconds: each running request with what it has left of the
time that requests of its route and method take on average.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math
import random

from lentilbeam_core import ids
from lentilbeam_core.forwarding import decayed
from lentilbeam_core.forwarding import estimate_error
from lentilbeam_core.forwarding import loads as loads_lib
from lentilbeam_core.forwarding import requests
from lentilbeam_core.forwarding import target_list

MAX_CLASSES = 256
"""Number of pairs of route and method whose times are kept."""
REFRESH_INTERVAL_S = 0.02
"""Time after which what own requests have left is computed again."""
MIN_LEFT_FRACTION = 0.6
"""Least that a running request counts with, as a fraction of the expected time.
A request that waits at its target makes no progress, which routers don't see;
with 0.25, more was served late under twice the capacity."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the choice.

    Attributes:
        min_routers: smallest fleet in which it takes effect. Smaller ones know
            each other's load from reports that are less than 0.1 s old.
        min_samples: number of requests after which their mean time is used.
        decay_s: time constant of the exponential decay of samples, in seconds.
        max_wait_fraction: most work at a target, as a multiple of what its
            slots do within the response-time goal. It is above 1 since the
            work that is known counts requests that have ended meanwhile.
        max_places: most work at a target, in requests of mean length, as a
            multiple of its slots. Emulated at a peak of the whole capacity, 3
            served less on time than 4, and 4 less than 6.
        late_weight: multiple of the fraction of late answers by which both
            bounds are lowered towards `plain_overcommit`. Targets with long
            queues would otherwise serve most requests late under twice the
            capacity: emulated, 0.39 on time without, 0.44 with 2, 0.45 with 3.
        late_decay_s: time constant of the exponential decay of that fraction,
            in seconds.
        max_error: the choice is as in small fleets while the error of the
            expected times is larger, see `estimate_error`.
    """

    min_routers: int = 17
    min_samples: int = 8
    decay_s: float = 60.0
    max_wait_fraction: float = 1.5
    max_places: float = 6.0
    late_weight: float = 3.0
    late_decay_s: float = 2.0
    max_error: float = 1.0


class MeanTime:
    """Decayed mean of durations.

    Attributes:
        seconds: decayed sum of the durations, in seconds.
        weight: decayed number of them.
        count: number of them.
    """

    def __init__(self):
        self.seconds = decayed.DecayingSum()
        self.weight = decayed.DecayingSum()
        self.count = 0

    def add(self, seconds: float, now: float, decay_s: float) -> None:
        """Adds a duration in seconds."""
        self.seconds.add(seconds, now, decay_s)
        self.weight.add(1.0, now, decay_s)
        self.count += 1

    def read(self) -> float:
        """Returns the mean in seconds, until newer samples replace it."""
        return self.seconds.value / self.weight.value


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """A running request of this router.

    Attributes:
        key: its route and method.
        target: where it runs.
        placed_at: when it was placed, monotonic seconds.
        expected_s: time that it is expected to take, in seconds.
        goal_s: response-time goal, in seconds.
        is_sample: whether it found a target with free slots, so that its
            duration has no wait in it.
    """

    key: tuple[str, str]
    target: ids.TargetId
    placed_at: float
    expected_s: float
    goal_s: float
    is_sample: bool


class PlainWork:
    """Expected times of the requests of one pool of plain targets.

    Attributes:
        settings: settings of the choice.
        loads: gets what is left at each target.
        plain_overcommit: see `placement.Settings`.
        count_routers: returns the number of routers in the fleet.
        is_enabled: whether the pool has no cold rate. Drawing would leave half
            of the little that cold targets may get unused.
        times: mean time of the requests of each route and method.
        mean: mean time of all requests.
        running: this router's running requests, by request ID.
        error: error of the expected times.
        late: decayed number of requests that took longer than their goal.
        ended: decayed number of all that were served.
        refreshed_at: when what is left was computed, monotonic seconds.
    """

    def __init__(
        self,
        settings: Settings,
        loads: loads_lib.LoadTracker,
        plain_overcommit: float,
    ):
        self.settings = settings
        self.loads = loads
        self.plain_overcommit = plain_overcommit
        self.count_routers: Callable[[], int] = lambda: 1
        self.is_enabled = True
        self.times: dict[tuple[str, str], MeanTime] = {}
        self.mean = MeanTime()
        self.running: dict[str, Running] = {}
        self.error = estimate_error.EstimateError()
        self.late = decayed.DecayingSum()
        self.ended = decayed.DecayingSum()
        self.refreshed_at = -math.inf

    @property
    def is_counted(self) -> bool:
        """Whether the pool is enabled and the fleet large enough."""
        return (
            self.is_enabled
            and self.count_routers() >= self.settings.min_routers
        )

    def is_used(self, now: float) -> bool:
        """Whether targets are chosen by expected times."""
        settings = self.settings
        return (
            self.is_counted
            and self.mean.count >= settings.min_samples
            and not self.error.is_above(settings.max_error, now)
        )

    def find_time(self, key: tuple[str, str]) -> float:
        """Returns the expected time of a request, in seconds.

        That of all requests is used for a route and method with few samples.
        """
        if self._is_known(key):
            return self.times[key].read()
        return self.mean.read() if self.mean.count else 0.0

    def find_room(
        self, entry: target_list.Entry, bound_s: float, now: float
    ) -> float:
        """Returns how much more work a target may get, in seconds.

        Args:
            entry: the target.
            bound_s: result of `find_bound`.
            now: monotonic seconds.
        """
        mean_s = self.mean.read()
        load = self.loads.total(entry.name, now)
        # Routers of an earlier version report no work.
        left_s = max(load.decode_s, load.running * mean_s * MIN_LEFT_FRACTION)
        return entry.slots * bound_s - left_s

    def choose(
        self,
        request: requests.Request,
        penalties: Iterable[tuple[target_list.Entry, float]],
        rng: random.Random,
        now: float,
    ) -> target_list.Entry | None:
        """Draws a target in proportion to its room.

        Args:
            request: the request.
            penalties: targets that may get it, and the penalty of each as a
                number of requests; a target with a penalty of 1 is drawn half
                as often.
            rng: random number generator.
            now: monotonic seconds.

        Returns:
            The target, or None if none has room.
        """
        self.refresh(now)
        bound_s = self.find_bound(request.route.goal_s, now)
        weights = []
        entries = []
        for entry, penalty in penalties:
            room_s = self.find_room(entry, bound_s, now)
            if room_s > 0:
                entries.append(entry)
                weights.append(room_s / (1 + penalty))
        if not entries:
            return None
        (chosen,) = rng.choices(entries, weights)
        return chosen

    def note_start(
        self, request: requests.Request, entry: target_list.Entry, now: float
    ) -> None:
        """Records that a request was placed, after `loads` has it."""
        if request.prompt is not None or not self.is_counted:
            return
        key = (request.route.name, request.method)
        expected_s = self.find_time(key)
        running = self.loads.total(entry.name, now).running
        self.running[request.request_id] = Running(
            key,
            entry.name,
            now,
            expected_s,
            request.route.goal_s,
            running <= entry.slots,
        )
        self.loads.set_decode_left(request.request_id, expected_s)

    def note_end(self, request_id: str, is_served: bool, now: float) -> None:
        """Records that a request has ended.

        Args:
            request_id: the request.
            is_served: whether it got its whole answer.
            now: monotonic seconds.
        """
        ended = self.running.pop(request_id, None)
        if ended is None or not is_served:
            return
        seconds = now - ended.placed_at
        decay_s = self.settings.late_decay_s
        self.late.add(float(seconds > ended.goal_s), now, decay_s)
        self.ended.add(1.0, now, decay_s)
        if not ended.is_sample:
            return
        if self._is_known(ended.key):
            self.error.add(self.find_time(ended.key), seconds, now)
        if ended.key not in self.times and len(self.times) >= MAX_CLASSES:
            self.times.pop(next(iter(self.times)))
        own = self.times.setdefault(ended.key, MeanTime())
        for mean in (own, self.mean):
            mean.add(seconds, now, self.settings.decay_s)

    def find_bound(self, goal_s: float, now: float) -> float:
        """Returns the most work for each slot of a target, in seconds.

        Args:
            goal_s: response-time goal, in seconds.
            now: monotonic seconds.
        """
        settings = self.settings
        mean_s = self.mean.read()
        least_s = self.plain_overcommit * mean_s
        most_s = min(
            settings.max_wait_fraction * goal_s, settings.max_places * mean_s
        )
        late = self.late.read(now, settings.late_decay_s)
        # One request more keeps a single late answer from deciding.
        ended = self.ended.read(now, settings.late_decay_s) + 1
        part = max(1 - settings.late_weight * late / ended, 0.0)
        return least_s + max(most_s - least_s, 0.0) * part

    def _is_known(self, key: tuple[str, str]) -> bool:
        own = self.times.get(key)
        return own is not None and own.count >= self.settings.min_samples

    def refresh(self, now: float) -> None:
        """Computes what this router's requests have left."""
        if now - self.refreshed_at < REFRESH_INTERVAL_S:
            return
        self.refreshed_at = now
        for name, item in self.running.items():
            left_s = item.expected_s - (now - item.placed_at)
            left_s = max(left_s, MIN_LEFT_FRACTION * item.expected_s)
            self.loads.set_decode_left(name, left_s)
