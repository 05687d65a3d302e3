"""Simulated callers that generate requests and send them to a router."""

import dataclasses
import random
from typing import Protocol

from bench import load
from bench import requests
from bench import simulation
from lentilbeam_core import ids

RECONNECT_DELAY_S = 1.0
"""Delay before a caller connects to another router after losing its own."""

START_SPREAD_S = 0.2
"""Time over which the first requests of all callers are spread evenly."""


class Sender(Protocol):
    """Function that sends a request to a router."""

    def __call__(
        self,
        workspace: ids.WorkspaceId,
        router: ids.InstanceId,
        cost: float,
        hint: float,
        on_end: requests.EndCallback,
    ) -> None:
        """Sends a request.

        Args:
            workspace: workspace of the caller.
            router: name of the caller's router.
            cost: true cost in tokens.
            hint: the caller's estimate of the cost in tokens.
            on_end: called when the request ends.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the callers of one workspace at one router.

    Attributes:
        costs: distribution of costs and hints.
        scale: factor on the median cost of the workspace.
        phase: offset of the callers' first requests relative to those at
            other routers, in [0, 1), so that they are spread evenly.
        start: time at which the load starts, in seconds.
        seed: seed of the random number generator.
    """

    costs: load.CostDistribution
    scale: float
    phase: float
    start: float
    seed: str


class Callers:
    """All callers of one workspace at one router."""

    def __init__(
        self,
        loop: simulation.Simulation,
        source: load.Load,
        settings: Settings,
        send: Sender,
    ):
        self.loop = loop
        self.source = source
        self.settings = settings
        self.send = send
        self.random = random.Random(
            f"{settings.seed}/{source.workspace}/{source.router}"
        )

    def start(self) -> None:
        """Starts sending requests."""
        if isinstance(self.source, load.OpenLoop):
            self.loop.call_at(
                self.settings.start + self._sample_interval_s(),
                self._send_open_loop,
            )
            return
        count = self.source.outstanding
        for index in range(count):
            offset = (index + self.settings.phase) / count * START_SPREAD_S
            self.loop.call_at(
                self.settings.start + offset, self._send_closed_loop
            )

    def _sample_interval_s(self) -> float:
        return self.random.expovariate(self.source.rate_per_s)

    def _send_open_loop(self) -> None:
        self._send_request(lambda request_end, retry_after_s: None)
        self.loop.call_later(self._sample_interval_s(), self._send_open_loop)

    def _send_closed_loop(self) -> None:
        self._send_request(self._on_end)

    def _on_end(
        self, request_end: requests.RequestEnd, retry_after_s: float
    ) -> None:
        pause = retry_after_s
        if request_end is requests.RequestEnd.ROUTER_LOST:
            pause = RECONNECT_DELAY_S
        pause += self.random.expovariate(1 / load.THINK_S)
        self.loop.call_later(pause, self._send_closed_loop)

    def _send_request(self, on_end: requests.EndCallback) -> None:
        costs = self.settings.costs
        cost = costs.sample(self.random, self.settings.scale)
        hint = costs.sample_hint(self.random, cost)
        source = self.source
        self.send(source.workspace, source.router, cost, hint, on_end)
