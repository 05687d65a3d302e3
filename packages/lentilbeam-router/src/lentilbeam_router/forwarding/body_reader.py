"""Reads the bodies of requests within the memory budget."""

import asyncio
from collections.abc import Callable
from typing import Any

from lentilbeam_core.forwarding import memory_budget

DISCARD_TIMEOUT_S = 1.0
"""Longest time, in seconds, for which the body of a refused request is read and
discarded. A connection that is closed before that may be reset, and then the
caller does not get the refusal."""

Receive = Callable[[], Any]


class CallerDisconnectedError(Exception):
    """The caller disconnected before it had sent the whole request."""


class BodyTooLargeError(Exception):
    """The request body is larger than the configured limit."""


class NoMemoryError(Exception):
    """The memory budget has no room for the request.

    Attributes:
        is_read: whether the whole body was read nevertheless.
    """

    is_read = False


class Reservation:
    """Part of the memory budget that one request has.

    Attributes:
        budget: the budget.
        head_bytes: size of the names and values of the request's headers.
        size: reserved bytes.
    """

    def __init__(self, budget: memory_budget.MemoryBudget, head_bytes: int = 0):
        self.budget = budget
        self.head_bytes = head_bytes
        self.size = 0

    def extend(self, body_bytes: int) -> None:
        """Reserves what a request with so large a body takes.

        Raises:
            NoMemoryError: the budget has no room for it.
        """
        needed = memory_budget.estimate_request(body_bytes, self.head_bytes)
        if needed <= self.size:
            return
        if not self.budget.try_reserve(needed, self.size):
            raise NoMemoryError
        self.size = needed

    def release(self) -> None:
        """Gives all back."""
        self.budget.release(self.size)
        self.size = 0


def read_content_length(scope: dict[str, Any]) -> int:
    """Returns the length of the body; 0 if the head does not tell it."""
    for name, value in scope["headers"]:
        if name == b"content-length" and value.strip().isdigit():
            return int(value)
    return 0


async def read_body(
    receive: Receive,
    content_length: int,
    max_bytes: int,
    reservation: Reservation,
) -> bytes:
    """Returns the whole request body.

    Args:
        receive: the ASGI receive callable.
        content_length: length of the body; 0 if it is unknown.
        max_bytes: largest body that is accepted.
        reservation: extended by what the body takes, before it is read.

    Raises:
        CallerDisconnectedError: the caller disconnected.
        BodyTooLargeError: the body is larger than `max_bytes`.
        NoMemoryError: the memory budget has no room for it.
    """
    reservation.extend(min(content_length, max_bytes))
    parts = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerDisconnectedError
        part = message.get("body", b"")
        size += len(part)
        if size > max_bytes:
            raise BodyTooLargeError
        is_last = not message.get("more_body", False)
        try:
            reservation.extend(size)
        except NoMemoryError as error:
            error.is_read = is_last
            raise
        if part:
            parts.append(part)
        if is_last:
            return b"".join(parts)


async def discard_body(receive: Receive) -> None:
    """Reads what is left of a body, for `DISCARD_TIMEOUT_S` at most."""
    try:
        async with asyncio.timeout(DISCARD_TIMEOUT_S):
            while True:
                message = await receive()
                if message["type"] == "http.disconnect":
                    return
                if not message.get("more_body", False):
                    return
    except TimeoutError:
        return
