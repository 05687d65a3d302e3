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
from lentilbeam_router.forwarding import accept_control

CALLER_IDLE_TIMEOUT_S = 30
"""Time after which an idle connection of a caller is closed, in seconds. Longer
than the time for which callers may keep one. The configured
`Limits.idle_timeout_s` is not used here."""
AsgiApp = Callable[..., Awaitable[None]]


def open_socket(address: addresses.Address) -> socket.socket:
    """Returns a listening, non-blocking TCP socket.

    Raises:
        OSError: the address can't be bound.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address.host, address.port))
    sock.listen(accept_control.BACKLOG)
    sock.setblocking(False)
    return sock


class CallerServer(signal_free_server.WebServer):
    """An HTTP server that accepts connections to its first socket by control.

    Attributes:
        control: accepts these connections; None to accept all at once.
        others: accept the connections to its other sockets.
    """

    def __init__(
        self,
        config: uvicorn.Config,
        control: accept_control.AcceptControl | None,
    ):
        super().__init__(config)
        self.control = control
        self.others: list[accept_control.PlainAccept] = []

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Starts to accept connections (called by uvicorn)."""
        await super().startup(sockets=sockets)
        if self.control is None:
            return
        self.control.start(sockets[0], self._build_protocol)
        self.others = [
            accept_control.PlainAccept(
                sock, self._build_protocol, self.control.connections
            )
            for sock in sockets[1:]
        ]

    async def shutdown(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        """Stops accepting and closes all connections (called by uvicorn)."""
        if self.control is not None:
            self.control.stop()
        for other in self.others:
            other.stop()
        await super().shutdown(sockets=sockets)

    def _build_protocol(self) -> caller_protocol.CallerProtocol:
        """Returns the protocol of a new connection, as uvicorn builds it."""
        return self.config.http_protocol_class(
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )


def build_server(
    app: AsgiApp,
    poll_times: poll_times_lib.PollTimes,
    control: accept_control.AcceptControl | None = None,
) -> CallerServer:
    """Returns an HTTP server that isn't started yet.

    Args:
        app: the application that it serves.
        poll_times: times of the polls of the event loop that it runs in.
        control: accepts the connections to its first socket; None to accept
            all at once.
    """
    # The server's own log repeats the lines of the decision log.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    config = uvicorn.Config(
        app,
        loop="asyncio",
        http=caller_protocol.build_factory(
            poll_times, control.connections if control else None
        ),
        ws="none",
        lifespan="off",
        access_log=False,
        proxy_headers=False,
        server_header=False,
        date_header=False,
        timeout_keep_alive=CALLER_IDLE_TIMEOUT_S,
        # `Gateway` sets this timeout at shutdown.
        timeout_graceful_shutdown=0,
        backlog=accept_control.BACKLOG,
        log_config=None,
    )
    return CallerServer(config, control)
