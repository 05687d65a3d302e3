"""What all stand-ins share: flags, faults, slots and the HTTP server."""

import asyncio
from collections.abc import Callable
import contextlib
import signal
from typing import Any

from absl import app
from absl import flags
import litestar
from litestar import exceptions
import msgspec
import uvicorn

from lentilbeam_core import clock as clock_lib

HOST = flags.DEFINE_string("host", "127.0.0.1", "Address to listen on.")
PORT = flags.DEFINE_integer("port", 0, "Port to listen on.")
SLOTS = flags.DEFINE_integer("slots", 4, "Requests a target runs at once.")
STOP_GRACE_S = 1
DROP_PAUSE_S = 0.01


class TargetFaults(msgspec.Struct):
    """Fault switches of a target; a PUT replaces them all.

    Attributes:
        fail_fast: answer 500 at once, without running anything.
        is_silent: send nothing on new and open connections, for good.
        cross_answers: this many next answers carry another request's id.
        truncate: this many next answers stop half-way.
        lose_answers: this many next calls run, then lose the connection.
        draining: refuse new work with 503.
    """

    fail_fast: bool = False
    is_silent: bool = False
    cross_answers: int = 0
    truncate: int = 0
    lose_answers: int = 0
    draining: bool = False

    def take(self, name: str) -> bool:
        """Uses up one of the counted fault `name`; tells if there was one."""
        count = getattr(self, name)
        if count > 0:
            setattr(self, name, count - 1)
        return count > 0


class Load(msgspec.Struct):
    """A target's load report."""

    running: int
    waiting: int
    draining: bool


class Slots:
    """Slots of a target, given out in arrival order."""

    def __init__(self, count: int):
        self.semaphore = asyncio.Semaphore(count)
        self.running = 0
        self.waiting = 0

    @contextlib.asynccontextmanager
    async def hold(self):
        """Waits for a slot and holds it for the body of the `with`."""
        self.waiting += 1
        try:
            await self.semaphore.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            yield
        finally:
            self.running -= 1
            self.semaphore.release()

    def load(self, faults: TargetFaults) -> Load:
        """Returns the load at this moment."""
        return Load(self.running, self.waiting, faults.draining)


async def check_admission(faults: TargetFaults) -> None:
    """Applies the faults that hit a request before it runs.

    Raises:
        HTTPException: 503 with `{"draining": true}`, or 500.
    """
    if faults.draining:
        raise exceptions.HTTPException(
            status_code=503, detail="draining", extra={"draining": True}
        )
    if faults.fail_fast:
        raise exceptions.HTTPException(status_code=500, detail="fail_fast")
    if faults.is_silent:
        await stay_silent()


async def stay_silent() -> None:
    """Never returns: the connection stays silent for good."""
    await asyncio.Event().wait()


async def drop_connection(request: litestar.Request) -> None:
    """Closes the request's connection without any answer."""
    drop = request.scope.get("drop_connection")
    if drop:
        drop()
    await asyncio.sleep(DROP_PAUSE_S)


def _answer_error(
    _: litestar.Request, error: exceptions.HTTPException
) -> litestar.Response[dict[str, Any]]:
    body = error.extra or {"detail": error.detail}
    return litestar.Response(body, status_code=error.status_code)


def create_app(handlers: list[Any], faults: Any) -> litestar.Litestar:
    """Returns an application of `handlers` and `PUT /faults`.

    Args:
        handlers: the litestar route handlers.
        faults: the msgspec structure whose fields a PUT replaces.
    """

    @litestar.put("/faults")
    async def set_faults(request: litestar.Request) -> dict[str, Any]:
        changed = msgspec.json.decode(await request.body(), type=type(faults))
        for name in faults.__struct_fields__:
            setattr(faults, name, getattr(changed, name))
        return msgspec.to_builtins(faults)

    return litestar.Litestar(
        [*handlers, set_faults],
        exception_handlers={exceptions.HTTPException: _answer_error},
        openapi_config=None,
        logging_config=None,
    )


def _make_droppable(application: litestar.Litestar) -> Callable:
    """Wraps the application so that handlers can drop their connection."""

    async def handle(scope, receive, send):
        if scope["type"] == "http":
            scope["drop_connection"] = send.__self__.transport.abort
        await application(scope, receive, send)

    return handle


def run(build: Callable[[clock_lib.Clock], litestar.Litestar]) -> None:
    """Parses the flags and serves the application until SIGTERM."""

    def main(_: list[str]) -> None:
        # Uvicorn stops on SIGTERM and then raises it again for whoever
        # handled it before; the exit status is to be 0.
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        uvicorn.run(
            _make_droppable(build(clock_lib.SystemClock())),
            host=HOST.value,
            port=PORT.value,
            loop="asyncio",
            http="httptools",
            lifespan="off",
            proxy_headers=False,
            access_log=False,
            log_level="critical",
            timeout_graceful_shutdown=STOP_GRACE_S,
        )

    app.run(main)
