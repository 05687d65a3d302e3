"""Types of the HTTP codec of request forwarding.

A codec decodes the heads of callers' requests and of targets' responses into
these types, and encodes the requests sent to targets. Forwarding itself knows
no header names.
"""

from collections.abc import Callable
import dataclasses
from typing import Any

from lentilbeam_core import ids
from lentilbeam_core.forwarding import requests
from lentilbeam_core.forwarding import target_list

RawHeaders = tuple[tuple[bytes, bytes], ...]
Scope = dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestHead:
    """The head of a caller's request.

    Attributes:
        request_id: request ID, chosen by the caller.
        host: host name in lower case, without the port.
        method: HTTP method.
        path: undecoded path, without the query.
        query: undecoded query, without the question mark.
        api_key: the caller's API key; None if it sent none.
        deadline_s: how long the caller waits for the response, in seconds;
            None if it set no deadline.
        prompt: size and shared parts of the prompt; None if the request isn't
            for a model engine.
        resume_after: ID of the last event that the caller has received; None
            if it doesn't resume a stream.
        resumes: ID of the request that brought the first event of the stream
            that is resumed; empty if it can't be read, None if it isn't given.
        headers: headers that are forwarded unchanged.
    """

    request_id: str
    host: str
    method: str
    path: str
    query: str
    api_key: str | None
    deadline_s: float | None
    prompt: requests.Prompt | None
    resume_after: int | None
    resumes: str | None
    headers: RawHeaders


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingInfo:
    """Values that the router adds to a request that it forwards.

    Attributes:
        target: ID of the target that must run the request. Any other instance
            at the same address refuses it.
        workspace: workspace of the caller; empty on public routes and if no
            API keys are configured.
        remaining_s: seconds until the deadline; None if there is none.
        fetch_from: address, as host:port, of a target from which to fetch the
            prompt's shared parts; None to compute them.
        resume_after: ID of the last event that the caller has received; None
            to start the stream from its beginning.
    """

    target: ids.TargetId
    workspace: ids.WorkspaceId
    remaining_s: float | None
    fetch_from: str | None
    resume_after: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """The head of a target's response.

    Attributes:
        status: HTTP status.
        headers: headers that are forwarded to the caller.
        request_id: ID of the request that it belongs to; empty if there is
            none.
        is_sealed: whether it carries the response seal, the target's proof
            that the response is its own.
        is_not_run: whether the target states that it did not run the request.
        is_other_instance: whether another instance than the expected one
            responded.
        is_encoded: whether the body has a content encoding.
        media_type: media type of the body in lower case, without parameters;
            empty if there is none.
        is_leaving: whether the target states that it is leaving.
        quiet_s: time for which the target wants no requests from this router,
            in seconds; None if it names none.
        limit_per_s: requests per second that the target takes from all routers
            together; None if it names no limit.
        bad_notices: headers about the target itself that can't be read.
    """

    status: int
    headers: RawHeaders
    request_id: str
    is_sealed: bool
    is_not_run: bool
    is_other_instance: bool
    is_encoded: bool
    media_type: bytes = b""
    is_leaving: bool = False
    quiet_s: float | None = None
    limit_per_s: float | None = None
    bad_notices: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Codec:
    """Functions that decode and encode HTTP messages.

    Attributes:
        decode_request_head: decodes the ASGI scope of a request; raises
            `InvalidRequestHeadError`.
        encode_request: encodes head and body of a request to a target.
        decode_response: decodes status and headers of a target's response.
        encode_process_query: encodes a request with which a target tells when
            its process started.
        decode_process_start: returns that time from the body of the response,
            Unix milliseconds; None if the body doesn't tell it.
        build_own_headers: returns the headers of a response that the router
            itself generates. Its arguments are the request ID and the seconds
            after which the caller may retry, or None.
    """

    decode_request_head: Callable[[Scope], RequestHead]
    encode_request: Callable[[RequestHead, RoutingInfo, bytes], bytes]
    decode_response: Callable[[int, RawHeaders], Response]
    encode_process_query: Callable[[target_list.Entry], bytes]
    decode_process_start: Callable[[bytes], int | None]
    build_own_headers: Callable[[str, float | None], RawHeaders]


class InvalidRequestHeadError(ValueError):
    """The head of a caller's request is invalid."""
