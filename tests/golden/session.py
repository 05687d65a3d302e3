"""Runs one router with all stand-ins in one process, in virtual time.

Requests and responses are recorded as text, which the golden tests compare byte
for byte.
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
from lentilbeam_core import poll_times
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

LOG_RETENTION_S = 3600.0
START_DELAY_S = 3.0
"""Time in which the router reads the catalogue and the list of instances."""
MAX_SHOWN_CHARS = 400
SHOWN_HEADERS = ("content-type", "retry-after", "connection")
SETTINGS = {
    "instance": "router-1",
    "data_centre": "east",
    "http": {"host": "127.0.0.1", "port": 8101},
    "peer": {"host": "127.0.0.1", "port": 8201},
    "platform": {"log_url": "http://log", "instance_list_url": "http://list"},
}
INSTANCE_ENTRY = {
    "name": "router-1",
    "data_centre": "east",
    "state": "live",
    "url": "http://router-1",
    "peer_host": "127.0.0.1",
    "peer_port": 8201,
}


class Network(httpx.AsyncBaseTransport):
    """Routes HTTP requests to applications in this process, by host name.

    Attributes:
        transports: transport to each reachable application, by host name.
    """

    def __init__(self):
        self.transports: dict[str, httpx.ASGITransport] = {}

    def add(self, host: str, app: Any) -> None:
        """Makes an application reachable under a host name."""
        self.transports[host] = httpx.ASGITransport(app)

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Sends a request to the application of its host.

        Raises:
            httpx.ConnectError: no application has this host name.
            httpx.ReadTimeout: the read timeout of the request passed.
        """
        transport = self.transports.get(request.url.host)
        if transport is None:
            raise httpx.ConnectError("connection refused", request=request)
        trace = request.extensions.get("trace")
        if trace is not None:
            await trace(target_client.HANDED_OVER_EVENT, {})
        timeout_s = request.extensions["timeout"]["read"]
        response = transport.handle_async_request(request)
        try:
            return await asyncio.wait_for(response, timeout_s)
        except TimeoutError as error:
            raise httpx.ReadTimeout("silent", request=request) from error


class Session:
    """A router with its stand-ins and the transcript of its requests.

    Attributes:
        clock: clock of the router and the stand-ins.
        network: connects the router, the stand-ins and the test.
        transcript: lines of the transcript. Titles start with "#", requests
            with ">", responses with "<" and changes of stand-ins with "*".
        log_output: output of the router.
        stand_ins: applications of the stand-ins, by host name.
        http: client of the test.
        daemon: the router.
    """

    def __init__(self, clock: clock_lib.ManualClock):
        self.clock = clock
        self.network = Network()
        self.transcript: list[str] = []
        self.log_output = io.StringIO()
        self.stand_ins: dict[str, litestar.Litestar] = {
            "log": log_standin.build(clock, LOG_RETENTION_S),
            "list": instances.build(clock, 0.0),
            "engine-1": engine.build(clock, 2, 20.0),
            "bookings-1": bookings.build(clock, 1, 50.0),
        }
        for host, app in self.stand_ins.items():
            self.network.add(host, app)
        self.http = httpx.AsyncClient(transport=self.network)
        self.daemon = self._build_daemon()
        self.network.add("router-1", self.daemon.server.config.app)

    async def send_request(
        self, method: str, path: str, body: Any = None, title: str = ""
    ) -> httpx.Response:
        """Sends a request to the router; records the request and the response.

        Args:
            method: HTTP method.
            path: path, with the query.
            body: the body as bytes, or a value to encode as JSON; None for a
                request without a body.
            title: title in the transcript; none if empty.
        """
        if title:
            self.transcript.append(f"# {title}")
        self.transcript.append(f"> {method} {path}")
        content = None
        if body is not None:
            content = body if isinstance(body, bytes) else json.dumps(body)
            self.transcript.append(f"> {_abbreviate(content)}")
        response = await self.http.request(
            method, f"http://router-1{path}", content=content, timeout=600
        )
        self._write_response(response)
        return response

    async def configure_stand_in(self, host: str, path: str, body: Any) -> None:
        """Sends a PUT request to a stand-in and records the change."""
        self.transcript.append(f"* {host} {path} {json.dumps(body)}")
        response = await self.http.put(f"http://{host}{path}", json=body)
        response.raise_for_status()

    def disconnect(self, host: str) -> None:
        """Makes a stand-in unreachable and records the change."""
        self.transcript.append(f"* {host} is unreachable")
        del self.network.transports[host]

    def _write_response(self, response: httpx.Response) -> None:
        now = self.clock.monotonic()
        self.transcript.append(f"< {response.status_code} at {now:.3f} s")
        for name in SHOWN_HEADERS:
            if name in response.headers:
                self.transcript.append(f"< {name}: {response.headers[name]}")
        self.transcript += [f"< {line}" for line in response.text.splitlines()]
        self.transcript.append("")

    def _build_daemon(self) -> daemon_lib.Daemon:
        text = json.dumps(SETTINGS)
        settings = settings_lib.parse_settings(text).ok
        env = environment.Environment(
            clock=self.clock,
            stdout=self.log_output,
            stderr=self.log_output,
            open_http=lambda timeout, limits: httpx.AsyncClient(
                transport=self.network, timeout=timeout
            ),
        )
        log = logs.build_logger(self.log_output, settings.instance)
        return daemon_lib.Daemon(
            settings,
            env,
            log,
            poll_times.PollTimes(self.clock.monotonic()),
        )

    async def start(self) -> None:
        """Publishes the catalogue, registers the router and waits."""
        change = {"records": [entries.build_change()]}
        url = f"http://log/streams/{catalogue_log.STREAM}/records"
        (await self.http.post(url, json=change)).raise_for_status()
        instance_url = f"http://list/instances/{ids.InstanceId('router-1')}"
        (
            await self.http.put(instance_url, json=INSTANCE_ENTRY)
        ).raise_for_status()
        await asyncio.sleep(START_DELAY_S)


def _abbreviate(content: str | bytes) -> str:
    text = content.decode() if isinstance(content, bytes) else content
    if len(text) <= MAX_SHOWN_CHARS:
        return text
    return f"{text[:MAX_SHOWN_CHARS]}… ({len(text)} characters)"


def record_session(
    scenario: Callable[[Session], Awaitable[None]],
) -> str:
    """Runs a scenario with a new session; returns the transcript.

    Args:
        scenario: sends requests in the session.
    """
    clock = clock_lib.ManualClock(virtual_time.START)

    async def run() -> str:
        session = Session(clock)
        session.daemon.claims.start()
        tasks = [
            asyncio.create_task(job) for job in session.daemon.collect_jobs()
        ]
        await session.start()
        await scenario(session)
        for task in tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks, return_exceptions=True)
        await session.daemon.claims.stop(1.0)
        return "\n".join(session.transcript) + "\n"

    return virtual_time.run(run(), clock)
