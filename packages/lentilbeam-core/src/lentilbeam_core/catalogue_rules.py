"""Rules that the catalogue must satisfy after a change."""

import collections
from collections.abc import Iterator
import dataclasses
from urllib import parse

from lentilbeam_core import catalogue
from lentilbeam_core import catalogue_state
from lentilbeam_core import findings


@dataclasses.dataclass(frozen=True, slots=True)
class Upsert:
    """A well-formed entry that a change creates or replaces.

    Attributes:
        pointer: JSON pointer to the entry in the change.
        entry: the entry.
    """

    pointer: str
    entry: catalogue.Entry


@dataclasses.dataclass(frozen=True, slots=True)
class LocatedKey:
    """The key of an entry that a change names.

    Attributes:
        pointer: JSON pointer to the entry or key in the change.
        key: the key.
    """

    pointer: str
    key: catalogue.EntryKey


@dataclasses.dataclass(frozen=True, slots=True)
class Edit:
    """The well-formed parts of a change.

    Attributes:
        upserts: the well-formed entries to create or replace.
        deletions: the keys of the entries to delete.
        upserted_keys: keys of all entries to create or replace, including
            malformed entries.
    """

    upserts: tuple[Upsert, ...]
    deletions: tuple[LocatedKey, ...]
    upserted_keys: frozenset[catalogue.EntryKey]


def check_edit(
    state: catalogue_state.State, edit: Edit
) -> Iterator[findings.Finding]:
    """Yields a finding for each rule that the change would break.

    The rules are: the class of each workspace exists, the URL of each target
    is valid, each target is in one pool only, and no class that is in use is
    deleted.
    """
    deleted = {deletion.key for deletion in edit.deletions}
    for upsert in edit.upserts:
        if isinstance(upsert.entry, catalogue.Workspace):
            yield from _check_class(state, edit, deleted, upsert)
        elif isinstance(upsert.entry, catalogue.Pool):
            yield from _check_urls(upsert)
    yield from _check_targets(state, edit, deleted)
    yield from _check_deleted_classes(state, edit)


def _check_class(
    state: catalogue_state.State,
    edit: Edit,
    deleted: set[catalogue.EntryKey],
    upsert: Upsert,
) -> Iterator[findings.Finding]:
    name = upsert.entry.class_name
    key = catalogue.EntryKey(catalogue.EntryKind.CLASS, name)
    if key in edit.upserted_keys:
        return
    if key in deleted or name not in state.catalogue.classes:
        yield findings.Finding(
            findings.join_pointer(upsert.pointer, "class"),
            f"there is no class {name}",
        )


def _check_urls(upsert: Upsert) -> Iterator[findings.Finding]:
    for index, target in enumerate(upsert.entry.targets):
        if not _has_valid_authority(target.url):
            yield findings.Finding(
                findings.join_pointer(upsert.pointer, "targets", index, "url"),
                "has no valid host and port",
            )


def _has_valid_authority(url: str) -> bool:
    """Returns whether the URL has a host and, if it has a port, a valid one."""
    try:
        parts = parse.urlsplit(url)
        return bool(parts.hostname) and parts.port != 0
    except ValueError:
        return False


def _check_targets(
    state: catalogue_state.State,
    edit: Edit,
    deleted: set[catalogue.EntryKey],
) -> Iterator[findings.Finding]:
    changed_pools = {
        key.name for key in edit.upserted_keys | deleted if _is_pool(key)
    }
    new_pools: dict[str, str] = {}
    for upsert in edit.upserts:
        if not isinstance(upsert.entry, catalogue.Pool):
            continue
        for index, target in enumerate(upsert.entry.targets):
            pool = state.get_pool_of_target(target.name)
            if pool in changed_pools:
                pool = None
            pool = new_pools.get(target.name, pool)
            new_pools[target.name] = upsert.entry.name
            if pool is not None:
                yield findings.Finding(
                    findings.join_pointer(
                        upsert.pointer, "targets", index, "name"
                    ),
                    f"target {target.name} is in pool {pool} already",
                )


def _is_pool(key: catalogue.EntryKey) -> bool:
    return key.kind is catalogue.EntryKind.POOL


def _check_deleted_classes(
    state: catalogue_state.State, edit: Edit
) -> Iterator[findings.Finding]:
    deletions = [
        deletion
        for deletion in edit.deletions
        if deletion.key.kind is catalogue.EntryKind.CLASS
    ]
    if not deletions:
        return
    keys = edit.upserted_keys | {deletion.key for deletion in edit.deletions}
    # Workspaces that the change replaces or deletes don't count as uses. If a
    # replaced one stays in the deleted class, `_check_class` reports it.
    changed_counts_by_class = collections.Counter(
        entry.class_name
        for entry in catalogue_state.find_entries(state, keys)
        if isinstance(entry, catalogue.Workspace)
    )
    for deletion in deletions:
        name = deletion.key.name
        uses = state.count_workspaces(name) - changed_counts_by_class[name]
        if uses > 0:
            yield findings.Finding(
                deletion.pointer, f"class {name} has {uses} workspaces"
            )
