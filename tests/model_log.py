"""A model of the platform's log behind an in-process HTTP transport."""

import asyncio
import contextlib
import dataclasses
import json
from typing import Any

import httpx

from lentilbeam_core import clock as clock_lib
from lentilbeam_router import platform_log

URL = "http://log"


@dataclasses.dataclass(frozen=True)
class Kept:
    """One record and when it was appended."""

    time_s: float
    value: Any


@dataclasses.dataclass
class ModelLog:
    """One log service; all its streams expire after `retention_s`.

    Attributes:
        is_down: whether every call is refused.
        answers_to_lose: how many of the next appends lose their answer.
    """

    clock: clock_lib.Clock
    retention_s: float = float("inf")
    is_down: bool = False
    answers_to_lose: int = 0
    streams: dict[str, list[Kept]] = dataclasses.field(default_factory=dict)
    appended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def append(self, stream: str, values: list[Any]) -> int:
        """Appends the values; returns the offset of the first."""
        records = self.streams.setdefault(stream, [])
        now = self.clock.monotonic()
        records.extend(Kept(now, value) for value in values)
        self.appended.set()
        self.appended = asyncio.Event()
        return len(records) - len(values) + 1

    def values(self, stream: str) -> list[Any]:
        """Returns all values ever appended, the expired ones included."""
        return [record.value for record in self.streams.get(stream, [])]

    async def handle(self, request: httpx.Request) -> httpx.Response:
        """Answers a request as the log service does."""
        if self.is_down:
            return httpx.Response(503)
        stream = request.url.path.split("/")[2]
        if request.method == "GET":
            return await self._read(stream, request.url.params)
        values = json.loads(request.content)["records"]
        offset = self.append(stream, values)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            raise httpx.ReadError("connection lost")
        return httpx.Response(200, json={"offset": offset})

    async def _read(self, stream: str, params: Any) -> httpx.Response:
        start = int(params["from"])
        records = self.streams.setdefault(stream, [])
        if len(records) < start:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(params["wait_ms"]) / 1000):
                    await self.appended.wait()
        if self.is_down:
            return httpx.Response(503)
        expiry = self.clock.monotonic() - self.retention_s
        oldest = 1 + sum(record.time_s < expiry for record in records)
        start = max(start, oldest)
        rows = [
            {"offset": start + index, "value": record.value}
            for index, record in enumerate(
                records[start - 1 :][: int(params["limit"])]
            )
        ]
        body = {"records": rows, "oldest": oldest, "next": len(records) + 1}
        return httpx.Response(200, json=body)

    def connect(self) -> platform_log.LogClient:
        """Returns a client of this log."""
        transport = httpx.MockTransport(self.handle)
        return platform_log.LogClient(
            URL, httpx.AsyncClient(transport=transport)
        )
