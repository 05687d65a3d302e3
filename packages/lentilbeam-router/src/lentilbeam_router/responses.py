"""Builds HTTP responses from answers, problems and streams."""

from collections.abc import AsyncIterator

import litestar
from litestar import response as litestar_response
import msgspec

from lentilbeam_router import answer_feed
from lentilbeam_router import problems

EVENT_STREAM = "text/event-stream"
JSON = "application/json"
KEEPALIVE_INTERVAL_S = 2.0
"""Time without data after which a keepalive comment is sent.

The comments let both ends detect a dead connection.
"""

KEEPALIVE_COMMENT = b": keepalive\n\n"


def build_problem(problem: problems.Problem) -> litestar.Response[bytes]:
    """Returns the response for a problem."""
    return litestar.Response(
        msgspec.json.encode(problem.export()),
        status_code=problem.status,
        media_type=problems.MEDIA_TYPE,
        headers=problem.headers,
    )


def build_json(value: object, status: int = 200) -> litestar.Response[bytes]:
    """Returns a response with `value` as JSON."""
    return litestar.Response(
        msgspec.json.encode(value), status_code=status, media_type=JSON
    )


async def build_complete(
    feed: answer_feed.AnswerFeed,
) -> litestar.Response[bytes]:
    """Waits for the end of the answer and returns it in one response."""
    end = await feed.wait_for_end()
    if isinstance(end, problems.Problem):
        return build_problem(end)
    output = feed.data.decode()
    return build_json({**_export_end(feed, end), "output": output})


async def build_stream(
    feed: answer_feed.AnswerFeed, offset: int
) -> litestar.Response:
    """Returns the answer as a stream of server-sent events.

    A problem that occurs before any part of the answer has arrived is
    returned as an ordinary problem response with its HTTP status.

    Args:
        feed: the answer.
        offset: where to start in the answer, in bytes of UTF-8.
    """
    await feed.wait_for_start()
    if isinstance(feed.end, problems.Problem) and not feed.data:
        return build_problem(feed.end)
    return litestar_response.Stream(
        stream_events(feed, offset),
        status_code=200,
        media_type=EVENT_STREAM,
        headers={"Cache-Control": "no-store"},
    )


async def stream_events(
    feed: answer_feed.AnswerFeed, offset: int
) -> AsyncIterator[bytes]:
    """Yields encoded server-sent events of the answer from `offset` on."""
    async for item in feed.follow(offset, KEEPALIVE_INTERVAL_S):
        yield _encode_event(feed, item)


def _encode_event(
    feed: answer_feed.AnswerFeed, item: answer_feed.FeedItem
) -> bytes:
    match item:
        case answer_feed.TextPiece(offset, data):
            chunk = {
                "request_id": feed.request_id,
                "offset": offset,
                "text": data.decode(),
            }
            return _encode("chunk", chunk)
        case answer_feed.Idle():
            return KEEPALIVE_COMMENT
        case answer_feed.Completed():
            return _encode("end", _export_end(feed, item))
        case problems.Problem():
            return _encode("problem", item.export())


def _encode(event: str, value: dict) -> bytes:
    data = msgspec.json.encode(value)
    return b"event: %s\ndata: %s\n\n" % (event.encode(), data)


def _export_end(
    feed: answer_feed.AnswerFeed, end: answer_feed.Completed
) -> dict[str, object]:
    return {
        "request_id": feed.request_id,
        "outcome": "completed",
        "length": end.length,
        "sha256": end.sha256,
        "cost": end.cost,
    }
