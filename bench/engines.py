"""Simulated model engine with a number of slots and a FIFO queue."""

import collections
from collections.abc import Callable
import dataclasses

from bench import requests
from bench import simulation
from lentilbeam_core import catalogue as catalogue_lib
from lentilbeam_core import events

PROGRESS_INTERVAL_S = 0.25
FAILURE_DELAY_S = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class Hooks:
    """Callbacks of an engine.

    Attributes:
        started: called when a request gets a slot.
        stopped: called when a request leaves its slot.
        progressed: called periodically with a running request's cost so far.
        ended: called when a request leaves the engine, with its cost and the
            way it ended; not called for a cancelled request.
    """

    started: Callable[[requests.Request], None]
    stopped: Callable[[requests.Request], None]
    progressed: Callable[[requests.Request, float], None]
    ended: Callable[[requests.Request, float, events.RunEnd], None]


class Engine:
    """One target; admits requests in order of arrival, without priorities.

    Attributes:
        tokens_per_s: tokens that a slot serves per second.
        late_dispatches: number of requests that arrived after the grace
            period of a drain and were rejected.
        grace_ends_at: end of the grace period of a drain; infinite before a
            drain.
    """

    def __init__(
        self,
        loop: simulation.Simulation,
        target: catalogue_lib.Target,
        tokens_per_s: float,
        hooks: Hooks,
    ):
        self.loop = loop
        self.target = target
        self.tokens_per_s = tokens_per_s
        self.hooks = hooks
        self.waiting: collections.deque[requests.Request] = collections.deque()
        self.running: dict[requests.Request, None] = {}
        self.is_draining = False
        self.is_failing = False
        self.late_dispatches = 0
        self.grace_ends_at = float("inf")

    @property
    def is_available(self) -> bool:
        """Whether the engine's slots count as capacity."""
        return not (self.is_draining or self.is_failing)

    def admit(self, request: requests.Request) -> None:
        """Runs or queues a request, or ends it if the engine takes none."""
        if self.is_draining:
            self.late_dispatches += self.loop.now > self.grace_ends_at
            self.hooks.ended(request, 0.0, events.RunEnd.UNREACHABLE)
        elif self.is_failing:
            self.loop.call_later(FAILURE_DELAY_S, lambda: self._fail(request))
        else:
            self.waiting.append(request)
            self._start_waiting()

    def cancel(self, request: requests.Request) -> None:
        """Drops a request; does nothing if the engine does not have it."""
        if request in self.running:
            self._free_slot(request)
            self._start_waiting()
        elif request in self.waiting:
            self.waiting.remove(request)

    def drain(self, grace_s: float) -> None:
        """Stops admission; running and waiting requests are completed.

        Args:
            grace_s: time in seconds during which further requests are
                expected; later ones count as late dispatches.
        """
        self.is_draining = True
        self.grace_ends_at = self.loop.now + grace_s

    def start_failing(self) -> None:
        """Fails all current requests, and new ones after `FAILURE_DELAY_S`."""
        self.is_failing = True
        for request in [*self.running]:
            cost = self._get_cost(request)
            self._free_slot(request)
            self.hooks.ended(request, cost, events.RunEnd.FAILED)
        while self.waiting:
            self._fail(self.waiting.popleft())

    def stop_failing(self) -> None:
        """Returns to normal operation."""
        self.is_failing = False

    def report(self) -> events.TargetReported:
        """Returns the current load."""
        return events.TargetReported(
            target=self.target.name,
            running=len(self.running),
            waiting=len(self.waiting),
            draining=self.is_draining,
        )

    def _get_cost(self, request: requests.Request) -> float:
        used = (self.loop.now - request.started_at) * self.tokens_per_s
        return min(request.cost, used)

    def _start_waiting(self) -> None:
        while self.waiting and len(self.running) < self.target.slots:
            self._start(self.waiting.popleft())

    def _start(self, request: requests.Request) -> None:
        self.running[request] = None
        request.started_at = self.loop.now
        self.hooks.started(request)
        self.loop.call_later(
            request.cost / self.tokens_per_s, lambda: self._end(request)
        )
        self.loop.call_later(
            PROGRESS_INTERVAL_S, lambda: self._progress(request)
        )

    def _progress(self, request: requests.Request) -> None:
        if request in self.running:
            self.hooks.progressed(request, self._get_cost(request))
            self.loop.call_later(
                PROGRESS_INTERVAL_S, lambda: self._progress(request)
            )

    def _end(self, request: requests.Request) -> None:
        if request in self.running:
            self._free_slot(request)
            self.hooks.ended(request, request.cost, events.RunEnd.COMPLETED)
            self._start_waiting()

    def _free_slot(self, request: requests.Request) -> None:
        del self.running[request]
        self.hooks.stopped(request)

    def _fail(self, request: requests.Request) -> None:
        self.hooks.ended(request, 0.0, events.RunEnd.FAILED)
