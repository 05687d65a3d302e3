"""One seeded run: start, disturb, mend, settle, check."""

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

SETTLED_S = 8.0
"""Within this time of the last fault everything is served again."""
LAST_ROUNDS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a run.

    Attributes:
        seed: of all that is drawn.
        length_s: time during which faults come.
        routers: processes.
        targets: processes at first.
        callers: tasks that call without end.
    """

    seed: int
    length_s: float = 20.0
    routers: int = 3
    targets: int = 3
    callers: int = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What a run found.

    Attributes:
        broken: a line for each broken promise.
        ends: requests by how they ended.
        faults: disturbances by kind.
    """

    broken: list[str]
    ends: dict[str, int]
    faults: dict[str, int]


async def play(settings: Settings, folder: pathlib.Path) -> Result:
    """Plays one run; its processes log into `folder`."""
    draw = random.Random(settings.seed)
    world = world_lib.SoakWorld(folder)
    try:
        await world.start(settings.routers, settings.targets)
        callers = callers_lib.Callers(world, draw, settings.callers)
        faults = faults_lib.Faults(world, callers, draw)
        calling = asyncio.create_task(callers.run())
        watching = asyncio.create_task(disturbances.watch_host(faults.diary))
        await faults.run(settings.length_s)
        await asyncio.sleep(SETTLED_S)
        calling.cancel()
        unserved = await _find_unserved(world, callers, faults.diary)
        watching.cancel()
        await asyncio.gather(calling, watching, return_exceptions=True)
        await asyncio.sleep(checks.RUNS_WITHIN_S)
        evidence = checks.Evidence(callers.seen, world.read_runs(), faults)
        broken = checks.find_broken(evidence) + unserved
    finally:
        await world.stop()
    ends = collections.Counter(
        str(item.status or item.end.value) for item in callers.seen
    )
    kinds = collections.Counter(e.kind.value for e in faults.diary.entries)
    return Result(broken, dict(ends), dict(kinds))


async def _find_unserved(
    world: world_lib.SoakWorld,
    callers: callers_lib.Callers,
    diary: disturbances.Diary,
) -> list[str]:
    """Returns a line for each request that is not served after all faults."""
    async with httpx.AsyncClient(
        trust_env=False, timeout=callers_lib.DEADLINE_S
    ) as http:
        began = world_lib.read_time()
        seen = await asyncio.gather(
            *(
                callers.call(http, router, path)
                for router in world.routers
                for path in callers_lib.PATHS * LAST_ROUNDS
            )
        )
    ended = world_lib.read_time()
    if not diary.is_calm(tuple(world.routers), began, ended):
        return []
    return [
        f"not served after all: {item.router} {item.status or item.end.value}"
        for item in seen
        if item.status != 200 or not item.is_whole
    ]
