"""A uvicorn server that installs no signal handlers."""

from collections.abc import Iterator
import contextlib

import uvicorn


class WebServer(uvicorn.Server):
    """A uvicorn server for a process that handles signals itself."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Installs no signal handlers, unlike the overridden method."""
        yield
