"""A fleet of real processes with callers, for measurements of claims."""

import asyncio
from collections.abc import Callable
import dataclasses
import random

import httpx

from demo import caller as caller_lib
from demo import fleet as fleet_lib
from demo import request_specs
from demo import verdict
from lentilbeam_core import clock as clock_lib
from lentilbeam_core import outcome as outcome_lib

Report = Callable[..., bool]
"""Prints a figure, see `bench.once.report`; returns whether it is met."""

WORKSPACE = "bench"
SETTINGS = fleet_lib.Settings(
    routers=3,
    engines=1,
    engine_slots=4,
    bookings=2,
    bookings_slots=32,
    busy_ms=10.0,
    list_lag_s=0.1,
)
SINGLE_ATTEMPT = caller_lib.Settings(max_attempts=1)
DEADLINE_MS = 20_000
POLL_INTERVAL_S = 0.005
MAX_PAUSE_S = 0.1
"""Longest pause after a refusal, even if Retry-After is longer."""

MS_PER_S = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadResult:
    """Results of a closed-loop load.

    Attributes:
        results: results of all requests.
        seconds: duration of the load.
    """

    results: list[caller_lib.Result]
    seconds: float

    def get_rate(self) -> float:
        """Returns the number of completed requests per second."""
        return len(select_completed(self.results)) / self.seconds


class FleetHarness:
    """A running fleet with one caller per router.

    Attributes:
        fleet: the running fleet.
        report: prints a figure.
        clock: clock of the callers.
        rng: random number generator for request ids.
        callers: callers by name of the router that they call.
    """

    def __init__(self, fleet: fleet_lib.Fleet, report: Report):
        self.fleet = fleet
        self.report = report
        self.clock = clock_lib.SystemClock()
        self.rng = random.Random(1)
        self.callers = {
            address.instance: caller_lib.Caller(
                self.clock, [address], SINGLE_ATTEMPT
            )
            for address in fleet.list_addresses()
        }
        for caller in self.callers.values():
            caller.addresses.expires_at = float("inf")
            caller.http = httpx.AsyncClient(
                timeout=caller_lib.TIMEOUT,
                limits=httpx.Limits(max_connections=None),
                trust_env=False,
            )

    async def close(self) -> None:
        """Closes the callers' connections."""
        for caller in self.callers.values():
            await caller.close()

    def make_request(
        self, call: str, deadline_ms: int = DEADLINE_MS
    ) -> request_specs.RequestSpec:
        """Returns a new request that calls the bookings service."""
        return request_specs.make_booking_request(
            request_specs.make_request_id(self.clock, self.rng),
            WORKSPACE,
            call,
            is_idempotent=call == "lookup",
            deadline_ms=deadline_ms,
        )

    async def run_closed_loop(
        self, call: str, count: int, seconds: float
    ) -> LoadResult:
        """Keeps `count` requests open at each router for some seconds.

        Args:
            call: call of the bookings service.
            count: number of concurrent requests per router.
            seconds: time after which no new request is sent.
        """
        started_at = self.clock.monotonic()
        results: list[caller_lib.Result] = []

        async def repeat(caller: caller_lib.Caller) -> None:
            while self.clock.monotonic() < started_at + seconds:
                result = await caller.run(self.make_request(call))
                results.append(result)
                pause_s = result.answer.retry_after_s or 0.0
                await asyncio.sleep(min(pause_s, MAX_PAUSE_S))

        await asyncio.gather(
            *(repeat(c) for c in self.callers.values() for _ in range(count))
        )
        return LoadResult(results, self.clock.monotonic() - started_at)

    async def set_log_down(self, *, is_down: bool) -> None:
        """Makes the log service refuse all calls, or serve them again.

        Raises:
            httpx.HTTPStatusError: if the service rejects the setting.
        """
        body = {"is_down": is_down}
        response = await self.fleet.http.put(
            f"{self.fleet.log_url}/faults", json=body
        )
        response.raise_for_status()

    async def read_appends(self) -> int:
        """Returns the number of claim appends by all routers so far."""
        response = await self.fleet.http.get(f"{self.fleet.log_url}/counts")
        return response.json().get("claims", 0)

    async def read_in_flight(self) -> int:
        """Returns the number of running and waiting calls at the targets."""
        count = 0
        for target in self.fleet.bookings:
            response = await self.fleet.http.get(f"{target.url}/v1/load")
            load = response.json()
            count += load["running"] + load["waiting"]
        return count

    async def wait_until_busy(self) -> None:
        """Waits until at least as many calls are in flight as targets exist."""
        while True:
            if await self.read_in_flight() >= SETTINGS.bookings:
                return
            await asyncio.sleep(POLL_INTERVAL_S)


def select_completed(
    results: list[caller_lib.Result],
) -> list[caller_lib.Result]:
    """Returns the results of completed requests."""
    completed = outcome_lib.Outcome.COMPLETED
    return [r for r in results if r.answer.outcome is completed]


def get_quantile_ms(results: list[caller_lib.Result], fraction: float) -> float:
    """Returns a quantile of the request latencies, in milliseconds.

    Args:
        results: results of requests; for none of them, NaN is returned.
        fraction: the quantile, from 0 to 1.
    """
    latencies_s = sorted(r.ended_at - r.started_at for r in results)
    if not latencies_s:
        return float("nan")
    index = min(int(fraction * len(latencies_s)), len(latencies_s) - 1)
    return round(latencies_s[index] * MS_PER_S, 2)


def count_outcomes(results: list[caller_lib.Result]) -> dict[str, int]:
    """Returns the number of results by outcome and reason."""
    counts_by_outcome = verdict.count_outcomes(results)
    return {
        name: sum(row.values())
        for name, row in sorted(counts_by_outcome.items())
    }


async def count_false_outcomes(
    harness: FleetHarness, results: list[caller_lib.Result]
) -> dict[str, int]:
    """Returns the number of results that contradict the actual runs."""
    counts = await harness.fleet.read_run_counts()
    return {
        "double_runs": verdict.count_double_runs(results, counts),
        "false_not_run": verdict.count_false_refusals(results, counts),
        "false_completed": verdict.count_missing_runs(results, counts),
        "damaged": sum(bool(r.mismatches) for r in results),
    }


async def report_false_outcomes(
    harness: FleetHarness, name: str, results: list[caller_lib.Result]
) -> bool:
    """Reports the number of outcomes that contradict the actual runs.

    Returns:
        Whether there is none.
    """
    counts_by_kind = await count_false_outcomes(harness, results)
    count = sum(counts_by_kind.values())
    return harness.report(
        f"fleet.{name}.false_outcomes",
        count,
        "0",
        count == 0,
        bookings=len(results),
        **counts_by_kind,
    )
