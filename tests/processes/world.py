"""The fleet and the callers that the scenarios of a feature share."""

import asyncio
from collections.abc import Callable
import operator
import pathlib
import random
import signal

import httpx

from demo import addresses
from demo import caller as caller_lib
from demo import catalogue
from demo import fleet as fleet_lib
from demo import processes
from demo import request_specs
from lentilbeam_core import clock as clock_lib
from lentilbeam_core import outcome as outcome_lib
from tests.processes import relay as relay_lib
from tests.processes import scenario_record

ROUTERS = ("router-1", "router-2", "router-3")
TARGETS = ("engine-1", "bookings-1")
LOG = "log"
SETTINGS = fleet_lib.Settings(
    routers=len(ROUTERS),
    engines=1,
    engine_slots=16,
    bookings=1,
    busy_ms=300.0,
    list_lag_s=0.1,
    limits={"address_ttl_s": 1.0, "stream_idle_s": 1.5},
)
WORKSPACES = catalogue.list_workspaces()[:2]
MAX_TOKENS = 80
DEADLINE_MS = 20000
MANY_ATTEMPTS = caller_lib.Settings(max_attempts=1000, retry_limit_s=30.0)
"""Callers that only the time limit stops. Refused connections fail at once, so
a caller makes some 20 attempts a second while the routers restart."""
POLL_INTERVAL_S = 0.02


class World:
    """A fleet whose routers connect to the targets through relays.

    Attributes:
        clock: clock of the callers.
        rng: generator of request ids.
        fleet: the processes; they run through all scenarios.
        relays: TCP relays to the targets and to the first router, by name.
        urls: URLs of the relays, by the same name.
        tracebacks: tracebacks in the logs of routers that were restarted.
    """

    def __init__(self, folder: pathlib.Path):
        self.clock = clock_lib.SystemClock()
        self.rng = random.Random(1)
        self.fleet = fleet_lib.Fleet(SETTINGS, folder)
        self.relays = {
            name: relay_lib.Relay(self._make_get_port(name))
            for name in (*TARGETS, ROUTERS[0])
        }
        self.urls: dict[str, str] = {}
        self.tracebacks: list[str] = []

    def _make_get_port(self, name: str):
        return lambda: httpx.URL(self.fleet.processes.by_name[name].url).port

    async def start(self) -> None:
        """Starts the relays and the fleet."""
        for name, relay in self.relays.items():
            self.urls[name] = await relay.start()
        self.fleet.target_url_overrides = {
            name: self.urls[name] for name in TARGETS
        }
        await self.fleet.start(WORKSPACES)

    async def stop(self) -> None:
        """Kills all processes, also paused ones, and stops the relays."""
        for process in self.fleet.processes.by_name.values():
            if process.popen.poll() is None:
                process.popen.send_signal(signal.SIGCONT)
        self.fleet.processes.kill_remaining()
        for relay in self.relays.values():
            await relay.stop()
        await self.fleet.release()

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process."""
        self.fleet.processes.by_name[name].popen.send_signal(number)

    async def set_faults(self, name: str, **faults) -> None:
        """Injects these faults into a stand-in and removes all others."""
        url = f"{self.fleet.processes.by_name[name].url}/faults"
        (await self.fleet.http.put(url, json=faults)).raise_for_status()

    async def restart_all_routers(self) -> None:
        """Kills all routers and starts them again, without their state."""
        self.tracebacks += self.fleet.processes.list_tracebacks()
        old = [self.fleet.processes.by_name[name] for name in ROUTERS]
        for process in old:
            process.kill()
        for process in old:
            await process.wait()
            arguments = process.popen.args[2:]
            self.fleet.processes.start(process.name, process.url, *arguments)

    def make_bookings(
        self, count: int, deadline_ms: int = DEADLINE_MS
    ) -> list[request_specs.RequestSpec]:
        """Returns non-idempotent bookings, with the workspaces in turn."""
        return [
            request_specs.make_booking_request(
                request_specs.make_request_id(self.clock, self.rng),
                WORKSPACES[number % len(WORKSPACES)].name,
                "book",
                is_idempotent=False,
                deadline_ms=deadline_ms,
            )
            for number in range(count)
        ]

    def make_streams(self, count: int) -> list[request_specs.RequestSpec]:
        """Returns streamed requests to the engine, which are idempotent."""
        return [
            request_specs.make_assistant_request(
                request_specs.make_request_id(self.clock, self.rng),
                WORKSPACES[number % len(WORKSPACES)].name,
                MAX_TOKENS,
                is_streamed=True,
                deadline_ms=DEADLINE_MS,
            )
            for number in range(count)
        ]

    def list_addresses(self, *first: str) -> list[addresses.Address]:
        """Returns the addresses of all routers, starting with those named."""
        names = dict.fromkeys([*first, *ROUTERS])
        rows = self.fleet.instances
        return [addresses.Address(name, rows[name].url) for name in names]

    def send(
        self,
        specs: list[request_specs.RequestSpec],
        router_addresses: list[addresses.Address],
        settings: caller_lib.Settings,
        read_timeout_s: float = caller_lib.READ_TIMEOUT_S,
    ) -> list[asyncio.Task[caller_lib.Result]]:
        """Starts one caller for each request.

        Args:
            specs: the requests.
            router_addresses: the only routers that the callers use, in order
                of preference.
            settings: attempts and time limit of each caller.
            read_timeout_s: seconds without data after which a caller breaks
                off its attempt.
        """
        return [
            asyncio.create_task(
                self._run(spec, router_addresses, settings, read_timeout_s)
            )
            for spec in specs
        ]

    async def _run(
        self,
        spec: request_specs.RequestSpec,
        router_addresses: list[addresses.Address],
        settings: caller_lib.Settings,
        read_timeout_s: float,
    ) -> caller_lib.Result:
        caller = caller_lib.Caller(self.clock, router_addresses, settings)
        caller.addresses.expires_at = float("inf")
        caller.http.timeout = httpx.Timeout(read_timeout_s)
        try:
            return await caller.run(spec)
        finally:
            await caller.close()

    async def wait_until_busy(self, name: str, count: int = 1) -> None:
        """Waits until a target has this many running or queued requests."""
        await self._wait_for_load(name, lambda running: running >= count)

    async def wait_until_idle(self) -> None:
        """Waits until routers and bookings service have no active requests."""
        await self._wait_for_load("bookings-1", operator.not_)
        for name in ROUTERS:
            await self.fleet.processes.wait_ready(name, "/ready")
        for row in self.fleet.instances.values():
            await self._wait_for_router(row.url)
        # A router may have dispatched a booking meanwhile.
        await self._wait_for_load("bookings-1", operator.not_)

    async def _wait_for_router(self, url: str) -> None:
        async with asyncio.timeout(processes.READY_TIMEOUT_S):
            while True:
                if await self._count_active(f"{url}/v1/timeline") == 0:
                    return
                await asyncio.sleep(POLL_INTERVAL_S)

    async def _wait_for_load(
        self, name: str, is_reached: Callable[[int], bool]
    ) -> None:
        url = f"{self.fleet.processes.by_name[name].url}/v1/load"
        async with asyncio.timeout(processes.READY_TIMEOUT_S):
            while True:
                load = (await self.fleet.http.get(url)).json()
                if is_reached(load["running"] + load["waiting"]):
                    return
                await asyncio.sleep(POLL_INTERVAL_S)

    async def _count_active(self, url: str) -> int:
        answer = await self.fleet.http.get(url, timeout=caller_lib.TIMEOUT)
        names = [event["name"] for event in answer.json()["events"]]
        return names.count("request.admitted") - names.count("request.ended")

    async def conclude(
        self, tasks: list[asyncio.Task[caller_lib.Result]]
    ) -> scenario_record.ScenarioRecord:
        """Waits for all callers, then retries bookings that didn't complete.

        Returns:
            The results, and the runs by booking before and after the retries.
        """
        task_results = await asyncio.gather(*tasks, return_exceptions=True)
        results = [e for e in task_results if isinstance(e, caller_lib.Result)]
        await self.wait_until_idle()
        run_counts = await self.fleet.read_run_counts()
        retried_specs = [
            result.spec
            for result in results
            if not result.spec.is_idempotent
            and result.answer.outcome is not outcome_lib.Outcome.COMPLETED
        ]
        retried = await asyncio.gather(
            *self.send(
                retried_specs, self.list_addresses("router-2"), MANY_ATTEMPTS
            )
        )
        await self.wait_until_idle()
        return scenario_record.ScenarioRecord(
            results=results,
            untyped_errors=[
                repr(e) for e in task_results if isinstance(e, BaseException)
            ],
            run_counts=run_counts,
            tracebacks=self.tracebacks + self.fleet.processes.list_tracebacks(),
            retried=retried,
            retry_run_counts=await self.fleet.read_run_counts(),
        )
