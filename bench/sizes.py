"""Sizes, catalogues and data centres of the simulated fleets.

Each size models the fleet of one user.
"""

import dataclasses

from lentilbeam_core import catalogue as catalogue_lib
from lentilbeam_core import ids

POOL = ids.PoolId("assistant")
CALL = "generate"
SLOTS_PER_TARGET = 8
TOKENS_PER_S = 425.0
"""Tokens that one slot serves per second."""

DATA_CENTRES = tuple(ids.DataCentreId(name) for name in ("dc1", "dc2", "dc3"))
ROUTER_COUNT = 7
WORKSPACE_COUNT = 16
LARGE_WORKSPACE_COUNT = 3
LARGE_WEIGHT = 3.0
LIMITED_WORKSPACES = (2, 10)
"""Indexes of the workspaces that get a scenario's concurrency limit."""

SMALL = ids.ClassId("small")
LARGE = ids.ClassId("large")


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSize:
    """Size of one user's fleet.

    Attributes:
        name: name of the user.
        targets: number of targets.
        cross_centre_delay_s: one-way delay between data centres, in seconds.
    """

    name: str
    targets: int
    cross_centre_delay_s: float

    @property
    def slots(self) -> int:
        """Total number of slots of all targets."""
        return self.targets * SLOTS_PER_TARGET


SIZES = {
    size.name: size
    for size in (
        FleetSize("kettleford", targets=6, cross_centre_delay_s=0.0035),
        FleetSize("golfslag", targets=5, cross_centre_delay_s=0.004),
    )
}


def get_routers() -> dict[ids.InstanceId, ids.DataCentreId]:
    """Returns the data centre of each router."""
    return {
        ids.InstanceId(f"router{i + 1}"): DATA_CENTRES[i % len(DATA_CENTRES)]
        for i in range(ROUTER_COUNT)
    }


def get_weights() -> dict[ids.WorkspaceId, float]:
    """Returns the weight of each workspace; the first have large weights."""
    return {
        ids.WorkspaceId(f"ws{i + 1:02}"): (
            LARGE_WEIGHT if i < LARGE_WORKSPACE_COUNT else 1.0
        )
        for i in range(WORKSPACE_COUNT)
    }


def make_catalogue(
    size: FleetSize, max_cost: float, concurrency: int | None
) -> catalogue_lib.Catalogue:
    """Returns the catalogue of the fleet.

    Args:
        size: the fleet.
        max_cost: highest accepted cost hint, in tokens.
        concurrency: concurrency limit of the limited workspaces; None for no
            limit.
    """
    unlimited = catalogue_lib.Limits(largest_request=max_cost)
    limited = dataclasses.replace(unlimited, concurrency=concurrency)
    classes = {
        SMALL: catalogue_lib.WorkspaceClass(SMALL, "operator", 1.0),
        LARGE: catalogue_lib.WorkspaceClass(LARGE, "operator", LARGE_WEIGHT),
    }
    workspaces = {
        name: catalogue_lib.Workspace(
            name,
            "operator",
            SMALL if weight == 1.0 else LARGE,
            limited if index in LIMITED_WORKSPACES else unlimited,
        )
        for index, (name, weight) in enumerate(get_weights().items())
    }
    pool = catalogue_lib.Pool(
        name=POOL,
        owner="operator",
        kind=catalogue_lib.ServiceKind.MODEL,
        targets=tuple(_make_target(i) for i in range(size.targets)),
        idempotent_calls=frozenset({CALL}),
    )
    return catalogue_lib.Catalogue(classes, workspaces, {POOL: pool})


def _make_target(index: int) -> catalogue_lib.Target:
    return catalogue_lib.Target(
        name=ids.TargetId(f"engine{index + 1}"),
        url=f"http://192.0.2.{index + 1}:8000",
        data_centre=DATA_CENTRES[index % len(DATA_CENTRES)],
        slots=SLOTS_PER_TARGET,
    )
