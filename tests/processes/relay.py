"""A TCP relay that can stop carrying data on its open connections."""

import asyncio
from collections.abc import Callable
import contextlib

from demo import ports

CHUNK_BYTES = 65536


class Relay:
    """Forwards TCP connections from its own port to another one.

    Connections are numbered from 1 in the order in which they were opened.

    Attributes:
        get_port: returns the port that connections are forwarded to.
        opened_count: number of connections opened so far.
        frozen_count: connections up to this number carry no data any more.
        tasks: tasks that forward open connections.
        server: the listening socket; None until the relay is started.
    """

    def __init__(self, get_port: Callable[[], int]):
        self.get_port = get_port
        self.opened_count = 0
        self.frozen_count = 0
        self.tasks: set[asyncio.Task] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> str:
        """Starts listening; returns the URL of the relay."""
        self.server = await asyncio.start_server(self._accept, ports.HOST, 0)
        port = self.server.sockets[0].getsockname()[1]
        return f"http://{ports.HOST}:{port}"

    def freeze(self) -> None:
        """Stops forwarding on all open connections, but not on new ones."""
        self.frozen_count = self.opened_count

    async def stop(self) -> None:
        """Closes the listening socket and all connections."""
        self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.opened_count += 1
        number = self.opened_count
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            with contextlib.suppress(OSError):
                await self._forward(number, reader, writer)
        except asyncio.CancelledError:
            return
        finally:
            self.tasks.discard(task)
            writer.close()

    async def _forward(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        upstream_reader, upstream_writer = await asyncio.open_connection(
            ports.HOST, self.get_port()
        )
        try:
            async with asyncio.TaskGroup() as task_group:
                task_group.create_task(
                    self._copy(number, reader, upstream_writer)
                )
                task_group.create_task(
                    self._copy(number, upstream_reader, writer)
                )
        except* OSError as errors:
            del errors  # Both connections are closed when either one fails.
        finally:
            upstream_writer.close()

    async def _copy(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while chunk := await reader.read(CHUNK_BYTES):
            if number <= self.frozen_count:
                await asyncio.Event().wait()
            writer.write(chunk)
            await writer.drain()
        if number > self.frozen_count:
            writer.close()
