"""Sends requests to a target directly and through a router."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import random
import time
from typing import Any

import httpx

from demo import request_specs
from lentilbeam_core import clock as clock_lib

WORKSPACE = "bench"
DEADLINE_MS = 3_600_000

Send = Callable[[], Awaitable[float]]
"""Runs one request; returns its latency in seconds."""


class BenchError(Exception):
    """A request of the benchmark failed or returned no data."""


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoints:
    """URLs of the router and its targets, and the HTTP client.

    Attributes:
        http: client that sends all requests.
        router_url: base URL of the router.
        engine_url: base URL of the model engine.
        bookings_url: base URL of the bookings service.
        clock: clock for request ids.
        rng: random number generator for request ids.
    """

    http: httpx.AsyncClient
    router_url: str
    engine_url: str
    bookings_url: str
    clock: clock_lib.Clock
    rng: random.Random

    def make_id(self) -> str:
        """Returns a new request id."""
        return request_specs.make_request_id(self.clock, self.rng)


async def _time_post(
    endpoints: Endpoints, url: str, body: dict[str, Any]
) -> float:
    started_at = time.perf_counter()
    response = await endpoints.http.post(url, json=body)
    took_s = time.perf_counter() - started_at
    if response.status_code != httpx.codes.OK:
        raise BenchError(f"{url}: {response.status_code} {response.text}")
    return took_s


def make_direct_call(endpoints: Endpoints, call: str) -> Send:
    """Returns a function that calls the bookings service directly."""

    async def send() -> float:
        body = {
            "request_id": endpoints.make_id(),
            "workspace": WORKSPACE,
            "arguments": {},
        }
        url = f"{endpoints.bookings_url}/v1/calls/{call}"
        return await _time_post(endpoints, url, body)

    return send


def make_routed_call(endpoints: Endpoints, call: str) -> Send:
    """Returns a function that calls the bookings service through the router."""

    async def send() -> float:
        spec = request_specs.make_booking_request(
            endpoints.make_id(),
            WORKSPACE,
            call,
            is_idempotent=call != "book",
            deadline_ms=DEADLINE_MS,
        )
        url = f"{endpoints.router_url}/v1/requests"
        return await _time_post(endpoints, url, spec.body)

    return send


def make_direct_stream(endpoints: Endpoints, max_tokens: int) -> Send:
    """Returns a function that opens a stream directly at the engine.

    The function returns the time to the first chunk, in seconds.
    """

    async def send() -> float:
        body = {
            "request_id": endpoints.make_id(),
            "prompt": "",
            "max_tokens": max_tokens,
        }
        return await _time_first_chunk(
            endpoints, f"{endpoints.engine_url}/v1/generate", body
        )

    return send


def make_routed_stream(endpoints: Endpoints, max_tokens: int) -> Send:
    """Returns a function that opens a stream at the engine through the router.

    The function returns the time to the first chunk, in seconds.
    """

    async def send() -> float:
        spec = make_stream_request(endpoints, max_tokens)
        return await _time_first_chunk(
            endpoints, f"{endpoints.router_url}/v1/requests", spec.body
        )

    return send


def make_stream_request(
    endpoints: Endpoints, max_tokens: int
) -> request_specs.RequestSpec:
    """Returns a request to the router for a streamed answer."""
    return request_specs.make_assistant_request(
        endpoints.make_id(),
        WORKSPACE,
        max_tokens,
        is_streamed=True,
        deadline_ms=DEADLINE_MS,
    )


async def _time_first_chunk(
    endpoints: Endpoints, url: str, body: dict[str, Any]
) -> float:
    started_at = time.perf_counter()
    first_s = None
    async with open_stream(endpoints, url, body) as body_chunks:
        async for _ in body_chunks:
            if first_s is None:
                first_s = time.perf_counter() - started_at
    if first_s is None:
        raise BenchError(f"{url}: empty stream")
    return first_s


@contextlib.asynccontextmanager
async def open_stream(
    endpoints: Endpoints, url: str, body: dict[str, Any]
) -> AsyncIterator[AsyncIterator[bytes]]:
    """Opens a stream and yields an iterator over the chunks of its body.

    Raises:
        BenchError: if the status is not 200.
    """
    async with endpoints.http.stream("POST", url, json=body) as response:
        if response.status_code != httpx.codes.OK:
            detail = (await response.aread()).decode()
            raise BenchError(f"{url}: {response.status_code} {detail}")
        yield response.aiter_raw()
