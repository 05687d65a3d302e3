"""A request handler with its dispatcher and forwarder, driven over ASGI."""

import asyncio
import dataclasses
import os
import random
import types

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import ids
from lentilbeam_core.forwarding import configuration
from lentilbeam_core.forwarding import retry_budget
from lentilbeam_core.forwarding import target_list
from lentilbeam_platform import call_wire
from lentilbeam_router import metrics
from lentilbeam_router.forwarding import caller_channel
from lentilbeam_router.forwarding import connection_pool
from lentilbeam_router.forwarding import decision_log
from lentilbeam_router.forwarding import dispatcher
from lentilbeam_router.forwarding import forwarder
from lentilbeam_router.forwarding import request_handler
from tests.forwarding import makers

KEY = "key-1"
BUDGET = retry_budget.Settings(ratio=0.2, extra=54.0, window_s=10.0)


@dataclasses.dataclass
class Seen:
    """What a caller saw.

    Attributes:
        status: None if no head came.
        headers: of the answer.
        body: bytes that came.
        is_whole: whether the answer's end was marked.
    """

    status: int | None = None
    headers: dict[bytes, bytes] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False


class Path:
    """Everything between a caller and its targets, without the network."""

    def __init__(
        self,
        targets: list[target_list.Entry],
        routes=(makers.CHAT, makers.BOOK, makers.LOOK_UP),
        engine: configuration.Engine | None = None,
    ):
        clock = clock_lib.SystemClock()
        read_end, write_end = os.pipe()
        self.output = read_end
        os.set_blocking(read_end, False)
        log = decision_log.DecisionLog(clock, "router-1", write_end)
        found = target_list.TargetList()
        for entry in targets:
            found.put(entry)
        self.configuration = configuration.Configuration(
            version=3,
            routes=routes,
            pools={makers.POOL: configuration.Pool(makers.POOL, 100, engine)},
            limits=configuration.Limits(),
            workspaces={KEY: ids.WorkspaceId("ashby")},
        )
        self.dispatcher = dispatcher.Dispatcher(
            self.configuration,
            makers.POOL,
            found,
            BUDGET,
            ids.DataCentreId("east"),
            4.0,
            clock,
            random.Random(1),
        )
        counts = metrics.Metrics()
        self.pool = connection_pool.ConnectionPool(clock, counts)
        follower = configuration.Follower()
        follower.offer(self.configuration)
        self.state = types.SimpleNamespace(
            configuration=follower,
            is_leaving=False,
            rng=random.Random(1),
            find_dispatcher=lambda name: self.dispatcher,
            peers=types.SimpleNamespace(count_routers=lambda: 1),
            forwarder=forwarder.Forwarder(
                call_wire.CODEC, self.pool, clock, counts, log
            ),
        )
        self.request_handler = request_handler.RequestHandler(
            call_wire.CODEC, self.state, clock, counts, log
        )

    async def call(
        self,
        path: str = "/chat/x",
        body: bytes = b"",
        leave_after_s: float | None = None,
        **headers: str,
    ) -> Seen:
        """Sends a request; returns what the caller saw."""
        given = {
            "host": "studio.example",
            "request_id": "r",
            "api_key": KEY,
            **headers,
        }
        scope = {
            "type": "http",
            "method": "POST",
            "path": path,
            "raw_path": path.encode(),
            "query_string": b"",
            "headers": [
                (name.replace("_", "-").encode(), value.encode())
                for name, value in given.items()
                if value is not None
            ],
        }
        seen = Seen()
        asked = asyncio.Queue()
        asked.put_nowait({"type": "http.request", "body": body})

        async def send(message) -> None:
            if message["type"] == "http.response.start":
                seen.status = message["status"]
                seen.headers = dict(message["headers"])
                return
            seen.body += message.get("body", b"")
            seen.is_whole = not message.get("more_body", False)

        if leave_after_s is not None:
            loop = asyncio.get_running_loop()
            left = {"type": "http.disconnect"}
            loop.call_later(leave_after_s, asked.put_nowait, left)
        try:
            await self.request_handler(scope, asked.get, send)
        except caller_channel.ResponseAbortedError:
            seen.is_whole = False
        return seen

    def read_log(self) -> bytes:
        """Returns what was logged so far."""
        return os.read(self.output, 1_000_000)
