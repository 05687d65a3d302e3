"""Records the state changes of requests and updates all measurements."""

import collections
import dataclasses

from hdrh import histogram

from bench import engines
from bench import gap
from bench import lateness
from bench import requests
from bench import utilisation
from lentilbeam_core import ids

MAX_WAIT_MS = 3_600_000
SIGNIFICANT_DIGITS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the measurements.

    Attributes:
        weights: weight of each workspace.
        concurrency: fleet-wide concurrency limit of each workspace that has
            one.
        max_cost: cost of the largest request, in tokens.
        rate: tokens that one slot serves per second.
        start: when the measurement of utilisation begins, in seconds.
    """

    weights: dict[ids.WorkspaceId, float]
    concurrency: dict[ids.WorkspaceId, int]
    max_cost: float
    rate: float
    start: float


class Recorder:
    """Takes all measurements of one run.

    Attributes:
        settings: settings of the measurements.
        engines: the simulated engines.
        waiting: number of requests that wait for a slot, by workspace.
        running: number of requests that occupy a slot, by workspace.
        gap: fairness gap between backlogged workspaces.
        lateness: delays beyond the due times of fair queueing.
        utilisation: utilisation of the slots.
        waiting_at_targets: average number of requests that wait at targets.
        wait_times_ms: histogram of the times from arrival to start, in
            milliseconds.
        max_wait_s: longest time from arrival to start.
        refusals: number of refusals by workspace and reason.
        counts_by_end: number of requests by the way in which they ended.
        max_over_limit: largest number of running requests above a
            workspace's concurrency limit.
    """

    def __init__(self, settings: Settings, all_engines: list[engines.Engine]):
        self.settings = settings
        self.engines = all_engines
        self.waiting = dict.fromkeys(settings.weights, 0)
        self.running = dict.fromkeys(settings.weights, 0)
        self.gap = gap.GapMeter(
            settings.weights, settings.max_cost, settings.rate
        )
        self.lateness = lateness.LatenessMeter(settings.weights)
        self.utilisation = utilisation.UtilisationMeter(settings.start)
        self.waiting_at_targets = utilisation.TimeAverage(settings.start)
        self.wait_times_ms = histogram.HdrHistogram(
            1, MAX_WAIT_MS, SIGNIFICANT_DIGITS
        )
        self.max_wait_s = 0.0
        self.refusals: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.counts_by_end: collections.Counter[requests.RequestEnd] = (
            collections.Counter()
        )
        self.max_over_limit = 0

    def record_arrival(self, request: requests.Request, now: float) -> None:
        """Records that a request arrived and waits for a slot."""
        self.waiting[request.workspace] += 1
        self.update(request.workspace, now)

    def record_removal(self, request: requests.Request, now: float) -> None:
        """Records that a request ended before it got a slot.

        It was refused, failed or lost.
        """
        self.waiting[request.workspace] -= 1
        self.update(request.workspace, now)

    def record_refusal(self, request: requests.Request, reason: str) -> None:
        """Counts a refusal by workspace and reason."""
        self.refusals[request.workspace, reason] += 1

    def record_start(self, request: requests.Request, now: float) -> None:
        """Records that a waiting request took a slot."""
        name = request.workspace
        self.gap.start(name, now)
        self.lateness.start(name, request.cost, now)
        wait = now - request.arrived_at
        self.max_wait_s = max(self.max_wait_s, wait)
        self.wait_times_ms.record_value(max(1, round(wait * 1000)))
        self.waiting[name] -= 1
        self.running[name] += 1
        self._check_limit(name)
        self.update(name, now)

    def record_stop(self, request: requests.Request, now: float) -> None:
        """Records that a running request left its slot."""
        name = request.workspace
        self.gap.stop(name, request.started_at, now)
        self.running[name] -= 1
        self.update(name, now)

    def update(self, name: ids.WorkspaceId, now: float) -> None:
        """Updates all measurements after a change of one workspace."""
        limit = self.settings.concurrency.get(name)
        is_at_limit = limit is not None and self.running[name] >= limit
        is_backlogged = self.waiting[name] > 0 and not is_at_limit
        self.gap.set_backlogged(name, is_backlogged, now)
        self.lateness.set_backlogged(name, is_backlogged, now)
        self.update_capacity(now)

    def update_capacity(self, now: float) -> None:
        """Updates the numbers of occupied and available slots."""
        up = [engine for engine in self.engines if engine.is_available]
        slots = sum(engine.target.slots for engine in up)
        busy = sum(len(engine.running) for engine in up)
        waiting = sum(len(engine.waiting) for engine in self.engines)
        self.waiting_at_targets.set_value(waiting, now)
        backlogged = self.gap.backlogged
        self.utilisation.set_state(busy, slots, bool(backlogged), now)
        active = {name for name, n in self.running.items() if n}
        self.lateness.set_capacity(
            slots * self.settings.rate, active | backlogged, now
        )

    def finish(self, now: float) -> None:
        """Completes all measurements at the end of the run."""
        self.gap.update(now)
        self.lateness.finish(now)
        self.utilisation.advance(now)

    def _check_limit(self, name: ids.WorkspaceId) -> None:
        limit = self.settings.concurrency.get(name)
        if limit is not None:
            over = self.running[name] - limit
            self.max_over_limit = max(self.max_over_limit, over)
