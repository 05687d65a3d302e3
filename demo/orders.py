"""Requests of the demonstration's callers and the answers they expect."""

import dataclasses
import random
from typing import Any

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import uuid7
from tests.standins import answers

ASSISTANT_POOL = "assistant"
BOOKINGS_POOL = "bookings"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """One request and the answer that it must get.

    Attributes:
        body: the JSON body for `POST /v1/requests`.
        expected: the whole answer.
    """

    request_id: str
    workspace: str
    pool: str
    is_idempotent: bool
    is_streamed: bool
    body: dict[str, Any]
    expected: str


def make_id(clock: clock_lib.Clock, rng: random.Random) -> str:
    """Returns a request id of the present time."""
    millis = int(clock.now().timestamp() * 1000)
    return uuid7.encode(millis, rng.getrandbits(uuid7.RANDOM_BITS))


def name_run(workspace: str, request_id: str) -> str:
    """Returns the name under which model engines know a request."""
    return f"{workspace}/{request_id}"


def make_assistant_order(
    request_id: str,
    workspace: str,
    max_tokens: int,
    *,
    is_streamed: bool,
    deadline_ms: int,
) -> Order:
    """Returns a request to a model engine."""
    prompt = f"Explain the numbers of {workspace}."
    return Order(
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
            name_run(workspace, request_id), max_tokens
        ),
    )


def make_booking_order(
    request_id: str,
    workspace: str,
    call: str,
    *,
    is_idempotent: bool,
    deadline_ms: int,
) -> Order:
    """Returns a call of the bookings service."""
    arguments = {"bay": 3, "note": f"für {workspace}"}
    return Order(
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
