"""Runs a store, targets and routers as processes on loopback addresses.

Used by the process tests and by the soak.
"""

import asyncio
import dataclasses
import itertools
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import time

import httpx

from demo import fleet as fleet_lib
from demo import ports

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "studio.example"
API_KEY = "key-1"
WAIT_TIMEOUT_S = 60.0
"""Longest time that a test waits for a condition. On a busy machine, a start
takes half of it."""
POLL_INTERVAL_S = 0.02
TARGET_SLOTS = 30
NS_PER_MS = 1_000_000
_REQUEST_NUMBERS = itertools.count(1)
_PEAK_MEMORY = re.compile(r"VmHWM:\s+(\d+) kB")


def read_peak_memory(pid: int) -> int:
    """Returns the largest resident size of a process so far, in bytes."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    return int(_PEAK_MEMORY.search(status)[1]) * 1024


def _compute_loopback_ip(number: int) -> str:
    """Returns a loopback address that differs for each process and number.

    Each router needs an address of its own, because all routers serve their
    metrics at the same port. The process ID keeps test runs apart.
    """
    process = os.getpid()
    return f"127.{16 + process // 250 % 100}.{process % 250}.{number + 1}"


def _encode_record(key: str, value: bytes) -> bytes:
    record = bytes([len(key)]) + key.encode() + value
    return len(record).to_bytes(4, "big") + record


@dataclasses.dataclass(frozen=True, slots=True)
class TargetProcess:
    """A process of a target.

    Attributes:
        version: version of its software.
        born_ms: start of the process, Unix milliseconds.
    """

    version: str
    born_ms: int


class PlatformWorld:
    """A store, targets and routers that run as processes.

    Attributes:
        folder: directory of the log and settings files of the processes.
        http: client for requests to all processes.
        port_block: ports of all processes.
        processes: the processes started, by name; "store" is the store.
        routers: addresses that each router listens on, by name of the router
            and then by role: "front", "ready" or "directory".
        targets: address that each target listens on, by name.
        target_processes: process that each target runs or ran last, by name.
        store_address: address that the store listens on.
        version: version of the configuration published last; 0 if none.
        python_path: PYTHONPATH of the processes.
        pool_fields: further fields of the pool in the configuration.
        limits: limits of callers in the configuration.
        process_limits: what the settings of routers say that they get.
    """

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        self.http = httpx.AsyncClient(
            trust_env=False, timeout=10.0, limits=fleet_lib.HTTP_LIMITS
        )
        self.port_block = ports.PortBlock()
        self.processes: dict[str, subprocess.Popen] = {}
        self.routers: dict[str, dict[str, str]] = {}
        self.targets: dict[str, str] = {}
        self.target_processes: dict[str, TargetProcess] = {}
        self.store_address = f"{ports.HOST}:{self._take_port()}"
        self.version = 0
        self.pool_fields: dict[str, float] = {}
        self.limits: dict[str, float] = {}
        self.process_limits: dict[str, float] = {}
        self.python_path = os.pathsep.join(
            str(ROOT / part)
            for part in (
                "",
                "packages/lentilbeam-core/src",
                "packages/lentilbeam-router/src",
            )
        )

    async def start(self, routers: int, targets: int) -> None:
        """Starts the processes and waits until all routers are ready.

        Args:
            routers: number of routers.
            targets: number of targets.

        Raises:
            TimeoutError: the routers were not ready in `WAIT_TIMEOUT_S`.
        """
        host, port = self.store_address.split(":")
        self._spawn("store", "-m", "tests.standins.keyed_store", host, port)
        await self._wait(self._is_store_available)
        await self.publish()
        for number in range(1, targets + 1):
            await self.add_target(f"t{number}")
        for number in range(1, routers + 1):
            await self.add_router(
                f"router-{number}", _compute_loopback_ip(number)
            )
        await self._wait(self.are_all_ready)

    async def stop(self) -> None:
        """Kills all processes that this object started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        await self.http.aclose()
        self.port_block.close()

    def _take_port(self) -> int:
        (port,) = self.port_block.take(1)
        return port

    async def publish(self, *prefixes: str) -> None:
        """Writes a new version of the configuration to the store.

        Args:
            *prefixes: path prefixes of idempotent routes, in addition to the
                routes that each version has.
        """
        self.version += 1
        routes = [
            self._make_route("/chat/", "streaming", resumable=True),
            self._make_route("/book/", "non_idempotent"),
            self._make_route("/look/", "idempotent"),
            *(self._make_route(prefix, "idempotent") for prefix in prefixes),
        ]
        config = {
            "version": self.version,
            "routes": routes,
            "services": [
                {
                    "name": "pool",
                    "max_conns": 100,
                    "engine": {"slots": TARGET_SLOTS, "kv_tokens": 100_000},
                    **self.pool_fields,
                }
            ],
            "tenants": [{"name": "ashby", "api_keys": [API_KEY]}],
            "limits": self.limits,
        }
        await self.write("keyed.op", "config", json.dumps(config).encode())

    async def write(self, topic: str, key: str, value: bytes) -> None:
        """Appends a record to a keyed topic of the store.

        Raises:
            httpx.HTTPError: the store was unreachable or refused the record.
        """
        response = await self.http.post(
            f"http://{self.store_address}/v1/log-append",
            params={"topic": topic, "part": 0},
            content=_encode_record(key, value),
        )
        response.raise_for_status()

    async def set_faults(self, **faults: bool) -> None:
        """Sets the faults of the store and clears those that aren't named.

        See `tests.standins.keyed_store` for the names.
        """
        response = await self.http.put(
            f"http://{self.store_address}/faults", json=faults
        )
        response.raise_for_status()

    async def add_target(self, name: str, version: str = "v1") -> None:
        """Starts a target and registers it in the store as ready.

        Args:
            name: name of the target.
            version: version of its software.
        """
        self.targets[name] = f"{ports.HOST}:{self._take_port()}"
        await self.start_target(name, version)

    async def start_target(self, name: str, version: str) -> None:
        """Starts a process of a target at its address and registers it."""
        process = TargetProcess(version, time.time_ns() // NS_PER_MS)
        self.target_processes[name] = process
        host, port = self.targets[name].split(":")
        self._spawn(
            name,
            "-m",
            "tests.standins.opaque_target",
            host,
            port,
            name,
            version,
            str(process.born_ms),
        )
        await self.write_target_entry(name, "ready")

    async def is_running(self, name: str) -> bool:
        """Returns whether a target answers."""
        try:
            await self.http.get(f"http://{self.targets[name]}/runs")
        except httpx.HTTPError:
            return False
        return True

    async def write_target_entry(self, name: str, state: str) -> None:
        """Writes the entry of a target, with this state, to the store."""
        process = self.target_processes[name]
        entry = {
            "service": "pool",
            "address": await self.get_target_address(name),
            "zone": self.get_zone(name),
            "slots": TARGET_SLOTS,
            "state": state,
            "version": process.version,
            "cold_left_ms": 0,
            "seq": 1,
            "born": process.born_ms,
            **self.get_entry_fields(name),
        }
        await self.write("keyed.servers", name, json.dumps(entry).encode())

    def get_entry_fields(self, name: str) -> dict[str, float]:
        """Returns further fields of the entry of a target."""
        del name
        return {}

    def get_zone(self, name: str) -> str:
        """Returns the data centre of a target."""
        del name
        return "east"

    async def set_notices(self, name: str, **notices: bool | float) -> None:
        """Makes a target say something of itself; replaces earlier notices.

        See `tests.standins.opaque_target` for the names.
        """
        response = await self.http.put(
            f"http://{self.targets[name]}/notices", json=notices
        )
        response.raise_for_status()

    async def get_store_address(self, router: str) -> str:
        """Returns the address at which a router reaches the store."""
        del router
        return self.store_address

    async def get_target_address(self, name: str) -> str:
        """Returns the address in the entry of a target."""
        return self.targets[name]

    async def add_router(self, name: str, ip: str) -> None:
        """Writes the settings of a new router and starts it.

        Args:
            name: name of the router.
            ip: loopback address that only this router uses.
        """
        listen = {
            role: f"{ip}:{self._take_port()}"
            for role in ("front", "ready", "directory")
        }
        self.routers[name] = listen
        inner_port = self._take_port()
        settings = {
            "node": name,
            "ip": ip,
            "zone": "east",
            "listen": listen,
            "inner_ports": [inner_port, inner_port],
            "platform": {"address": await self.get_store_address(name)},
            "bounds": {"grace_s": 8, "budget_extra": 54},
            "limits": self.process_limits,
        }
        (self.folder / f"{name}.json").write_text(json.dumps(settings))
        self.start_router(name)

    def start_router(self, name: str) -> None:
        """Starts the process of a router that `add_router` has set up."""
        script = str(ROOT / "platform" / "start_router.py")
        settings_file = self.folder / f"{name}.json"
        self._spawn(name, script, LENTILBEAM_NODE_FILE=str(settings_file))

    def read_log(self, name: str) -> str:
        """Returns the standard output and error of a process so far."""
        return (self.folder / f"{name}.log").read_text()

    async def are_all_ready(self) -> bool:
        """Returns whether all routers are ready and know each other."""
        for name in self.routers:
            addresses = await self.resolve(name)
            if len(addresses) != len(self.routers):
                return False
        return True

    async def is_ready(self, name: str) -> bool:
        """Returns whether a router reports that it is ready."""
        try:
            url = f"http://{self.routers[name]['ready']}/v1/ready"
            return (await self.http.get(url)).status_code == 200
        except httpx.HTTPError:
            return False

    async def is_listening(self, name: str) -> bool:
        """Returns whether a router answers HTTP requests, ready or not."""
        try:
            url = f"http://{self.routers[name]['ready']}/v1/ready"
            await self.http.get(url)
        except httpx.HTTPError:
            return False
        return True

    async def resolve(self, name: str) -> list[str]:
        """Returns the addresses of routers that a router gives to callers.

        The list is empty if the router is unreachable or returns an error.
        """
        try:
            response = await self.http.get(
                f"http://{self.routers[name]['directory']}/v1/resolve",
                params={"name": HOST, "region": "r", "zone": "east"},
            )
            if response.status_code != 200:
                return []
            return response.json()["addresses"]
        except httpx.HTTPError:
            return []

    async def call(
        self, router: str, path: str, **headers: str
    ) -> httpx.Response:
        """Sends a caller's request to a router.

        Args:
            router: name of the router.
            path: path of the request; its prefix selects the route.
            **headers: headers that are added or replaced.
        """
        return await self.http.post(
            f"http://{self.routers[router]['front']}{path}",
            headers={
                "host": HOST,
                "api-key": API_KEY,
                "request-id": f"id-{next(_REQUEST_NUMBERS)}",
                "request-deadline": "8000",
                **headers,
            },
        )

    async def count_runs(self) -> dict[str, int]:
        """Returns how often each request ran at all targets, by request ID."""
        runs: dict[str, int] = {}
        for address in self.targets.values():
            response = await self.http.get(f"http://{address}/runs")
            for request_id in response.json():
                runs[request_id] = runs.get(request_id, 0) + 1
        return runs

    async def wait_until(self, check) -> float:
        """Waits for a condition; returns the time that it took, in seconds.

        Args:
            check: called without arguments until it returns True.

        Raises:
            TimeoutError: `WAIT_TIMEOUT_S` passed.
        """
        started_at = time.monotonic()
        await self._wait(check)
        return time.monotonic() - started_at

    async def _is_store_available(self) -> bool:
        try:
            await self.set_faults()
        except httpx.HTTPError:
            return False
        return True

    async def _wait(self, check) -> None:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                if await check():
                    return
                await asyncio.sleep(POLL_INTERVAL_S)

    def _make_route(self, prefix: str, kind: str, **fields) -> dict:
        return {
            "name": prefix,
            "host": HOST,
            "path_prefix": prefix,
            "kind": kind,
            "timeout_ms": 8000,
            "goal_ms": 1000,
            "service": "pool",
            "attempts": 3,
            **fields,
        }

    def _spawn(self, name: str, *arguments: str, **environment: str) -> None:
        with (self.folder / f"{name}.log").open("ab") as log_file:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=ROOT,
                env={
                    **os.environ,
                    "PYTHONPATH": self.python_path,
                    **environment,
                },
                stdout=log_file,
                stderr=subprocess.STDOUT,
            )
