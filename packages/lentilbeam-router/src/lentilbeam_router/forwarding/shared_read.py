"""A read that serves everyone who waits for it."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable


class SharedRead:
    """Reads once for all that wait, but never earlier than each has asked.

    Attributes:
        read: reads; returns whether it succeeded.
        running: the read that runs; None if none does.
        following: the read that begins after it; None if nobody waits for it.
    """

    def __init__(self, read: Callable[[], Awaitable[bool]]):
        self.read = read
        self.running: asyncio.Task[bool] | None = None
        self.following: asyncio.Task[bool] | None = None

    async def get(self) -> bool:
        """Returns whether a read that began after this call succeeded."""
        if self.running is None or self.running.done():
            self.running = asyncio.ensure_future(self.read())
            return await asyncio.shield(self.running)
        if self.following is None:
            self.following = asyncio.ensure_future(
                self._read_after(self.running)
            )
        return await asyncio.shield(self.following)

    async def _read_after(self, running: asyncio.Task[bool]) -> bool:
        await asyncio.wait({running})
        self.running, self.following = self.following, None
        return await self.read()
