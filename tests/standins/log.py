"""Stand-in for the platform's append-only log service."""

import asyncio
import collections
import contextlib
import dataclasses
from typing import Any

from absl import flags
import litestar
from litestar import exceptions
import msgspec

from lentilbeam_core import clock as clock_lib
from tests.standins import server

RETENTION_S = flags.DEFINE_float(
    "retention_s", 3600.0, "Seconds until a record is dropped."
)
MAX_WAIT_STEP_S = 0.25


class LogFaults(msgspec.Struct):
    """Faults that `PUT /faults` injects.

    Attributes:
        is_down: answer 503 to all reads and appends.
        lose_answers: how many of the next appends take effect but get their
            connection closed without a response.
        delay_ms: delay of all reads and appends, in milliseconds.
    """

    is_down: bool = False
    lose_answers: int = 0
    delay_ms: int = 0


class Append(msgspec.Struct):
    """Request body of an append."""

    records: list[Any]


@dataclasses.dataclass(slots=True)
class Stream:
    """The records of one stream.

    Attributes:
        records: pairs of the time of the append, in monotonic seconds, and
            the record's value.
        changed: set, and replaced by a new event, when records are appended.
        oldest: offset of the oldest record that was not dropped.
    """

    records: collections.deque[tuple[float, Any]]
    changed: asyncio.Event
    oldest: int = 1

    @property
    def next_offset(self) -> int:
        """Offset of the next record to be appended."""
        return self.oldest + len(self.records)

    def append(self, records: list[Any], now: float) -> int:
        """Appends the records and returns the first one's offset."""
        first = self.next_offset
        self.records.extend((now, record) for record in records)
        self.changed.set()
        self.changed = asyncio.Event()
        return first

    def expire(self, before: float) -> None:
        """Drops the records appended before a time in monotonic seconds."""
        while self.records and self.records[0][0] < before:
            self.records.popleft()
            self.oldest += 1

    def read(self, start: int, limit: int) -> dict[str, Any]:
        """Returns a page of up to `limit` records from offset `start` on."""
        start = max(start, self.oldest)
        end = min(start + limit, self.next_offset)
        items = [
            {"offset": at, "value": self.records[at - self.oldest][1]}
            for at in range(start, end)
        ]
        return {
            "records": items,
            "oldest": self.oldest,
            "next": self.next_offset,
        }


def build(clock: clock_lib.Clock, retention_s: float) -> litestar.Litestar:
    """Returns the log service as an application.

    Args:
        clock: determines when a record expires.
        retention_s: seconds after which a record is dropped.
    """
    streams: dict[str, Stream] = collections.defaultdict(
        lambda: Stream(collections.deque(), asyncio.Event())
    )
    faults = LogFaults()
    appends: collections.Counter[str] = collections.Counter()

    async def check_faults() -> None:
        if faults.is_down:
            raise exceptions.HTTPException(status_code=503, detail="is_down")
        await asyncio.sleep(faults.delay_ms / 1000)

    def open_stream(name: str) -> Stream:
        streams[name].expire(clock.monotonic() - retention_s)
        return streams[name]

    @litestar.post("/streams/{stream:str}/records", status_code=200)
    async def append(
        request: litestar.Request, stream: str, data: Append
    ) -> dict[str, int]:
        appends[stream] += 1
        await check_faults()
        first = open_stream(stream).append(data.records, clock.monotonic())
        if faults.lose_answers > 0:
            faults.lose_answers -= 1
            await server.drop_connection(request)
        return {"offset": first}

    @litestar.get("/streams/{stream:str}/records")
    async def read(
        request: litestar.Request,
        stream: str,
        limit: int = 1000,
        wait_ms: int = 0,
    ) -> dict[str, Any]:
        start = int(request.query_params.get("from", 1))
        deadline = clock.monotonic() + wait_ms / 1000
        while True:
            await check_faults()
            source = open_stream(stream)
            remaining_s = deadline - clock.monotonic()
            if source.next_offset > start or remaining_s <= 0:
                return source.read(start, limit)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(remaining_s, MAX_WAIT_STEP_S)):
                    await source.changed.wait()

    @litestar.get("/counts")
    async def read_counts() -> dict[str, int]:
        """Returns the number of appends by stream, including failed ones."""
        return dict(appends)

    return server.create_app([append, read, read_counts], faults)


if __name__ == "__main__":
    server.run(lambda clock: build(clock, RETENTION_S.value))
