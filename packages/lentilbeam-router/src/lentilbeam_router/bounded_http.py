"""HTTP client that reads responses of a bounded size only."""

from collections.abc import AsyncIterator
import typing

import httpx

from lentilbeam_router import bounded_read

MAX_RESPONSE_BYTES = 32_000_000
"""Longest body of a response. A page of the log and a snapshot of the catalogue
hold a few megabytes."""


class _BoundedStream(httpx.AsyncByteStream):
    """A response body that ends with an error beyond a number of bytes."""

    def __init__(self, stream: httpx.AsyncByteStream, request: httpx.Request):
        self.stream = stream
        self.request = request

    async def __aiter__(self) -> AsyncIterator[bytes]:
        parts = bounded_read.limit_parts(aiter(self.stream), MAX_RESPONSE_BYTES)
        try:
            async for part in parts:
                yield part
        except bounded_read.TooLongError as error:
            raise httpx.ReadError(str(error), request=self.request) from error

    async def aclose(self) -> None:
        await self.stream.aclose()


class BoundedTransport(httpx.AsyncHTTPTransport):
    """Transport whose responses have at most `MAX_RESPONSE_BYTES`.

    Reading a longer one raises `httpx.ReadError` and closes its connection.
    """

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Sends a request and returns its response (called by httpx)."""
        response = await super().handle_async_request(request)
        stream = typing.cast(httpx.AsyncByteStream, response.stream)
        response.stream = _BoundedStream(stream, request)
        return response


def open_client(
    timeout: httpx.Timeout | float, limits: httpx.Limits | None = None
) -> httpx.AsyncClient:
    """Returns a client that ignores proxies set in the environment.

    Args:
        timeout: time limits of a call.
        limits: limits on connections; None for those of httpx.
    """
    transport = BoundedTransport(
        limits=limits or httpx.Limits(), trust_env=False
    )
    return httpx.AsyncClient(
        transport=transport, timeout=timeout, trust_env=False
    )
