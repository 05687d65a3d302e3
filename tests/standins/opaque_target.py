"""Stand-in for a target of the forwarding router.

Run as `python -m tests.standins.opaque_target HOST PORT NAME VERSION BORN_MS`.
Requests to paths below `/chat/` are answered with a stream of 20 events, 50 ms
apart, whose text names the version, all others with a short body. A path that
ends in `/for-SECONDS` makes the request run for that time. A request for
another instance is refused with 421. `GET /v1/report` tells the start of the
process.

`PUT /notices` with `{"leaving": true}` makes all responses say that the target
is leaving; with `{"quiet_s": 0.5}` requests are turned away for that time.

`GET /runs` returns the ids of all requests that ran. Before a request runs,
its id and the monotonic time in seconds are printed as a line of JSON.
"""

import asyncio
import json
import re
import sys
import time

import uvicorn

EVENT_COUNT = 20
EVENT_INTERVAL_S = 0.05
SHORT_WORK_S = 0.02
_WORK_S = re.compile(r"/for-([0-9.]+)$")


class Target:
    """A target as an ASGI application.

    Attributes:
        name: name of this instance.
        version: version of its software.
        born_ms: start of its process, Unix milliseconds.
        runs: ids of the requests that ran, in the order of their start.
        is_leaving: whether responses say that the target is leaving.
        quiet_until: until when requests are turned away, monotonic seconds.
    """

    def __init__(self, name: str, version: str, born_ms: int):
        self.name = name
        self.version = version
        self.born_ms = born_ms
        self.runs: list[str] = []
        self.is_leaving = False
        self.quiet_until = 0.0

    async def __call__(self, scope, receive, send) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        headers = dict(scope["headers"])
        if scope["path"] == "/runs":
            await self.send_response(
                send, 200, [], json.dumps(self.runs).encode()
            )
            return
        if scope["path"] == "/notices":
            notices = json.loads((await receive())["body"])
            self.is_leaving = notices.get("leaving", False)
            self.quiet_until = time.monotonic() + notices.get("quiet_s", 0.0)
            await self.send_response(send, 200, [], b"")
            return
        if headers.get(b"expected-instance") != self.name.encode():
            await self.send_response(send, 421, [], b"")
            return
        if scope["path"] == "/v1/report":
            report = json.dumps({"born": self.born_ms})
            await self.send_response(send, 200, [], report.encode())
            return
        quiet_s = self.quiet_until - time.monotonic()
        if quiet_s > 0:
            turned_away = [
                (b"not-executed", b"1"),
                (b"retry-after", f"{quiet_s:.3f}".encode()),
                *self.list_notices(),
            ]
            await self.send_response(send, 503, turned_away, b"")
            return
        request_id = headers[b"request-id"].decode()
        self.runs.append(request_id)
        run = {"run": request_id, "at": time.monotonic()}
        print(json.dumps(run), flush=True)
        proof_headers = [
            (b"request-id", headers[b"request-id"]),
            (b"response-seal", self.name.encode()),
            *self.list_notices(),
        ]
        if scope["path"].startswith("/chat/"):
            first = int(headers.get(b"last-event-id", b"0")) + 1
            interval_s = EVENT_INTERVAL_S
            if work := _WORK_S.search(scope["path"]):
                interval_s = float(work[1]) / EVENT_COUNT
            await self.send_events(send, proof_headers, first, interval_s)
            return
        work = _WORK_S.search(scope["path"])
        await asyncio.sleep(float(work[1]) if work else SHORT_WORK_S)
        await self.send_response(send, 200, proof_headers, b"done")

    def list_notices(self) -> list[tuple[bytes, bytes]]:
        """Returns the headers that tell what the target says of itself."""
        return [(b"server-leaving", b"1")] if self.is_leaving else []

    async def send_response(self, send, status, headers, body: bytes) -> None:
        """Sends a response with a known length."""
        length = (b"content-length", str(len(body)).encode())
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [*headers, length],
            }
        )
        await send({"type": "http.response.body", "body": body})

    async def send_events(
        self, send, headers, first: int, interval_s: float
    ) -> None:
        """Streams the events from number `first` on."""
        await send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )
        for number in range(first, EVENT_COUNT + 1):
            await asyncio.sleep(interval_s)
            text = f"id: {number}\ndata: word{number} {self.version}\n\n"
            await send(
                {
                    "type": "http.response.body",
                    "body": text.encode(),
                    "more_body": True,
                }
            )
        await send({"type": "http.response.body", "body": b""})


def main(host: str, port: str, name: str, version: str, born: str) -> None:
    """Serves the target until the process is stopped."""
    config = uvicorn.Config(
        Target(name, version, int(born)),
        host=host,
        port=int(port),
        lifespan="off",
        log_config=None,
    )
    uvicorn.Server(config).run()


if __name__ == "__main__":
    main(*sys.argv[1:])
