"""The platform on loopback, with a proxy before the store and each target."""

import asyncio
import json
import pathlib
import signal
import time

import httpx

from soak import proxy as proxy_lib
from tests.forwarding import platform_world

STORE = "store"
WRITE_AGAIN_S = 0.2
"""Pause after a write that the store did not accept."""


class SoakWorld(platform_world.PlatformWorld):
    """Processes whose connections to store and targets go over proxies."""

    def __init__(self, folder: pathlib.Path):
        super().__init__(folder)
        self.links: dict[str, proxy_lib.Proxy] = {}
        self.reached: dict[str, str] = {}
        self.expected_ends: dict[str, int | None] = {}
        self.ends: list[str] = []

    async def get_store_address(self, router: str) -> str:
        """Returns the address of a router's own proxy to the store."""
        return await self._link(f"{router}>{STORE}", self.store_address)

    async def get_target_address(self, name: str) -> str:
        """Returns the address of the proxy before a target."""
        return await self._link(f"*>{name}", self.targets[name])

    async def write(self, topic: str, key: str, value: bytes) -> None:
        """Writes a record; tries until the store accepts it, as targets do."""
        while True:
            try:
                await super().write(topic, key, value)
            except httpx.HTTPError:
                await asyncio.sleep(WRITE_AGAIN_S)
            else:
                return

    async def stop(self) -> None:
        """Ends processes and proxies."""
        await super().stop()
        for link in self.links.values():
            await link.stop()

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process that was started here."""
        process = self.processes[name]
        if process.poll() is None:
            process.send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a process."""
        self.send_signal(name, signal.SIGCONT)
        self.send_signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def list_ended(self) -> list[str]:
        """Returns the processes that are not running."""
        return [n for n, p in self.processes.items() if p.poll() is not None]

    def read_runs(self) -> list[tuple[str, str, float]]:
        """Returns (target, request, monotonic seconds) of all runs so far.

        Targets write them down before they work, so that a kill loses none.
        """
        runs = []
        for name in self.targets:
            for line in self.read_log(name).splitlines():
                if line.startswith('{"run"'):
                    run = json.loads(line)
                    runs.append((name, run["run"], run["at"]))
        return runs

    async def _link(self, name: str, address: str) -> str:
        if name not in self.links:
            host, port = address.split(":")
            self.links[name] = proxy_lib.Proxy(host, int(port))
            self.reached[name] = await self.links[name].start()
        return self.reached[name]


def read_time() -> float:
    """Returns monotonic seconds, the same in all processes."""
    return time.monotonic()
