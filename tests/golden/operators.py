"""Runs operators' commands against model routers and a model log.

Everything runs in one process, in virtual time.
"""

import asyncio
import io
import json
import random
import shlex
from typing import Any

import httpx

from lentilbeam_cli import environment
from lentilbeam_cli import exit_status
from lentilbeam_cli import program
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
    """Model of a router that applies each record of the log with a delay.

    Attributes:
        site: the site that the router belongs to.
        name: name of the instance.
        lag_s: time between the append of a record and its use, in seconds.
        is_unreachable: whether connections to the router are refused.
        state: state in the instance list and in the status.
        pools: pools in the status, by name.
        peers: peers in the status.
        metrics: metrics in the statistics.
        timeline: events of the timeline.
    """

    def __init__(self, site: "Site", name: str, lag_s: float):
        self.site = site
        self.name = name
        self.lag_s = lag_s
        self.is_unreachable = False
        self.state = "live"
        self.pools: dict[str, Any] = {}
        self.peers: list[dict[str, Any]] = []
        self.metrics = metrics_lib.Metrics()
        self.timeline = timeline_lib.Timeline(
            ids.InstanceId(name), hlc.HybridClock(site.clock)
        )

    def build_state(self) -> catalogue_state.State:
        """Returns the catalogue in force at this router."""
        state = catalogue_state.State()
        newest_time = self.site.clock.monotonic() - self.lag_s
        records = self.site.log.streams.get(catalogue_log.STREAM, [])
        for offset, record in enumerate(records, start=1):
            if record.time_s <= newest_time:
                catalogue_log.apply_record(
                    state, ids.Offset(offset), record.value
                )
        return state

    def respond(self, method: str, path: str) -> Any:
        """Returns the data of the JSON response to a request."""
        if method == "POST":
            self.state = "leaving"
            return {"state": "leaving"}
        match path:
            case "/v1/status":
                return {
                    "instance": self.name,
                    "state": self.state,
                    "catalogue_offset": self.build_state().offset,
                    "pools": self.pools,
                    "peers": self.peers,
                }
            case "/v1/stats":
                return self.metrics.export()
            case "/v1/timeline":
                return {"events": self.timeline.export()}
            case "/v1/catalogue":
                return catalogue_snapshot.dump_snapshot(self.build_state())
        raise AssertionError(f"no response for {path}")


class Site:
    """A log, an instance list and three model routers.

    Operators' commands are run on them.

    Attributes:
        clock: clock of everything in the site.
        log: the platform's log.
        routers: the routers.
        transcript: each command with its output, exit status and end time.
        before_request: called with each request before it is handled.
        is_terminal: whether standard output is a terminal.
        variables: environment variables of the commands.
        runner: runs the coroutines of the commands.
        rng: random number generator of the commands.
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
        self.before_request = lambda request: None
        self.is_terminal = False
        self.variables = {"LENTILBEAM_OPERATOR": "ada"}
        self.runner = runner
        self.rng = random.Random(7)

    def run(self, line: str) -> exit_status.ExitStatus:
        """Runs a command; records it in the transcript.

        Args:
            line: the command line, without the name of the program.

        Returns:
            The exit status.
        """
        out, err = io.StringIO(), io.StringIO()
        env = environment.Environment(
            clock=self.clock,
            stdout=out,
            stderr=err,
            is_terminal=self.is_terminal,
            variables=self.variables,
            open_http=lambda: httpx.AsyncClient(
                transport=httpx.MockTransport(self._handle_request)
            ),
            rng=self.rng,
            run=self.runner.run,
        )
        status = program.run(["lentilbeam", *shlex.split(line)], env)
        recorded_line = line.replace(SERVICES, "$SERVICES")
        write = self.transcript.write
        write(f"$ lentilbeam {recorded_line}\n{_strip_lines(out)}")
        if err.getvalue():
            write(f"-- stderr\n{_strip_lines(err)}")
        write(f"-- {status.name} at {self.clock.monotonic():.2f} s\n\n")
        return status

    def advance_time(self, seconds: float) -> None:
        """Advances the clock by this many seconds."""
        self.clock.advance(seconds)

    async def _handle_request(self, request: httpx.Request) -> httpx.Response:
        self.before_request(request)
        host = request.url.host
        if host == "log":
            return await self.log.handle(request)
        if host == "list":
            entries = [_build_instance_entry(router) for router in self.routers]
            return httpx.Response(200, json={"instances": entries})
        router = next(each for each in self.routers if each.name == host)
        if router.is_unreachable:
            raise httpx.ConnectError("connection refused")
        data = router.respond(request.method, request.url.path)
        return httpx.Response(200, content=json.dumps(data).encode())


def _build_instance_entry(router: Router) -> dict[str, Any]:
    return {
        "name": router.name,
        "data_centre": "east",
        "state": router.state,
        "url": f"http://{router.name}",
        "peer_host": "127.0.0.1",
        "peer_port": 8201,
    }


def _strip_lines(stream: io.StringIO) -> str:
    lines = stream.getvalue().splitlines()
    return "".join(f"{line.rstrip()}\n" for line in lines)


def open_site(runner: asyncio.Runner, clock: clock_lib.ManualClock) -> Site:
    """Returns a site whose clock is that of the runner's event loop."""
    return Site(runner, clock)


def make_runner(clock: clock_lib.ManualClock) -> asyncio.Runner:
    """Returns a runner whose event loop uses the virtual time of `clock`."""
    return asyncio.Runner(
        loop_factory=lambda: virtual_time.VirtualTimeLoop(clock)
    )
