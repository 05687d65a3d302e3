"""The same requests sent to a target directly and through a router."""

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
"""Runs one request; returns the seconds that are to be compared."""


class BenchError(Exception):
    """A request of the benchmark was not answered as it must be."""


@dataclasses.dataclass(frozen=True, slots=True)
class Routes:
    """Where requests are sent, and the client that sends them."""

    http: httpx.AsyncClient
    router_url: str
    engine_url: str
    bookings_url: str
    clock: clock_lib.Clock
    rng: random.Random

    def make_id(self) -> str:
        """Returns a new request id."""
        return request_specs.make_request_id(self.clock, self.rng)


async def _time_post(routes: Routes, url: str, body: dict[str, Any]) -> float:
    started_at = time.perf_counter()
    answer = await routes.http.post(url, json=body)
    took_s = time.perf_counter() - started_at
    if answer.status_code != httpx.codes.OK:
        raise BenchError(f"{url}: {answer.status_code} {answer.text}")
    return took_s


def call_directly(routes: Routes, call: str) -> Send:
    """Returns a sender of a call straight to the bookings service."""

    async def send() -> float:
        body = {
            "request_id": routes.make_id(),
            "workspace": WORKSPACE,
            "arguments": {},
        }
        url = f"{routes.bookings_url}/v1/calls/{call}"
        return await _time_post(routes, url, body)

    return send


def call_through_router(routes: Routes, call: str) -> Send:
    """Returns a sender of a call to the bookings service by the router."""

    async def send() -> float:
        order = request_specs.make_booking_request(
            routes.make_id(),
            WORKSPACE,
            call,
            is_idempotent=call != "book",
            deadline_ms=DEADLINE_MS,
        )
        url = f"{routes.router_url}/v1/requests"
        return await _time_post(routes, url, order.body)

    return send


def stream_directly(routes: Routes, max_tokens: int) -> Send:
    """Returns a sender of a stream; it times the first chunk."""

    async def send() -> float:
        body = {
            "request_id": routes.make_id(),
            "prompt": "",
            "max_tokens": max_tokens,
        }
        return await _time_first_chunk(
            routes, f"{routes.engine_url}/v1/generate", body
        )

    return send


def stream_through_router(routes: Routes, max_tokens: int) -> Send:
    """Returns a sender of a stream; it times the first chunk."""

    async def send() -> float:
        order = make_stream_order(routes, max_tokens)
        return await _time_first_chunk(
            routes, f"{routes.router_url}/v1/requests", order.body
        )

    return send


def make_stream_order(
    routes: Routes, max_tokens: int
) -> request_specs.RequestSpec:
    """Returns a streamed request."""
    return request_specs.make_assistant_request(
        routes.make_id(),
        WORKSPACE,
        max_tokens,
        is_streamed=True,
        deadline_ms=DEADLINE_MS,
    )


async def _time_first_chunk(
    routes: Routes, url: str, body: dict[str, Any]
) -> float:
    started_at = time.perf_counter()
    first_s = None
    async with open_stream(routes, url, body) as parts:
        async for _ in parts:
            if first_s is None:
                first_s = time.perf_counter() - started_at
    if first_s is None:
        raise BenchError(f"{url}: empty stream")
    return first_s


@contextlib.asynccontextmanager
async def open_stream(
    routes: Routes, url: str, body: dict[str, Any]
) -> AsyncIterator[AsyncIterator[bytes]]:
    """Opens a stream and yields the parts of its body as they come."""
    async with routes.http.stream("POST", url, json=body) as answer:
        if answer.status_code != httpx.codes.OK:
            detail = (await answer.aread()).decode()
            raise BenchError(f"{url}: {answer.status_code} {detail}")
        yield answer.aiter_raw()
