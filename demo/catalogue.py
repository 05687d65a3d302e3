"""The demonstration's catalogue: 16 workspaces in two classes, two pools."""

import dataclasses
from typing import Any

from demo import request_specs

OWNER = "demo"
LARGEST_REQUEST_TOKENS = 4096.0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSpec:
    """A target of a pool, as the catalogue lists it.

    Attributes:
        name: name of the target.
        url: URL at which routers reach it.
        data_centre: name of its data centre.
        slots: number of requests that it runs concurrently.
    """

    name: str
    url: str
    data_centre: str
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceSpec:
    """A workspace and its load.

    Attributes:
        name: name of the workspace.
        class_name: name of its class.
        weight: weight of its class in fair sharing.
        loops: number of concurrent requests to model engines.
        is_backlogged: whether these are more than its fair share can serve,
            so that it always has requests waiting.
        queue_length: largest number of waiting requests.
    """

    name: str
    class_name: str
    weight: float
    loops: int
    is_backlogged: bool
    queue_length: int = 64


CLASSES = {"studio": 1.0, "chain": 2.0}
"""Weights of the classes."""
LIGHT_LOOPS = 1
BACKLOGGED_LOOPS = {"studio": 3, "chain": 6}
FLOOD_LOOPS = 24
FLOODING_WORKSPACE = "waxford"
"""Workspace that sends far more requests than the others."""
LIGHT_WORKSPACES = ("ashby", "birchrow", "cove", "duneside")
STUDIO_WORKSPACES = (
    "elmfield",
    "fairlawn",
    "greyholm",
    "harbour",
    "inverleith",
    "juniper",
    "kelpstrand",
    FLOODING_WORKSPACE,
)
CHAIN_WORKSPACES = ("lakeshore", "marram", "northlinks", "oystercatcher")


def list_workspaces() -> list[WorkspaceSpec]:
    """Returns the light and the backlogged workspaces with their loads."""
    small = [
        WorkspaceSpec(name, "studio", CLASSES["studio"], LIGHT_LOOPS, False)
        for name in LIGHT_WORKSPACES
    ]
    backlogged = [
        WorkspaceSpec(
            name=name,
            class_name=class_name,
            weight=CLASSES[class_name],
            loops=(
                FLOOD_LOOPS
                if name == FLOODING_WORKSPACE
                else BACKLOGGED_LOOPS[class_name]
            ),
            is_backlogged=True,
        )
        for class_name, names in (
            ("studio", STUDIO_WORKSPACES),
            ("chain", CHAIN_WORKSPACES),
        )
        for name in names
    ]
    return small + backlogged


def build_entries(
    workspaces: list[WorkspaceSpec],
    engines: list[TargetSpec],
    bookings: list[TargetSpec],
) -> list[dict[str, Any]]:
    """Returns the catalogue's entries as JSON objects.

    Args:
        workspaces: the workspaces.
        engines: targets of the model pool.
        bookings: targets of the bookings pool.
    """
    classes = [
        {"kind": "class", "name": name, "owner": OWNER, "weight": weight}
        for name, weight in CLASSES.items()
    ]
    members = [
        {
            "kind": "workspace",
            "name": each.name,
            "owner": OWNER,
            "class": each.class_name,
            "limits": {
                "queue_length": each.queue_length,
                "largest_request": LARGEST_REQUEST_TOKENS,
            },
        }
        for each in workspaces
    ]
    pools = [
        _build_pool(
            request_specs.ASSISTANT_POOL, "model", engines, ["generate"]
        ),
        _build_pool(request_specs.BOOKINGS_POOL, "plain", bookings, ["lookup"]),
    ]
    return [*classes, *members, *pools]


def _build_pool(
    name: str, service: str, targets: list[TargetSpec], calls: list[str]
) -> dict[str, Any]:
    return {
        "kind": "pool",
        "name": name,
        "owner": OWNER,
        "service": service,
        "targets": [dataclasses.asdict(target) for target in targets],
        "idempotent_calls": calls,
    }
