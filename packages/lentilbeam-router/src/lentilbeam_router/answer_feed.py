"""A running request's answer, as it grows, for any number of readers."""

import asyncio
from collections.abc import AsyncIterator
import dataclasses

from lentilbeam_router import problems


@dataclasses.dataclass(frozen=True, slots=True)
class Text:
    """A part of the answer.

    Attributes:
        offset: where it starts, in bytes of UTF-8.
        data: the text in UTF-8; may start or end within a character only
            where a reader attached at such an offset.
    """

    offset: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Whole:
    """The end of a whole answer.

    Attributes:
        length: of the answer in bytes of UTF-8.
        sha256: hex digest of the answer.
        cost: what the request cost, in the pool's unit.
    """

    length: int
    sha256: str
    cost: float


End = Whole | problems.Problem


@dataclasses.dataclass(frozen=True, slots=True)
class Idle:
    """Nothing came for a while; the answer goes on."""


Item = Text | Idle | End


class AnswerFeed:
    """The answer so far and its end, kept for readers at any offset."""

    def __init__(self, request_id: str):
        self.request_id = request_id
        self.data = bytearray()
        self.end: End | None = None
        self.changed = asyncio.Event()

    def append(self, data: bytes) -> None:
        """Adds the next part of the answer."""
        self.data += data
        self._wake_readers()

    def read(self, start: int, stop: int) -> bytes:
        """Returns the answer from one offset up to another, as far as kept."""
        return bytes(self.data[start:stop])

    def finish(self, end: End) -> None:
        """Ends the answer; later ends are ignored."""
        if self.end is None:
            self.end = end
            self._wake_readers()

    async def wait_for_end(self) -> End:
        """Waits for the end of the answer."""
        while self.end is None:
            await self.changed.wait()
        return self.end

    async def wait_for_start(self) -> None:
        """Waits for the first part or the end."""
        while self.end is None and not self.data:
            await self.changed.wait()

    async def follow(self, offset: int, idle_s: float) -> AsyncIterator[Item]:
        """Yields the answer from `offset` on, and last its end.

        Yields `Idle` whenever nothing else came for `idle_s` seconds.
        """
        while True:
            if offset < len(self.data):
                data = bytes(self.data[offset:])
                yield Text(offset, data)
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
