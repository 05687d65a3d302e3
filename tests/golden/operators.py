"""Operators' commands on model routers and a model log, in virtual time."""

import asyncio
import io
import json
import random
import shlex
from typing import Any

import httpx

from lentilbeam_cli import core
from lentilbeam_cli import environment
from lentilbeam_cli import exit_status
from lentilbeam_core import catalogue_log
from lentilbeam_core import catalogue_snapshot
from lentilbeam_core import catalogue_state
from lentilbeam_core import clock as clock_lib
from lentilbeam_core import hlc
from lentilbeam_core import ids
from lentilbeam_core import timeline as timeline_lib
from lentilbeam_router import metrics as metrics_lib
from tests import model_log
from tests import virtual_time

SERVICES = "--log=http://log --instances=http://list"


class Router:
    """A router that evaluates the log's records `lag_s` after they came."""

    def __init__(self, site: "Site", name: str, lag_s: float):
        self.site = site
        self.name = name
        self.lag_s = lag_s
        self.is_silent = False
        self.state = "live"
        self.pools: dict[str, Any] = {}
        self.peers: list[dict[str, Any]] = []
        self.metrics = metrics_lib.Metrics()
        self.timeline = timeline_lib.Timeline(
            ids.InstanceId(name), hlc.HybridClock(site.clock)
        )

    def evaluate(self) -> catalogue_state.State:
        """Returns the catalogue in force here."""
        state = catalogue_state.State()
        seen = self.site.clock.monotonic() - self.lag_s
        records = self.site.log.streams.get(catalogue_log.STREAM, [])
        for offset, record in enumerate(records, start=1):
            if record.time_s <= seen:
                catalogue_log.apply_record(
                    state, ids.Offset(offset), record.value
                )
        return state

    def answer(self, method: str, path: str) -> Any:
        """Returns the JSON data that the router answers with."""
        if method == "POST":
            self.state = "leaving"
            return {"state": "leaving"}
        match path:
            case "/v1/status":
                return {
                    "instance": self.name,
                    "state": self.state,
                    "catalogue_offset": self.evaluate().offset,
                    "pools": self.pools,
                    "peers": self.peers,
                }
            case "/v1/stats":
                return self.metrics.export()
            case "/v1/timeline":
                return {"events": self.timeline.export()}
            case "/v1/catalogue":
                return catalogue_snapshot.dump_snapshot(self.evaluate())
        raise AssertionError(f"no answer for {path}")


class Site:
    """The platform, the routers, and operators at a shell.

    Attributes:
        transcript: all commands with what they wrote, and how they ended.
        hook: called before each request, to race with it.
    """

    def __init__(self, runner: asyncio.Runner, clock: clock_lib.ManualClock):
        self.clock = clock
        self.log = model_log.ModelLog(clock)
        self.routers = [
            Router(self, "router-1", 0.1),
            Router(self, "router-2", 0.3),
            Router(self, "router-3", 0.9),
        ]
        self.transcript = io.StringIO()
        self.hook = lambda request: None
        self.is_terminal = False
        self.variables = {"LENTILBEAM_OPERATOR": "ada"}
        self.runner = runner
        self.rng = random.Random(7)

    def run(self, line: str) -> exit_status.ExitStatus:
        """Runs a command line and writes it down."""
        out, err = io.StringIO(), io.StringIO()
        env = environment.Environment(
            clock=self.clock,
            stdout=out,
            stderr=err,
            is_terminal=self.is_terminal,
            variables=self.variables,
            open_http=lambda: httpx.AsyncClient(
                transport=httpx.MockTransport(self._route)
            ),
            rng=self.rng,
            run=self.runner.run,
        )
        status = core.program(["lentilbeam", *shlex.split(line)], env)
        shown = line.replace(SERVICES, "$SERVICES")
        write = self.transcript.write
        write(f"$ lentilbeam {shown}\n{_trim(out)}")
        if err.getvalue():
            write(f"-- stderr\n{_trim(err)}")
        write(f"-- {status.name} at {self.clock.monotonic():.2f} s\n\n")
        return status

    def wait(self, seconds: float) -> None:
        """Lets virtual time pass."""
        self.clock.advance(seconds)

    async def _route(self, request: httpx.Request) -> httpx.Response:
        self.hook(request)
        host = request.url.host
        if host == "log":
            return await self.log.handle(request)
        if host == "list":
            rows = [_build_row(router) for router in self.routers]
            return httpx.Response(200, json={"instances": rows})
        router = next(each for each in self.routers if each.name == host)
        if router.is_silent:
            raise httpx.ConnectError("connection refused")
        value = router.answer(request.method, request.url.path)
        return httpx.Response(200, content=json.dumps(value).encode())


def _build_row(router: Router) -> dict[str, Any]:
    return {
        "name": router.name,
        "data_centre": "east",
        "state": router.state,
        "url": f"http://{router.name}",
        "peer_host": "127.0.0.1",
        "peer_port": 8201,
    }


def _trim(stream: io.StringIO) -> str:
    lines = stream.getvalue().splitlines()
    return "".join(f"{line.rstrip()}\n" for line in lines)


def open_site(runner: asyncio.Runner, clock: clock_lib.ManualClock) -> Site:
    """Returns a site whose virtual time is that of the runner's loop."""
    return Site(runner, clock)


def make_runner(clock: clock_lib.ManualClock) -> asyncio.Runner:
    """Returns a runner in virtual time."""
    return asyncio.Runner(
        loop_factory=lambda: virtual_time.VirtualTimeLoop(clock)
    )
