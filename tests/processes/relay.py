"""A TCP relay whose open connections can be made to fall silent."""

import asyncio
from collections.abc import Callable
import contextlib

from demo import processes

PART_BYTES = 65536


class Relay:
    """Passes bytes on between its own port and another one.

    Attributes:
        frozen: connections up to this number pass nothing on any more.
    """

    def __init__(self, find_port: Callable[[], int]):
        self.find_port = find_port
        self.opened = 0
        self.frozen = 0
        self.tasks: set[asyncio.Task] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> str:
        """Starts to listen; returns the URL of the relay."""
        self.server = await asyncio.start_server(
            self._accept, processes.HOST, 0
        )
        port = self.server.sockets[0].getsockname()[1]
        return f"http://{processes.HOST}:{port}"

    def freeze(self) -> None:
        """Makes all open connections silent, for good; new ones work."""
        self.frozen = self.opened

    async def stop(self) -> None:
        """Closes everything."""
        self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.opened += 1
        number = self.opened
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            with contextlib.suppress(OSError):
                await self._connect(number, reader, writer)
        except asyncio.CancelledError:
            return
        finally:
            self.tasks.discard(task)
            writer.close()

    async def _connect(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        far_reader, far_writer = await asyncio.open_connection(
            processes.HOST, self.find_port()
        )
        try:
            async with asyncio.TaskGroup() as both:
                both.create_task(self._pass_on(number, reader, far_writer))
                both.create_task(self._pass_on(number, far_reader, writer))
        except* OSError as errors:
            del errors  # A broken connection is closed on both sides.
        finally:
            far_writer.close()

    async def _pass_on(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while part := await reader.read(PART_BYTES):
            if number <= self.frozen:
                await asyncio.Event().wait()
            writer.write(part)
            await writer.drain()
        if number > self.frozen:
            writer.close()
