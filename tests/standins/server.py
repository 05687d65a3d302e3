"""Flags, fault injection, slots and HTTP server of the stand-ins."""

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
SLOTS = flags.DEFINE_integer(
    "slots", 4, "Requests that a target runs concurrently."
)
SHUTDOWN_GRACE_S = 1
DROP_PAUSE_S = 0.01
HOLD_POLL_S = 0.01


class TargetFaults(msgspec.Struct):
    """Faults that `PUT /faults` injects into a target.

    A PUT replaces all of them; a fault that it doesn't name is removed.

    Attributes:
        fail_fast: answer 500 at once, without running the request.
        is_silent: never send anything on new and open connections; those
            stay silent when the fault is removed.
        cross_answers: how many of the next answers carry the id of another
            request.
        truncate: how many of the next answers stop half-way.
        lose_answers: how many of the next calls run, but get their connection
            closed without a response.
        draining: refuse new requests with 503.
        hold: keep calls running, and their slots in use, until the fault is
            removed.
    """

    fail_fast: bool = False
    is_silent: bool = False
    cross_answers: int = 0
    truncate: int = 0
    lose_answers: int = 0
    draining: bool = False
    hold: bool = False

    async def wait_while_held(self) -> None:
        """Waits until the fault `hold` is removed."""
        while True:
            if not self.hold:
                return
            await asyncio.sleep(HOLD_POLL_S)

    def consume(self, name: str) -> bool:
        """Decrements a counted fault; returns whether it was injected.

        Args:
            name: name of the attribute that counts the fault.
        """
        count = getattr(self, name)
        if count > 0:
            setattr(self, name, count - 1)
        return count > 0


class Load(msgspec.Struct):
    """Response body of `GET /v1/load`.

    Attributes:
        running: number of requests that hold a slot.
        waiting: number of requests that wait for a slot.
        draining: whether the target refuses new requests.
    """

    running: int
    waiting: int
    draining: bool


class Slots:
    """The slots of a target, assigned in the order of arrival."""

    def __init__(self, count: int):
        self.semaphore = asyncio.Semaphore(count)
        self.running = 0
        self.waiting = 0

    @contextlib.asynccontextmanager
    async def hold(self):
        """Context manager that waits for a slot and holds it."""
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

    def build_load(self, faults: TargetFaults) -> Load:
        """Returns the current load."""
        return Load(self.running, self.waiting, faults.draining)


async def apply_admission_faults(faults: TargetFaults) -> None:
    """Applies the faults that prevent a request from running.

    Never returns if the target is silent.

    Raises:
        HTTPException: 503 with the body `{"draining": true}` if the target
            is draining, 500 if it fails fast.
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
    """Waits until the task is cancelled, so that nothing is sent."""
    await asyncio.Event().wait()


async def drop_connection(request: litestar.Request) -> None:
    """Aborts the request's connection, so that no response is sent."""
    drop = request.scope.get("drop_connection")
    if drop:
        drop()
    await asyncio.sleep(DROP_PAUSE_S)


def _build_error_response(
    _: litestar.Request, error: exceptions.HTTPException
) -> litestar.Response[dict[str, Any]]:
    body = error.extra or {"detail": error.detail}
    return litestar.Response(body, status_code=error.status_code)


def create_app(handlers: list[Any], faults: Any) -> litestar.Litestar:
    """Returns an application with `handlers` and `PUT /faults`.

    Args:
        handlers: the litestar route handlers of the stand-in.
        faults: the msgspec structure whose fields `PUT /faults` replaces.
    """

    @litestar.put("/faults")
    async def set_faults(request: litestar.Request) -> dict[str, Any]:
        changed = msgspec.json.decode(await request.body(), type=type(faults))
        for name in faults.__struct_fields__:
            setattr(faults, name, getattr(changed, name))
        return msgspec.to_builtins(faults)

    return litestar.Litestar(
        [*handlers, set_faults],
        exception_handlers={exceptions.HTTPException: _build_error_response},
        openapi_config=None,
        logging_config=None,
    )


def _add_drop_connection(application: litestar.Litestar) -> Callable:
    """Wraps the application so that handlers can abort their connection."""

    async def handle(scope, receive, send):
        if scope["type"] == "http":
            scope["drop_connection"] = send.__self__.transport.abort
        await application(scope, receive, send)

    return handle


def run(build: Callable[[clock_lib.Clock], litestar.Litestar]) -> None:
    """Parses the flags and serves the application until SIGTERM.

    Args:
        build: builds the application, with the clock that it should use.
    """

    def main(_: list[str]) -> None:
        # After a graceful stop, Uvicorn restores the previous handler and
        # raises SIGTERM again. Ignoring it makes the exit status 0.
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        uvicorn.run(
            _add_drop_connection(build(clock_lib.SystemClock())),
            host=HOST.value,
            port=PORT.value,
            loop="asyncio",
            http="httptools",
            lifespan="off",
            proxy_headers=False,
            access_log=False,
            log_level="critical",
            timeout_graceful_shutdown=SHUTDOWN_GRACE_S,
        )

    app.run(main)
