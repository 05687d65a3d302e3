"""One run of the soak test with one seed.

Starts the processes, injects faults while callers send requests, waits until
everything has recovered, and checks the records of callers and targets.
"""

import asyncio
import collections
import dataclasses
import pathlib
import random

import httpx

from soak import callers as callers_lib
from soak import checks
from soak import disturbances
from soak import faults as faults_lib
from soak import world as world_lib

RECOVERY_LIMIT_S = 8.0
"""All requests must be served again this long after the last fault."""
FINAL_ROUNDS = 3
"""Number of requests to each router on each path after the faults."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a run.

    Attributes:
        seed: seed of all random choices.
        length_s: seconds during which faults are injected.
        routers: number of router processes.
        targets: number of target processes at the start.
        callers: number of concurrent callers.
    """

    seed: int
    length_s: float = 20.0
    routers: int = 3
    targets: int = 3
    callers: int = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Result of a run.

    Attributes:
        violations: one line for each violated guarantee.
        end_counts: number of requests by HTTP status, or by the value of
            `callers.CallEnd` if there was no response; and the numbers of
            streams that were taken up, and that went on.
        disturbance_counts: number of disturbances by the value of
            `disturbances.Kind`.
    """

    violations: list[str]
    end_counts: dict[str, int]
    disturbance_counts: dict[str, int]


async def run_seed(settings: Settings, folder: pathlib.Path) -> Result:
    """Runs the soak test with one seed.

    Args:
        settings: seed and size of the run.
        folder: directory for the settings and logs of the processes.
    """
    rng = random.Random(settings.seed)
    world = world_lib.SoakWorld(folder)
    try:
        await world.start(settings.routers, settings.targets)
        write_task = asyncio.create_task(world.write_entries())
        callers = callers_lib.Callers(world, rng, settings.callers)
        injector = faults_lib.FaultInjector(world, callers, rng)
        call_task = asyncio.create_task(callers.run())
        monitor_task = asyncio.create_task(
            disturbances.monitor_host(injector.disturbance_log)
        )
        await injector.run(settings.length_s)
        await asyncio.sleep(RECOVERY_LIMIT_S)
        call_task.cancel()
        unserved_calls = await _find_unserved_calls(
            world, callers, injector.disturbance_log
        )
        monitor_task.cancel()
        if write_task.done():
            write_task.result()  # Raises what has ended it.
        write_task.cancel()
        await asyncio.gather(
            call_task, monitor_task, write_task, return_exceptions=True
        )
        await asyncio.sleep(checks.RUN_LOG_DELAY_S)
        observations = checks.Observations(
            callers.records, world.read_runs(), injector
        )
        violations = checks.find_violations(observations) + unserved_calls
    finally:
        await world.stop()
    end_counts = collections.Counter(
        str(record.status or record.end.value) for record in callers.records
    )
    taken_up = [record for record in callers.records if record.resumes]
    end_counts["taken_up"] = len(taken_up)
    end_counts["went_on"] = sum(bool(record.events) for record in taken_up)
    kinds = collections.Counter(
        e.kind.value for e in injector.disturbance_log.entries
    )
    return Result(violations, dict(end_counts), dict(kinds))


async def _find_unserved_calls(
    world: world_lib.SoakWorld,
    callers: callers_lib.Callers,
    disturbance_log: disturbances.DisturbanceLog,
) -> list[str]:
    """Sends requests after all faults and returns one line for each failure.

    Returns no lines if the routers were disturbed meanwhile. No faults are
    injected any more, but the host may have been too busy.
    """
    async with httpx.AsyncClient(
        trust_env=False, timeout=callers_lib.CLIENT_TIMEOUT_S
    ) as http:
        started_at = world_lib.read_time()
        records = await asyncio.gather(
            *(
                callers.call(http, router, path)
                for router in world.routers
                for path in callers_lib.PATHS * FINAL_ROUNDS
            )
        )
    ended_at = world_lib.read_time()
    if not disturbance_log.is_undisturbed(
        tuple(world.routers), started_at, ended_at
    ):
        return []
    return [
        f"not served after recovery: {record.router}"
        f" {record.status or record.end.value}"
        for record in records
        if record.status != 200 or not record.is_complete
    ]
