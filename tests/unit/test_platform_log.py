"""Tests of the log client.

A failed append must state whether the record was certainly not appended.
"""

import asyncio
from collections.abc import Callable

import httpx
import pytest

from lentilbeam_core import ids
from lentilbeam_router import platform_log

Handler = Callable[[httpx.Request], httpx.Response]


def append_with_handler(handler: Handler):
    """Appends a value to a log that `handler` serves; returns the result."""

    async def run():
        transport = httpx.MockTransport(handler)
        async with httpx.AsyncClient(transport=transport) as http:
            client = platform_log.LogClient("http://log", http)
            return await client.append("claims", [{"a": 1}])

    return asyncio.run(run())


def make_raising_handler(error: Exception) -> Handler:
    """Returns a handler that raises the error on each request."""

    def handler(request: httpx.Request) -> httpx.Response:
        raise error

    return handler


@pytest.mark.parametrize(
    ("handler", "kind", "is_certain"),
    [
        (make_raising_handler(httpx.ConnectError("no")), "not_sent", True),
        (make_raising_handler(httpx.ConnectTimeout("no")), "not_sent", True),
        (make_raising_handler(httpx.PoolTimeout("no")), "not_sent", True),
        (make_raising_handler(httpx.ReadTimeout("late")), "answer_lost", False),
        (make_raising_handler(httpx.WriteError("cut")), "answer_lost", False),
        (
            make_raising_handler(httpx.RemoteProtocolError("cut")),
            "answer_lost",
            False,
        ),
        (lambda _: httpx.Response(503), "refused", True),
        (lambda _: httpx.Response(400), "refused", True),
        (lambda _: httpx.Response(500), "answer_lost", False),
        (lambda _: httpx.Response(200, text="{"), "malformed", False),
        (lambda _: httpx.Response(200, json=[]), "malformed", False),
    ],
)
def test_a_failed_append_states_whether_it_certainly_had_no_effect(
    handler, kind, is_certain
):
    result = append_with_handler(handler)
    assert result.is_error()
    assert result.error.kind.value == kind
    assert result.error.is_certainly_not_appended is is_certain


def test_append_and_read_use_the_wire_format():
    requests = []

    def handler(request: httpx.Request) -> httpx.Response:
        requests.append(request)
        if request.method == "POST":
            return httpx.Response(200, json={"offset": 7})
        records = [{"offset": 7, "value": {"a": 1}}]
        body = {"records": records, "oldest": 3, "next": 12}
        return httpx.Response(200, json=body)

    async def read():
        transport = httpx.MockTransport(handler)
        async with httpx.AsyncClient(transport=transport) as http:
            client = platform_log.LogClient("http://log/", http)
            return await client.read("claims", ids.Offset(7), 10, 0.25)

    assert append_with_handler(handler).ok == 7
    assert requests[0].content == b'{"records":[{"a":1}]}'
    assert asyncio.run(read()).ok == platform_log.Page(
        (platform_log.Record(ids.Offset(7), {"a": 1}),),
        ids.Offset(3),
        ids.Offset(8),
    )
    url = requests[1].url
    assert url.path == "/streams/claims/records"
    assert dict(url.params) == {"from": "7", "limit": "10", "wait_ms": "250"}
