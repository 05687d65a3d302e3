"""Configuration of forwarding: routes, services, limits and API keys.

A new version replaces the whole configuration. `LatestConfiguration` keeps the
newest version, so a process never goes back to an older one.
"""

import dataclasses
import enum
import functools

from lentilbeam_core import ids


class RouteKind(enum.Enum):
    """Kind of a route's requests, which decides whether they may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True, slots=True)
class PoolWeight:
    """A pool and its weight in a route's traffic split.

    Attributes:
        pool: the pool.
        weight: its part of the route's requests is this weight divided by
            the sum of the weights of the route's pools.
    """

    pool: ids.PoolId
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Rules for the requests of one host and path prefix.

    Attributes:
        name: the operator's name of the route.
        host: value of the `Host` header without a port, in lower case.
        path_prefix: begins and ends with a slash.
        kind: whether the requests are idempotent or answered by a stream.
        timeout_s: maximum time until the answer is complete, in seconds.
        goal_s: response-time goal in seconds; for streams, the time until the
            first event.
        gap_goal_s: goal for the time between two events, in seconds.
        pool_weights: pools that get the requests, with their weights.
        attempts: maximum number of targets that one request is sent to.
        is_public: whether requests need no API key.
        is_resumable: whether a stream that breaks off may be resumed at
            another target.
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
        """Whether a request may be sent again if it may already have run."""
        if self.kind is RouteKind.STREAMING:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """Capacity of each target in a pool of model engines.

    Attributes:
        slots: maximum number of requests that run concurrently.
        cache_tokens: size of the KV cache, in tokens.
        event_tokens: output tokens in each event of a stream; 0 if unknown.
    """

    slots: int
    cache_tokens: int
    event_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """The targets of one service, which has the same name as the pool.

    Attributes:
        name: the operator's name of the service.
        max_connections: maximum number of connections that one target
            accepts from all routers together.
        engine: capacity of each model engine; None for plain services.
        cold_start_s: how long a target is cold (slow) after a start during
            traffic, in seconds; 0 if it never is.
        cold_per_s: requests per second that a cold target takes from all
            routers together; 0 if cold targets are treated like others.
    """

    name: ids.PoolId
    max_connections: int
    engine: Engine | None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on requests, and the guaranteed throughput.

    Attributes:
        max_header_bytes: maximum size of a request head.
        max_body_bytes: maximum size of a request body.
        header_timeout_s: longest time from the first byte of a head to its
            last one, in seconds.
        idle_timeout_s: time for which callers may keep an idle connection, in
            seconds; the router closes it later.
        tokens_per_s: throughput of all engines together that the operators
            guarantee, in cost units per second (see `requests.estimate_cost`);
            0 if unknown.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 15.0
    tokens_per_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version of the operators' configuration.

    Attributes:
        version: increases with each change, not always by one.
        routes: all routes.
        pools: all pools, by name.
        limits: limits on requests, and the guaranteed throughput.
        workspaces: the workspace that each API key belongs to.
        requires_api_key: whether requests of routes that aren't public need
            an API key. Independent of `workspaces`, which is empty once the
            last key has been revoked.
    """

    version: int
    routes: tuple[Route, ...]
    pools: dict[ids.PoolId, Pool]
    limits: Limits
    workspaces: dict[str, ids.WorkspaceId]
    requires_api_key: bool

    @functools.cached_property
    def routes_by_prefix(self) -> dict[tuple[str, str], Route]:
        """Routes by host and path prefix."""
        return {(r.host, r.path_prefix): r for r in self.routes}

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route whose path prefix is the longest match, or None.

        Args:
            host: value of the `Host` header without a port, in lower case.
            path: path of the request.
        """
        end = path.rfind("/")
        while end >= 0:
            route = self.routes_by_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


class LatestConfiguration:
    """Keeps the newest configuration version received.

    Attributes:
        current: the newest configuration; None before the first one.
    """

    def __init__(self):
        self.current: Configuration | None = None

    def offer(self, candidate: Configuration) -> bool:
        """Makes `candidate` the current configuration if its version is newer.

        Returns:
            Whether it was newer.
        """
        if (
            self.current is not None
            and candidate.version <= self.current.version
        ):
            return False
        self.current = candidate
        return True


def choose_pool(route: Route, random_fraction: float) -> ids.PoolId:
    """Chooses a pool in proportion to the weights of the route's pools.

    Args:
        route: the route of the request.
        random_fraction: random number in [0, 1).
    """
    point = random_fraction * sum(
        pool_weight.weight for pool_weight in route.pool_weights
    )
    for pool_weight in route.pool_weights:
        point -= pool_weight.weight
        if point < 0:
            return pool_weight.pool
    return route.pool_weights[-1].pool
