"""Adapter to the platform's append-only log service, over HTTP.

The only module that knows the log's wire format. Streams are named; offsets
start at 1 and grow by one with each record of a stream.
"""

import dataclasses
import enum
from typing import Any

import expression
import httpx
import msgspec

from lentilbeam_core import ids

REQUEST_TIMEOUT_S = 2.0
"""Time allowed for a call, on top of what a long poll asks to wait."""


class LogErrorKind(enum.Enum):
    """What is known of a call that failed."""

    NOT_SENT = "not_sent"  # No connection to the log was made.
    REFUSED = "refused"  # The log said that it did nothing.
    ANSWER_LOST = "answer_lost"  # Sent, but no answer came back.
    MALFORMED = "malformed"  # The answer could not be understood.


@dataclasses.dataclass(frozen=True, slots=True)
class LogError:
    """A failed call to the log."""

    kind: LogErrorKind
    detail: str

    @property
    def is_certainly_not_appended(self) -> bool:
        """Whether an append that failed so has certainly had no effect."""
        return self.kind in (LogErrorKind.NOT_SENT, LogErrorKind.REFUSED)


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One record of a stream; `value` is plain JSON data."""

    offset: ids.Offset
    value: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Consecutive records of a stream.

    Attributes:
        records: in log order; empty if none came within the wait.
        oldest: offset of the oldest record that the log still keeps.
        next_offset: where the next read starts: after the last record of
            the page, else the start or the oldest record kept.
    """

    records: tuple[Record, ...]
    oldest: ids.Offset
    next_offset: ids.Offset


class _Appended(msgspec.Struct):
    offset: int


class _WireRecord(msgspec.Struct):
    offset: int
    value: Any


class _WirePage(msgspec.Struct):
    records: list[_WireRecord]
    oldest: int


class LogClient:
    """Client of one log service; safe to share between tasks."""

    def __init__(self, base_url: str, http: httpx.AsyncClient):
        self.base_url = base_url.rstrip("/")
        self.http = http

    async def append(
        self, stream: str, values: list[Any]
    ) -> expression.Result[ids.Offset, LogError]:
        """Appends JSON values in order; returns the offset of the first."""
        answer = await self._call(
            self.http.build_request(
                "POST",
                self._records_url(stream),
                json={"records": values},
                timeout=REQUEST_TIMEOUT_S,
            )
        )
        return answer.bind(_decode_appended)

    async def read(
        self, stream: str, start: ids.Offset, limit: int, wait_s: float
    ) -> expression.Result[Page, LogError]:
        """Reads up to `limit` records from offset `start`.

        If there are none yet, waits up to `wait_s` seconds for some. If
        `start` was already expired, begins with the oldest record kept.
        """
        answer = await self._call(
            self.http.build_request(
                "GET",
                self._records_url(stream),
                params={
                    "from": start,
                    "limit": limit,
                    "wait_ms": round(wait_s * 1000),
                },
                timeout=REQUEST_TIMEOUT_S + wait_s,
            )
        )
        return answer.bind(lambda body: _decode_page(body, start))

    def _records_url(self, stream: str) -> str:
        return f"{self.base_url}/streams/{stream}/records"

    async def _call(
        self, request: httpx.Request
    ) -> expression.Result[bytes, LogError]:
        try:
            response = await self.http.send(request)
        except (
            httpx.ConnectError,
            httpx.ConnectTimeout,
            httpx.PoolTimeout,
            httpx.UnsupportedProtocol,
        ) as error:
            return _failed(LogErrorKind.NOT_SENT, repr(error))
        except httpx.HTTPError as error:
            return _failed(LogErrorKind.ANSWER_LOST, repr(error))
        if response.is_success:
            return expression.Ok(response.content)
        status = f"status {response.status_code}"
        if response.is_client_error or response.status_code == 503:
            return _failed(LogErrorKind.REFUSED, status)
        return _failed(LogErrorKind.ANSWER_LOST, status)


def _failed(
    kind: LogErrorKind, detail: str
) -> expression.Result[Any, LogError]:
    return expression.Error(LogError(kind, detail))


def _decode_appended(
    body: bytes,
) -> expression.Result[ids.Offset, LogError]:
    try:
        appended = msgspec.json.decode(body, type=_Appended)
    except msgspec.MsgspecError as error:
        return _failed(LogErrorKind.MALFORMED, str(error))
    return expression.Ok(ids.Offset(appended.offset))


def _decode_page(
    body: bytes, start: ids.Offset
) -> expression.Result[Page, LogError]:
    try:
        page = msgspec.json.decode(body, type=_WirePage)
    except (msgspec.MsgspecError, RecursionError) as error:
        return _failed(LogErrorKind.MALFORMED, str(error))
    oldest = ids.Offset(page.oldest)
    next_offset = max(start, oldest)
    records = tuple(
        Record(ids.Offset(record.offset), record.value)
        for record in page.records
    )
    if records:
        next_offset = ids.Offset(records[-1].offset + 1)
    return expression.Ok(Page(records, oldest, next_offset))
