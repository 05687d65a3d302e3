"""Typed entries of the catalogue that operators edit.

All limits hold for the whole fleet. A limit of `None` means unlimited.
"""

import dataclasses
import enum

from lentilbeam_core import ids


class ServiceKind(enum.Enum):
    """What stands behind a pool."""

    MODEL = "model"  # Cost in tokens, answers may stream.
    PLAIN = "plain"  # Cost in milliseconds of busy time.


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceClass:
    """A class of workspaces; shares are proportional to `weight`."""

    name: ids.ClassId
    owner: str
    weight: float
    version: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Fleet-wide limits of one workspace in one pool."""

    concurrency: int | None = None
    rate_per_s: float | None = None
    queue_length: int = 64
    largest_request: float = 4096.0
    """Highest accepted cost hint, in units of the pool's cost."""


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A customer's workspace."""

    name: ids.WorkspaceId
    owner: str
    class_name: ids.ClassId
    limits: Limits
    version: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """One back end of a pool; `slots` requests run on it at a time."""

    name: ids.TargetId
    url: str
    data_centre: ids.DataCentreId
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """A service and the targets that serve it.

    Calls that are not listed in `idempotent_calls` must not be repeated.
    """

    name: ids.PoolId
    owner: str
    kind: ServiceKind
    targets: tuple[Target, ...]
    idempotent_calls: frozenset[str] = frozenset()
    version: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Catalogue:
    """All entries in force, by name."""

    classes: dict[ids.ClassId, WorkspaceClass]
    workspaces: dict[ids.WorkspaceId, Workspace]
    pools: dict[ids.PoolId, Pool]

    def weight(self, workspace: ids.WorkspaceId) -> float:
        """Returns the weight of the workspace's class."""
        return self.classes[self.workspaces[workspace].class_name].weight


EMPTY = Catalogue(classes={}, workspaces={}, pools={})
