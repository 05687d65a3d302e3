"""The product's own interface after all routers restarted without state."""

import asyncio
import types

import httpx

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import request_key
from lentilbeam_router import answer_store
from lentilbeam_router import attach
from lentilbeam_router import settings
from tests import virtual_time

REQUEST = types.SimpleNamespace(
    key=request_key.RequestKey("fairway", "r1"),
    request_id="r1",
    fingerprint="f",
)
BEGUN = b"words of v1"


def make_store() -> answer_store.AnswerStore:
    """Returns the answers of a router that has just started."""
    clock = clock_lib.ManualClock(virtual_time.START)
    return answer_store.AnswerStore(settings.Limits(), clock)


async def attach_at(stores, offset):
    """Attaches at the first of some routers that know each other.

    Returns:
        Status of the response, and its body if it is no stream.
    """
    peers = [
        types.SimpleNamespace(url=f"http://router-{number}")
        for number in range(1, len(stores))
    ]

    def answer_as_peer(request: httpx.Request) -> httpx.Response:
        store = stores[int(request.url.host.removeprefix("router-"))]
        return httpx.Response(
            404 if store.find("fairway", "r1") is None else 200
        )

    async with httpx.AsyncClient(
        transport=httpx.MockTransport(answer_as_peer)
    ) as http:
        attacher = attach.Attacher(
            stores[0], types.SimpleNamespace(peers=lambda: peers), http
        )
        call = attach.AttachRequest("fairway", "r1", offset, "f")
        response = await attacher.attach(call, local_only=False)
    return response.status_code, getattr(response, "content", b"")


# Guards against a mixed answer: a router that lost what a target of one version
# had written must not pass on the rest of what another version writes.
def test_an_answer_is_not_resumed_once_all_routers_restarted():
    before = [make_store(), make_store()]
    feed = before[0].open(REQUEST)
    before[0].append(REQUEST, feed, BEGUN)
    restarted = [make_store(), make_store()]
    status, body = asyncio.run(attach_at(restarted, len(BEGUN)))
    assert status == 404
    assert b"no_such_answer" in body


# Guards against the same when the caller sends its request again: the answer
# begins anew, so that a place within the former one is refused.
def test_an_answer_that_began_anew_is_not_continued_beyond_its_end():
    restarted = [make_store(), make_store()]
    feed = restarted[0].open(REQUEST)
    assert feed.data == b""
    restarted[0].append(REQUEST, feed, b"v2")
    status, body = asyncio.run(attach_at(restarted, len(BEGUN)))
    assert status == 400
    assert b"bad_offset" in body
