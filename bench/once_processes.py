"""Measures claims on real processes: cost, log outage, death of a router."""

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

KILLED = "router-1"
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


async def measure_added(bench: once_fleet.Bench) -> bool:
    """Times bookings and lookups in turn at one router."""
    caller = bench.callers[KILLED]
    times: dict[str, list[caller_lib.Result]] = {"lookup": [], "book": []}
    for number in range(WARM_UP + PAIRS):
        for call, results in times.items():
            result = await caller.run(bench.make_order(call))
            if number >= WARM_UP:
                results.append(result)
    done = {
        call: once_fleet.select_completed(each) for call, each in times.items()
    }
    median_ms, p99_ms = (
        round(
            once_fleet.get_quantile_ms(done["book"], part)
            - once_fleet.get_quantile_ms(done["lookup"], part),
            2,
        )
        for part in (0.5, 0.99)
    )
    return bench.report(
        "fleet.claim_added_p99_ms",
        p99_ms,
        f"<= {MAX_ADDED_P99_MS:g} (append interval, append and read back)",
        p99_ms <= MAX_ADDED_P99_MS,
        added_median_ms=median_ms,
        booking_median_ms=once_fleet.get_quantile_ms(done["book"], 0.5),
        booking_p99_ms=once_fleet.get_quantile_ms(done["book"], 0.99),
        idempotent_median_ms=once_fleet.get_quantile_ms(done["lookup"], 0.5),
        idempotent_p99_ms=once_fleet.get_quantile_ms(done["lookup"], 0.99),
        completed=[len(done["book"]), len(done["lookup"])],
        asked=PAIRS,
    )


async def measure_appends(bench: once_fleet.Bench) -> bool:
    """Counts appends while more bookings are open than can run."""
    before = await bench.read_appends()
    counted = await bench.loop("book", LOOPS_PER_ROUTER, SATURATION_S)
    appends = await bench.read_appends() - before
    rate = appends / counted.seconds / once_fleet.SETTINGS.routers
    return bench.report(
        "fleet.saturated.appends_per_s_per_router",
        round(rate, 2),
        f"<= {MAX_APPENDS_PER_S:g}",
        rate <= MAX_APPENDS_PER_S,
        bookings_per_s=round(counted.get_rate(), 1),
        open_bookings=LOOPS_PER_ROUTER * once_fleet.SETTINGS.routers,
        latency_median_ms=once_fleet.get_quantile_ms(counted.results, 0.5),
        latency_p99_ms=once_fleet.get_quantile_ms(counted.results, 0.99),
        **once_fleet.count_outcomes(counted.results),
        **await once_fleet.count_false(bench, counted.results),
    )


async def measure_outage(bench: once_fleet.Bench) -> bool:
    """Runs both kinds before, during and after an outage of the log."""
    phases = {}
    for name, is_down in (
        ("before", False),
        ("during", True),
        ("after", False),
    ):
        await bench.set_log_down(is_down=is_down)
        phases[name] = await asyncio.gather(
            bench.loop("lookup", IDEMPOTENT_LOOPS, OUTAGE_S),
            pace_bookings(bench, OUTAGE_S),
        )
    rates = {name: each[0].get_rate() for name, each in phases.items()}
    part = rates["during"] / rates["before"]
    is_fast = bench.report(
        "fleet.log_outage.idempotent_speed_part",
        round(part, 3),
        f">= {MIN_SPEED_IN_OUTAGE:g} of the speed before",
        part >= MIN_SPEED_IN_OUTAGE,
        **{f"{name}_per_s": round(rate, 1) for name, rate in rates.items()},
    )
    refused = [
        result
        for result in phases["during"][1].results
        if result.answer.reason
        == outcome_lib.RefusalReason.CLAIM_LOG_UNAVAILABLE.value
    ]
    p99_ms = once_fleet.get_quantile_ms(refused, 0.99)
    is_prompt = bench.report(
        "fleet.log_outage.refusal_p99_ms",
        p99_ms,
        f"<= {MAX_REFUSAL_P99_MS:g} (patience with the log)",
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
    is_prompt &= report_recovery(bench, phases["after"][1])
    everything = [r for each in phases.values() for r in each[1].results]
    return (
        is_fast
        & is_prompt
        & await once_fleet.report_false(bench, "log_outage", everything)
    )


def report_recovery(bench: once_fleet.Bench, after: once_fleet.Counted) -> bool:
    """Reports how soon bookings completed after the outage."""
    started_at = min(r.started_at for r in after.results)
    ends = [
        r.ended_at - started_at
        for r in once_fleet.select_completed(after.results)
    ]
    recovered_s = round(min(ends), 2) if ends else None
    return bench.report(
        "fleet.log_outage.first_booking_after_s",
        recovered_s,
        f"<= {OUTAGE_S:g} (bookings work again)",
        recovered_s is not None and recovered_s <= OUTAGE_S,
    )


async def pace_bookings(
    bench: once_fleet.Bench, seconds: float
) -> once_fleet.Counted:
    """Keeps one booking open at each router."""
    return await bench.loop("book", 1, seconds)


async def measure_kill(bench: once_fleet.Bench) -> bool:
    """Kills a router full of bookings; asks the others for each of them."""
    wanted = [
        bench.make_order("book", KILL_DEADLINE_MS) for _ in range(KILL_REQUESTS)
    ]
    tasks = [
        asyncio.create_task(bench.callers[KILLED].run(order))
        for order in wanted
    ]
    await bench.wait_until_busy()
    bench.fleet.processes.by_name[KILLED].kill()
    in_flight = await bench.read_in_flight()
    first = await asyncio.gather(*tasks)
    cut = [r.spec for r in first if r.broken_attempts]
    other = bench.callers["router-2"]
    asked = await asyncio.gather(*(other.run(order) for order in cut))
    unknown = [
        result
        for result in asked
        if result.answer.outcome is outcome_lib.Outcome.OUTCOME_UNKNOWN
    ]
    await asyncio.sleep(SETTLE_S)
    counts = await bench.fleet.read_run_counts()
    ran = sum(verdict.count_runs(r.spec, counts) > 0 for r in unknown)
    is_met = bench.report(
        "fleet.router_kill.unknown_not_handed_over",
        len(unknown) - ran,
        "0 (only what was in flight to a target)",
        len(unknown) == ran,
        unknown=len(unknown),
        unknown_that_ran=ran,
        cut=len(cut),
        unknown_share_of_cut=round(len(unknown) / max(1, len(cut)), 3),
        at_targets_just_after=in_flight,
        **once_fleet.count_outcomes(asked),
    )
    return is_met & await once_fleet.report_false(
        bench, "router_kill", list(asked)
    )


MEASUREMENTS: tuple[Callable[[once_fleet.Bench], Awaitable[bool]], ...] = (
    measure_added,
    measure_appends,
    measure_outage,
    measure_kill,
)


async def measure_all(report: once_fleet.Report) -> bool:
    """Runs all measurements on one fleet; returns whether all are met."""
    workspace = catalogue.WorkspaceSpec(
        once_fleet.WORKSPACE, "studio", 1.0, 1, True, queue_length=2048
    )
    with tempfile.TemporaryDirectory(prefix="lentilbeam-once-") as folder:
        fleet = fleet_lib.Fleet(once_fleet.SETTINGS, pathlib.Path(folder))
        try:
            await fleet.start([workspace])
            bench = once_fleet.Bench(fleet, report)
            met = [await measure(bench) for measure in MEASUREMENTS]
            await bench.close()
            return all(met)
        finally:
            fleet.processes.kill_remaining()
            await fleet.http.aclose()
