"""The processes under test, with proxies in front of store and targets."""

import asyncio
import contextlib
import json
import pathlib
import signal
import time

import httpx

from soak import proxy as proxy_lib
from tests.forwarding import platform_world

STORE = "store"
VERSIONS = ("v1", "v2")
"""Versions of the software of targets, which serve side by side."""
ZONES = ("east", "west")
"""Data centres of the targets, which take turns."""
ENTRY_INTERVAL_S = 1.2
"""Time between two entries of a running target."""
COLD_S = 4.0
"""Time for which a target is cold after its start."""
COLD_PER_S = 10.0
"""Requests per second that a cold target takes, less than the callers send."""
WRITE_RETRY_S = 0.2
"""Pause before a write that failed is retried."""


class SoakWorld(platform_world.PlatformWorld):
    """The platform on loopback, with connections that can be disturbed.

    Each router reaches the store through a proxy of its own. All routers
    reach a target through the same proxy.

    Attributes:
        links: proxies by the name of their link: "router>store" or "*>target".
        proxy_addresses: "host:port" of each proxy, by the name of its link.
        written: newest value of each record, by topic and key.
        cold: target, and when each of its processes was started and stopped to
            be cold, monotonic seconds.
    """

    def __init__(self, folder: pathlib.Path):
        super().__init__(folder)
        self.links: dict[str, proxy_lib.Proxy] = {}
        self.proxy_addresses: dict[str, str] = {}
        self.written: dict[tuple[str, str], bytes] = {}
        self.cold: list[tuple[str, float, float]] = []
        self.pool_fields = {"cold_start_s": COLD_S, "cold_per_s": COLD_PER_S}

    async def get_store_address(self, router: str) -> str:
        """Returns the address of the router's proxy in front of the store."""
        return await self._get_proxy_address(
            f"{router}>{STORE}", self.store_address
        )

    async def get_target_address(self, name: str) -> str:
        """Returns the address of the proxy in front of a target."""
        return await self._get_proxy_address(f"*>{name}", self.targets[name])

    async def start_target(self, name: str, version: str) -> None:
        """Starts a process of a target, which is cold."""
        now = read_time()
        self.cold.append((name, now, now + COLD_S))
        await super().start_target(name, version)

    def get_entry_fields(self, name: str) -> dict[str, float]:
        """Returns for how much longer a target is cold."""
        until = max(end for other, _, end in self.cold if other == name)
        return {"cold_left_ms": max(until - read_time(), 0.0) * 1000}

    async def write_entries(self) -> None:
        """Lets the targets write their entries again until cancelled.

        A target that is no longer listed, or whose process has exited, writes
        none. An entry that the store doesn't take is not written later.
        """
        while True:
            await asyncio.sleep(ENTRY_INTERVAL_S)
            for name in list(self.targets):
                value = self.written.get(("keyed.servers", name))
                if not value or self.processes[name].poll() is not None:
                    continue
                entry = json.loads(value) | self.get_entry_fields(name)
                encoded = json.dumps(entry).encode()
                self.written["keyed.servers", name] = encoded
                with contextlib.suppress(httpx.HTTPError):
                    await super().write("keyed.servers", name, encoded)

    def get_zone(self, name: str) -> str:
        """Returns the data centre of a target."""
        return find_zone(name)

    async def add_target(self, name: str, version: str = "") -> None:
        """Starts a target; by default, each version has half of them."""
        if not version:
            version = VERSIONS[len(self.targets) % len(VERSIONS)]
        await super().add_target(name, version)

    async def write(self, topic: str, key: str, value: bytes) -> None:
        """Writes a record of a keyed topic.

        Retries until the store accepts it, as real targets do.
        """
        self.written[topic, key] = value
        while True:
            try:
                await super().write(topic, key, value)
            except httpx.HTTPError:
                await asyncio.sleep(WRITE_RETRY_S)
            else:
                return

    async def write_again(self) -> None:
        """Writes what operator and targets wrote last, as they do."""
        for topic, key in list(self.written):
            # Another value may have been written meanwhile.
            await self.write(topic, key, self.written[topic, key])

    async def stop(self) -> None:
        """Kills the processes and stops the proxies."""
        await super().stop()
        for link in self.links.values():
            await link.stop()

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process, unless it has exited."""
        process = self.processes[name]
        if process.poll() is None:
            process.send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a process, also if it is paused, and waits for its exit."""
        self.send_signal(name, signal.SIGCONT)
        self.send_signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def list_exited(self) -> list[str]:
        """Returns the names of the processes that have exited."""
        return [n for n, p in self.processes.items() if p.poll() is not None]

    def read_runs(self) -> list[tuple[str, str, float]]:
        """Returns (target, request ID, monotonic seconds) of all runs so far.

        Targets log a run before they start it, so that no run is missing when
        a target is killed.
        """
        runs = []
        for name in self.targets:
            for line in self.read_log(name).splitlines():
                if line.startswith('{"run"'):
                    run = json.loads(line)
                    runs.append((name, run["run"], run["at"]))
        return runs

    async def _get_proxy_address(self, name: str, address: str) -> str:
        """Returns the address of a link's proxy; starts it on first use."""
        if name not in self.links:
            host, port = address.split(":")
            self.links[name] = proxy_lib.Proxy(host, int(port))
            self.proxy_addresses[name] = await self.links[name].start()
        return self.proxy_addresses[name]


def find_zone(target: str) -> str:
    """Returns the data centre of a target, by the number in its name."""
    return ZONES[int(target[1:]) // len(VERSIONS) % len(ZONES)]


def read_time() -> float:
    """Returns the monotonic time, in seconds, which all processes share."""
    return time.monotonic()
