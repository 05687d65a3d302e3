"""Configuration of forwarding: routes, services, limits and API keys.

A configuration is replaced as a whole by the next version. `Follower` keeps
the newest one, so that a version never goes back within a process.
"""

import dataclasses
import enum
import functools

from lentilbeam_core import ids


class RouteKind(enum.Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True, slots=True)
class PoolWeight:
    """A pool that gets a part of a route's requests, by weight."""

    pool: ids.PoolId
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host and path prefix, and how they are treated.

    Attributes:
        name: the operator's name of the route.
        host: value of the `Host` header without a port, in lower case.
        path_prefix: begins and ends with a slash.
        kind: what may be repeated.
        timeout_s: longest time until the final answer.
        goal_s: response-time goal; of streams, until the first event.
        gap_goal_s: longest pause between events that is still in time.
        shares: where the requests go.
        attempts: largest number of targets one request is sent to.
        is_public: whether requests carry no API key.
        is_resumable: whether a broken stream may go on at another target.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    goal_s: float
    gap_goal_s: float
    pool_weights: tuple[PoolWeight, ...]
    attempts: int
    is_public: bool
    is_resumable: bool

    @property
    def is_retryable(self) -> bool:
        """Whether a request that may have run can be sent once more."""
        if self.kind is RouteKind.STREAMING:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """What the targets of a pool of model engines can do.

    Attributes:
        slots: requests that run at once.
        cache_tokens: tokens that the KV cache holds.
    """

    slots: int
    cache_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """The targets of one service.

    Attributes:
        name: the operator's name of the service.
        max_connections: connections that a target takes from all routers.
        engine: None for plain services.
    """

    name: ids.PoolId
    max_connections: int
    engine: Engine | None


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what callers send.

    Attributes:
        header_bytes: largest request head.
        body_bytes: largest request body.
        idle_timeout_s: how long callers may keep an idle connection.
        tokens_per_s: what all engines together yield; 0 if unknown.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    idle_timeout_s: float = 15.0
    tokens_per_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version of the operators' configuration.

    Attributes:
        version: grows with each change, in uneven steps.
        routes: all routes.
        pools: by name.
        limits: bounds on what callers send.
        workspaces: the workspace that holds each API key.
    """

    version: int
    routes: tuple[Route, ...]
    pools: dict[ids.PoolId, Pool]
    limits: Limits
    workspaces: dict[str, ids.WorkspaceId]

    @functools.cached_property
    def requires_api_key(self) -> bool:
        """Whether requests of routes that aren't public carry a key."""
        return bool(self.workspaces)

    @functools.cached_property
    def routes_by_prefix(self) -> dict[tuple[str, str], Route]:
        """Routes by host and path prefix."""
        return {(r.host, r.path_prefix): r for r in self.routes}

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of `path`, if any."""
        end = path.rfind("/")
        while end >= 0:
            route = self.routes_by_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


class LatestConfiguration:
    """The newest configuration that was seen."""

    def __init__(self):
        self.current: Configuration | None = None

    def offer(self, found: Configuration) -> bool:
        """Takes `found` if it is newer; returns whether it was taken."""
        if self.current is not None and found.version <= self.current.version:
            return False
        self.current = found
        return True


def choose_pool(route: Route, random_fraction: float) -> ids.PoolId:
    """Returns the pool of a route's request for a draw from [0, 1)."""
    point = random_fraction * sum(share.weight for share in route.pool_weights)
    for share in route.pool_weights:
        point -= share.weight
        if point < 0:
            return share.pool
    return route.pool_weights[-1].pool
