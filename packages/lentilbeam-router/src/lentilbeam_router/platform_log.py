"""HTTP client of the platform's append-only log service.

No other module knows the wire format of the log. A stream has a name, and its
records have offsets that start at 1 and increase by 1.
"""

import dataclasses
import enum
from typing import Any

import expression
import httpx
import msgspec

from lentilbeam_core import ids

REQUEST_TIMEOUT_S = 2.0
"""Timeout of a call, in addition to the wait time of a long poll."""


class LogErrorKind(enum.Enum):
    """How a call to the log failed."""

    NOT_SENT = "not_sent"  # The request was not sent.
    REFUSED = "refused"  # The log refused it, without any effect.
    # Sent; no response, or a status that leaves open whether the call had an
    # effect.
    ANSWER_LOST = "answer_lost"
    MALFORMED = "malformed"  # The response can't be decoded.


@dataclasses.dataclass(frozen=True, slots=True)
class LogError:
    """A failed call to the log.

    Attributes:
        kind: how the call failed.
        detail: human-readable description.
    """

    kind: LogErrorKind
    detail: str

    @property
    def is_certainly_not_appended(self) -> bool:
        """Whether an append with this error definitely had no effect."""
        return self.kind in (LogErrorKind.NOT_SENT, LogErrorKind.REFUSED)


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """A record of a stream.

    Attributes:
        offset: position of the record in the stream.
        value: decoded JSON data.
    """

    offset: ids.Offset
    value: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Consecutive records of a stream.

    Attributes:
        records: the records in log order; empty if there were none within
            the wait time.
        oldest: offset of the oldest record that the log retains.
        next_offset: offset at which the next read should start: after the
            last record of the page; if the page is empty, the start of this
            read or the oldest record, whichever is later.
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
    """Client of one log service. Tasks may share it.

    Attributes:
        base_url: URL of the log service.
        http: HTTP client.
    """

    def __init__(self, base_url: str, http: httpx.AsyncClient):
        self.base_url = base_url.rstrip("/")
        self.http = http

    async def append(
        self, stream: str, values: list[Any]
    ) -> expression.Result[ids.Offset, LogError]:
        """Appends JSON values in the given order.

        Returns:
            The offset of the first value, or the error.
        """
        result = await self._call(
            self.http.build_request(
                "POST",
                self._records_url(stream),
                json={"records": values},
                timeout=REQUEST_TIMEOUT_S,
            )
        )
        return result.bind(_decode_appended)

    async def read(
        self, stream: str, start: ids.Offset, limit: int, wait_s: float
    ) -> expression.Result[Page, LogError]:
        """Reads consecutive records.

        Args:
            stream: name of the stream.
            start: offset of the first record to read. If that record has
                expired, the read starts with the oldest retained record.
            limit: maximum number of records.
            wait_s: how long the log waits for records if there are none yet,
                in seconds.
        """
        result = await self._call(
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
        return result.bind(lambda body: _decode_page(body, start))

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
        # The log responds with these statuses only if it appended nothing.
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
