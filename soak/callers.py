"""Callers that keep connections, and write down what they see."""

import asyncio
import dataclasses
import enum
import itertools
import random

import httpx

from soak import world as world_lib
from tests.forwarding import platform_world
from tests.standins import opaque_target

PAUSE_S = (0.01, 0.12)
DEADLINE_MS = 6000
DEADLINE_S = 6.5
"""A little longer than what the caller tells the router."""
PATHS = ("/chat/x", "/book/x", "/look/x")


class End(enum.Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    NOT_CONNECTED = "not_connected"
    CUT = "cut"
    TIMED_OUT = "timed_out"


@dataclasses.dataclass(frozen=True, slots=True)
class Seen:
    """What a caller saw of a request.

    Attributes:
        name: the request's id.
        path: what it asked for.
        router: where it went.
        sent_at: monotonic seconds.
        ended_at: likewise.
        end: how it ended.
        status: of the answer; 0 if none came.
        body: bytes that came.
        headers: of the answer, in lower case.
    """

    name: str
    path: str
    router: str
    sent_at: float
    ended_at: float
    end: End
    status: int = 0
    body: bytes = b""
    headers: dict[str, str] = dataclasses.field(default_factory=dict)

    @property
    def is_whole(self) -> bool:
        """Whether the body is what a target sends, all of it."""
        if self.path.startswith("/chat/"):
            ids = [
                int(line[3:])
                for line in self.body.decode().splitlines()
                if line.startswith("id:")
            ]
            return ids == list(range(1, opaque_target.EVENT_COUNT + 1))
        return self.body == b"done"


class Callers:
    """A number of callers; each has connections of its own."""

    def __init__(
        self, world: world_lib.SoakWorld, draw: random.Random, count: int
    ):
        self.world = world
        self.draw = draw
        self.count = count
        self.seen: list[Seen] = []
        self.newest_path = "/look/x"
        self.names = (f"soak-{number}" for number in itertools.count(1))

    async def run(self) -> None:
        """Calls until cancelled."""
        async with asyncio.TaskGroup() as group:
            for _ in range(self.count):
                group.create_task(self._call_on())

    async def _call_on(self) -> None:
        limits = httpx.Limits(max_keepalive_connections=20)
        async with httpx.AsyncClient(
            trust_env=False, timeout=DEADLINE_S, limits=limits
        ) as http:
            while True:
                router = self.draw.choice(sorted(self.world.routers))
                path = self.draw.choice((*PATHS, self.newest_path))
                self.seen.append(await self.call(http, router, path))
                await asyncio.sleep(self.draw.uniform(*PAUSE_S))

    async def call(
        self, http: httpx.AsyncClient, router: str, path: str
    ) -> Seen:
        """Sends one request; returns what was seen."""
        name = next(self.names)
        sent_at = world_lib.read_time()
        body = b""
        status = 0
        headers: dict[str, str] = {}
        end = End.ANSWERED
        try:
            async with http.stream(
                "POST",
                f"http://{self.world.routers[router]['front']}{path}",
                headers={
                    "host": platform_world.HOST,
                    "api-key": platform_world.KEY,
                    "request-id": name,
                    "request-deadline": str(DEADLINE_MS),
                },
            ) as response:
                status = response.status_code
                headers = dict(response.headers)
                async for chunk in response.aiter_raw():
                    body += chunk
        except (httpx.ConnectError, httpx.ConnectTimeout):
            end = End.NOT_CONNECTED
        except httpx.TimeoutException:
            end = End.TIMED_OUT
        except httpx.HTTPError:
            end = End.CUT
        ended_at = world_lib.read_time()
        return Seen(
            name, path, router, sent_at, ended_at, end, status, body, headers
        )
