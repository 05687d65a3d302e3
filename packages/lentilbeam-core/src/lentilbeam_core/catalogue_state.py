"""What evaluation of the catalogue's log stream needs to know of the past."""

import collections
from collections.abc import Iterable

import sortedcontainers

from lentilbeam_core import catalogue
from lentilbeam_core import catalogue_change
from lentilbeam_core import ids

MAX_VERDICTS = 4096
"""Verdicts kept; the ones with the lowest change ids are forgotten."""
MAX_TOMBSTONES = 1024
"""Deletions kept, so that the loser of a race learns who won it."""
NO_CHANGE_ID = catalogue_change.ChangeId("")


class State:
    """The result of evaluating the log up to and including `offset`.

    Attributes:
        catalogue: the entries in force.
        offset: the last record taken in; 0 before the first.
        verdicts: kept verdicts by change id, in the order of ids.
        newest_evicted_id: highest change id whose verdict was evicted. A change
            that is not newer may be a repetition and is rejected.
        tombstones: for deleted entries, the record that deleted them.
    """

    def __init__(self) -> None:
        self.catalogue = catalogue.EMPTY.copy()
        self.offset = ids.Offset(0)
        self.verdicts = sortedcontainers.SortedDict()
        self.newest_evicted_id = NO_CHANGE_ID
        self.tombstones: dict[catalogue.EntryKey, ids.Offset] = {}
        self._names_by_offset: dict[ids.Offset, catalogue_change.ChangeId] = {}
        self._workspace_counts: collections.Counter[str] = collections.Counter()
        self._target_pools: dict[ids.TargetId, ids.PoolId] = {}

    def version(self, key: catalogue.EntryKey) -> int:
        """Returns the version of the entry, 0 if there is none."""
        entry = self.catalogue.find(key)
        return entry.version if entry else 0

    def get_last_change(self, key: catalogue.EntryKey) -> ids.Offset:
        """Returns the record that last changed or deleted the entry."""
        version = self.version(key) or self.tombstones.get(key, 0)
        return ids.Offset(version)

    def get_winner(self, offset: ids.Offset) -> catalogue_change.Winner:
        """Returns what is known of the accepted change at `offset`."""
        name = self._names_by_offset.get(offset)
        if name is None:
            return catalogue_change.Winner(offset)
        operator = self.verdicts[name].operator
        return catalogue_change.Winner(offset, name, operator)

    def count_workspaces(self, name: str) -> int:
        """Returns how many workspaces are in the class."""
        return self._workspace_counts[name]

    def get_pool_of_target(self, name: ids.TargetId) -> ids.PoolId | None:
        """Returns the pool that the target belongs to."""
        return self._target_pools.get(name)

    def put(self, entry: catalogue.Entry) -> None:
        """Puts an entry in force."""
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
        """Deletes an entry by the record at `offset`."""
        self._unindex(key)
        del self.catalogue.entries_by_name(key.kind)[key.name]
        self.add_tombstone(key, offset)

    def add_tombstone(
        self, key: catalogue.EntryKey, offset: ids.Offset
    ) -> None:
        """Keeps the record that deleted an entry, for a while."""
        self.tombstones[key] = offset
        if len(self.tombstones) > MAX_TOMBSTONES:
            del self.tombstones[next(iter(self.tombstones))]

    def add_verdict(self, verdict: catalogue_change.Verdict) -> None:
        """Keeps the verdict and forgets the one with the lowest id."""
        self.verdicts[verdict.name] = verdict
        self._names_by_offset[verdict.offset] = verdict.name
        if len(self.verdicts) > MAX_VERDICTS:
            self.newest_evicted_id, oldest = self.verdicts.popitem(0)
            self._names_by_offset.pop(oldest.offset, None)

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
    """Returns the entries in force among `keys`."""
    found = [state.catalogue.find(key) for key in keys]
    return [entry for entry in found if entry is not None]
