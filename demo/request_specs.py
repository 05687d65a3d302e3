"""Requests of the demonstration and the answers that callers expect."""

import dataclasses
import random
from typing import Any

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import uuid7
from tests.standins import answers

ASSISTANT_POOL = "assistant"
BOOKINGS_POOL = "bookings"


@dataclasses.dataclass(frozen=True, slots=True)
class RequestSpec:
    """A request and the answer that it must get.

    Attributes:
        request_id: the request's ID, a UUID of version 7.
        workspace: name of the workspace that sends the request.
        pool: name of the pool that serves it.
        is_idempotent: whether it may run more than once.
        is_streamed: whether the answer is streamed as server-sent events.
        body: JSON body for `POST /v1/requests`.
        expected: text of the complete answer.
    """

    request_id: str
    workspace: str
    pool: str
    is_idempotent: bool
    is_streamed: bool
    body: dict[str, Any]
    expected: str


def make_request_id(clock: clock_lib.Clock, rng: random.Random) -> str:
    """Returns a new request ID (UUIDv7) with the current time."""
    millis = int(clock.now().timestamp() * 1000)
    return uuid7.encode(millis, rng.getrandbits(uuid7.RANDOM_BITS))


def build_scoped_id(workspace: str, request_id: str) -> str:
    """Returns the ID that model engines get: request ID with workspace."""
    return f"{workspace}/{request_id}"


def make_assistant_request(
    request_id: str,
    workspace: str,
    max_tokens: int,
    *,
    is_streamed: bool,
    deadline_ms: int,
) -> RequestSpec:
    """Returns a request to a model engine.

    Args:
        request_id: ID of the request.
        workspace: name of the workspace that sends it.
        max_tokens: number of tokens to generate; also the cost hint.
        is_streamed: whether to stream the answer.
        deadline_ms: deadline, in milliseconds from the request's arrival.
    """
    prompt = f"Explain the numbers of {workspace}."
    return RequestSpec(
        request_id=request_id,
        workspace=workspace,
        pool=ASSISTANT_POOL,
        is_idempotent=True,
        is_streamed=is_streamed,
        body={
            "workspace": workspace,
            "pool": ASSISTANT_POOL,
            "call": "generate",
            "request_id": request_id,
            "input": {"prompt": prompt, "max_tokens": max_tokens},
            "cost_hint": max_tokens,
            "deadline_ms": deadline_ms,
            "stream": is_streamed,
        },
        expected=answers.generate_text(
            build_scoped_id(workspace, request_id), max_tokens
        ),
    )


def make_booking_request(
    request_id: str,
    workspace: str,
    call: str,
    *,
    is_idempotent: bool,
    deadline_ms: int,
) -> RequestSpec:
    """Returns a call of the bookings service.

    Args:
        request_id: ID of the request.
        workspace: name of the workspace that sends it.
        call: name of the call: "book" or "lookup".
        is_idempotent: whether the call may run more than once.
        deadline_ms: deadline, in milliseconds from the request's arrival.
    """
    arguments = {"bay": 3, "note": f"für {workspace}"}
    return RequestSpec(
        request_id=request_id,
        workspace=workspace,
        pool=BOOKINGS_POOL,
        is_idempotent=is_idempotent,
        is_streamed=False,
        body={
            "workspace": workspace,
            "pool": BOOKINGS_POOL,
            "call": call,
            "request_id": request_id,
            "input": arguments,
            "deadline_ms": deadline_ms,
        },
        expected=answers.generate_output(
            call, workspace, request_id, arguments
        ),
    )
