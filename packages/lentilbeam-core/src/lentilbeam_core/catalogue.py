"""Typed entries of the catalogue that operators edit.

Fields that entries of several kinds have in common:

    name: unique among the entries of the kind.
    owner: the operator who may change or delete the entry.
    version: offset of the log record that last changed the entry. An entry
        parsed from JSON has the version stated there, or 0 without one.
    unknown_fields: JSON object with the fields that this release doesn't
        know, as text; empty if there are none.

All limits apply to the whole fleet. A limit of None means unlimited.
"""

import dataclasses
import enum

from lentilbeam_core import ids


class ServiceKind(enum.Enum):
    """The kind of service that a pool's targets provide."""

    MODEL = "model"  # Cost in tokens; answers may be streamed.
    PLAIN = "plain"  # Cost in milliseconds of busy time.


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceClass:
    """A class of workspaces.

    Attributes:
        weight: relative share of capacity of each workspace in the class.
    """

    name: ids.ClassId
    owner: str
    weight: float
    version: int = 1
    unknown_fields: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Fleet-wide limits of one workspace in each pool.

    Attributes:
        concurrency: requests that run at the same time.
        rate_per_s: requests started per second.
        queue_length: requests that wait at the same time.
        largest_request: maximum accepted cost hint, in the pool's cost units.
    """

    concurrency: int | None = None
    rate_per_s: float | None = None
    queue_length: int = 64
    largest_request: float = 4096.0
    unknown_fields: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A customer's workspace.

    Attributes:
        class_name: the class that it belongs to.
        limits: its limits.
    """

    name: ids.WorkspaceId
    owner: str
    class_name: ids.ClassId
    limits: Limits
    version: int = 1
    unknown_fields: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """One back end of a pool.

    Attributes:
        url: base URL of its HTTP interface.
        data_centre: where it runs.
        slots: maximum number of requests that run on it at the same time.
    """

    name: ids.TargetId
    url: str
    data_centre: ids.DataCentreId
    slots: int
    unknown_fields: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """A service and the targets that serve it.

    Attributes:
        kind: kind of the service.
        targets: the targets.
        idempotent_calls: calls that may be repeated; all others must run at
            most once.
    """

    name: ids.PoolId
    owner: str
    kind: ServiceKind
    targets: tuple[Target, ...]
    idempotent_calls: frozenset[str] = frozenset()
    version: int = 1
    unknown_fields: str = ""


Entry = WorkspaceClass | Workspace | Pool


class EntryKind(enum.Enum):
    """The kinds of catalogue entries."""

    CLASS = "class"
    WORKSPACE = "workspace"
    POOL = "pool"


@dataclasses.dataclass(frozen=True, slots=True)
class EntryKey:
    """Identifies an entry: names are unique within a kind."""

    kind: EntryKind
    name: str

    def __str__(self) -> str:
        """Returns the kind and the name, for messages."""
        return f"{self.kind.value} {self.name}"


_KINDS = {
    WorkspaceClass: EntryKind.CLASS,
    Workspace: EntryKind.WORKSPACE,
    Pool: EntryKind.POOL,
}


def get_key(entry: Entry) -> EntryKey:
    """Returns the key of an entry."""
    return EntryKey(_KINDS[type(entry)], entry.name)


@dataclasses.dataclass(frozen=True, slots=True)
class Catalogue:
    """All catalogue entries in force, by kind and name."""

    classes: dict[ids.ClassId, WorkspaceClass]
    workspaces: dict[ids.WorkspaceId, Workspace]
    pools: dict[ids.PoolId, Pool]

    def weight(self, workspace: ids.WorkspaceId) -> float:
        """Returns the weight of the workspace's class.

        Raises:
            KeyError: the catalogue has no such workspace.
        """
        return self.classes[self.workspaces[workspace].class_name].weight

    def entries_by_name(self, kind: EntryKind) -> dict[str, Entry]:
        """Returns all entries of one kind, by name; not a copy."""
        if kind is EntryKind.CLASS:
            return self.classes
        if kind is EntryKind.WORKSPACE:
            return self.workspaces
        return self.pools

    def find(self, key: EntryKey) -> Entry | None:
        """Returns the entry of a key, or None if there is none."""
        return self.entries_by_name(key.kind).get(key.name)

    def entries(self) -> list[Entry]:
        """Returns all classes, workspaces and pools, each sorted by name."""
        return [
            entries_by_name[name]
            for entries_by_name in (self.classes, self.workspaces, self.pools)
            for name in sorted(entries_by_name)
        ]

    def copy(self) -> "Catalogue":
        """Returns a copy that later changes to this catalogue don't affect."""
        return Catalogue(
            dict(self.classes), dict(self.workspaces), dict(self.pools)
        )


EMPTY = Catalogue(classes={}, workspaces={}, pools={})
