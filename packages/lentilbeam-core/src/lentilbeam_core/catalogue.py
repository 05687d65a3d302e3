"""Typed entries of the catalogue that operators edit.

All limits hold for the whole fleet. A limit of `None` means unlimited.
The `version` of an entry is the offset of the log record that last changed
it. `unknown_fields` holds fields that this release does not know, as JSON text.
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
    unknown_fields: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Fleet-wide limits of one workspace in one pool."""

    concurrency: int | None = None
    rate_per_s: float | None = None
    queue_length: int = 64
    largest_request: float = 4096.0
    """Highest accepted cost hint, in units of the pool's cost."""
    unknown_fields: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A customer's workspace."""

    name: ids.WorkspaceId
    owner: str
    class_name: ids.ClassId
    limits: Limits
    version: int = 1
    unknown_fields: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """One back end of a pool; `slots` requests run on it at a time."""

    name: ids.TargetId
    url: str
    data_centre: ids.DataCentreId
    slots: int
    unknown_fields: str = ""


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
    unknown_fields: str = ""


Entry = WorkspaceClass | Workspace | Pool


class EntryKind(enum.Enum):
    """The kinds of entries."""

    CLASS = "class"
    WORKSPACE = "workspace"
    POOL = "pool"


@dataclasses.dataclass(frozen=True, slots=True)
class EntryKey:
    """What names an entry: names are unique within a kind."""

    kind: EntryKind
    name: str

    def __str__(self) -> str:
        """Returns the kind and the name, for people."""
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
    """All entries in force, by name."""

    classes: dict[ids.ClassId, WorkspaceClass]
    workspaces: dict[ids.WorkspaceId, Workspace]
    pools: dict[ids.PoolId, Pool]

    def weight(self, workspace: ids.WorkspaceId) -> float:
        """Returns the weight of the workspace's class."""
        return self.classes[self.workspaces[workspace].class_name].weight

    def entries_by_name(self, kind: EntryKind) -> dict[str, Entry]:
        """Returns the entries of one kind by name."""
        if kind is EntryKind.CLASS:
            return self.classes
        if kind is EntryKind.WORKSPACE:
            return self.workspaces
        return self.pools

    def find(self, key: EntryKey) -> Entry | None:
        """Returns the entry of a key, if there is one."""
        return self.entries_by_name(key.kind).get(key.name)

    def entries(self) -> list[Entry]:
        """Returns all entries: classes, workspaces, pools, each by name."""
        return [
            entries_by_name[name]
            for entries_by_name in (self.classes, self.workspaces, self.pools)
            for name in sorted(entries_by_name)
        ]

    def copy(self) -> "Catalogue":
        """Returns a catalogue that later changes to this one leave alone."""
        return Catalogue(
            dict(self.classes), dict(self.workspaces), dict(self.pools)
        )


EMPTY = Catalogue(classes={}, workspaces={}, pools={})
