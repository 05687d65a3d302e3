"""What the daemon gets from the operating system."""

from collections.abc import Callable
import dataclasses
import sys
from typing import TextIO

import httpx

from lentilbeam_core import clock as clock_lib

OpenHttp = Callable[[httpx.Timeout, httpx.Limits], httpx.AsyncClient]


def open_http(
    timeout: httpx.Timeout, limits: httpx.Limits
) -> httpx.AsyncClient:
    """Returns an HTTP client that ignores proxies set in the environment."""
    return httpx.AsyncClient(timeout=timeout, limits=limits, trust_env=False)


@dataclasses.dataclass(slots=True)
class Environment:
    """Clock, standard streams and HTTP clients; tests pass their own."""

    clock: clock_lib.Clock = dataclasses.field(
        default_factory=clock_lib.SystemClock
    )
    stdout: TextIO = dataclasses.field(default_factory=lambda: sys.stdout)
    stderr: TextIO = dataclasses.field(default_factory=lambda: sys.stderr)
    open_http: OpenHttp = open_http
