"""The HTTP server: a litestar application on uvicorn.

The server runs as a task in the daemon's event loop.
"""

from collections.abc import Callable
import dataclasses

import litestar
from litestar import exceptions
from litestar import openapi
from litestar import types as litestar_types
import uvicorn

from lentilbeam_core import findings as findings_lib
from lentilbeam_core import outcome
from lentilbeam_core import poll_times as poll_times_lib
from lentilbeam_router import addresses
from lentilbeam_router import caller_connections
from lentilbeam_router import caller_protocol
from lentilbeam_router import fleet
from lentilbeam_router import problems
from lentilbeam_router import responses
from lentilbeam_router import settings as settings_lib
from lentilbeam_router import signal_free_server

REQUESTS_PATH = "/v1/requests"
CLOSE_HEADER = (b"connection", b"close")
SHUTDOWN_TIMEOUT_S = 30
"""Time for callers to read the rest of answers when the server stops."""


def build_app(
    handlers: list[Callable],
    limits: settings_lib.Limits,
    fleet_view: fleet.Fleet,
) -> litestar.Litestar:
    """Returns the litestar application.

    Args:
        handlers: route handlers of the API.
        limits: limits of the router; sets the maximum body size.
        fleet_view: supplies the information whether this router is leaving.
    """
    return litestar.Litestar(
        handlers,
        middleware=[_build_close_header_middleware(fleet_view)],
        exception_handlers={
            exceptions.HTTPException: _answer_http_exception,
        },
        request_max_body_size=limits.body_bytes,
        openapi_config=openapi.OpenAPIConfig(
            title="lentilbeam router", version="1"
        ),
        logging_config=None,
    )


def build_server(
    app: litestar.Litestar,
    address: addresses.Address,
    poll_times: poll_times_lib.PollTimes,
    connections: caller_connections.CallerConnections,
) -> signal_free_server.WebServer:
    """Returns a server for `app` that listens on `address` once started.

    Args:
        app: the application that it serves.
        address: the address.
        poll_times: times of the polls of the event loop that it runs in.
        connections: all connections of callers, and their limits.
    """
    config = uvicorn.Config(
        app,
        host=address.host,
        port=address.port,
        loop="asyncio",
        http=caller_protocol.build_factory(poll_times, connections),
        ws="none",
        lifespan="off",
        access_log=False,
        proxy_headers=False,
        timeout_graceful_shutdown=SHUTDOWN_TIMEOUT_S,
        log_config=None,
    )
    return signal_free_server.WebServer(config)


def _answer_http_exception(
    request: litestar.Request, error: exceptions.HTTPException
) -> litestar.Response:
    reason = outcome.RefusalReason.BAD_REQUEST
    if error.status_code == 413:
        reason = outcome.RefusalReason.TOO_LARGE
    found = [
        findings_lib.Finding(f"/{fault.get('key', '')}", fault["message"])
        for fault in error.extra or []
        if isinstance(fault, dict)
    ]
    problem = problems.build_invalid_call(
        reason.value, error.status_code, error.detail, tuple(found)
    )
    if request.method == "POST" and request.url.path == REQUESTS_PATH:
        not_run = outcome.Outcome.REFUSED_NOT_RUN
        problem = dataclasses.replace(problem, outcome=not_run)
    return responses.build_problem(problem)


def _build_close_header_middleware(
    fleet_view: fleet.Fleet,
) -> Callable[[litestar_types.ASGIApp], litestar_types.ASGIApp]:
    """Returns middleware that adds `connection: close` to responses.

    It does so while the router is leaving.
    """

    def wrap(app: litestar_types.ASGIApp) -> litestar_types.ASGIApp:
        async def call(scope, receive, send) -> None:
            async def send_with_close_header(message) -> None:
                if message["type"] == "http.response.start":
                    message["headers"] = [*message["headers"], CLOSE_HEADER]
                await send(message)

            is_leaving = fleet_view.node.node.membership.is_leaving
            await app(
                scope, receive, send_with_close_header if is_leaving else send
            )

        return call

    return wrap
