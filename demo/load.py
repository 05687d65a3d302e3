"""Closed-loop load on a fleet, with samples of the engines' utilisation.

Each workspace has several loops. A loop sends a request, waits for its result,
pauses for a think time and starts again.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random

import httpx

from demo import addresses
from demo import caller as caller_lib
from demo import catalogue
from demo import request_specs
from lentilbeam_core import clock as clock_lib

THINK_TIME_S = 0.3
"""Pause of a loop between two requests; backlogged workspaces have none."""
SAMPLE_INTERVAL_S = 0.25
DEADLINE_MS = 20_000
MIN_TOKENS = 40
MAX_TOKENS = 160
STREAMED_FRACTION = 0.7
"""Fraction of the requests to model engines that are streamed."""
LOOKUP_FRACTION = 0.3
"""Fraction of the calls of the bookings service that are lookups."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the load.

    Attributes:
        window_s: seconds during which new requests are started.
        seed: seed of the random choices.
    """

    window_s: float = 20.0
    seed: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSample:
    """Running and waiting requests of all model engines at one moment.

    Attributes:
        at: time of the sample, in monotonic seconds.
        running: number of running requests.
        waiting: number of requests that wait for a slot at an engine.
    """

    at: float
    running: int
    waiting: int


@dataclasses.dataclass(slots=True)
class LoadResult:
    """Results of a load.

    Attributes:
        started_at: start of the window, in monotonic seconds.
        window_ends_at: end of the window, in monotonic seconds. Requests that
            were started before end later.
        results: results of all requests, in the order of their ends.
        untyped_errors: one text for each request that raised an exception
            instead of ending with a typed outcome.
        samples: samples of the engines' load during the window.
    """

    started_at: float
    window_ends_at: float
    results: list[caller_lib.Result] = dataclasses.field(default_factory=list)
    untyped_errors: list[str] = dataclasses.field(default_factory=list)
    samples: list[EngineSample] = dataclasses.field(default_factory=list)


MakeSpec = Callable[[], request_specs.RequestSpec]


class Load:
    """Closed-loop load of all workspaces.

    Attributes:
        settings: duration and seed.
        clock: clock for the window.
        initial_addresses: router addresses that callers start with.
        rng: random number generator for requests and address orders.
        result: results so far.
    """

    def __init__(
        self,
        settings: Settings,
        clock: clock_lib.Clock,
        initial_addresses: list[addresses.Address],
    ):
        self.settings = settings
        self.clock = clock
        self.initial_addresses = initial_addresses
        self.rng = random.Random(settings.seed)
        started_at = clock.monotonic()
        window_ends_at = started_at + settings.window_s
        self.result = LoadResult(started_at, window_ends_at)

    async def run(
        self,
        workspaces: list[catalogue.WorkspaceSpec],
        engines: list[catalogue.TargetSpec],
    ) -> LoadResult:
        """Runs all loops until the window is over and all requests have ended.

        Args:
            workspaces: workspaces that send requests.
            engines: model engines whose load is sampled.
        """
        callers = [self._make_caller() for _ in workspaces]
        loops: list[Awaitable] = [self._sample_in_loop(engines)]
        for workspace, caller in zip(workspaces, callers, strict=True):
            loops += self._list_loops(workspace, caller)
        await asyncio.gather(*loops)
        for caller in callers:
            await caller.close()
        return self.result

    def _make_caller(self) -> caller_lib.Caller:
        initial_addresses = list(self.initial_addresses)
        self.rng.shuffle(initial_addresses)
        return caller_lib.Caller(
            self.clock, initial_addresses, caller_lib.Settings()
        )

    def _list_loops(
        self, workspace: catalogue.WorkspaceSpec, caller: caller_lib.Caller
    ) -> list[Awaitable]:
        """Returns the loops of a workspace.

        There are `workspace.loops` loops of requests to model engines, and one
        of calls of the bookings service.
        """

        def make_assistant_spec() -> request_specs.RequestSpec:
            return request_specs.make_assistant_request(
                request_specs.make_request_id(self.clock, self.rng),
                workspace.name,
                self.rng.randint(MIN_TOKENS, MAX_TOKENS),
                is_streamed=self.rng.random() < STREAMED_FRACTION,
                deadline_ms=DEADLINE_MS,
            )

        def make_booking_spec() -> request_specs.RequestSpec:
            is_lookup = self.rng.random() < LOOKUP_FRACTION
            return request_specs.make_booking_request(
                request_specs.make_request_id(self.clock, self.rng),
                workspace.name,
                "lookup" if is_lookup else "book",
                is_idempotent=is_lookup,
                deadline_ms=DEADLINE_MS,
            )

        think_time_s = 0.0 if workspace.is_backlogged else THINK_TIME_S
        assistants = [
            self._run_loop(caller, make_assistant_spec, think_time_s)
            for _ in range(workspace.loops)
        ]
        return [
            *assistants,
            self._run_loop(caller, make_booking_spec, THINK_TIME_S),
        ]

    async def _run_loop(
        self,
        caller: caller_lib.Caller,
        make_spec: MakeSpec,
        think_time_s: float,
    ) -> None:
        while self.clock.monotonic() < self.result.window_ends_at:
            await self._send_request(caller, make_spec())
            await asyncio.sleep(think_time_s)

    async def _send_request(
        self, caller: caller_lib.Caller, spec: request_specs.RequestSpec
    ) -> None:
        try:
            self.result.results.append(await caller.run(spec))
        except Exception as error:  # noqa: BLE001 - counted as a violation.
            problem = f"{spec.workspace}/{spec.request_id}: {error!r}"
            self.result.untyped_errors.append(problem)

    async def _sample_in_loop(
        self, engines: list[catalogue.TargetSpec]
    ) -> None:
        async with httpx.AsyncClient(trust_env=False) as http:
            while self.clock.monotonic() < self.result.window_ends_at:
                await self._take_sample(http, engines)
                await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def _take_sample(
        self, http: httpx.AsyncClient, engines: list[catalogue.TargetSpec]
    ) -> None:
        """Adds a sample of the load of all engines."""
        urls = [f"{engine.url}/v1/load" for engine in engines]
        responses = await asyncio.gather(*(http.get(url) for url in urls))
        loads = [response.json() for response in responses]
        sample = EngineSample(
            at=self.clock.monotonic(),
            running=sum(load["running"] for load in loads),
            waiting=sum(load["waiting"] for load in loads),
        )
        self.result.samples.append(sample)
