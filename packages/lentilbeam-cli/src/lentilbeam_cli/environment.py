"""The operating system's resources that commands use."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Mapping
import dataclasses
import os
import random
import sys
from typing import Any
from typing import TextIO

import httpx

from lentilbeam_core import clock as clock_lib
from lentilbeam_router import bounded_http

HTTP_TIMEOUT_S = 2.0
"""Time limit of each phase of a call, such as connecting or reading."""


def open_http() -> httpx.AsyncClient:
    """Returns an HTTP client that ignores proxies set in the environment."""
    return bounded_http.open_client(HTTP_TIMEOUT_S)


@dataclasses.dataclass(slots=True)
class Environment:
    """The environment of a command; tests replace parts of it.

    Attributes:
        clock: source of the time.
        stdout: stream for the output.
        stderr: stream for errors and the progress line.
        is_terminal: whether `stdout` is a terminal.
        variables: environment variables.
        open_http: returns a new HTTP client, to be used as context manager.
        rng: random number generator for change IDs.
        run: runs a coroutine in an event loop and returns its result.
    """

    clock: clock_lib.Clock = dataclasses.field(
        default_factory=clock_lib.SystemClock
    )
    stdout: TextIO = dataclasses.field(default_factory=lambda: sys.stdout)
    stderr: TextIO = dataclasses.field(default_factory=lambda: sys.stderr)
    is_terminal: bool = dataclasses.field(
        default_factory=lambda: sys.stdout.isatty()
    )
    variables: Mapping[str, str] = dataclasses.field(
        default_factory=lambda: os.environ
    )
    open_http: Callable[[], httpx.AsyncClient] = open_http
    rng: random.Random = dataclasses.field(default_factory=random.SystemRandom)
    run: Callable[[Coroutine[Any, Any, Any]], Any] = asyncio.run
