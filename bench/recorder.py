"""Joins the measures: follows each request from arrival to its end."""

import collections
import dataclasses

from hdrh import histogram

from bench import engines
from bench import gap
from bench import requests
from bench import turns
from bench import utilisation
from lentilbeam_core import ids

LONGEST_WAIT_MS = 3_600_000
SIGNIFICANT_DIGITS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """What the measures have to know.

    Attributes:
        weights: weight of each workspace.
        concurrency: fleet-wide limit of each workspace that has one.
        largest: cost of the largest request, in tokens.
        rate: tokens that one slot serves per second.
        start: time in seconds from which on utilisation is measured.
    """

    weights: dict[ids.WorkspaceId, float]
    concurrency: dict[ids.WorkspaceId, int]
    largest: float
    rate: float
    start: float


class Recorder:
    """Keeps all measures of one run."""

    def __init__(self, settings: Settings, targets: list[engines.Engine]):
        self.settings = settings
        self.targets = targets
        self.waiting = dict.fromkeys(settings.weights, 0)
        self.running = dict.fromkeys(settings.weights, 0)
        self.gap = gap.GapMeter(
            settings.weights, settings.largest, settings.rate
        )
        self.turns = turns.TurnMeter(settings.weights)
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
        """Notes that a request waits from now on."""
        self.waiting[request.workspace] += 1
        self.refresh(request.workspace, now)

    def give_up(self, request: requests.Request, now: float) -> None:
        """Notes that a waiting request was refused or lost."""
        self.waiting[request.workspace] -= 1
        self.refresh(request.workspace, now)

    def refuse(self, request: requests.Request, reason: str) -> None:
        """Counts a refusal by workspace and reason."""
        self.refusals[request.workspace, reason] += 1

    def start(self, request: requests.Request, now: float) -> None:
        """Notes that a waiting request got a slot."""
        name = request.workspace
        self.gap.start(name, now)
        self.turns.start(name, request.cost, now)
        wait = now - request.arrived
        self.longest_wait_s = max(self.longest_wait_s, wait)
        self.waits.record_value(max(1, round(wait * 1000)))
        self.waiting[name] -= 1
        self.running[name] += 1
        self._check_limit(name)
        self.refresh(name, now)

    def stop(self, request: requests.Request, now: float) -> None:
        """Notes that a running request left its slot."""
        name = request.workspace
        self.gap.stop(name, request.started, now)
        self.running[name] -= 1
        self.refresh(name, now)

    def refresh(self, name: ids.WorkspaceId, now: float) -> None:
        """Brings all measures up to date after a change."""
        limit = self.settings.concurrency.get(name)
        is_held = limit is not None and self.running[name] >= limit
        is_backlogged = self.waiting[name] > 0 and not is_held
        self.gap.set_backlogged(name, is_backlogged, now)
        self.turns.set_backlogged(name, is_backlogged, now)
        self.refresh_capacity(now)

    def refresh_capacity(self, now: float) -> None:
        """Takes in how many slots are in use and in service."""
        up = [target for target in self.targets if target.is_available]
        slots = sum(target.target.slots for target in up)
        busy = sum(len(target.running) for target in up)
        ahead = sum(len(target.waiting) for target in self.targets)
        self.sent_ahead.set_value(ahead, now)
        backlogged = self.gap.backlogged
        self.usage.set_state(busy, slots, bool(backlogged), now)
        active = {name for name, n in self.running.items() if n}
        self.turns.set_speed(
            slots * self.settings.rate, active | backlogged, now
        )

    def finish(self, now: float) -> None:
        """Brings all measures to the end of the run."""
        self.gap.update(now)
        self.turns.finish(now)
        self.usage.advance(now)

    def _check_limit(self, name: ids.WorkspaceId) -> None:
        limit = self.settings.concurrency.get(name)
        if limit is not None:
            over = self.running[name] - limit
            self.most_over_limit = max(self.most_over_limit, over)
