"""Records the life of each request and feeds all measurements of a run."""

import collections
import dataclasses

from hdrh import histogram

from bench import engines
from bench import gap
from bench import lateness
from bench import requests
from bench import utilisation
from lentilbeam_core import ids

LONGEST_WAIT_MS = 3_600_000
SIGNIFICANT_DIGITS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the measurements.

    Attributes:
        weights: weight of each workspace.
        concurrency: fleet-wide concurrency limit of each workspace that has
            one.
        largest: cost of the largest request, in tokens.
        rate: tokens that one slot serves per second.
        start: when the measurement of utilisation begins, in seconds.
    """

    weights: dict[ids.WorkspaceId, float]
    concurrency: dict[ids.WorkspaceId, int]
    largest: float
    rate: float
    start: float


class Recorder:
    """Takes all measurements of one run.

    Attributes:
        settings: settings of the measurements.
        targets: the simulated engines.
        waiting: number of requests that wait for a slot, by workspace.
        running: number of requests that occupy a slot, by workspace.
        gap: fairness gap between backlogged workspaces.
        lateness: delays beyond the due times of fair queueing.
        usage: utilisation of the slots.
        sent_ahead: average number of requests that wait at targets.
        waits: histogram of the times from arrival to start, in milliseconds.
        longest_wait_s: longest time from arrival to start.
        refusals: number of refusals by workspace and reason.
        closings: number of requests by the way in which they ended.
        most_over_limit: largest number of running requests above a
            workspace's concurrency limit.
    """

    def __init__(self, settings: Settings, targets: list[engines.Engine]):
        self.settings = settings
        self.targets = targets
        self.waiting = dict.fromkeys(settings.weights, 0)
        self.running = dict.fromkeys(settings.weights, 0)
        self.gap = gap.GapMeter(
            settings.weights, settings.largest, settings.rate
        )
        self.lateness = lateness.LatenessMeter(settings.weights)
        self.usage = utilisation.UtilisationMeter(settings.start)
        self.sent_ahead = utilisation.TimeAverage(settings.start)
        self.waits = histogram.HdrHistogram(
            1, LONGEST_WAIT_MS, SIGNIFICANT_DIGITS
        )
        self.longest_wait_s = 0.0
        self.refusals: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.closings: collections.Counter[requests.Closing] = (
            collections.Counter()
        )
        self.most_over_limit = 0

    def arrive(self, request: requests.Request, now: float) -> None:
        """Records that a request arrived and waits for a slot."""
        self.waiting[request.workspace] += 1
        self.refresh(request.workspace, now)

    def give_up(self, request: requests.Request, now: float) -> None:
        """Records that a waiting request was refused or lost."""
        self.waiting[request.workspace] -= 1
        self.refresh(request.workspace, now)

    def refuse(self, request: requests.Request, reason: str) -> None:
        """Counts a refusal by workspace and reason."""
        self.refusals[request.workspace, reason] += 1

    def start(self, request: requests.Request, now: float) -> None:
        """Records that a waiting request occupied a slot."""
        name = request.workspace
        self.gap.start(name, now)
        self.lateness.start(name, request.cost, now)
        wait = now - request.arrived
        self.longest_wait_s = max(self.longest_wait_s, wait)
        self.waits.record_value(max(1, round(wait * 1000)))
        self.waiting[name] -= 1
        self.running[name] += 1
        self._check_limit(name)
        self.refresh(name, now)

    def stop(self, request: requests.Request, now: float) -> None:
        """Records that a running request left its slot."""
        name = request.workspace
        self.gap.stop(name, request.started, now)
        self.running[name] -= 1
        self.refresh(name, now)

    def refresh(self, name: ids.WorkspaceId, now: float) -> None:
        """Updates all measurements after a change of one workspace."""
        limit = self.settings.concurrency.get(name)
        is_held = limit is not None and self.running[name] >= limit
        is_backlogged = self.waiting[name] > 0 and not is_held
        self.gap.set_backlogged(name, is_backlogged, now)
        self.lateness.set_backlogged(name, is_backlogged, now)
        self.refresh_capacity(now)

    def refresh_capacity(self, now: float) -> None:
        """Updates the numbers of occupied and available slots."""
        up = [target for target in self.targets if target.is_available]
        slots = sum(target.target.slots for target in up)
        busy = sum(len(target.running) for target in up)
        ahead = sum(len(target.waiting) for target in self.targets)
        self.sent_ahead.set_value(ahead, now)
        backlogged = self.gap.backlogged
        self.usage.set_state(busy, slots, bool(backlogged), now)
        active = {name for name, n in self.running.items() if n}
        self.lateness.set_capacity(
            slots * self.settings.rate, active | backlogged, now
        )

    def finish(self, now: float) -> None:
        """Completes all measurements at the end of the run."""
        self.gap.update(now)
        self.lateness.finish(now)
        self.usage.advance(now)

    def _check_limit(self, name: ids.WorkspaceId) -> None:
        limit = self.settings.concurrency.get(name)
        if limit is not None:
            over = self.running[name] - limit
            self.most_over_limit = max(self.most_over_limit, over)
