"""Draws faults and planned work, and carries them out on the world."""

import asyncio
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import random
import signal
import subprocess

from soak import callers as callers_lib
from soak import disturbances
from soak import proxy as proxy_lib
from soak import world as world_lib

GRACE_S = 8.0
DRAIN_S = 3.5
"""A target serves for a little longer than it is listed as leaving."""
FAULT_S = (0.3, 3.0)
PAUSE_S = (0.1, 1.5)
"""Between two faults: they come in series and overlap."""

Kind = disturbances.Kind


class Faults:
    """Disturbs the world until told to stop; mends all that it broke."""

    def __init__(
        self,
        world: world_lib.SoakWorld,
        callers: callers_lib.Callers,
        draw: random.Random,
    ):
        self.world = world
        self.callers = callers
        self.draw = draw
        self.diary = disturbances.Diary()
        self.published: list[tuple[float, str]] = []
        self.leaving: dict[str, float] = {}
        self.unexpected: list[str] = []
        self.busy: set[str] = set()
        self.tasks: list[asyncio.Task] = []
        self.actions = (
            self._kill_router,
            self._pause_router,
            self._terminate_router,
            self._hang_up_router,
            self._kill_target,
            self._pause_target,
            self._drain_target,
            self._disturb_link,
            self._reset_link,
            self._disturb_store,
            self._publish,
        )

    async def run(self, length_s: float) -> None:
        """Disturbs for a time, then waits until everything is mended."""
        until = world_lib.read_time() + length_s
        while world_lib.read_time() < until:
            await asyncio.sleep(self.draw.uniform(*PAUSE_S))
            self._note_ends()
            action = self.draw.choice(self.actions)
            self.tasks.append(asyncio.create_task(action()))
        await asyncio.gather(*self.tasks)
        self._note_ends()

    def _note_ends(self) -> None:
        """Notes processes that ended though nobody told them to."""
        for name in self.world.list_ended():
            if name not in self.busy:
                code = self.world.processes[name].returncode
                self.unexpected.append(f"{name} ended with {code}")
                self.busy.add(name)

    def _take(self, names) -> str | None:
        free = sorted(set(names) - self.busy)
        if not free:
            return None
        name = self.draw.choice(free)
        self.busy.add(name)
        return name

    @contextlib.contextmanager
    def _disturb(
        self, kind: Kind, names: Iterable[str]
    ) -> Iterator[str | None]:
        """Takes one of the names that nothing else disturbs, for a time."""
        name = self._take(names)
        entry = self._begin(kind, name) if name is not None else None
        try:
            yield name
        finally:
            if entry is not None:
                entry.end = world_lib.read_time()
                self.busy.discard(name)

    async def _last(self) -> None:
        await asyncio.sleep(self.draw.uniform(*FAULT_S))

    def _begin(self, kind: Kind, where: str) -> disturbances.Disturbance:
        return self.diary.begin(kind, where, world_lib.read_time())

    async def _start_again(self, name: str) -> None:
        self.world.start_router(name)
        await self.world.wait_until(lambda: self.world.is_listening(name))

    async def _kill_router(self) -> None:
        with self._disturb(Kind.KILL, self.world.routers) as name:
            if name is not None:
                self.world.kill(name)
                await self._last()
                await self._start_again(name)

    async def _pause_router(self) -> None:
        with self._disturb(Kind.PAUSE, self.world.routers) as name:
            await self._pause(name)

    async def _pause_target(self) -> None:
        with self._disturb(Kind.PAUSE, self._list_targets()) as name:
            await self._pause(name)

    async def _pause(self, name: str | None) -> None:
        if name is not None:
            self.world.send_signal(name, signal.SIGSTOP)
            await self._last()
            self.world.send_signal(name, signal.SIGCONT)

    async def _terminate_router(self) -> None:
        with self._disturb(Kind.TERMINATE, self.world.routers) as name:
            if name is not None:
                await self._stop(name)
                await self._start_again(name)

    async def _stop(self, name: str) -> None:
        """Stops a router as planned; notes if it doesn't end as it should."""
        told_at = world_lib.read_time()
        self.world.send_signal(name, signal.SIGTERM)
        process = self.world.processes[name]
        try:
            code = await asyncio.to_thread(process.wait, GRACE_S)
            if code != 0:
                self.unexpected.append(f"{name} stopped with {code}")
        except subprocess.TimeoutExpired:
            now = world_lib.read_time()
            planned = frozenset(disturbances.PLANNED)
            if self.diary.is_calm((name,), told_at, now, planned):
                self.unexpected.append(f"{name} outlived its grace time")
            self.world.kill(name)

    async def _hang_up_router(self) -> None:
        with self._disturb(Kind.HANG_UP, self.world.routers) as name:
            if name is not None:
                self.world.send_signal(name, signal.SIGHUP)

    async def _kill_target(self) -> None:
        name = self._take(self._list_targets())
        if name is None:
            return
        self._begin(Kind.KILL, name)
        self.world.kill(name)
        await self._last()
        await self.world.write("keyed.servers", name, b"")
        await self._replace_target()

    async def _drain_target(self) -> None:
        name = self._take(self._list_targets())
        if name is None:
            return
        await self._replace_target()
        self._begin(Kind.DRAIN, name)
        await self.world.list_target(name, "draining")
        self.leaving[name] = world_lib.read_time()
        await asyncio.sleep(DRAIN_S)
        await self.world.write("keyed.servers", name, b"")
        await asyncio.sleep(callers_lib.DEADLINE_S)
        self.world.kill(name)

    async def _replace_target(self) -> None:
        name = f"t{len(self.world.targets) + 1}"
        self.busy.add(name)
        await self.world.add_target(name)
        self.busy.discard(name)

    def _list_targets(self) -> list[str]:
        """Returns the targets that may be disturbed; one always stays."""
        free = sorted(set(self.world.targets) - self.busy)
        return free[:-1]

    async def _disturb_link(self) -> None:
        with self._disturb(Kind.LINK, self.world.links) as name:
            if name is not None:
                states = [s for s in proxy_lib.LinkState if s.value != "open"]
                link = self.world.links[name]
                link.set_state(self.draw.choice(states))
                await self._last()
                link.set_state(proxy_lib.LinkState.OPEN)

    async def _reset_link(self) -> None:
        with self._disturb(Kind.RESET, self.world.links) as name:
            if name is not None:
                self.world.links[name].reset()

    async def _disturb_store(self) -> None:
        with self._disturb(Kind.STORE, [world_lib.STORE]) as name:
            if name is not None:
                fault = self.draw.choice(("is_down", "is_silent", "forget"))
                await self.world.set_faults(**{fault: True})
                await self._last()
                await self.world.set_faults()

    async def _publish(self) -> None:
        with self._disturb(Kind.PUBLISH, [world_lib.STORE]) as name:
            if name is not None:
                prefix = f"/v{self.world.version + 1}/"
                prefixes = [path for _, path in self.published]
                await self.world.publish(*prefixes, prefix)
                self.published.append((world_lib.read_time(), prefix))
                self.callers.newest_path = f"{prefix}x"
