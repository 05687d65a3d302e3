"""A worker that a case can make answer as it likes."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import time

import world as world_lib


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request that a worker has read.

    Attributes:
        first_line: method, target and protocol.
        headers: headers, their names in lower case.
        body: the whole body.
    """

    first_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """The requester's own id."""
        return self.headers.get("request-id", "")


Answer = Callable[["Worker", Request, asyncio.StreamWriter], Awaitable[bool]]


class Worker:
    """A worker of one service, in the process of the case.

    Attributes:
        record: what is written of the case.
        name: its id.
        answer: answers a request; returns whether the channel stays open.
        ip: loopback address that it listens on.
        born: start, Unix milliseconds.
        runs: ids of the requests that it began to work on, in order.
        address: its address once it has started.
    """

    def __init__(
        self,
        record: world_lib.Record,
        name: str,
        answer: Answer,
        ip: str = "127.0.0.1",
    ):
        self.record = record
        self.name = name
        self.answer = answer
        self.ip = ip
        self.born = time.time_ns() // 1_000_000
        self.runs: list[str] = []
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, self.ip, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{port}"

    async def close(self) -> None:
        """Stops to listen."""
        self._server.close()

    def note_run(self, request: Request) -> None:
        """Records that the worker begins to work on a request."""
        self.runs.append(request.request_id)
        self.record.write(f"{self.name} runs {request.request_id}")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (read := await world_lib.read_head(reader)) is not None:
                length = int(read[1].get("content-length", "0"))
                body = await reader.readexactly(length)
                request = Request(*read, body)
                if not await self._reply(request, writer):
                    return
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            pass  # The router has closed the channel, or the case has ended.
        finally:
            writer.close()

    async def _reply(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> bool:
        if request.headers.get("expected-instance", self.name) != self.name:
            send_whole(writer, request, 421, b"", "Not-Executed: 1\r\n")
            return True
        if "/v1/report" in request.first_line:
            report = json.dumps({"born": self.born}).encode()
            send_whole(writer, request, 200, report)
            return True
        return await self.answer(self, request, writer)


def seal(worker: Worker, request: Request) -> str:
    """Returns the headers that prove an answer to be the worker's own."""
    return (
        f"Request-Id: {request.request_id}\r\n"
        f"Response-Seal: {worker.name}.{request.request_id}\r\n"
    )


def send_whole(
    writer: asyncio.StreamWriter,
    request: Request,
    status: int,
    body: bytes,
    headers: str = "",
) -> None:
    """Sends an answer with a length."""
    if "Request-Id:" not in headers and request.request_id:
        headers += f"Request-Id: {request.request_id}\r\n"
    writer.write(
        f"HTTP/1.1 {status} Answer\r\n{headers}"
        f"Content-Length: {len(body)}\r\n\r\n".encode()
        + body
    )


def begin_stream(worker: Worker, request: Request) -> bytes:
    """Returns the head of an event stream that is sent in chunks."""
    return (
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        f"{seal(worker, request)}Transfer-Encoding: chunked\r\n\r\n"
    ).encode()


def encode_chunk(data: bytes) -> bytes:
    """Returns a chunk; the last one if there is no data."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
