"""The platform's part in a process that exceeds its memory."""

import asyncio
import contextlib
import pathlib
import re

import world as world_lib

WATCH_S = 0.02
"""Time between two looks at a process."""
RESTART_S = 0.5
"""Time until a process that has ended is started again."""
MAX_ENDS = 3
MIN_MACHINES = 2
"""The rule (RULES.md, "Faults"): processes end three times, on a tenth of the
machines, two at least."""
_PRIVATE = re.compile(r"RssAnon:\s+(\d+) kB")


def read_private_mb(pid: int) -> float:
    """Returns the memory of a process, without mapped files, in MB.

    It is less than what the process takes in all. 0 if it has ended.
    """
    try:
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    found = _PRIVATE.search(status)
    return int(found[1]) / 1024 if found else 0.0


class Watch:
    """Kills each router above its memory, and starts it again.

    Attributes:
        world: the routers.
        limit_mb: memory of a machine.
        ends: how often the process of each router has ended.
        broken: set once the rule is broken.
        peaks_mb: largest memory of each router that was seen.
        tasks: one for each router.
    """

    def __init__(self, world: world_lib.World, limit_mb: float):
        self.world = world
        self.limit_mb = limit_mb
        self.ends: dict[str, int] = {}
        self.broken = asyncio.Event()
        self.peaks_mb: dict[str, float] = {}
        self.tasks = [
            asyncio.create_task(self._watch(router)) for router in world.fronts
        ]

    @property
    def is_broken(self) -> bool:
        """Whether enough processes have ended often enough for the rule."""
        often = [name for name, n in self.ends.items() if n >= MAX_ENDS]
        return len(often) >= MIN_MACHINES

    def stop(self) -> None:
        """Ends the watch and records what was seen."""
        for task in self.tasks:
            task.cancel()
        for router, peak_mb in self.peaks_mb.items():
            self.world.record.write(
                f"{router}: {peak_mb:.0f} MB of {self.limit_mb:.0f} at most,"
                f" {self.ends.get(router, 0)} ends"
            )

    async def _watch(self, router: str) -> None:
        while True:
            await asyncio.sleep(WATCH_S)
            process = self.world.processes[router]
            code = process.poll()
            used_mb = read_private_mb(process.pid)
            peak_mb = max(used_mb, self.peaks_mb.get(router, 0.0))
            self.peaks_mb[router] = peak_mb
            if used_mb <= self.limit_mb and code is None:
                continue
            process.kill()
            process.wait()
            self.ends[router] = self.ends.get(router, 0) + 1
            if self.is_broken:
                self.broken.set()
            self.world.record.write(
                f"{router} ended by itself with status {code}"
                if code is not None
                else f"{router} took {used_mb:.0f} MB and was killed"
            )
            await asyncio.sleep(RESTART_S)
            self.world.restart_router(router)
            with contextlib.suppress(world_lib.WorldError):
                await self.world.wait(
                    lambda: self.world.is_ready(router), router
                )
