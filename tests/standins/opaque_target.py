"""Stand-in for a target of the forwarding router.

Run as `python -m tests.standins.opaque_target HOST PORT NAME`. Requests to
paths below `/chat/` are answered with a stream of 20 events, 50 ms apart, all
others with a short body. A request for another instance is refused with 421.

`GET /runs` returns the ids of all requests that ran. Before a request runs,
its id and the monotonic time in seconds are printed as a line of JSON.
"""

import asyncio
import json
import sys
import time

import uvicorn

EVENT_COUNT = 20
EVENT_INTERVAL_S = 0.05
SHORT_WORK_S = 0.02


class Target:
    """A target as an ASGI application.

    Attributes:
        name: name of this instance.
        runs: ids of the requests that ran, in the order of their start.
    """

    def __init__(self, name: str):
        self.name = name
        self.runs: list[str] = []

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
        if headers.get(b"expected-instance") != self.name.encode():
            await self.send_response(send, 421, [], b"")
            return
        request_id = headers[b"request-id"].decode()
        self.runs.append(request_id)
        run = {"run": request_id, "at": time.monotonic()}
        print(json.dumps(run), flush=True)
        proof_headers = [
            (b"request-id", headers[b"request-id"]),
            (b"response-seal", self.name.encode()),
        ]
        if scope["path"].startswith("/chat/"):
            first = int(headers.get(b"last-event-id", b"0")) + 1
            await self.send_events(send, proof_headers, first)
            return
        await asyncio.sleep(SHORT_WORK_S)
        await self.send_response(send, 200, proof_headers, b"done")

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

    async def send_events(self, send, headers, first: int) -> None:
        """Streams the events from number `first` on."""
        await send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )
        for number in range(first, EVENT_COUNT + 1):
            await asyncio.sleep(EVENT_INTERVAL_S)
            event = b"id: %d\ndata: word%d\n\n" % (number, number)
            await send(
                {"type": "http.response.body", "body": event, "more_body": True}
            )
        await send({"type": "http.response.body", "body": b""})


def main(host: str, port: str, name: str) -> None:
    """Serves the target until the process is stopped."""
    config = uvicorn.Config(
        Target(name), host=host, port=int(port), lifespan="off", log_config=None
    )
    uvicorn.Server(config).run()


if __name__ == "__main__":
    main(*sys.argv[1:])
