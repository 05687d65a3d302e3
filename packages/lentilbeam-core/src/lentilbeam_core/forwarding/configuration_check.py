"""Finds what is wrong with a configuration before it is put in force.

Routers accept a configuration whole or not at all. Most mistakes are therefore
not visible to them: a route that can never match is as valid as any other.
"""

import collections
from collections.abc import Iterator
import dataclasses
import enum

from lentilbeam_core import ids
from lentilbeam_core.forwarding import configuration as configuration_lib

MIN_GOAL_S = 0.01
"""Shortest response-time goal that can be met, in seconds: a round trip to a
target in another data centre takes about 9 ms."""


class Severity(enum.Enum):
    """How bad a finding is; the worst come first."""

    ERROR = "error"  # Routers reject it, or requests fail because of it.
    NEVER_USED = "never used"  # An entry that has no effect.
    CONTRADICTION = "contradiction"  # Limits that can't both be used.


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """Something that is wrong with a configuration.

    Attributes:
        severity: how bad it is.
        place: what it is about, for example "route chat".
        message: what is wrong, and what follows from it.
    """

    severity: Severity
    place: str
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A configuration that is to be put in force.

    Attributes:
        configuration: as routers decode it.
        api_keys: the API keys of each workspace, in the order of the file.
            The decoded configuration has one workspace for each key, so it
            doesn't show keys that are given twice.
    """

    configuration: configuration_lib.Configuration
    api_keys: tuple[tuple[ids.WorkspaceId, tuple[str, ...]], ...]


def check(
    candidate: Candidate,
    in_force: configuration_lib.Configuration | None = None,
) -> list[Finding]:
    """Returns all findings about a configuration, the worst first.

    Args:
        candidate: the configuration.
        in_force: the version that it will replace; None if unknown.
    """
    found = [
        *_check_version(candidate.configuration, in_force),
        *_check_routes(candidate.configuration),
        *_check_pools(candidate.configuration),
        *_check_limits(candidate.configuration.limits),
        *_check_workspaces(candidate),
    ]
    order = list(Severity)
    return sorted(found, key=lambda finding: order.index(finding.severity))


def _check_version(
    candidate: configuration_lib.Configuration,
    in_force: configuration_lib.Configuration | None,
) -> Iterator[Finding]:
    if in_force is not None and candidate.version <= in_force.version:
        yield Finding(
            Severity.ERROR,
            "version",
            f"{candidate.version} is not above {in_force.version}, which is in"
            " force; routers ignore the configuration",
        )


def _check_routes(
    candidate: configuration_lib.Configuration,
) -> Iterator[Finding]:
    last = {(r.host, r.path_prefix): r for r in candidate.routes}
    names = collections.Counter(route.name for route in candidate.routes)
    for name, count in names.items():
        if count > 1:
            yield Finding(
                Severity.ERROR,
                f"route {name}",
                f"{count} routes have this name; logs and metrics can't tell"
                " them apart",
            )
    for route in candidate.routes:
        place = f"route {route.name}"
        other = last[route.host, route.path_prefix]
        if other is not route:
            yield Finding(
                Severity.NEVER_USED,
                place,
                f"route {other.name} has the same host and path prefix and"
                " follows it",
            )
        yield from _check_match(route, place)
        yield from _check_weights(route, place, candidate)
        yield from _check_times(route, place)


def _check_match(
    route: configuration_lib.Route, place: str
) -> Iterator[Finding]:
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        yield Finding(
            Severity.NEVER_USED,
            place,
            f"path prefix {prefix!r} does not begin and end with a slash, so"
            " no path matches it",
        )
    if not route.host or ":" in route.host or "/" in route.host:
        yield Finding(
            Severity.NEVER_USED,
            place,
            f"host {route.host!r} is no host name without a port, so no"
            " request matches it",
        )


def _check_weights(
    route: configuration_lib.Route,
    place: str,
    candidate: configuration_lib.Configuration,
) -> Iterator[Finding]:
    weights = route.pool_weights
    for each in weights:
        if each.pool not in candidate.pools:
            yield Finding(
                Severity.ERROR,
                place,
                f"pool {each.pool} does not exist; requests that get it fail",
            )
        if each.weight < 0:
            yield Finding(
                Severity.ERROR, place, f"weight of pool {each.pool} is negative"
            )
        if each.weight == 0 and len(weights) > 1:
            yield Finding(
                Severity.NEVER_USED, place, f"weight of pool {each.pool} is 0"
            )
    if sum(each.weight for each in weights) <= 0:
        yield Finding(
            Severity.ERROR,
            place,
            "the weights of its pools add up to nothing, so all requests go to"
            f" the last one, {weights[-1].pool}",
        )


def _check_times(
    route: configuration_lib.Route, place: str
) -> Iterator[Finding]:
    def contradict(message: str) -> Finding:
        return Finding(Severity.CONTRADICTION, place, message)

    if route.timeout_s <= 0:
        yield Finding(Severity.ERROR, place, "the time-out is not above 0 ms")
    elif route.goal_s > route.timeout_s:
        yield contradict(
            f"the goal of {_format_ms(route.goal_s)} is longer than the"
            f" time-out of {_format_ms(route.timeout_s)}"
        )
    if route.goal_s < MIN_GOAL_S:
        yield contradict(
            f"the goal of {_format_ms(route.goal_s)} is shorter than a round"
            " trip to a target"
        )
    is_stream = route.kind is configuration_lib.RouteKind.STREAMING
    if is_stream and route.gap_goal_s > route.timeout_s > 0:
        yield contradict(
            f"the pause goal of {_format_ms(route.gap_goal_s)} is longer than"
            f" the time-out of {_format_ms(route.timeout_s)}"
        )
    if route.is_resumable and not is_stream:
        yield Finding(
            Severity.NEVER_USED,
            place,
            "it is resumable, but its answers are no streams",
        )
    if route.attempts < 1:
        yield Finding(
            Severity.ERROR,
            place,
            f"{route.attempts} attempts: requests may not be sent at all",
        )


def _check_pools(
    candidate: configuration_lib.Configuration,
) -> Iterator[Finding]:
    used = {
        each.pool for route in candidate.routes for each in route.pool_weights
    }
    for pool in candidate.pools.values():
        place = f"pool {pool.name}"
        if pool.name not in used:
            yield Finding(Severity.NEVER_USED, place, "no route leads to it")
        if pool.cold_start_s > 0 and pool.cold_per_s <= 0:
            yield Finding(
                Severity.CONTRADICTION,
                place,
                f"its targets are cold for {pool.cold_start_s:g} s, but the"
                " rate of cold targets is 0, so they are treated like warm"
                " ones",
            )
        engine = pool.engine
        if engine is None:
            continue
        if engine.slots < 1 or engine.cache_tokens < 1:
            yield Finding(
                Severity.ERROR,
                place,
                f"its engines have {engine.slots} slots and memory for"
                f" {engine.cache_tokens} tokens, so they can run nothing",
            )
        if 0 < pool.max_connections < engine.slots:
            yield Finding(
                Severity.CONTRADICTION,
                place,
                f"{pool.max_connections} connections are fewer than"
                f" {engine.slots} slots, and each request takes a connection",
            )


def _check_limits(limits: configuration_lib.Limits) -> Iterator[Finding]:
    for name, value in (
        ("the largest request body", limits.max_body_bytes),
        ("the largest request head", limits.max_header_bytes),
        ("the idle time-out", limits.idle_timeout_s),
    ):
        if value <= 0:
            yield Finding(
                Severity.CONTRADICTION, "limits", f"{name} is not above 0"
            )
    if limits.tokens_per_s < 0:
        yield Finding(
            Severity.ERROR, "limits", "the guaranteed throughput is negative"
        )


def _check_workspaces(candidate: Candidate) -> Iterator[Finding]:
    holders: dict[str, ids.WorkspaceId] = {}
    for workspace, keys in candidate.api_keys:
        place = f"workspace {workspace}"
        if not keys:
            yield Finding(
                Severity.NEVER_USED, place, "it has no API key, so no requests"
            )
        for number, key in enumerate(keys, start=1):
            if not key:
                yield Finding(Severity.ERROR, place, f"key {number} is empty")
            elif key in holders:
                yield Finding(
                    Severity.ERROR,
                    place,
                    f"key {number} is also a key of workspace {holders[key]};"
                    f" its requests count for {workspace}",
                )
            holders[key] = workspace
    names = collections.Counter(name for name, _ in candidate.api_keys)
    for name, count in names.items():
        if count > 1:
            yield Finding(
                Severity.CONTRADICTION,
                f"workspace {name}",
                f"it is listed {count} times",
            )


def _format_ms(seconds: float) -> str:
    return f"{seconds * 1000:g} ms"
