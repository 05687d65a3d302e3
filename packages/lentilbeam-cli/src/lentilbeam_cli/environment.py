"""What the command line gets from the operating system."""

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

HTTP_TIMEOUT_S = 2.0


def open_http() -> httpx.AsyncClient:
    """Returns an HTTP client that ignores proxies set in the environment."""
    return httpx.AsyncClient(timeout=HTTP_TIMEOUT_S, trust_env=False)


@dataclasses.dataclass(slots=True)
class Environment:
    """Clock, streams, variables, HTTP and event loop; tests pass their own.

    Attributes:
        is_terminal: whether `stdout` shows to a person.
        rng: source of the random bits of change ids.
        run: runs a coroutine to its end.
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
