"""State of the evaluation of the catalogue's log stream."""

import collections
from collections.abc import Iterable

import sortedcontainers

from lentilbeam_core import catalogue
from lentilbeam_core import catalogue_change
from lentilbeam_core import ids

MAX_VERDICTS = 4096
"""Maximum number of verdicts; those with the lowest ids are evicted."""
MAX_TOMBSTONES = 1024
"""Maximum number of tombstones; the oldest are evicted.

Tombstones let an operator whose change was rejected because an entry had been
deleted learn which change deleted it.
"""
NO_CHANGE_ID = catalogue_change.ChangeId("")


class State:
    """The result of evaluating the log up to and including `offset`.

    Attributes:
        catalogue: the entries in force.
        offset: offset of the last record applied; 0 before the first.
        verdicts: verdicts by change id, sorted by id.
        newest_evicted_id: highest change id whose verdict was evicted. A
            change with this or a lower id and no verdict may be a repeated
            one, so it is rejected.
        tombstones: offset of the record that deleted the entry, by key.
    """

    def __init__(self) -> None:
        self.catalogue = catalogue.EMPTY.copy()
        self.offset = ids.Offset(0)
        self.verdicts = sortedcontainers.SortedDict()
        self.newest_evicted_id = NO_CHANGE_ID
        self.tombstones: dict[catalogue.EntryKey, ids.Offset] = {}
        self._change_ids_by_offset: dict[
            ids.Offset, catalogue_change.ChangeId
        ] = {}
        self._workspace_counts: collections.Counter[str] = collections.Counter()
        self._target_pools: dict[ids.TargetId, ids.PoolId] = {}

    def version(self, key: catalogue.EntryKey) -> int:
        """Returns the version of an entry; 0 if there is none."""
        entry = self.catalogue.find(key)
        return entry.version if entry else 0

    def get_last_change(self, key: catalogue.EntryKey) -> ids.Offset:
        """Returns the offset of the record that last changed an entry.

        A deletion is a change too. 0 if no change of the entry is known.
        """
        version = self.version(key) or self.tombstones.get(key, 0)
        return ids.Offset(version)

    def get_winner(self, offset: ids.Offset) -> catalogue_change.Winner:
        """Returns the accepted change at `offset` as the winner of a race.

        Id and operator are None if the change's verdict was evicted.
        """
        change_id = self._change_ids_by_offset.get(offset)
        if change_id is None:
            return catalogue_change.Winner(offset)
        operator = self.verdicts[change_id].operator
        return catalogue_change.Winner(offset, change_id, operator)

    def count_workspaces(self, name: str) -> int:
        """Returns the number of workspaces in the class `name`."""
        return self._workspace_counts[name]

    def get_pool_of_target(self, name: ids.TargetId) -> ids.PoolId | None:
        """Returns the pool of a target, or None if no pool has it."""
        return self._target_pools.get(name)

    def put(self, entry: catalogue.Entry) -> None:
        """Adds an entry, or replaces the one with the same key."""
        key = catalogue.get_key(entry)
        self._unindex(key)
        self.tombstones.pop(key, None)
        self.catalogue.entries_by_name(key.kind)[entry.name] = entry
        if isinstance(entry, catalogue.Workspace):
            self._workspace_counts[entry.class_name] += 1
        elif isinstance(entry, catalogue.Pool):
            for target in entry.targets:
                self._target_pools[target.name] = entry.name

    def delete(self, key: catalogue.EntryKey, offset: ids.Offset) -> None:
        """Deletes an entry; its tombstone gets `offset`.

        Raises:
            KeyError: there is no such entry.
        """
        self._unindex(key)
        del self.catalogue.entries_by_name(key.kind)[key.name]
        self.add_tombstone(key, offset)

    def add_tombstone(
        self, key: catalogue.EntryKey, offset: ids.Offset
    ) -> None:
        """Records that the record at `offset` deleted an entry.

        Evicts the oldest tombstone if there are too many.
        """
        self.tombstones[key] = offset
        if len(self.tombstones) > MAX_TOMBSTONES:
            del self.tombstones[next(iter(self.tombstones))]

    def add_verdict(self, verdict: catalogue_change.Verdict) -> None:
        """Adds a verdict; evicts the one with the lowest id if too many."""
        self.verdicts[verdict.change_id] = verdict
        self._change_ids_by_offset[verdict.offset] = verdict.change_id
        if len(self.verdicts) > MAX_VERDICTS:
            self.newest_evicted_id, oldest = self.verdicts.popitem(0)
            self._change_ids_by_offset.pop(oldest.offset, None)

    def _unindex(self, key: catalogue.EntryKey) -> None:
        old = self.catalogue.find(key)
        if isinstance(old, catalogue.Workspace):
            self._workspace_counts[old.class_name] -= 1
        elif isinstance(old, catalogue.Pool):
            for target in old.targets:
                if self._target_pools.get(target.name) == old.name:
                    del self._target_pools[target.name]


def find_entries(
    state: State, keys: Iterable[catalogue.EntryKey]
) -> list[catalogue.Entry]:
    """Returns the entries of those `keys` that are in force."""
    found = [state.catalogue.find(key) for key in keys]
    return [entry for entry in found if entry is not None]
