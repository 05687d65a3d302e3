"""Injects random faults and planned changes into the processes under test.

Planned changes are what operators do: stop a router, reload its settings,
drain a target and publish a configuration.
"""

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
"""A router must exit within this time after SIGTERM (its `grace_s`)."""
DRAINING_S = 3.5
"""Time for which a target is listed as draining before it is unlisted.

The target is killed `callers.CLIENT_TIMEOUT_S` later, so that requests that
it still serves can complete.
"""
FAULT_DURATION_S = (0.3, 3.0)
"""Shortest and longest duration of a fault."""
FAULT_INTERVAL_S = (0.1, 1.5)
"""Shortest and longest time between the starts of two faults.

It is shorter than the duration of most faults, so that faults overlap.
"""

EVACUATION_S = (3.0, 7.0)
"""Shortest and longest duration of an evacuation."""
MAX_LOST = 12
"""Largest number of records of a topic that the store loses. Most records of
targets only repeat what they wrote before."""

Kind = disturbances.Kind


class FaultInjector:
    """Injects random faults and planned changes for a given time.

    Each fault is reverted at its end: processes are restarted or replaced,
    links and the store work again.

    Attributes:
        world: the processes under test.
        callers: the callers; they are told of published routes.
        rng: random number generator for the kinds, the components and the
            durations of faults.
        disturbance_log: all faults and planned changes so far.
        published: (time, path prefix) of each route that was published. Times
            here and below are in monotonic seconds.
        draining_since: by target, when it was listed as draining.
        evacuations: data centre, and when its evacuation was acknowledged and
            when its withdrawal began to be written.
        exit_violations: one line for each process that exited without being
            told to, or that did not stop as it should.
        reserved: names of the components that a fault uses now, and of
            processes that won't be restarted. No other fault may use them.
        tasks: tasks of the faults that were started.
        actions: coroutine functions of which each injects one kind of fault.
    """

    def __init__(
        self,
        world: world_lib.SoakWorld,
        callers: callers_lib.Callers,
        rng: random.Random,
    ):
        self.world = world
        self.callers = callers
        self.rng = rng
        self.disturbance_log = disturbances.DisturbanceLog()
        self.published: list[tuple[float, str]] = []
        self.draining_since: dict[str, float] = {}
        self.evacuations: list[tuple[str, float, float]] = []
        self.exit_violations: list[str] = []
        self.reserved: set[str] = set()
        self.tasks: list[asyncio.Task] = []
        self.actions = (
            self._kill_router,
            self._kill_all_routers,
            self._pause_router,
            self._terminate_router,
            self._reload_router,
            self._kill_target,
            self._restart_target,
            self._pause_target,
            self._drain_target,
            self._quieten_target,
            self._disturb_link,
            self._reset_link,
            self._disturb_store,
            self._lose_records,
            self._publish,
            self._evacuate,
        )

    async def run(self, length_s: float) -> None:
        """Injects faults, then waits until all of them are reverted.

        Args:
            length_s: seconds during which new faults are started.
        """
        until = world_lib.read_time() + length_s
        while world_lib.read_time() < until:
            await asyncio.sleep(self.rng.uniform(*FAULT_INTERVAL_S))
            self._record_unexpected_exits()
            action = self.rng.choice(self.actions)
            self.tasks.append(asyncio.create_task(action()))
        await asyncio.gather(*self.tasks)
        self._record_unexpected_exits()

    def _record_unexpected_exits(self) -> None:
        """Records the processes that exited though no fault stopped them."""
        for name in self.world.list_exited():
            if name not in self.reserved:
                code = self.world.processes[name].returncode
                self.exit_violations.append(
                    f"{name} exited unexpectedly with status {code}"
                )
                self.reserved.add(name)

    def _reserve(self, names) -> str | None:
        """Reserves a random one of the names; returns None if none is free."""
        free = sorted(set(names) - self.reserved)
        if not free:
            return None
        name = self.rng.choice(free)
        self.reserved.add(name)
        return name

    @contextlib.contextmanager
    def _disturb(
        self, kind: Kind, names: Iterable[str]
    ) -> Iterator[str | None]:
        """Reserves a random component and logs a disturbance of it.

        The disturbance ends, and the component is free again, when the context
        is left. Yields None if all components are reserved.

        Args:
            kind: kind of the disturbance.
            names: names of the components to choose from.
        """
        name = self._reserve(names)
        entry = self._add_disturbance(kind, name) if name is not None else None
        try:
            yield name
        finally:
            if entry is not None:
                entry.end = world_lib.read_time()
                self.reserved.discard(name)

    async def _wait_fault_duration(self) -> None:
        await asyncio.sleep(self.rng.uniform(*FAULT_DURATION_S))

    def _add_disturbance(
        self, kind: Kind, component: str
    ) -> disturbances.Disturbance:
        return self.disturbance_log.add(kind, component, world_lib.read_time())

    async def _restart_router(self, name: str) -> None:
        """Starts a router that has exited and waits until it listens."""
        self.world.start_router(name)
        await self.world.wait_until(lambda: self.world.is_listening(name))

    async def _kill_router(self) -> None:
        with self._disturb(Kind.KILL, self.world.routers) as name:
            if name is not None:
                self.world.kill(name)
                await self._wait_fault_duration()
                await self._restart_router(name)

    async def _kill_all_routers(self) -> None:
        """Kills all routers at once, unless another fault uses one of them.

        What began streams is then left in the store only. Targets of several
        versions serve in most runs.
        """
        names = set(self.world.routers)
        if names & self.reserved:
            return
        self.reserved |= names
        entries = [self._add_disturbance(Kind.KILL, name) for name in names]
        for name in names:
            self.world.kill(name)
        await self._wait_fault_duration()
        await asyncio.gather(*map(self._restart_router, sorted(names)))
        for entry in entries:
            entry.end = world_lib.read_time()
        self.reserved -= names

    async def _pause_router(self) -> None:
        with self._disturb(Kind.PAUSE, self.world.routers) as name:
            await self._pause(name)

    async def _pause_target(self) -> None:
        with self._disturb(
            Kind.PAUSE, self._list_disturbable_targets()
        ) as name:
            await self._pause(name)

    async def _pause(self, name: str | None) -> None:
        """Pauses a process by SIGSTOP for a while; does nothing if None."""
        if name is not None:
            self.world.send_signal(name, signal.SIGSTOP)
            await self._wait_fault_duration()
            self.world.send_signal(name, signal.SIGCONT)

    async def _terminate_router(self) -> None:
        with self._disturb(Kind.TERMINATE, self.world.routers) as name:
            if name is not None:
                await self._stop_router(name)
                await self._restart_router(name)

    async def _stop_router(self, name: str) -> None:
        """Stops a router by SIGTERM.

        Records a violation if its exit status isn't 0, or if it is still
        running after `GRACE_S` although nothing unplanned disturbed it. A
        router that is still running then is killed.
        """
        signalled_at = world_lib.read_time()
        self.world.send_signal(name, signal.SIGTERM)
        process = self.world.processes[name]
        try:
            code = await asyncio.to_thread(process.wait, GRACE_S)
            if code != 0:
                self.exit_violations.append(
                    f"{name} exited with status {code} after SIGTERM"
                )
        except subprocess.TimeoutExpired:
            now = world_lib.read_time()
            planned = frozenset(disturbances.PLANNED)
            if self.disturbance_log.is_undisturbed(
                (name,), signalled_at, now, planned
            ):
                self.exit_violations.append(
                    f"{name} still running after its grace period"
                )
            self.world.kill(name)

    async def _reload_router(self) -> None:
        """Makes a router reload its settings, by SIGHUP."""
        with self._disturb(Kind.RELOAD, self.world.routers) as name:
            if name is not None:
                self.world.send_signal(name, signal.SIGHUP)

    async def _kill_target(self) -> None:
        """Kills a target, unlists it after a while and adds another one."""
        name = self._reserve(self._list_disturbable_targets())
        if name is None:
            return
        self._add_disturbance(Kind.KILL, name)
        self.world.kill(name)
        await self._wait_fault_duration()
        await self.world.write("keyed.servers", name, b"")
        await self._add_target()

    async def _restart_target(self) -> None:
        """Kills a target; it is back under its name at another version."""
        with self._disturb(Kind.KILL, self._list_disturbable_targets()) as name:
            if name is None:
                return
            self.world.kill(name)
            await self._wait_fault_duration()
            version = self.rng.choice(world_lib.VERSIONS)
            await self.world.start_target(name, version)
            await self.world.wait_until(lambda: self.world.is_running(name))

    async def _drain_target(self) -> None:
        """Adds a target, then drains and kills another one as planned."""
        name = self._reserve(self._list_disturbable_targets())
        if name is None:
            return
        await self._add_target()
        self._add_disturbance(Kind.DRAIN, name)
        await self.world.set_notices(name, leaving=True)
        if self.rng.random() < 0.5:
            # Some targets say that they are leaving only in their responses.
            await self.world.write_target_entry(name, "draining")
            self.draining_since[name] = world_lib.read_time()
        await asyncio.sleep(DRAINING_S)
        await self.world.write("keyed.servers", name, b"")
        await asyncio.sleep(callers_lib.CLIENT_TIMEOUT_S)
        self.world.kill(name)

    async def _quieten_target(self) -> None:
        """Makes a target turn requests away for a while."""
        with self._disturb(
            Kind.QUIET, self._list_disturbable_targets()
        ) as name:
            if name is not None:
                quiet_s = self.rng.uniform(*FAULT_DURATION_S)
                await self.world.set_notices(name, quiet_s=quiet_s)
                await asyncio.sleep(quiet_s)

    async def _lose_records(self) -> None:
        """Lets the store come back from a copy; its writers write again."""
        with self._disturb(Kind.STORE, [world_lib.STORE]) as name:
            if name is None:
                return
            await self.world.set_faults(is_down=True)
            await self._wait_fault_duration()
            await self.world.set_faults(lose=self.rng.randint(1, MAX_LOST))
            await self.world.write_again()

    async def _evacuate(self) -> None:
        """Evacuates a data centre for a while."""
        with self._disturb(Kind.EVACUATE, world_lib.ZONES) as zone:
            if zone is None:
                return
            key = f"evacuate/{zone}"
            await self.world.write("keyed.op", key, b"1")
            asked_at = world_lib.read_time()
            await asyncio.sleep(self.rng.uniform(*EVACUATION_S))
            self.evacuations.append((zone, asked_at, world_lib.read_time()))
            await self.world.write("keyed.op", key, b"")

    async def _add_target(self) -> None:
        """Adds a target; reserves it until it has started."""
        name = f"t{len(self.world.targets) + 1}"
        self.reserved.add(name)
        await self.world.add_target(name)
        self.reserved.discard(name)

    def _list_disturbable_targets(self) -> list[str]:
        """Returns the targets that are not reserved, except one.

        That one continues to serve requests.
        """
        free = sorted(set(self.world.targets) - self.reserved)
        return free[:-1]

    async def _disturb_link(self) -> None:
        """Puts a link into a random state other than "open" for a while."""
        with self._disturb(Kind.LINK, self.world.links) as name:
            if name is not None:
                states = [s for s in proxy_lib.LinkState if s.value != "open"]
                link = self.world.links[name]
                link.set_state(self.rng.choice(states))
                await self._wait_fault_duration()
                link.set_state(proxy_lib.LinkState.OPEN)

    async def _reset_link(self) -> None:
        with self._disturb(Kind.RESET, self.world.links) as name:
            if name is not None:
                self.world.links[name].reset()

    async def _disturb_store(self) -> None:
        """Makes the store fail for a while.

        It refuses calls, leaves them unanswered, or drops old records.
        """
        with self._disturb(Kind.STORE, [world_lib.STORE]) as name:
            if name is not None:
                fault = self.rng.choice(("is_down", "is_silent", "forget"))
                await self.world.set_faults(**{fault: True})
                await self._wait_fault_duration()
                await self.world.set_faults()

    async def _publish(self) -> None:
        """Publishes a configuration with one more route."""
        with self._disturb(Kind.PUBLISH, [world_lib.STORE]) as name:
            if name is not None:
                prefix = f"/v{self.world.version + 1}/"
                prefixes = [path for _, path in self.published]
                await self.world.publish(*prefixes, prefix)
                self.published.append((world_lib.read_time(), prefix))
                self.callers.newest_path = f"{prefix}x"
