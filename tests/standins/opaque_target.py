"""Stand-in for a target that takes opaque requests.

Run as `python -m tests.standins.opaque_target HOST PORT NAME`. Paths below
`/chat/` are answered by a stream of 20 events, 50 ms apart; all others by a
short body. `GET /runs` returns the ids of all requests that ran; each is also
written to standard output before its work, with the monotonic time.
"""

import asyncio
import json
import sys
import time

import uvicorn

EVENTS = 20
EVENT_PAUSE_S = 0.05
SHORT_WORK_S = 0.02


class Target:
    """A target as an ASGI application."""

    def __init__(self, name: str):
        self.name = name
        self.runs: list[str] = []

    async def __call__(self, scope, receive, send) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        headers = dict(scope["headers"])
        if scope["path"] == "/runs":
            await self.answer(send, 200, [], json.dumps(self.runs).encode())
            return
        if headers.get(b"expected-instance") != self.name.encode():
            await self.answer(send, 421, [], b"")
            return
        name = headers[b"request-id"].decode()
        self.runs.append(name)
        run = {"run": name, "at": time.monotonic()}
        print(json.dumps(run), flush=True)
        proof = [
            (b"request-id", headers[b"request-id"]),
            (b"response-seal", self.name.encode()),
        ]
        if scope["path"].startswith("/chat/"):
            first = int(headers.get(b"last-event-id", b"0")) + 1
            await self.stream(send, proof, first)
            return
        await asyncio.sleep(SHORT_WORK_S)
        await self.answer(send, 200, proof, b"done")

    async def answer(self, send, status, headers, body: bytes) -> None:
        """Sends a whole answer."""
        length = (b"content-length", str(len(body)).encode())
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [*headers, length],
            }
        )
        await send({"type": "http.response.body", "body": body})

    async def stream(self, send, headers, first: int) -> None:
        """Sends a stream of events from number `first` on."""
        await send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_PAUSE_S)
            event = b"id: %d\ndata: word%d\n\n" % (number, number)
            await send(
                {"type": "http.response.body", "body": event, "more_body": True}
            )
        await send({"type": "http.response.body", "body": b""})


def main(host: str, port: str, name: str) -> None:
    """Serves until the process ends."""
    config = uvicorn.Config(
        Target(name), host=host, port=int(port), lifespan="off", log_config=None
    )
    uvicorn.Server(config).run()


if __name__ == "__main__":
    main(*sys.argv[1:])
