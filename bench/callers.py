"""Callers: they draw requests and send them to their router."""

import dataclasses
import random
from typing import Protocol

from bench import load
from bench import requests
from bench import simulation
from lentilbeam_core import ids

RECONNECT_S = 1.0
"""Time after which a caller turns to another router."""

FIRST_SPREAD_S = 0.2
"""The first requests of all callers come evenly within this time."""


class Sender(Protocol):
    """Sends one request into the fleet."""

    def __call__(
        self,
        workspace: ids.WorkspaceId,
        router: ids.InstanceId,
        cost: float,
        hint: float,
        on_end: requests.EndCallback,
    ) -> None:
        """Sends a request; `on_end` is called when it ends."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of all callers.

    Attributes:
        scale: factor on the median cost of the workspace.
        phase: place of these callers among those of the workspace, in
            [0, 1), so that first requests come evenly over the routers.
        start: when load begins, in seconds.
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
        """Begins to send."""
        if isinstance(self.source, load.OpenLoop):
            self.loop.call_at(self.settings.start + self._gap(), self._repeat)
            return
        count = self.source.outstanding
        for index in range(count):
            offset = (index + self.settings.phase) / count * FIRST_SPREAD_S
            self.loop.call_at(self.settings.start + offset, self._call_again)

    def _gap(self) -> float:
        return self.random.expovariate(self.source.rate_per_s)

    def _repeat(self) -> None:
        self._call(lambda request_end, retry_after_s: None)
        self.loop.call_later(self._gap(), self._repeat)

    def _call_again(self) -> None:
        self._call(self._on_end)

    def _on_end(
        self, request_end: requests.RequestEnd, retry_after_s: float
    ) -> None:
        pause = retry_after_s
        if request_end is requests.RequestEnd.ROUTER_LOST:
            pause = RECONNECT_S
        pause += self.random.expovariate(1 / load.THINK_S)
        self.loop.call_later(pause, self._call_again)

    def _call(self, on_end: requests.EndCallback) -> None:
        costs = self.settings.costs
        cost = costs.sample(self.random, self.settings.scale)
        hint = costs.sample_hint(self.random, cost)
        source = self.source
        self.send(source.workspace, source.router, cost, hint, on_end)
