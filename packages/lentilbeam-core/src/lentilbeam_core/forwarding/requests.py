"""A request that is forwarded as it is."""

import dataclasses

from lentilbeam_core import ids
from lentilbeam_core.forwarding import configuration

OUTPUT_WEIGHT = 2.0
"""Cost of a generated token, in tokens read; the users count it so."""


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """A part of a prompt that other requests may share.

    Attributes:
        name: identifies the part together with all parts before it.
        tokens: its length.
    """

    name: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """What a request tells an engine of its size.

    Attributes:
        tokens: length of the prompt.
        max_output_tokens: bound of the answer.
        parts: leading parts of the prompt, in order.
    """

    tokens: int
    max_output_tokens: int
    parts: tuple[Part, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One attempt of a caller.

    Attributes:
        name: the caller's id of this attempt.
        workspace: whose request it is; empty on public routes.
        route: the route that it matched.
        pool: where it is to run.
        arrived_at: when its head was read, monotonic seconds.
        ends_at: when the caller or the route's timeout ends it.
        prompt: None for plain services.
        configuration_version: the configuration that admitted it.
    """

    name: str
    workspace: ids.WorkspaceId
    route: configuration.Route
    pool: ids.PoolId
    arrived_at: float
    deadline_at: float
    prompt: Prompt | None
    configuration_version: int

    @property
    def goal_at(self) -> float:
        """When the response-time goal passes."""
        return self.arrived_at + self.route.goal_s


def estimate_cost(request: Request) -> float:
    """Returns the expected cost in tokens; 1 for plain services."""
    if request.prompt is None:
        return 1.0
    output = request.prompt.max_output_tokens
    return request.prompt.tokens + OUTPUT_WEIGHT * output


def estimate_memory(request: Request) -> float:
    """Returns the tokens that a running request takes in a KV cache."""
    if request.prompt is None:
        return 0.0
    return request.prompt.tokens + request.prompt.max_output_tokens
