"""Listening sockets and the HTTP server of a forwarding router."""

from collections.abc import Awaitable
from collections.abc import Callable
import logging
import socket

import uvicorn

from lentilbeam_core import poll_times as poll_times_lib
from lentilbeam_router import addresses
from lentilbeam_router import caller_protocol
from lentilbeam_router import signal_free_server

CALLER_IDLE_TIMEOUT_S = 30
"""Time after which an idle connection of a caller is closed, in seconds. Longer
than the time for which callers may keep one. The configured
`Limits.idle_timeout_s` is not used here."""
BACKLOG = 512
"""Length of the queue of connections that aren't accepted yet."""

AsgiApp = Callable[..., Awaitable[None]]


def open_socket(address: addresses.Address) -> socket.socket:
    """Returns a listening, non-blocking TCP socket.

    Raises:
        OSError: the address can't be bound.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address.host, address.port))
    sock.listen(BACKLOG)
    sock.setblocking(False)
    return sock


def build_server(
    app: AsgiApp, poll_times: poll_times_lib.PollTimes
) -> signal_free_server.WebServer:
    """Returns an HTTP server that isn't started yet.

    Args:
        app: the application that it serves.
        poll_times: times of the polls of the event loop that it runs in.
    """
    # The server's own log repeats the lines of the decision log.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    config = uvicorn.Config(
        app,
        loop="asyncio",
        http=caller_protocol.build_factory(poll_times),
        ws="none",
        lifespan="off",
        access_log=False,
        proxy_headers=False,
        server_header=False,
        date_header=False,
        timeout_keep_alive=CALLER_IDLE_TIMEOUT_S,
        # `Gateway` sets this timeout at shutdown.
        timeout_graceful_shutdown=0,
        backlog=BACKLOG,
        log_config=None,
    )
    return signal_free_server.WebServer(config)
