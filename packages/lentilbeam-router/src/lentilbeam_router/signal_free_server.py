"""A uvicorn server for a process that handles its signals itself."""

from collections.abc import Iterator
import contextlib

import uvicorn


class WebServer(uvicorn.Server):
    """A uvicorn server that leaves signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Captures none: the daemon handles signals."""
        yield
