"""Forwarded requests, and estimates of their cost and KV cache use."""

import dataclasses

from lentilbeam_core import ids
from lentilbeam_core.forwarding import configuration

OUTPUT_WEIGHT = 2.0
"""Cost of a generated token, in prompt tokens, as the operators define it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """A part of a prompt that other requests may share; the last rarely is.

    Attributes:
        name: identifies the part together with all parts before it.
        tokens: length of the part, without the parts before it.
    """

    name: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """Size and shareable parts of a request to a model engine.

    Attributes:
        tokens: length of the prompt.
        max_output_tokens: maximum length of the answer, in tokens.
        parts: leading parts of the prompt, in order.
        hinted_output_tokens: the caller's estimate of the length of the
            answer, in tokens; None if it gave none.
    """

    tokens: int
    max_output_tokens: int
    parts: tuple[Part, ...] = ()
    hinted_output_tokens: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request of a caller; a caller's own retry is a new request.

    Attributes:
        request_id: request ID that the caller chose.
        workspace: the caller's workspace; empty on public routes.
        route: the route that matches it.
        pool: the pool whose targets may run it.
        arrived_at: earliest time at which its head may have arrived, monotonic
            seconds.
        deadline_at: when the caller's deadline or the route's timeout passes,
            whichever is earlier, monotonic seconds.
        prompt: size of the prompt; None for plain services.
        configuration_version: version of the configuration in force when it
            arrived.
        body_bytes: size of its body.
        unread_s: longest time for which its head may have waited in the socket
            until the router read it, in seconds.
        identity: identity of the whole request, see `request_identity`; empty
            if it has none.
        method: HTTP method.
        stream_key: key of the stream that it begins; None unless callers may
            resume it.
    """

    request_id: str
    workspace: ids.WorkspaceId
    route: configuration.Route
    pool: ids.PoolId
    arrived_at: float
    deadline_at: float
    prompt: Prompt | None
    configuration_version: int
    body_bytes: int = 0
    unread_s: float = 0.0
    identity: str = ""
    method: str = ""
    stream_key: int | None = None

    @property
    def crash_identities(self) -> tuple[str, ...]:
        """What may be told by if the request crashes its target.

        The parts of its prompt that other requests may share, and the whole
        request.
        """
        names = tuple(part.name for part in self.shared_parts)
        return (*names, self.identity) if self.identity else names

    @property
    def shared_parts(self) -> tuple[Part, ...]:
        """The parts of the prompt that other requests may share."""
        return self.prompt.parts[:-1] if self.prompt is not None else ()

    @property
    def goal_at(self) -> float:
        """End of the response-time goal, monotonic seconds."""
        return self.arrived_at + self.route.goal_s


def estimate_cost(request: Request) -> float:
    """Returns the estimated cost in prompt tokens; 1 for plain services."""
    if request.prompt is None:
        return 1.0
    output = request.prompt.max_output_tokens
    return request.prompt.tokens + OUTPUT_WEIGHT * output


def estimate_cache_tokens(request: Request) -> float:
    """Returns the KV cache tokens that a request may use at most.

    0 for plain services.
    """
    if request.prompt is None:
        return 0.0
    return request.prompt.tokens + request.prompt.max_output_tokens
