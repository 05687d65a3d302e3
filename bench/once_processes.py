"""Measures claims on real processes: latency, log outage, router kill.

Each measurement returns whether all its figures are within their limits.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import pathlib
import tempfile

from bench import once_fleet
from demo import caller as caller_lib
from demo import catalogue
from demo import fleet as fleet_lib
from demo import verdict
from lentilbeam_core import outcome as outcome_lib

MEASURED_ROUTER = "router-1"
WARM_UP = 20
PAIRS = 150
LOOPS_PER_ROUTER = 48
IDEMPOTENT_LOOPS = 2
SATURATION_S = 5.0
OUTAGE_S = 5.0
KILL_REQUESTS = 120
KILL_DEADLINE_MS = 5000
SETTLE_S = 2.0
MAX_APPENDS_PER_S = 20.0
MAX_ADDED_P99_MS = 100.0
MAX_REFUSAL_P99_MS = 1000.0
MIN_SPEED_IN_OUTAGE = 0.9


async def measure_added(harness: once_fleet.FleetHarness) -> bool:
    """Compares the latency of bookings, which need a claim, and lookups."""
    caller = harness.callers[MEASURED_ROUTER]
    results_by_call: dict[str, list[caller_lib.Result]] = {
        "lookup": [],
        "book": [],
    }
    for number in range(WARM_UP + PAIRS):
        for call, results in results_by_call.items():
            result = await caller.run(harness.make_request(call))
            if number >= WARM_UP:
                results.append(result)
    completed = {
        call: once_fleet.select_completed(each)
        for call, each in results_by_call.items()
    }
    median_ms, p99_ms = (
        round(
            once_fleet.get_quantile_ms(completed["book"], fraction)
            - once_fleet.get_quantile_ms(completed["lookup"], fraction),
            2,
        )
        for fraction in (0.5, 0.99)
    )
    return harness.report(
        "fleet.claim_added_p99_ms",
        p99_ms,
        f"<= {MAX_ADDED_P99_MS:g} (append interval, append and read back)",
        p99_ms <= MAX_ADDED_P99_MS,
        added_median_ms=median_ms,
        booking_median_ms=once_fleet.get_quantile_ms(completed["book"], 0.5),
        booking_p99_ms=once_fleet.get_quantile_ms(completed["book"], 0.99),
        idempotent_median_ms=once_fleet.get_quantile_ms(
            completed["lookup"], 0.5
        ),
        idempotent_p99_ms=once_fleet.get_quantile_ms(completed["lookup"], 0.99),
        completed=[len(completed["book"]), len(completed["lookup"])],
        asked=PAIRS,
    )


async def measure_appends(harness: once_fleet.FleetHarness) -> bool:
    """Measures the rate of appends with more open bookings than slots."""
    before = await harness.read_appends()
    load = await harness.run_closed_loop("book", LOOPS_PER_ROUTER, SATURATION_S)
    appends = await harness.read_appends() - before
    appends_per_s = appends / load.seconds / once_fleet.SETTINGS.routers
    return harness.report(
        "fleet.saturated.appends_per_s_per_router",
        round(appends_per_s, 2),
        f"<= {MAX_APPENDS_PER_S:g}",
        appends_per_s <= MAX_APPENDS_PER_S,
        bookings_per_s=round(load.get_rate(), 1),
        open_bookings=LOOPS_PER_ROUTER * once_fleet.SETTINGS.routers,
        latency_median_ms=once_fleet.get_quantile_ms(load.results, 0.5),
        latency_p99_ms=once_fleet.get_quantile_ms(load.results, 0.99),
        **once_fleet.count_outcomes(load.results),
        **await once_fleet.count_false_outcomes(harness, load.results),
    )


async def measure_outage(harness: once_fleet.FleetHarness) -> bool:
    """Runs lookups and bookings before, during and after a log outage."""
    phases = {}
    for name, is_down in (
        ("before", False),
        ("during", True),
        ("after", False),
    ):
        await harness.set_log_down(is_down=is_down)
        phases[name] = await asyncio.gather(
            harness.run_closed_loop("lookup", IDEMPOTENT_LOOPS, OUTAGE_S),
            run_sequential_bookings(harness, OUTAGE_S),
        )
    rates = {name: each[0].get_rate() for name, each in phases.items()}
    speed_ratio = rates["during"] / rates["before"]
    is_fast = harness.report(
        "fleet.log_outage.idempotent_speed_part",
        round(speed_ratio, 3),
        f">= {MIN_SPEED_IN_OUTAGE:g} of the speed before",
        speed_ratio >= MIN_SPEED_IN_OUTAGE,
        **{f"{name}_per_s": round(rate, 1) for name, rate in rates.items()},
    )
    refused = [
        result
        for result in phases["during"][1].results
        if result.answer.reason
        == outcome_lib.RefusalReason.CLAIM_LOG_UNAVAILABLE.value
    ]
    p99_ms = once_fleet.get_quantile_ms(refused, 0.99)
    is_met = harness.report(
        "fleet.log_outage.refusal_p99_ms",
        p99_ms,
        f"<= {MAX_REFUSAL_P99_MS:g} (longest wait for the log)",
        p99_ms <= MAX_REFUSAL_P99_MS,
        median_ms=once_fleet.get_quantile_ms(refused, 0.5),
        refused=len(refused),
        with_retry_after=sum(
            r.answer.retry_after_s is not None for r in refused
        ),
        **{
            name: once_fleet.count_outcomes(each[1].results)
            for name, each in phases.items()
        },
    )
    is_met &= report_recovery(harness, phases["after"][1])
    all_bookings = [r for each in phases.values() for r in each[1].results]
    return (
        is_fast
        & is_met
        & await once_fleet.report_false_outcomes(
            harness, "log_outage", all_bookings
        )
    )


def report_recovery(
    harness: once_fleet.FleetHarness, after: once_fleet.LoadResult
) -> bool:
    """Reports the time from the first booking to the first completion.

    The first booking is the first one that was sent after the outage.

    Args:
        harness: the running fleet.
        after: bookings that were sent after the outage.
    """
    started_at = min(r.started_at for r in after.results)
    ends = [
        r.ended_at - started_at
        for r in once_fleet.select_completed(after.results)
    ]
    recovered_s = round(min(ends), 2) if ends else None
    return harness.report(
        "fleet.log_outage.first_booking_after_s",
        recovered_s,
        f"<= {OUTAGE_S:g} (first completed booking)",
        recovered_s is not None and recovered_s <= OUTAGE_S,
    )


async def run_sequential_bookings(
    harness: once_fleet.FleetHarness, seconds: float
) -> once_fleet.LoadResult:
    """Keeps one booking open at each router."""
    return await harness.run_closed_loop("book", 1, seconds)


async def measure_kill(harness: once_fleet.FleetHarness) -> bool:
    """Kills a router with open bookings and sends them to another router."""
    requests = [
        harness.make_request("book", KILL_DEADLINE_MS)
        for _ in range(KILL_REQUESTS)
    ]
    tasks = [
        asyncio.create_task(harness.callers[MEASURED_ROUTER].run(request))
        for request in requests
    ]
    await harness.wait_until_busy()
    harness.fleet.processes.by_name[MEASURED_ROUTER].kill()
    in_flight = await harness.read_in_flight()
    first_results = await asyncio.gather(*tasks)
    interrupted = [r.spec for r in first_results if r.broken_attempts]
    other_caller = harness.callers["router-2"]
    retried = await asyncio.gather(
        *(other_caller.run(request) for request in interrupted)
    )
    unknown = [
        result
        for result in retried
        if result.answer.outcome is outcome_lib.Outcome.OUTCOME_UNKNOWN
    ]
    await asyncio.sleep(SETTLE_S)
    counts = await harness.fleet.read_run_counts()
    run_count = sum(verdict.count_runs(r.spec, counts) > 0 for r in unknown)
    is_met = harness.report(
        "fleet.router_kill.unknown_not_handed_over",
        len(unknown) - run_count,
        "0 (only bookings in flight to a target may be unknown)",
        len(unknown) == run_count,
        unknown=len(unknown),
        unknown_that_ran=run_count,
        cut=len(interrupted),
        unknown_share_of_cut=round(len(unknown) / max(1, len(interrupted)), 3),
        at_targets_just_after=in_flight,
        **once_fleet.count_outcomes(retried),
    )
    return is_met & await once_fleet.report_false_outcomes(
        harness, "router_kill", list(retried)
    )


MEASUREMENTS: tuple[
    Callable[[once_fleet.FleetHarness], Awaitable[bool]], ...
] = (
    measure_added,
    measure_appends,
    measure_outage,
    measure_kill,
)


async def measure_all(report: once_fleet.Report) -> bool:
    """Runs all measurements on one fleet; returns whether all succeeded."""
    workspace = catalogue.WorkspaceSpec(
        once_fleet.WORKSPACE, "studio", 1.0, 1, True, queue_length=2048
    )
    with tempfile.TemporaryDirectory(prefix="lentilbeam-once-") as folder:
        fleet = fleet_lib.Fleet(once_fleet.SETTINGS, pathlib.Path(folder))
        try:
            await fleet.start([workspace])
            harness = once_fleet.FleetHarness(fleet, report)
            are_met = [await measure(harness) for measure in MEASUREMENTS]
            await harness.close()
            return all(are_met)
        finally:
            fleet.processes.kill_remaining()
            await fleet.release()
