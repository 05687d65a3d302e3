"""Concurrent HTTP callers that record the result of every request."""

import asyncio
import dataclasses
import enum
import itertools
import random
import re

import httpx

from soak import world as world_lib
from tests.forwarding import platform_world
from tests.standins import opaque_target

CALL_PAUSE_RANGE_S = (0.01, 0.12)
"""Shortest and longest pause of a caller between two requests."""
DEADLINE_MS = 6000
"""Deadline that the callers send in the `request-deadline` header."""
CLIENT_TIMEOUT_S = 6.5
"""Timeout of the HTTP client, slightly longer than `DEADLINE_MS`."""
PATHS = ("/chat/x", "/book/x", "/look/x")
"""One path for each kind of route: streaming, non-idempotent, idempotent."""
LONG_PATHS = ("/chat/for-3.0", "/book/for-3.5", "/look/for-3.5")
"""The same, for requests that take long. They end in the grace period of a
router that is stopped, if it begins them as early as it should."""
LONG_FRACTION = 0.06
MAX_TAKE_UPS = 2
"""How often a caller takes up a stream that was cut."""
NAMED_FRACTION = 0.7
"""Fraction of the tries that name the stream which they take up; the others
are like those of callers that predate software versions."""
TAKE_UP_LIMIT_S = 5.0
"""Time, in seconds, for which a caller tries to take up a stream. Routers that
were killed are back within it (`faults.FAULT_DURATION_S`)."""
TAKE_UP_DELAY_S = 0.2
_EVENT = re.compile(rb"id: (\d+)\ndata: \S+ (\S+)\n\n")


class CallEnd(enum.Enum):
    """How the HTTP exchange of a request ended for the caller."""

    ANSWERED = "answered"
    NOT_CONNECTED = "not_connected"
    ABORTED = "cut"
    TIMED_OUT = "timed_out"


@dataclasses.dataclass(frozen=True, slots=True)
class CallRecord:
    """The result of one request, as its caller received it.

    Attributes:
        request_id: value of the request's `request-id` header.
        path: path of the URL.
        router: name of the router to which the request was sent.
        sent_at: when the request was sent, in monotonic seconds.
        ended_at: when the exchange ended, in monotonic seconds.
        end: how the exchange ended.
        status: HTTP status of the response; 0 if none was received.
        body: the part of the body that was received.
        headers: response headers, with names in lower case.
        resumes: request that brought the first event of the stream that was
            taken up; empty if none was.
        resume_after: number of the last event that the caller had.
    """

    request_id: str
    path: str
    router: str
    sent_at: float
    ended_at: float
    end: CallEnd
    status: int = 0
    body: bytes = b""
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    resumes: str = ""
    resume_after: int = 0

    @property
    def events(self) -> list[tuple[int, str]]:
        """Number and version of each complete event of a stream."""
        return [
            (int(number), version.decode())
            for number, version in _EVENT.findall(self.body)
        ]

    @property
    def is_complete(self) -> bool:
        """Whether the body is the complete body that a target sends.

        A stream is complete if it has the IDs of all events, in order.
        """
        if self.path.startswith("/chat/"):
            ids = [number for number, _ in self.events]
            first = self.resume_after + 1
            return ids == list(range(first, opaque_target.EVENT_COUNT + 1))
        return self.body == b"done"


class Callers:
    """A group of callers that send requests concurrently.

    Each caller has its own HTTP client, which keeps connections open.

    Attributes:
        world: the processes under test.
        rng: random number generator for routers, paths and pauses.
        count: number of callers.
        records: results of all requests, in the order of their ends.
        newest_path: a path of the route that was published last. Callers
            request it in addition to `PATHS`.
        request_ids: iterator of unique request IDs.
    """

    def __init__(
        self, world: world_lib.SoakWorld, rng: random.Random, count: int
    ):
        self.world = world
        self.rng = rng
        self.count = count
        self.records: list[CallRecord] = []
        self.newest_path = "/look/x"
        self.request_ids = (f"soak-{number}" for number in itertools.count(1))

    async def run(self) -> None:
        """Sends requests until the task is cancelled."""
        async with asyncio.TaskGroup() as group:
            for _ in range(self.count):
                group.create_task(self._call_in_loop())

    async def _call_in_loop(self) -> None:
        limits = httpx.Limits(max_keepalive_connections=20)
        async with httpx.AsyncClient(
            trust_env=False, timeout=CLIENT_TIMEOUT_S, limits=limits
        ) as http:
            while True:
                router = self.rng.choice(sorted(self.world.routers))
                path = self.rng.choice((*PATHS, self.newest_path))
                if self.rng.random() < LONG_FRACTION:
                    path = self.rng.choice(LONG_PATHS)
                record = await self.call(http, router, path)
                self.records.append(record)
                await self._take_up(http, record)
                await asyncio.sleep(self.rng.uniform(*CALL_PAUSE_RANGE_S))

    async def _take_up(
        self, http: httpx.AsyncClient, first: CallRecord
    ) -> None:
        """Takes up a stream that was cut, at any router.

        Tries that no router accepted don't count: all may have been killed.
        """
        last = first
        answered = 0
        ends_at = first.ended_at + TAKE_UP_LIMIT_S
        while answered < MAX_TAKE_UPS and world_lib.read_time() < ends_at:
            if not first.events or (last.status == 200 and last.is_complete):
                return
            await asyncio.sleep(TAKE_UP_DELAY_S)
            after = last.events[-1][0] if last.events else last.resume_after
            if after == opaque_target.EVENT_COUNT:
                return
            router = self.rng.choice(sorted(self.world.routers))
            last = await self.call(
                http,
                router,
                first.path,
                first.request_id,
                after,
                is_named=self.rng.random() < NAMED_FRACTION,
            )
            self.records.append(last)
            answered += last.end is not CallEnd.NOT_CONNECTED

    async def call(
        self,
        http: httpx.AsyncClient,
        router: str,
        path: str,
        resumes: str = "",
        resume_after: int = 0,
        is_named: bool = True,
    ) -> CallRecord:
        """Sends one request to a router and returns its result.

        HTTP errors are recorded in `CallRecord.end` and not raised.

        Args:
            http: client of the caller.
            router: name of the router.
            path: path of the request.
            resumes: request that began the stream to take up; empty to begin.
            resume_after: number of the last event that the caller has.
            is_named: whether the request names the stream that it takes up.
        """
        request_id = next(self.request_ids)
        sent_at = world_lib.read_time()
        body = b""
        status = 0
        headers: dict[str, str] = {}
        resumed = {"last-event-id": str(resume_after)}
        if is_named:
            resumed["resumes"] = resumes
        end = CallEnd.ANSWERED
        try:
            async with http.stream(
                "POST",
                f"http://{self.world.routers[router]['front']}{path}",
                headers={
                    "host": platform_world.HOST,
                    "api-key": platform_world.API_KEY,
                    "request-id": request_id,
                    "request-deadline": str(DEADLINE_MS),
                    **(resumed if resumes else {}),
                },
            ) as response:
                status = response.status_code
                headers = dict(response.headers)
                async for chunk in response.aiter_raw():
                    body += chunk
        except (httpx.ConnectError, httpx.ConnectTimeout):
            end = CallEnd.NOT_CONNECTED
        except httpx.TimeoutException:
            end = CallEnd.TIMED_OUT
        except httpx.HTTPError:
            end = CallEnd.ABORTED
        ended_at = world_lib.read_time()
        return CallRecord(
            request_id,
            path,
            router,
            sent_at,
            ended_at,
            end,
            status,
            body,
            headers,
            resumes,
            resume_after,
        )
