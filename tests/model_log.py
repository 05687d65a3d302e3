"""An in-memory model of the platform's log, reached through httpx."""

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
class StoredRecord:
    """A record of a stream.

    Attributes:
        time_s: monotonic time of the append, in seconds.
        value: the appended JSON value.
    """

    time_s: float
    value: Any


@dataclasses.dataclass
class ModelLog:
    """The log service with all its streams.

    Offsets start at 1. Expired records are hidden from readers but stay in
    `streams`, so that tests can inspect them.

    Attributes:
        clock: source of append times and of the expiry.
        retention_s: age in seconds at which a record expires.
        is_down: whether every call is answered with status 503.
        responses_to_lose: how many of the next appends take effect, but give
            the caller `httpx.ReadError` instead of the response.
        streams: all records ever appended, by name of the stream.
        appended: set at the next append; each append replaces it by a new
            event.
    """

    clock: clock_lib.Clock
    retention_s: float = float("inf")
    is_down: bool = False
    responses_to_lose: int = 0
    streams: dict[str, list[StoredRecord]] = dataclasses.field(
        default_factory=dict
    )
    appended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def append(self, stream: str, values: list[Any]) -> int:
        """Appends the values; returns the offset of the first one."""
        records = self.streams.setdefault(stream, [])
        now = self.clock.monotonic()
        records.extend(StoredRecord(now, value) for value in values)
        self.appended.set()
        self.appended = asyncio.Event()
        return len(records) - len(values) + 1

    def values(self, stream: str) -> list[Any]:
        """Returns all values ever appended, including expired ones."""
        return [record.value for record in self.streams.get(stream, [])]

    async def handle(self, request: httpx.Request) -> httpx.Response:
        """Responds to a read or an append as the log service does.

        Raises:
            httpx.ReadError: the append took effect, but its response was
                selected to be lost.
        """
        if self.is_down:
            return httpx.Response(503)
        stream = request.url.path.split("/")[2]
        if request.method == "GET":
            return await self._read(stream, request.url.params)
        values = json.loads(request.content)["records"]
        offset = self.append(stream, values)
        if self.responses_to_lose:
            self.responses_to_lose -= 1
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
        page = [
            {"offset": start + index, "value": record.value}
            for index, record in enumerate(
                records[start - 1 :][: int(params["limit"])]
            )
        ]
        body = {"records": page, "oldest": oldest, "next": len(records) + 1}
        return httpx.Response(200, json=body)

    def connect(self) -> platform_log.LogClient:
        """Returns a client that sends its requests to this log."""
        transport = httpx.MockTransport(self.handle)
        return platform_log.LogClient(
            URL, httpx.AsyncClient(transport=transport)
        )
