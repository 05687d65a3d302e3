"""A fleet as processes on loopback.

It has stand-ins for the platform (log service and instance list) and the
targets, the routers, and a catalogue that is published with the CLI.
"""

import asyncio
import collections
import dataclasses
import json
import pathlib
from typing import Any

import httpx

from demo import addresses
from demo import catalogue
from demo import ports
from demo import processes

APPLY_TIMEOUT_S = 40.0
"""Time limit for publishing the catalogue."""
HTTP_LIMITS = httpx.Limits(keepalive_expiry=2.0)
"""Lets the client close a connection that was idle for 2 s, before a server
does after 5 s. A request that is sent while its server closes the connection
fails."""
LOG = "log"
"""Process name of the log service."""
INSTANCES = "instances"
"""Process name of the platform's instance list."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Size and speed of a fleet.

    Attributes:
        data_centres: names of the data centres. Routers and targets are
            assigned to them in turn.
        routers: number of routers.
        engines: number of model engines.
        engine_slots: slots of each model engine.
        tokens_per_s: tokens that an engine generates per second in each slot.
        bookings: number of bookings services.
        bookings_slots: slots of each bookings service.
        busy_ms: busy time of one call of a bookings service.
        list_lag_s: time until the platform's instance list shows a change.
        limits: the object `limits` of the routers' settings files.
        router_command: arguments of `python -m` that start a router. The flag
            for its settings file is appended.
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
class InstanceEntry:
    """A router's entry on the platform's instance list.

    Attributes:
        name: name of the router.
        data_centre: name of its data centre.
        state: "live" or "leaving".
        url: URL at which it listens for callers.
        peer_host: host of its socket for other routers.
        peer_port: port of its socket for other routers.
    """

    name: str
    data_centre: str
    state: str
    url: str
    peer_host: str
    peer_port: int


class Fleet:
    """The processes of a fleet.

    Attributes:
        settings: size and speed.
        folder: directory for settings, the catalogue and logs.
        processes: all processes of the fleet.
        instances: the routers' entries on the instance list, by router.
        engines: the model engines.
        bookings: the bookings services.
        port_block: source of `ports`.
        ports: free ports that are still to be used.
        target_url_overrides: by target, the URL that the catalogue gets
            instead of the target's own, for instance that of a proxy.
        http: HTTP client for the stand-ins.
    """

    def __init__(self, settings: Settings, folder: pathlib.Path):
        self.settings = settings
        self.folder = folder
        self.processes = processes.Processes(folder)
        self.instances: dict[str, InstanceEntry] = {}
        self.engines: list[catalogue.TargetSpec] = []
        self.bookings: list[catalogue.TargetSpec] = []
        self.port_block = ports.PortBlock()
        self.ports: list[int] = []
        self.target_url_overrides: dict[str, str] = {}
        self.http = httpx.AsyncClient(trust_env=False, limits=HTTP_LIMITS)

    async def start(self, workspaces: list[catalogue.WorkspaceSpec]) -> None:
        """Starts all processes and waits until all routers are ready.

        Args:
            workspaces: workspaces of the catalogue.

        Raises:
            StartError: a process was not ready in time or exited, or the
                catalogue couldn't be published.
            NoFreePortError: the fleet needs more ports than are free.
            httpx.HTTPError: the instance list did not accept a router.
        """
        settings = self.settings
        stand_in_count = 2 + settings.engines + settings.bookings
        port_count = stand_in_count + 2 * settings.routers
        self.ports = self.port_block.take(port_count)
        await self._start_stand_ins()
        await self._start_routers()
        await self._publish_catalogue(workspaces)
        await self._wait_for_all(list(self.instances), "/ready")

    async def close(self) -> None:
        """Stops the routers, then the other processes; waits for their exit."""
        all_names = list(self.processes.by_name)
        routers = [name for name in all_names if name in self.instances]
        others = [name for name in all_names if name not in self.instances]
        await self.processes.stop(routers)
        await self.processes.stop(others)
        await self.release()

    async def release(self) -> None:
        """Closes the HTTP client and gives the ports up."""
        await self.http.aclose()
        self.port_block.close()

    def list_addresses(self) -> list[addresses.Address]:
        """Returns the addresses of all routers."""
        return [
            addresses.Address(name, instance.url)
            for name, instance in self.instances.items()
        ]

    async def register_instance(self, name: str, state: str) -> None:
        """Puts a router on the platform's list, or changes its state there.

        Args:
            name: name of the router.
            state: "live" or "leaving".

        Raises:
            httpx.HTTPError: the instance list did not accept the change.
        """
        instance = dataclasses.replace(self.instances[name], state=state)
        url = f"{self._url(INSTANCES)}/instances/{name}"
        response = await self.http.put(url, json=dataclasses.asdict(instance))
        response.raise_for_status()

    async def deregister_instance(self, name: str) -> None:
        """Removes a router from the platform's list.

        Raises:
            httpx.HTTPError: the instance list did not accept the change.
        """
        url = f"{self._url(INSTANCES)}/instances/{name}"
        (await self.http.delete(url)).raise_for_status()

    async def read_run_counts(self) -> dict[str, int]:
        """Returns how often each booking ran, at all services together.

        The keys are "workspace/request ID".
        """
        total: collections.Counter[str] = collections.Counter()
        for target in self.bookings:
            response = await self.http.get(f"{target.url}/counts")
            total.update(response.json())
        return dict(total)

    @property
    def log_url(self) -> str:
        """URL of the log service."""
        return self._url(LOG)

    @property
    def instances_url(self) -> str:
        """URL of the platform's instance list."""
        return self._url(INSTANCES)

    def _url(self, name: str) -> str:
        return self.processes.by_name[name].url

    def _start_stand_in(self, name: str, module: str, *flags: str) -> str:
        """Starts a module of `tests.standins` and returns its URL."""
        port = self.ports.pop()
        url = f"http://{ports.HOST}:{port}"
        self.processes.start(
            name,
            url,
            f"tests.standins.{module}",
            f"--host={ports.HOST}",
            f"--port={port}",
            *flags,
        )
        return url

    def _start_targets(
        self, module: str, count: int, slots: int, *flags: str
    ) -> list[catalogue.TargetSpec]:
        """Starts stand-ins for targets.

        Args:
            module: name of the module in `tests.standins`.
            count: number of targets.
            slots: slots of each target.
            *flags: further flags of the module.
        """
        targets = []
        data_centres = self.settings.data_centres
        for number in range(count):
            name = f"{module}-{number + 1}"
            url = self._start_stand_in(name, module, f"--slots={slots}", *flags)
            data_centre = data_centres[number % len(data_centres)]
            targets.append(catalogue.TargetSpec(name, url, data_centre, slots))
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
        """Starts a router and registers it; does not wait until it is ready."""
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
        """Adds an instance and returns the content of its settings file.

        Args:
            name: name of the router.
            number: number of routers that were added before.
        """
        data_centres = self.settings.data_centres
        data_centre = data_centres[number % len(data_centres)]
        http, peer = self.ports.pop(), self.ports.pop()
        self.instances[name] = InstanceEntry(
            name=name,
            data_centre=data_centre,
            state="live",
            url=f"http://{ports.HOST}:{http}",
            peer_host=ports.HOST,
            peer_port=peer,
        )
        return {
            "instance": name,
            "data_centre": data_centre,
            "http": {"host": ports.HOST, "port": http},
            "peer": {"host": ports.HOST, "port": peer},
            "platform": {
                "log_url": self._url(LOG),
                "instance_list_url": self._url(INSTANCES),
            },
            "limits": self.settings.limits,
        }

    async def _publish_catalogue(
        self, workspaces: list[catalogue.WorkspaceSpec]
    ) -> None:
        """Publishes the catalogue by `lentilbeam apply` and waits for it.

        Raises:
            StartError: the command failed.
        """
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
        """Returns the targets with the URLs that the catalogue gets."""
        return [
            dataclasses.replace(
                t, url=self.target_url_overrides.get(t.name, t.url)
            )
            for t in targets
        ]

    async def _wait_for_all(self, names: list[str], path: str) -> None:
        """Waits until a GET of `path` succeeds at all named processes."""
        await asyncio.gather(
            *(self.processes.wait_ready(name, path) for name in names)
        )
