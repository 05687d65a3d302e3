"""A TCP proxy on loopback whose connections can be disturbed."""

import asyncio
import contextlib
import enum
import socket
import struct

CHUNK_BYTES = 65_536
DELAY_S = 0.2
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkState(enum.Enum):
    """What a proxy does with the bytes that it carries."""

    OPEN = "open"
    SLOW = "slow"  # Each chunk is late.
    SILENT = "silent"  # Nothing arrives, either way.
    ONE_WAY = "one_way"  # Answers do not arrive; requests do.


class Proxy:
    """Carries connections from one address to another."""

    def __init__(self, host: str, port: int):
        self.host = host
        self.port = port
        self.state = LinkState.OPEN
        self.opened = asyncio.Event()
        self.opened.set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> str:
        """Starts listening; returns the address."""
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def set_state(self, state: LinkState) -> None:
        """Changes what happens to connections, present and future."""
        self.state = state
        if state in (LinkState.SILENT, LinkState.ONE_WAY):
            self.opened.clear()
        else:
            self.opened.set()

    def reset(self) -> None:
        """Resets all connections."""
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                with contextlib.suppress(OSError):
                    sock.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                    )
            writer.transport.abort()

    async def stop(self) -> None:
        """Ends all connections and the listening socket."""
        self.server.close()
        self.set_state(LinkState.OPEN)
        self.reset()
        await asyncio.gather(*self.tasks)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        self.writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self.host, self.port
            )
        except OSError:
            self._close(writer)
            return
        self.writers.add(far_writer)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._carry(reader, far_writer, False))
                group.create_task(self._carry(far_reader, writer, True))
        except* (OSError, asyncio.IncompleteReadError):
            pass  # An end that went away ends the connection, as it should.
        finally:
            self._close(writer)
            self._close(far_writer)

    async def _carry(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_answer: bool,
    ) -> None:
        while True:
            data = await reader.read(CHUNK_BYTES)
            if self.state is LinkState.SLOW:
                await asyncio.sleep(DELAY_S)
            is_passing = self.state is LinkState.ONE_WAY and not is_answer
            if not is_passing:
                await self.opened.wait()
            if not data:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            writer.write(data)
            await writer.drain()

    def _close(self, writer: asyncio.StreamWriter) -> None:
        self.writers.discard(writer)
        writer.close()
