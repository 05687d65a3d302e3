"""What forwarding knows of a call, whatever names stand on the wire.

An adapter decodes calls and answers into these types and encodes hand-overs.
"""

from collections.abc import Callable
import dataclasses
from typing import Any

from lentilbeam_core import ids
from lentilbeam_core.forwarding import requests

RawHeaders = tuple[tuple[bytes, bytes], ...]
Scope = dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """The head of a caller's request.

    Attributes:
        name: the caller's id of this attempt; empty if it gave none.
        host: without a port, in lower case.
        method: HTTP method.
        path: as sent, without the query.
        query: as sent, without the question mark.
        api_key: as sent, if any.
        deadline_s: how long the caller waits, if it says so.
        prompt: what it says of its size, if it is for a model engine.
        resume_after: id of the last event that the caller has, if any.
        headers: headers that are passed on unchanged.
    """

    name: str
    host: str
    method: str
    path: str
    query: str
    api_key: str | None
    deadline_s: float | None
    prompt: requests.Prompt | None
    resume_after: int | None
    headers: RawHeaders


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingInfo:
    """What a target is told besides the caller's own request.

    Attributes:
        target: the instance that is meant; any other refuses.
        workspace: whose request it is, if it has one.
        left_s: time until the answer is of no use.
        fetch_from: address of a target that holds shared prompt parts.
        resume_after: id of the last event that the caller has, if any.
    """

    target: ids.TargetId
    workspace: ids.WorkspaceId
    remaining_s: float | None
    fetch_from: str | None
    resume_after: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The head of a target's answer.

    Attributes:
        status: HTTP status.
        headers: headers that are passed on to the caller.
        request: id of the request that it answers; empty if it names none.
        is_sealed: whether it bears the target's proof.
        is_not_run: whether the target states that it ran nothing.
        is_other_instance: whether another instance has the address now.
        is_encoded: whether the body isn't the target's own bytes.
    """

    status: int
    headers: RawHeaders
    request: str
    is_sealed: bool
    is_not_run: bool
    is_other_instance: bool
    is_encoded: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Codec:
    """Codec of calls and answers.

    Attributes:
        read_call: decodes an ASGI scope; raises `BadCallError`.
        write_request: encodes a request with its body for a target.
        read_answer: decodes status and headers of a target's answer.
        write_refusal: headers of an own answer, for the call's id and the
            seconds after which to come back, if any.
    """

    read_call: Callable[[Scope], Call]
    write_request: Callable[[Call, RoutingInfo, bytes], bytes]
    read_answer: Callable[[int, RawHeaders], Answer]
    write_refusal: Callable[[str, float | None], RawHeaders]


class BadCallError(ValueError):
    """A caller's request head that can't be understood."""
