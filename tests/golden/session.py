"""One router with all stand-ins in one process, in virtual time.

What callers and operators send and get back is written down as text, which
the golden tests compare byte for byte.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import io
import json
from typing import Any

import httpx
import litestar

from lentilbeam_core import catalogue_log
from lentilbeam_core import clock as clock_lib
from lentilbeam_core import ids
from lentilbeam_router import daemon as daemon_lib
from lentilbeam_router import environment
from lentilbeam_router import logs
from lentilbeam_router import settings as settings_lib
from lentilbeam_router import target_client
from tests import virtual_time
from tests.golden import entries
from tests.standins import bookings
from tests.standins import engine
from tests.standins import instances
from tests.standins import log as log_standin

RETENTION_S = 3600.0
SETTLE_S = 3.0
MAX_SHOWN = 400
SHOWN_HEADERS = ("content-type", "retry-after", "connection")
SETTINGS = {
    "instance": "router-1",
    "data_centre": "east",
    "http": {"host": "127.0.0.1", "port": 8101},
    "peer": {"host": "127.0.0.1", "port": 8201},
    "platform": {"log_url": "http://log", "instance_list_url": "http://list"},
}
ROW = {
    "name": "router-1",
    "data_centre": "east",
    "state": "live",
    "url": "http://router-1",
    "peer_host": "127.0.0.1",
    "peer_port": 8201,
}


class Network(httpx.AsyncBaseTransport):
    """Carries requests to applications in this process, by host name."""

    def __init__(self):
        self.transports: dict[str, httpx.ASGITransport] = {}

    def add(self, host: str, app: Any) -> None:
        """Makes an application known under a host name."""
        self.transports[host] = httpx.ASGITransport(app)

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Hands the request to its host, or fails to connect."""
        transport = self.transports.get(request.url.host)
        if transport is None:
            raise httpx.ConnectError("connection refused", request=request)
        trace = request.extensions.get("trace")
        if trace is not None:
            await trace(target_client.HANDED_OVER_EVENT, {})
        timeout_s = request.extensions["timeout"]["read"]
        answer = transport.handle_async_request(request)
        try:
            return await asyncio.wait_for(answer, timeout_s)
        except TimeoutError as error:
            raise httpx.ReadTimeout("silent", request=request) from error


class Session:
    """A running router and the text of all that was said to it."""

    def __init__(self, clock: clock_lib.ManualClock):
        self.clock = clock
        self.network = Network()
        self.lines: list[str] = []
        self.logged = io.StringIO()
        self.stand_ins: dict[str, litestar.Litestar] = {
            "log": log_standin.build(clock, RETENTION_S),
            "list": instances.build(clock, 0.0),
            "engine-1": engine.build(clock, 2, 20.0),
            "bookings-1": bookings.build(clock, 1, 50.0),
        }
        for host, app in self.stand_ins.items():
            self.network.add(host, app)
        self.http = httpx.AsyncClient(transport=self.network)
        self.daemon = self._build_daemon()
        self.network.add("router-1", self.daemon.server.config.app)

    async def say(
        self, method: str, path: str, body: Any = None, title: str = ""
    ) -> httpx.Response:
        """Sends a request to the router and writes both ways down."""
        if title:
            self.lines.append(f"# {title}")
        self.lines.append(f"> {method} {path}")
        content = None
        if body is not None:
            content = body if isinstance(body, bytes) else json.dumps(body)
            self.lines.append(f"> {_shorten(content)}")
        answer = await self.http.request(
            method, f"http://router-1{path}", content=content, timeout=600
        )
        self._write_answer(answer)
        return answer

    async def tell(self, host: str, path: str, body: Any) -> None:
        """Changes a stand-in; written down as what the world did."""
        self.lines.append(f"* {host} {path} {json.dumps(body)}")
        answer = await self.http.put(f"http://{host}{path}", json=body)
        answer.raise_for_status()

    def cut(self, host: str) -> None:
        """Makes a stand-in unreachable."""
        self.lines.append(f"* {host} is unreachable")
        del self.network.transports[host]

    def _write_answer(self, answer: httpx.Response) -> None:
        at = self.clock.monotonic()
        self.lines.append(f"< {answer.status_code} at {at:.3f} s")
        for name in SHOWN_HEADERS:
            if name in answer.headers:
                self.lines.append(f"< {name}: {answer.headers[name]}")
        self.lines += [f"< {line}" for line in answer.text.splitlines()]
        self.lines.append("")

    def _build_daemon(self) -> daemon_lib.Daemon:
        text = json.dumps(SETTINGS)
        settings = settings_lib.parse_settings(text).ok
        env = environment.Environment(
            clock=self.clock,
            stdout=self.logged,
            stderr=self.logged,
            open_http=lambda timeout, limits: httpx.AsyncClient(
                transport=self.network, timeout=timeout
            ),
        )
        log = logs.build_logger(self.logged, settings.instance)
        return daemon_lib.Daemon(settings, env, log)

    async def start(self) -> None:
        """Publishes the catalogue, lists the router and lets it settle."""
        change = {"records": [entries.build_change()]}
        url = f"http://log/streams/{catalogue_log.STREAM}/records"
        (await self.http.post(url, json=change)).raise_for_status()
        listed = f"http://list/instances/{ids.InstanceId('router-1')}"
        (await self.http.put(listed, json=ROW)).raise_for_status()
        await asyncio.sleep(SETTLE_S)


def _shorten(content: str | bytes) -> str:
    text = content.decode() if isinstance(content, bytes) else content
    if len(text) <= MAX_SHOWN:
        return text
    return f"{text[:MAX_SHOWN]}… ({len(text)} characters)"


def record_session(
    converse: Callable[[Session], Awaitable[None]],
) -> str:
    """Runs a conversation with a router; returns its text."""
    clock = clock_lib.ManualClock(virtual_time.START)

    async def run() -> str:
        session = Session(clock)
        session.daemon.claims.start()
        jobs = [
            asyncio.create_task(job) for job in session.daemon.collect_jobs()
        ]
        await session.start()
        await converse(session)
        for job in jobs:
            job.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*jobs, return_exceptions=True)
        await session.daemon.claims.stop(1.0)
        return "\n".join(session.lines) + "\n"

    return virtual_time.run(run(), clock)
