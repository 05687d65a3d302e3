"""The daemon's access to the operating system: clock, streams, network."""

from collections.abc import Callable
import dataclasses
import sys
from typing import TextIO

import httpx

from lentilbeam_core import clock as clock_lib
from lentilbeam_router import bounded_http

OpenHttp = Callable[[httpx.Timeout, httpx.Limits], httpx.AsyncClient]


def open_http(
    timeout: httpx.Timeout, limits: httpx.Limits
) -> httpx.AsyncClient:
    """Returns an HTTP client that reads responses of a bounded size only."""
    return bounded_http.open_client(timeout, limits)


@dataclasses.dataclass(slots=True)
class Environment:
    """Clock, standard streams and HTTP clients. Tests substitute their own.

    Attributes:
        clock: wall clock and monotonic clock.
        stdout: stream for the structured log.
        stderr: stream for errors in the command line and the settings.
        open_http: creates an HTTP client.
    """

    clock: clock_lib.Clock = dataclasses.field(
        default_factory=clock_lib.SystemClock
    )
    stdout: TextIO = dataclasses.field(default_factory=lambda: sys.stdout)
    stderr: TextIO = dataclasses.field(default_factory=lambda: sys.stderr)
    open_http: OpenHttp = open_http
