"""A fleet of real processes under measurement, and its callers."""

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
"""Prints a figure: name, value, target, whether it is met, and details."""

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
ONCE = caller_lib.Settings(max_attempts=1)
DEADLINE_MS = 20_000
POLL_S = 0.005
MAX_PAUSE_S = 0.1
MS_PER_S = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Counted:
    """Results of closed loops over a time.

    Attributes:
        seconds: how long the loops ran.
    """

    results: list[caller_lib.Result]
    seconds: float

    def get_rate(self) -> float:
        """Returns the completed requests in a second."""
        return len(select_completed(self.results)) / self.seconds


class Bench:
    """A running fleet and one caller for each of its routers."""

    def __init__(self, fleet: fleet_lib.Fleet, report: Report):
        self.fleet = fleet
        self.report = report
        self.clock = clock_lib.SystemClock()
        self.rng = random.Random(1)
        self.callers = {
            address.instance: caller_lib.Caller(self.clock, [address], ONCE)
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

    def make_order(
        self, call: str, deadline_ms: int = DEADLINE_MS
    ) -> request_specs.RequestSpec:
        """Returns a call of the bookings service."""
        return request_specs.make_booking_request(
            request_specs.make_request_id(self.clock, self.rng),
            WORKSPACE,
            call,
            is_idempotent=call == "lookup",
            deadline_ms=deadline_ms,
        )

    async def loop(self, call: str, count: int, seconds: float) -> Counted:
        """Keeps `count` requests open at each router for a time."""
        started_at = self.clock.monotonic()
        results: list[caller_lib.Result] = []

        async def repeat(caller: caller_lib.Caller) -> None:
            while self.clock.monotonic() < started_at + seconds:
                result = await caller.run(self.make_order(call))
                results.append(result)
                pause_s = result.answer.retry_after_s or 0.0
                await asyncio.sleep(min(pause_s, MAX_PAUSE_S))

        await asyncio.gather(
            *(repeat(c) for c in self.callers.values() for _ in range(count))
        )
        return Counted(results, self.clock.monotonic() - started_at)

    async def set_log_down(self, *, is_down: bool) -> None:
        """Makes the log refuse everything, or work again."""
        body = {"is_down": is_down}
        answer = await self.fleet.http.put(
            f"{self.fleet.log_url}/faults", json=body
        )
        answer.raise_for_status()

    async def read_appends(self) -> int:
        """Returns the appends of claims so far, of all routers."""
        answer = await self.fleet.http.get(f"{self.fleet.log_url}/counts")
        return answer.json().get("claims", 0)

    async def read_in_flight(self) -> int:
        """Returns the calls that run or wait at the bookings services."""
        count = 0
        for target in self.fleet.bookings:
            answer = await self.fleet.http.get(f"{target.url}/v1/load")
            load = answer.json()
            count += load["running"] + load["waiting"]
        return count

    async def wait_until_busy(self) -> None:
        """Waits until bookings run."""
        while True:
            if await self.read_in_flight() >= SETTINGS.bookings:
                return
            await asyncio.sleep(POLL_S)


def select_completed(
    results: list[caller_lib.Result],
) -> list[caller_lib.Result]:
    """Returns the results of requests that were completed."""
    completed = outcome_lib.Outcome.COMPLETED
    return [r for r in results if r.answer.outcome is completed]


def get_quantile_ms(results: list[caller_lib.Result], part: float) -> float:
    """Returns a quantile of the times of the results, in milliseconds."""
    times = sorted(r.ended_at - r.started_at for r in results)
    if not times:
        return float("nan")
    index = min(int(part * len(times)), len(times) - 1)
    return round(times[index] * MS_PER_S, 2)


def count_outcomes(results: list[caller_lib.Result]) -> dict[str, int]:
    """Returns the number of results by outcome and reason."""
    table = verdict.count_outcomes(results)
    return {name: sum(row.values()) for name, row in sorted(table.items())}


async def count_false(
    bench: Bench, results: list[caller_lib.Result]
) -> dict[str, int]:
    """Returns how many results are untrue, by kind."""
    counts = await bench.fleet.read_run_counts()
    return {
        "double_runs": verdict.count_double_runs(results, counts),
        "false_not_run": verdict.count_false_refusals(results, counts),
        "false_completed": verdict.count_missing_runs(results, counts),
        "damaged": sum(bool(r.mismatches) for r in results),
    }


async def report_false(
    bench: Bench, name: str, results: list[caller_lib.Result]
) -> bool:
    """Reports the number of untrue outcomes."""
    found = await count_false(bench, results)
    count = sum(found.values())
    return bench.report(
        f"fleet.{name}.false_outcomes",
        count,
        "0",
        count == 0,
        bookings=len(results),
        **found,
    )
