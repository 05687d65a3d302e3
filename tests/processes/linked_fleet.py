"""A fleet of processes whose peer and log connections can be interrupted."""

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

WAIT_TIMEOUT_S = 40.0
POLL_INTERVAL_S = 0.03
DEADLINE_MS = 30_000
MAX_TOKENS = 30
WORKSPACES = catalogue.list_workspaces()[:2]
SINGLE_ATTEMPT = caller_lib.Settings(
    max_attempts=1, retry_limit_s=WAIT_TIMEOUT_S
)
MANY_ATTEMPTS = caller_lib.Settings(
    max_attempts=1000, retry_limit_s=WAIT_TIMEOUT_S
)


class LinkedFleet(fleet_lib.Fleet):
    """A fleet whose routers exchange peer messages through relays.

    Attributes:
        clock: clock of the callers.
        rng: generator of request ids and of the choice of workspaces.
        rules: which routers reach each other.
        peer_relays: relays of peer messages, by name of the receiver.
        log_relays: relays of connections to the log, by router; routers
            without a relay connect to the log directly.
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
        self.rules = links.NetworkRules()
        self.peer_relays: dict[str, links.PeerRelay] = {}
        self.log_relays = {
            name: links.StreamRelay(lambda: self.log_url)
            for name in relayed_to_log
        }

    async def start(self, workspaces: list[catalogue.WorkspaceSpec]) -> None:
        """Opens the relays and starts the fleet."""
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
        """Returns the JSON body of a router's response to a GET.

        Raises:
            httpx.HTTPStatusError: the response has an error status.
        """
        answer = await self.http.get(self.instances[name].url + path)
        answer.raise_for_status()
        return answer.json()

    async def read_all(self, path: str) -> dict[str, dict[str, Any]]:
        """Returns the JSON bodies of all routers' responses, by router."""
        names = list(self.instances)
        answers = await asyncio.gather(*(self.read(n, path) for n in names))
        return dict(zip(names, answers, strict=True))

    async def set_faults(self, url: str, **faults: Any) -> None:
        """Injects these faults into a stand-in and removes all others."""
        answer = await self.http.put(f"{url}/faults", json=faults)
        answer.raise_for_status()

    async def wait_for_status(
        self, is_satisfied: Callable[[dict[str, Any]], bool], description: str
    ) -> None:
        """Waits until the status of the routers satisfies a condition.

        Args:
            is_satisfied: gets the bodies of `/v1/status`, by router.
            description: what is waited for, for the error message.

        Raises:
            TimeoutError: the condition was not satisfied in time.
        """

        async def check() -> bool:
            return is_satisfied(await self.read_all("/v1/status"))

        await wait_until(check, description)

    async def run_command(self, *arguments: str) -> processes.Process:
        """Runs the command line and waits until it exits."""
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
        await process.wait(WAIT_TIMEOUT_S)
        return process

    async def apply(self, entries: list[dict[str, Any]], *flags: str) -> int:
        """Publishes catalogue entries; returns the offset of the change."""
        path = self.folder / "change.json"
        path.write_text(json.dumps({"entries": entries}))
        process = await self.run_command(
            "apply", str(path), "--format=json", *flags
        )
        report = json.loads(process.log_path.read_text())
        assert report["result"] == "accepted", report
        return report["offset"]

    def make_assistant_request(
        self, max_tokens: int = MAX_TOKENS
    ) -> request_specs.RequestSpec:
        """Returns a streamed request to an engine, for a random workspace."""
        return request_specs.make_assistant_request(
            request_specs.make_request_id(self.clock, self.rng),
            self.rng.choice(WORKSPACES).name,
            max_tokens,
            is_streamed=True,
            deadline_ms=DEADLINE_MS,
        )

    def make_bookings_call(
        self, *, is_idempotent: bool
    ) -> request_specs.RequestSpec:
        """Returns a call of the bookings service for a random workspace."""
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
        settings: caller_lib.Settings = SINGLE_ATTEMPT,
    ) -> list[asyncio.Task[caller_lib.Result]]:
        """Starts each request with its own caller, which uses one router."""
        return [
            asyncio.create_task(self._call(router, spec, settings))
            for spec in batch
        ]

    async def _call(
        self,
        router: str,
        spec: request_specs.RequestSpec,
        settings: caller_lib.Settings,
    ) -> caller_lib.Result:
        first = [addresses.Address(router, self.instances[router].url)]
        caller = caller_lib.Caller(self.clock, first, settings)
        caller.addresses.expires_at = math.inf
        try:
            return await caller.run(spec)
        finally:
            await caller.close()


async def wait_until(
    check: Callable[[], Awaitable[bool]], description: str
) -> None:
    """Waits until a check returns true.

    Args:
        check: called every `POLL_INTERVAL_S`.
        description: what is waited for, for the error message.

    Raises:
        TimeoutError: the check did not return true within `WAIT_TIMEOUT_S`.
    """
    try:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                if await check():
                    return
                await asyncio.sleep(POLL_INTERVAL_S)
    except TimeoutError as error:
        raise TimeoutError(f"timed out waiting for: {description}") from error


def list_failures(results: list[caller_lib.Result]) -> list[str]:
    """Returns descriptions of the requests that didn't complete correctly.

    A request fails if its outcome isn't `completed` or if the answer differs
    from the expected one.
    """
    completed = outcome_lib.Outcome.COMPLETED
    return [
        f"{result.spec.body}: {result.answer}"
        f" {result.broken_attempts} {result.mismatches}"
        for result in results
        if result.answer.outcome is not completed or result.mismatches
    ]


class ScenarioRecord(Protocol):
    """Observations that every scenario with a linked fleet records.

    Attributes:
        failed_exits: names of processes with an unexpected exit status.
        tracebacks: tracebacks in the logs of the processes.
    """

    failed_exits: list[str]
    tracebacks: list[str]


RecordT = TypeVar("RecordT", bound=ScenarioRecord)


async def run_scenario(
    fleet: LinkedFleet, run: Callable[[LinkedFleet], Awaitable[RecordT]]
) -> RecordT:
    """Starts a fleet, runs a scenario and stops the fleet."""
    try:
        await fleet.start(WORKSPACES)
        record = await run(fleet)
        await fleet.close()
        record.failed_exits = fleet.processes.list_failed_exits()
        record.tracebacks = fleet.processes.list_tracebacks()
        return record
    finally:
        fleet.processes.kill_remaining()
