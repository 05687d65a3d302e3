"""The mixed load: loops of callers, and samples of the engines' load."""

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

THINK_S = 0.3
SAMPLE_INTERVAL_S = 0.25
DEADLINE_MS = 20_000
MIN_TOKENS = 40
MAX_TOKENS = 160
STREAMED_FRACTION = 0.7
LOOKUP_FRACTION = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the load.

    Attributes:
        window_s: new requests are started for this long.
        seed: seed of the callers' choices.
    """

    window_s: float = 20.0
    seed: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSample:
    """Requests that ran on, and waited at, all engines at one moment."""

    at: float
    running: int
    waiting: int


@dataclasses.dataclass(slots=True)
class LoadResult:
    """What the load brought about.

    Attributes:
        untyped: errors of requests that ended without a typed outcome.
    """

    started_at: float
    window_ends_at: float
    results: list[caller_lib.Result] = dataclasses.field(default_factory=list)
    untyped_errors: list[str] = dataclasses.field(default_factory=list)
    samples: list[LoadSample] = dataclasses.field(default_factory=list)


MakeSpec = Callable[[], request_specs.RequestSpec]


class Load:
    """All callers' loops."""

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
        """Runs all loops until the window is over and all requests ended."""
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
        def make_assistant() -> request_specs.RequestSpec:
            return request_specs.make_assistant_request(
                request_specs.make_request_id(self.clock, self.rng),
                workspace.name,
                self.rng.randint(MIN_TOKENS, MAX_TOKENS),
                is_streamed=self.rng.random() < STREAMED_FRACTION,
                deadline_ms=DEADLINE_MS,
            )

        def make_booking() -> request_specs.RequestSpec:
            is_lookup = self.rng.random() < LOOKUP_FRACTION
            return request_specs.make_booking_request(
                request_specs.make_request_id(self.clock, self.rng),
                workspace.name,
                "lookup" if is_lookup else "book",
                is_idempotent=is_lookup,
                deadline_ms=DEADLINE_MS,
            )

        think_s = 0.0 if workspace.is_backlogged else THINK_S
        assistants = [
            self._run_loop(caller, make_assistant, think_s)
            for _ in range(workspace.loops)
        ]
        return [*assistants, self._run_loop(caller, make_booking, THINK_S)]

    async def _run_loop(
        self, caller: caller_lib.Caller, make_spec: MakeSpec, think_s: float
    ) -> None:
        while self.clock.monotonic() < self.result.window_ends_at:
            await self._run_one(caller, make_spec())
            await asyncio.sleep(think_s)

    async def _run_one(
        self, caller: caller_lib.Caller, spec: request_specs.RequestSpec
    ) -> None:
        try:
            self.result.results.append(await caller.run(spec))
        except Exception as error:  # noqa: BLE001 - counted as a failure.
            fault = f"{spec.workspace}/{spec.request_id}: {error!r}"
            self.result.untyped_errors.append(fault)

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
        urls = [f"{engine.url}/v1/load" for engine in engines]
        responses = await asyncio.gather(*(http.get(url) for url in urls))
        loads = [response.json() for response in responses]
        sample = LoadSample(
            at=self.clock.monotonic(),
            running=sum(load["running"] for load in loads),
            waiting=sum(load["waiting"] for load in loads),
        )
        self.result.samples.append(sample)
