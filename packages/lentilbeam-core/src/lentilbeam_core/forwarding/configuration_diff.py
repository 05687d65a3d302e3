"""What differs between two configurations, and what that does to traffic."""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import enum
from typing import Any

from lentilbeam_core import ids
from lentilbeam_core.forwarding import configuration


class Change(enum.Enum):
    """How an entry differs."""

    ADDED = "+"
    REMOVED = "-"
    CHANGED = "~"


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """One entry that differs.

    Attributes:
        change: how it differs.
        place: what it is, for example "route chat".
        detail: fields that changed, and what follows for requests.
        moved_requests: fraction of the requests that a log has which get
            another pool or none any more; None if that is unknown.
    """

    change: Change
    place: str
    detail: str
    moved_requests: float | None = None


def compare(
    old: configuration.Configuration,
    new: configuration.Configuration,
    requests_by_route: Mapping[str, int] | None = None,
) -> list[Difference]:
    """Returns all differences: routes, pools, workspaces, limits.

    Args:
        old: the version in force.
        new: the version that is to replace it.
        requests_by_route: number of requests for each route of the version in
            force, by name; None if there is no log of them.
    """
    return [
        *_compare_routes(old, new, requests_by_route),
        *_compare_named("pool", old.pools, new.pools),
        *_compare_workspaces(old, new),
        *_compare_fields("limits", old.limits, new.limits),
    ]


def find_moved_fraction(
    old: configuration.Route, new: configuration.Route | None
) -> float:
    """Returns the fraction of a route's requests that get another pool.

    Args:
        old: the route in force.
        new: the same route in the next version; None if it has none.
    """
    if new is None:
        return 1.0
    before = _compute_fractions(old)
    after = _compute_fractions(new)
    return sum(max(part - after.get(p, 0.0), 0.0) for p, part in before.items())


def _compute_fractions(
    route: configuration.Route,
) -> dict[ids.PoolId, float]:
    total = sum(each.weight for each in route.pool_weights)
    if total <= 0:
        return {route.pool_weights[-1].pool: 1.0}
    fractions: dict[ids.PoolId, float] = {}
    for each in route.pool_weights:
        part = each.weight / total
        fractions[each.pool] = fractions.get(each.pool, 0.0) + part
    return fractions


def _compare_routes(
    old: configuration.Configuration,
    new: configuration.Configuration,
    requests_by_route: Mapping[str, int] | None,
) -> Iterator[Difference]:
    before = {route.name: route for route in old.routes}
    after = {route.name: route for route in new.routes}
    total = sum((requests_by_route or {}).values())
    for found in _compare_named("route", before, after):
        name = found.place.removeprefix("route ")
        if name not in before:
            yield found
            continue
        moved = find_moved_fraction(before[name], after.get(name))
        detail = found.detail
        if name not in after:
            detail = "requests for it are not found any more"
        elif moved:
            detail += f"; {moved:.0%} of its requests get another pool"
        share = None
        if total:
            share = moved * requests_by_route.get(name, 0) / total
        yield dataclasses.replace(found, detail=detail, moved_requests=share)


def _compare_named(
    kind: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterator[Difference]:
    for name in sorted(before.keys() | after.keys()):
        place = f"{kind} {name}"
        if name not in after:
            yield Difference(Change.REMOVED, place, "")
        elif name not in before:
            yield Difference(Change.ADDED, place, "")
        else:
            yield from _compare_fields(place, before[name], after[name])


def _compare_fields(
    place: str, before: Any, after: Any
) -> Iterator[Difference]:
    changed = [
        f"{field.name} {_format(old)} -> {_format(new)}"
        for field in dataclasses.fields(before)
        if (old := getattr(before, field.name))
        != (new := getattr(after, field.name))
    ]
    if changed:
        yield Difference(Change.CHANGED, place, ", ".join(changed))


def _compare_workspaces(
    old: configuration.Configuration, new: configuration.Configuration
) -> Iterator[Difference]:
    """Compares API keys; the keys themselves are secret and not shown."""
    if old.requires_api_key != new.requires_api_key:
        detail = "no requests need an API key any more"
        if new.requires_api_key:
            detail = "requests without a known API key are refused"
        yield Difference(Change.CHANGED, "API keys", detail)
    before = _collect_keys(old)
    after = _collect_keys(new)
    for name in sorted(before.keys() | after.keys()):
        added = len(after.get(name, set()) - before.get(name, set()))
        removed = len(before.get(name, set()) - after.get(name, set()))
        place = f"workspace {name}"
        if name not in after:
            yield Difference(Change.REMOVED, place, "its requests are refused")
        elif name not in before:
            yield Difference(Change.ADDED, place, f"{added} keys")
        elif added or removed:
            yield Difference(
                Change.CHANGED,
                place,
                f"{added} keys added, {removed} removed; requests with a"
                " removed key are refused",
            )


def _collect_keys(
    version: configuration.Configuration,
) -> dict[ids.WorkspaceId, set[str]]:
    keys: dict[ids.WorkspaceId, set[str]] = {}
    for key, workspace in version.workspaces.items():
        keys.setdefault(workspace, set()).add(key)
    return keys


def _format(value: Any) -> str:
    if isinstance(value, enum.Enum):
        return str(value.value)
    if isinstance(value, tuple):
        return "[" + ", ".join(map(_format, value)) + "]"
    if isinstance(value, configuration.PoolWeight):
        return f"{value.pool} {value.weight:g}"
    return str(value)
