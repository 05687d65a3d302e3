"""Stand-in for workers: plain services and model workers that stream events."""

import asyncio
import contextlib
import dataclasses
import json
import time

from standins import http11

HEARTBEAT_S = 1.2


@dataclasses.dataclass
class Arrival:
    """A request that has reached a worker.

    Attributes:
        at: when it was read whole, monotonic seconds.
        worker: id of the worker.
        head: its head.
        body: its body.
        has_run: whether the worker began to work on it.
        ended_at: when the work ended; None while it goes on.
    """

    at: float
    worker: str
    head: http11.Head
    body: bytes
    has_run: bool = False
    ended_at: float | None = None

    @property
    def request_id(self) -> str:
        """Id of the request."""
        return self.head.get("request-id")


class Worker:
    """One worker, which registers in the store.

    Attributes:
        name: its id.
        service: name of its service.
        work_s: how long a request takes; between two events for streams.
        events: number of events of a stream; 0 for a plain service.
        arrivals: requests that have reached it, in order.
        tasks: tasks of its connections.
    """

    def __init__(self, store, name, service, work_s, events=0, **fields):
        self.store = store
        self.name = name
        self.service = service
        self.work_s = work_s
        self.events = events
        self.fields = fields
        self.born = int(time.time() * 1000)
        self.arrivals: list[Arrival] = []
        self.tasks: set[asyncio.Task] = set()
        self.server: asyncio.Server | None = None
        self.address = ""
        self.answer_headers: http11.Headers = []

    async def start(self, host: str, port: int = 0) -> None:
        """Listens, and registers as ready."""
        self.server = await asyncio.start_server(
            self._serve, host, port, limit=2**20
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        self.register("ready")

    def register(self, state: str) -> None:
        """Writes its entry to the store."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "z-a",
            "version": "v1",
            "slots": 16,
            "state": state,
            "cold_left_ms": 0,
            "seq": 1,
            "born": self.born,
            **self.fields,
        }
        self.store.put("keyed.servers", self.name, entry)

    async def beat(self) -> None:
        """Writes its entry about every heartbeat; never returns."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.fields["seq"] = self.fields.get("seq", 1) + 1
            self.register("ready")

    def unregister(self) -> None:
        """Removes its entry."""
        self.store.put("keyed.servers", self.name, None)

    async def crash(self) -> None:
        """Stops listening and resets all connections."""
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.sleep(0)

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while (head := await http11.read_head(reader)) is not None:
                body = await http11.read_body(reader, head)
                arrival = Arrival(time.monotonic(), self.name, head, body)
                if head.start[1] == "/v1/report":
                    await self._report(writer)
                    continue
                self.arrivals.append(arrival)
                await self.answer(arrival, writer)
        except (http11.BrokenError, OSError):
            pass
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self.tasks.discard(task)
            with contextlib.suppress(OSError):
                writer.close()

    async def _report(self, writer) -> None:
        report = {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "seq": 1,
            "waiting": 0,
            "running": 0,
            "kv_used": 0,
            "kv_total": 100_000,
            "handles": 0,
            "born": self.born,
        }
        headers = [("Content-Type", "application/json")]
        body = json.dumps(report).encode()
        writer.write(http11.encode("HTTP/1.1 200 OK", headers, body))
        await writer.drain()

    def build_headers(self, arrival: Arrival) -> http11.Headers:
        """Returns the headers of an answer to a request that was run."""
        return [
            ("Request-Id", arrival.request_id),
            ("Response-Seal", f"{self.name}.{arrival.request_id}"),
            *self.answer_headers,
        ]

    async def refuse(self, arrival, writer, status: int) -> None:
        """Answers that a request was not run."""
        headers = [
            ("Request-Id", arrival.request_id),
            ("Not-Executed", "1"),
            ("Instance-Id", self.name),
        ]
        writer.write(http11.encode(f"HTTP/1.1 {status} x", headers))
        await writer.drain()

    async def answer(self, arrival: Arrival, writer) -> None:
        """Answers one request."""
        expected = arrival.head.get("expected-instance", self.name)
        if expected != self.name:
            await self.refuse(arrival, writer, 421)
            return
        arrival.has_run = True
        try:
            if self.events:
                await self._stream(arrival, writer)
                return
            await asyncio.sleep(self.work_s)
            body = f"{self.name} {arrival.request_id}\n".encode() * 8
            headers = self.build_headers(arrival)
            writer.write(http11.encode("HTTP/1.1 200 OK", headers, body))
            await writer.drain()
        finally:
            arrival.ended_at = time.monotonic()

    async def _stream(self, arrival: Arrival, writer) -> None:
        lines = [
            "HTTP/1.1 200 OK",
            *(f"{n}: {v}" for n, v in self.build_headers(arrival)),
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        last = int(arrival.head.get("last-event-id", "0"))
        for number in range(last + 1, self.events + 1):
            await asyncio.sleep(self.work_s)
            data = f"id: {number}\ndata: {self.name}\n\n".encode()
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
