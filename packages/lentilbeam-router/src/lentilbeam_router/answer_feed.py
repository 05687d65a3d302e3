"""An answer that grows while any number of readers follow it."""

import asyncio
from collections.abc import AsyncIterator
import dataclasses

from lentilbeam_router import problems


@dataclasses.dataclass(frozen=True, slots=True)
class TextPiece:
    """A piece of the answer.

    Attributes:
        offset: where the piece starts in the answer, in bytes.
        data: the text in UTF-8; whole characters only, since the answer grows
            by whole characters and readers start at character boundaries.
    """

    offset: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """The end of a complete answer.

    Attributes:
        length: length of the answer, in bytes of UTF-8.
        sha256: hex SHA-256 digest of the answer.
        cost: cost of the request, in the pool's cost unit.
    """

    length: int
    sha256: str
    cost: float


End = Completed | problems.Problem


@dataclasses.dataclass(frozen=True, slots=True)
class Idle:
    """No data arrived for the idle time; the answer has not ended."""


FeedItem = TextPiece | Idle | End


class AnswerFeed:
    """The answer received so far.

    Readers can start at any character boundary in it.

    Attributes:
        request_id: the id of the request.
        data: the answer so far, in UTF-8.
        end: how the answer ended, or None while it may still grow.
        changed: set when the answer grows or ends, then replaced by a new
            event.
    """

    def __init__(self, request_id: str):
        self.request_id = request_id
        self.data = bytearray()
        self.end: End | None = None
        self.changed = asyncio.Event()

    def append(self, data: bytes) -> None:
        """Appends data to the answer."""
        self.data += data
        self._wake_readers()

    def read(self, start: int, stop: int) -> bytes:
        """Returns the bytes from `start` up to `stop`, or fewer at the end."""
        return bytes(self.data[start:stop])

    def finish(self, end: End) -> None:
        """Ends the answer, unless it has already ended."""
        if self.end is None:
            self.end = end
            self._wake_readers()

    async def wait_for_end(self) -> End:
        """Waits until the answer has ended; returns its end."""
        while self.end is None:
            await self.changed.wait()
        return self.end

    async def wait_for_start(self) -> None:
        """Waits until the answer has any data or has ended."""
        while self.end is None and not self.data:
            await self.changed.wait()

    async def follow(
        self, offset: int, idle_s: float
    ) -> AsyncIterator[FeedItem]:
        """Yields the answer from `offset` on, then its end.

        Args:
            offset: where to start, in bytes.
            idle_s: time without data after which `Idle` is yielded, in
                seconds.
        """
        while True:
            if offset < len(self.data):
                data = bytes(self.data[offset:])
                yield TextPiece(offset, data)
                offset += len(data)
            elif self.end is not None:
                yield self.end
                return
            elif not await self._wait_for_change(idle_s):
                yield Idle()

    async def _wait_for_change(self, limit_s: float) -> bool:
        try:
            async with asyncio.timeout(limit_s):
                await self.changed.wait()
        except TimeoutError:
            return False
        return True

    def _wake_readers(self) -> None:
        woken, self.changed = self.changed, asyncio.Event()
        woken.set()
