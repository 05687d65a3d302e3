"""A whole fleet on loopback: platform, targets, routers and catalogue."""

import asyncio
import collections
import dataclasses
import json
import pathlib
from typing import Any

import httpx

from demo import addresses
from demo import catalogue
from demo import processes

APPLY_TIMEOUT_S = 40.0
LOG = "log"
INSTANCES = "instances"


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Size and speeds of a fleet.

    Attributes:
        routers: number of routers, spread over the data centres in turn.
        tokens_per_s: speed of one engine slot.
        busy_ms: busy time of one bookings call.
        list_lag_s: lag of the platform's instance list.
        limits: the `limits` of the routers' settings.
        router_command: what `python -m` gets for a router, but its settings.
    """

    data_centres: tuple[str, ...] = ("east", "north", "west")
    routers: int = 7
    engines: int = 5
    engine_slots: int = 4
    tokens_per_s: float = 100.0
    bookings: int = 2
    bookings_slots: int = 8
    busy_ms: float = 30.0
    list_lag_s: float = 1.0
    limits: dict[str, Any] = dataclasses.field(
        default_factory=lambda: {"address_ttl_s": 2.0}
    )
    router_command: tuple[str, ...] = ("lentilbeam_router",)


@dataclasses.dataclass(frozen=True, slots=True)
class RouterInstance:
    """A router as the platform's list shows it."""

    name: str
    data_centre: str
    state: str
    url: str
    peer_host: str
    peer_port: int


class Fleet:
    """The running processes and what they are called.

    Attributes:
        reached_at: URLs at which routers reach targets, by name, where these
            are not the targets' own.
    """

    def __init__(self, settings: Settings, folder: pathlib.Path):
        self.settings = settings
        self.folder = folder
        self.processes = processes.Processes(folder)
        self.instances: dict[str, RouterInstance] = {}
        self.engines: list[catalogue.TargetSpec] = []
        self.bookings: list[catalogue.TargetSpec] = []
        self.ports: list[int] = []
        self.target_url_overrides: dict[str, str] = {}
        self.http = httpx.AsyncClient(trust_env=False)

    async def start(self, workspaces: list[catalogue.WorkspaceSpec]) -> None:
        """Starts everything and waits until all routers are ready.

        Raises:
            StartError: something did not get ready.
        """
        settings = self.settings
        stand_ins = 2 + settings.engines + settings.bookings
        ports = stand_ins + 2 * settings.routers
        self.ports = processes.find_free_ports(ports)
        await self._start_stand_ins()
        await self._start_routers()
        await self._publish_catalogue(workspaces)
        await self._wait_for_all(list(self.instances), "/ready")

    async def close(self) -> None:
        """Stops the routers, then the rest, and waits for their ends."""
        everything = list(self.processes.by_name)
        routers = [name for name in everything if name in self.instances]
        others = [name for name in everything if name not in self.instances]
        await self.processes.stop(routers)
        await self.processes.stop(others)
        await self.http.aclose()

    def list_addresses(self) -> list[addresses.Address]:
        """Returns the addresses that callers know beforehand."""
        return [
            addresses.Address(name, row.url)
            for name, row in self.instances.items()
        ]

    async def register_instance(self, name: str, state: str) -> None:
        """Puts a router on the platform's list in the given state."""
        row = dataclasses.replace(self.instances[name], state=state)
        url = f"{self._url(INSTANCES)}/instances/{name}"
        response = await self.http.put(url, json=dataclasses.asdict(row))
        response.raise_for_status()

    async def deregister_instance(self, name: str) -> None:
        """Takes a router off the platform's list."""
        url = f"{self._url(INSTANCES)}/instances/{name}"
        (await self.http.delete(url)).raise_for_status()

    async def read_counts(self) -> dict[str, int]:
        """Returns how often each booking ran, summed over the services."""
        total: collections.Counter[str] = collections.Counter()
        for target in self.bookings:
            response = await self.http.get(f"{target.url}/counts")
            total.update(response.json())
        return dict(total)

    @property
    def log_url(self) -> str:
        """Where the log service listens."""
        return self._url(LOG)

    @property
    def instances_url(self) -> str:
        """Where the instance list listens."""
        return self._url(INSTANCES)

    def _url(self, name: str) -> str:
        return self.processes.by_name[name].url

    def _start_stand_in(self, name: str, module: str, *flags: str) -> str:
        port = self.ports.pop()
        url = f"http://{processes.HOST}:{port}"
        self.processes.start(
            name,
            url,
            f"tests.standins.{module}",
            f"--host={processes.HOST}",
            f"--port={port}",
            *flags,
        )
        return url

    def _start_targets(
        self, module: str, count: int, slots: int, *flags: str
    ) -> list[catalogue.TargetSpec]:
        targets = []
        centres = self.settings.data_centres
        for number in range(count):
            name = f"{module}-{number + 1}"
            url = self._start_stand_in(name, module, f"--slots={slots}", *flags)
            centre = centres[number % len(centres)]
            targets.append(catalogue.TargetSpec(name, url, centre, slots))
        return targets

    async def _start_stand_ins(self) -> None:
        settings = self.settings
        self._start_stand_in(LOG, "log")
        self._start_stand_in(
            INSTANCES, "instances", f"--lag_s={settings.list_lag_s}"
        )
        self.engines = self._start_targets(
            "engine",
            settings.engines,
            settings.engine_slots,
            f"--tokens_per_s={settings.tokens_per_s}",
        )
        self.bookings = self._start_targets(
            "bookings",
            settings.bookings,
            settings.bookings_slots,
            f"--busy_ms={settings.busy_ms}",
        )
        targets = [target.name for target in self.engines + self.bookings]
        await asyncio.gather(
            self._wait_for_all([LOG], "/streams/ready/records"),
            self._wait_for_all([INSTANCES], "/instances"),
            self._wait_for_all(targets, "/v1/load"),
        )

    async def _start_routers(self) -> None:
        for number in range(self.settings.routers):
            await self.start_router(f"router-{number + 1}")
        await self._wait_for_all(list(self.instances), "/health")

    async def start_router(self, name: str) -> None:
        """Starts a router and puts it on the list, without waiting."""
        settings = self._build_router_settings(name, len(self.instances))
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        self.processes.start(
            name,
            self.instances[name].url,
            *self.settings.router_command,
            f"--settings={path}",
        )
        await self.register_instance(name, "live")

    def _build_router_settings(self, name: str, number: int) -> dict[str, Any]:
        centres = self.settings.data_centres
        centre = centres[number % len(centres)]
        http, peer = self.ports.pop(), self.ports.pop()
        self.instances[name] = RouterInstance(
            name=name,
            data_centre=centre,
            state="live",
            url=f"http://{processes.HOST}:{http}",
            peer_host=processes.HOST,
            peer_port=peer,
        )
        return {
            "instance": name,
            "data_centre": centre,
            "http": {"host": processes.HOST, "port": http},
            "peer": {"host": processes.HOST, "port": peer},
            "platform": {
                "log_url": self._url(LOG),
                "instance_list_url": self._url(INSTANCES),
            },
            "limits": self.settings.limits,
        }

    async def _publish_catalogue(
        self, workspaces: list[catalogue.WorkspaceSpec]
    ) -> None:
        path = self.folder / "catalogue.json"
        entries = catalogue.build_entries(
            workspaces,
            self._apply_url_overrides(self.engines),
            self._apply_url_overrides(self.bookings),
        )
        path.write_text(json.dumps({"entries": entries}, indent=2))
        process = self.processes.start(
            "apply",
            "",
            "lentilbeam_cli",
            "apply",
            str(path),
            "--wait",
            f"--operator={catalogue.OWNER}",
            f"--log_url={self._url(LOG)}",
            f"--instances_url={self._url(INSTANCES)}",
        )
        if await process.wait(APPLY_TIMEOUT_S) != 0:
            raise processes.StartError(f"apply:\n{process.read_log_tail()}")

    def _apply_url_overrides(
        self, targets: list[catalogue.TargetSpec]
    ) -> list[catalogue.TargetSpec]:
        return [
            dataclasses.replace(
                t, url=self.target_url_overrides.get(t.name, t.url)
            )
            for t in targets
        ]

    async def _wait_for_all(self, names: list[str], path: str) -> None:
        await asyncio.gather(
            *(self.processes.wait_ready(name, path) for name in names)
        )
