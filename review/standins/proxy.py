"""A TCP proxy whose open channels can go silent or be reset."""

import asyncio
import contextlib


class Proxy:
    """Relays each accepted channel to one address.

    Attributes:
        target: "IP:PORT" to which channels are relayed.
        address: "IP:PORT" that it listens on.
        channels: number of channels accepted so far.
    """

    def __init__(self, target: str):
        self.target = target
        self.address = ""
        self.channels = 0
        self._silent_until = -1
        self._open: dict[int, list[asyncio.StreamWriter]] = {}
        self._server: asyncio.Server | None = None

    async def start(self, host: str) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def silence(self) -> int:
        """Makes the channels that are open silent for good.

        They are neither closed nor reset, and carry nothing more in either
        direction. New ones work.

        Returns:
            Number of channels that are open.
        """
        self._silent_until = self.channels
        return len(self._open)

    def reset(self) -> None:
        """Resets the channels that are open."""
        for writers in list(self._open.values()):
            for writer in writers:
                writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self.channels += 1
        number = self.channels
        host, port = self.target.split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self._open[number] = [writer, far_writer]
        pumps = [
            asyncio.ensure_future(self._pump(number, reader, far_writer)),
            asyncio.ensure_future(self._pump(number, far_reader, writer)),
        ]
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            for pump in pumps:
                pump.cancel()
        del self._open[number]
        for one in (writer, far_writer):
            with contextlib.suppress(OSError):
                one.close()

    async def _pump(self, number, reader, writer) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if number <= self._silent_until:
                    continue
                writer.write(data)
                await writer.drain()
