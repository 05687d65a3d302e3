"""A fleet of processes whose peer and log connections a test can cut."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import json
import math
import pathlib
import random
from typing import Any
from typing import Protocol
from typing import TypeVar

from demo import addresses
from demo import caller as caller_lib
from demo import catalogue
from demo import fleet as fleet_lib
from demo import processes
from demo import request_specs
from lentilbeam_core import clock as clock_lib
from lentilbeam_core import outcome as outcome_lib
from tests.processes import links

GIVE_UP_S = 40.0
POLL_S = 0.03
DEADLINE_MS = 30_000
MAX_TOKENS = 30
WORKSPACES = catalogue.list_workspaces()[:2]
ONE_TRY = caller_lib.Settings(max_attempts=1, retry_limit_s=GIVE_UP_S)
PATIENT = caller_lib.Settings(max_attempts=1000, retry_limit_s=GIVE_UP_S)


class LinkedFleet(fleet_lib.Fleet):
    """A fleet whose routers hear each other through relays.

    Attributes:
        rules: which routers reach each other.
        peer_relays: what carries peer messages, by receiver.
        log_relays: what carries the log's connections, by router; the
            routers that are not named here reach the log directly.
    """

    def __init__(
        self,
        settings: fleet_lib.Settings,
        folder: pathlib.Path,
        relayed_to_log: Iterable[str] = (),
    ):
        super().__init__(settings, folder)
        self.clock = clock_lib.SystemClock()
        self.rng = random.Random(1)
        self.rules = links.Rules()
        self.peer_relays: dict[str, links.PeerRelay] = {}
        self.log_relays = {
            name: links.StreamRelay(lambda: self.log_url)
            for name in relayed_to_log
        }

    async def start(self, workspaces: list[catalogue.WorkspaceSpec]) -> None:
        """Opens the relays and starts everything."""
        for number in range(self.settings.routers):
            name = f"router-{number + 1}"
            relay = await links.open_peer_relay(name, self.rules)
            self.peer_relays[name] = relay
        for relay in self.log_relays.values():
            await relay.open()
        await super().start(workspaces)

    async def close(self) -> None:
        """Stops the processes, then the relays."""
        await super().close()
        for relay in self.log_relays.values():
            await relay.close()
        for relay in self.peer_relays.values():
            relay.transport.close()

    def _build_router_settings(self, name: str, number: int) -> dict[str, Any]:
        settings = super()._build_router_settings(name, number)
        port = settings["peer"]["port"]
        relay = self.peer_relays[name]
        relay.receiver_port = port
        self.rules.ports[port] = name
        row = dataclasses.replace(self.instances[name], peer_port=relay.port)
        self.instances[name] = row
        if name in self.log_relays:
            settings["platform"]["log_url"] = self.log_relays[name].url
        return settings

    async def read(self, name: str, path: str) -> dict[str, Any]:
        """Returns a router's answer to a GET."""
        answer = await self.http.get(self.instances[name].url + path)
        answer.raise_for_status()
        return answer.json()

    async def read_all(self, path: str) -> dict[str, dict[str, Any]]:
        """Returns all routers' answers to a GET, by router."""
        names = list(self.instances)
        answers = await asyncio.gather(*(self.read(n, path) for n in names))
        return dict(zip(names, answers, strict=True))

    async def set_faults(self, url: str, **faults: Any) -> None:
        """Sets a stand-in's faults; all others are switched off."""
        answer = await self.http.put(f"{url}/faults", json=faults)
        answer.raise_for_status()

    async def wait_for_status(
        self, is_right: Callable[[dict[str, Any]], bool], what: str
    ) -> None:
        """Waits until what all routers show, by router, is right."""

        async def check() -> bool:
            return is_right(await self.read_all("/v1/status"))

        await wait_until(check, what)

    async def run_command(self, *arguments: str) -> processes.Process:
        """Runs the command line to its end."""
        name = f"command-{len(self.processes.by_name)}"
        process = self.processes.start(
            name,
            "",
            "lentilbeam_cli",
            *arguments,
            f"--operator={catalogue.OWNER}",
            f"--log_url={self.log_url}",
            f"--instances_url={self.instances_url}",
        )
        await process.wait(GIVE_UP_S)
        return process

    async def apply(self, entries: list[dict[str, Any]], *flags: str) -> int:
        """Publishes entries and returns the change's offset."""
        path = self.folder / "change.json"
        path.write_text(json.dumps({"entries": entries}))
        process = await self.run_command(
            "apply", str(path), "--format=json", *flags
        )
        report = json.loads(process.log_path.read_text())
        assert report["result"] == "accepted", report
        return report["offset"]

    def make_assistant(
        self, max_tokens: int = MAX_TOKENS
    ) -> request_specs.RequestSpec:
        """Returns a streamed request to a model engine."""
        return request_specs.make_assistant_request(
            request_specs.make_request_id(self.clock, self.rng),
            self.rng.choice(WORKSPACES).name,
            max_tokens,
            is_streamed=True,
            deadline_ms=DEADLINE_MS,
        )

    def make_booking(self, *, is_idempotent: bool) -> request_specs.RequestSpec:
        """Returns a call of the bookings service."""
        return request_specs.make_booking_request(
            request_specs.make_request_id(self.clock, self.rng),
            self.rng.choice(WORKSPACES).name,
            "lookup" if is_idempotent else "book",
            is_idempotent=is_idempotent,
            deadline_ms=DEADLINE_MS,
        )

    def start_calls(
        self,
        router: str,
        batch: list[request_specs.RequestSpec],
        settings: caller_lib.Settings = ONE_TRY,
    ) -> list[asyncio.Task[caller_lib.Result]]:
        """Starts the requests, each by a caller that knows one router."""
        return [
            asyncio.create_task(self._call(router, order, settings))
            for order in batch
        ]

    async def _call(
        self,
        router: str,
        order: request_specs.RequestSpec,
        settings: caller_lib.Settings,
    ) -> caller_lib.Result:
        first = [addresses.Address(router, self.instances[router].url)]
        caller = caller_lib.Caller(self.clock, first, settings)
        caller.addresses.expires_at = math.inf
        try:
            return await caller.run(order)
        finally:
            await caller.close()


async def wait_until(check: Callable[[], Awaitable[bool]], what: str) -> None:
    """Waits until the check holds.

    Raises:
        TimeoutError: it did not for very long.
    """
    try:
        async with asyncio.timeout(GIVE_UP_S):
            while True:
                if await check():
                    return
                await asyncio.sleep(POLL_S)
    except TimeoutError as error:
        raise TimeoutError(f"gave up waiting: {what}") from error


def find_faults(results: list[caller_lib.Result]) -> list[str]:
    """Returns what is wrong with requests that all had to complete."""
    completed = outcome_lib.Outcome.COMPLETED
    return [
        f"{result.spec.body}: {result.answer}"
        f" {result.broken_attempts} {result.mismatches}"
        for result in results
        if result.answer.outcome is not completed or result.mismatches
    ]


class Story(Protocol):
    """What happened in a scenario, and how the fleet's processes ended."""

    ended_badly: list[str]
    tracebacks: list[str]


S = TypeVar("S", bound=Story)


async def run_story(
    fleet: LinkedFleet, run: Callable[[LinkedFleet], Awaitable[S]]
) -> S:
    """Starts a fleet, runs a scenario on it and ends it."""
    try:
        await fleet.start(WORKSPACES)
        story = await run(fleet)
        await fleet.close()
        story.ended_badly = fleet.processes.list_failed_exits()
        story.tracebacks = fleet.processes.list_tracebacks()
        return story
    finally:
        fleet.processes.kill_remaining()
