"""A TCP proxy on loopback that can delay, block and reset connections."""

import asyncio
import contextlib
import enum
import socket
import struct

CHUNK_BYTES = 65_536
SLOW_DELAY_S = 0.2
"""Delay of each chunk on a slow link."""
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER (on, 0 s) with which closing sends a TCP reset."""


class LinkState(enum.Enum):
    """How a proxy forwards data."""

    OPEN = "open"
    SLOW = "slow"  # Each chunk is delayed.
    SILENT = "silent"  # No data is forwarded in either direction.
    ONE_WAY = "one_way"  # Only data towards the server is forwarded.


class Proxy:
    """Forwards TCP connections from a port of its own to one server.

    Attributes:
        host: host of the server.
        port: port of the server.
        state: how data is forwarded now.
        traffic_allowed: cleared while data is held back.
        writers: open streams, towards clients and the server.
        tasks: running tasks, one for each client connection.
        server: the listening server; None before `start`.
    """

    def __init__(self, host: str, port: int):
        self.host = host
        self.port = port
        self.state = LinkState.OPEN
        self.traffic_allowed = asyncio.Event()
        self.traffic_allowed.set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> str:
        """Starts to listen on a free port; returns "host:port"."""
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def set_state(self, state: LinkState) -> None:
        """Changes how data is forwarded on open and new connections.

        Data that was held back is forwarded once the state allows it.
        """
        self.state = state
        if state in (LinkState.SILENT, LinkState.ONE_WAY):
            self.traffic_allowed.clear()
        else:
            self.traffic_allowed.set()

    def reset(self) -> None:
        """Resets all open connections (TCP RST)."""
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                with contextlib.suppress(OSError):
                    sock.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                    )
            writer.transport.abort()

    async def stop(self) -> None:
        """Closes the listening socket and resets all connections."""
        self.server.close()
        self.set_state(LinkState.OPEN)
        self.reset()
        await asyncio.gather(*self.tasks)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forwards a client's connection in both directions until it ends."""
        task = asyncio.current_task()
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        self.writers.add(writer)
        try:
            remote_reader, remote_writer = await asyncio.open_connection(
                self.host, self.port
            )
        except OSError:
            self._close(writer)
            return
        self.writers.add(remote_writer)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward(reader, remote_writer, False))
                group.create_task(self._forward(remote_reader, writer, True))
        except* (OSError, asyncio.IncompleteReadError):
            pass  # One side closed the connection; both are closed below.
        finally:
            self._close(writer)
            self._close(remote_writer)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_response: bool,
    ) -> None:
        """Forwards data from one side to the other until end of file.

        Args:
            reader: stream of the sender.
            writer: stream of the receiver.
            is_response: whether the data comes from the server.
        """
        while True:
            data = await reader.read(CHUNK_BYTES)
            if self.state is LinkState.SLOW:
                await asyncio.sleep(SLOW_DELAY_S)
            is_passing = self.state is LinkState.ONE_WAY and not is_response
            if not is_passing:
                await self.traffic_allowed.wait()
            if not data:
                if writer.can_write_eof():
                    writer.write_eof()
                return
            writer.write(data)
            await writer.drain()

    def _close(self, writer: asyncio.StreamWriter) -> None:
        self.writers.discard(writer)
        writer.close()
