"""The software versions that may have begun streams which callers may resume.

Each such version is recorded in the platform's store before streams begin at
it, and the record is removed only after no target of the version was listed for
as long as a stream may be resumed. A router that has just started thereby knows
which versions a pool has had. Where there was only one, it began every stream
of the pool.

No time of day is compared, since it may jump: each router measures on its own
monotonic clock.

While there are several, a rule that is recorded as well chooses the version at
which each stream begins (`version_rules`).
"""

from collections.abc import Iterable
import dataclasses
import math

from lentilbeam_core import ids
from lentilbeam_core.forwarding import configuration as configuration_lib
from lentilbeam_core.forwarding import target_list
from lentilbeam_core.forwarding import version_rules

KEPT_MARGIN_S = 5.0
"""Time, in seconds, for which the origin of a stream is remembered beyond the
deadline of the request that began it."""
MAX_KEPT_S = 3600.0
"""Longest time, in seconds, for which a stream is remembered."""
KEPT_STEP_S = 10.0
"""Recorded times are multiples of this, in seconds, so that callers with
different deadlines cause few writes."""
ERA_SETTLED_S = 6.0
"""Time, in seconds, after the store has come back from an older copy when the
running routers have written again what it lost, and the targets are listed
again (`followers.TARGETS_REWRITTEN_S`)."""

UNRECORDED_WAIT_S = 2.0
"""Longest time, in seconds, for which streams wait for the record of a version
if no target of a recorded one is usable. One router writes it at once."""
FIRST_WAIT_S = 4.5
"""The same for the first record of a pool, which is written 2.2 s after the
start of a fleet, or 1.8 s later if the first router does not write it."""

PoolVersion = tuple[ids.PoolId, str]
"""A pool and the version of a target's software in it."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredVersion:
    """Record of a version in the store.

    Attributes:
        era: era of the store in which it was written.
        is_settled: whether its writer knew that all versions of the pool that
            may have begun streams are recorded in this era.
        kept_s: for how long a stream of the pool may be resumed, in seconds.
    """

    era: int
    is_settled: bool
    kept_s: float


class StreamVersions:
    """What is listed and what is recorded of the versions of each pool.

    Attributes:
        targets: targets of all pools.
        stored: records in the store, by pool and version. A record that an
            older copy of the store lacks stays until it is written again.
        listed_at: when a target of each version was last listed, monotonic
            seconds.
        unlisted_since: since when no target of a version was listed without a
            break in reading the list, monotonic seconds.
        kept_s: for how long streams of a pool may be resumed, in seconds; only
            pools that have such streams.
        era: era of the store; 0 if unknown.
        era_rose_at: when this process saw the era rise, monotonic seconds.
        read_since: when the records were first read, monotonic seconds; None
            if they have not been.
        targets_read_at: when the target list was last read, monotonic seconds;
            None if it has not been.
        watched_since: when the target list was first read, monotonic seconds.
        is_new_fleet: whether, at the first read, all routers ever registered
            had started in the same era and with software that records
            versions. A pool without records then had no streams.
        first_pools: pools that had records at the first read.
        settled: pools of which all versions are known.
        unrecorded: since when versions are listed that have no record yet,
            monotonic seconds.
        rules: which version each new stream begins at.
        cold_pools: pools whose cold targets take few requests.
        is_list_lost: whether the target list, and so the store, can't be read.
        is_awaited: whether a stream waits for the first record of its pool.
        has_older_peers: whether a router runs software without rules.
    """

    def __init__(self, targets: target_list.TargetList):
        self.targets = targets
        self.stored: dict[PoolVersion, StoredVersion] = {}
        self.listed_at: dict[PoolVersion, float] = {}
        self.unlisted_since: dict[PoolVersion, float] = {}
        self.kept_s: dict[ids.PoolId, float] = {}
        self.era = 0
        self.era_rose_at = -math.inf
        self.read_since: float | None = None
        self.targets_read_at: float | None = None
        self.watched_since = math.inf
        self.is_new_fleet = False
        self.first_pools: set[ids.PoolId] = set()
        self.settled: set[ids.PoolId] = set()
        self.unrecorded: dict[PoolVersion, float] = {}
        self.rules = version_rules.VersionRules()
        self.cold_pools: set[ids.PoolId] = set()
        self.is_list_lost = False
        self.is_awaited = False
        self.has_older_peers = False

    def apply_configuration(
        self, current: configuration_lib.Configuration, now: float
    ) -> None:
        """Records which pools run streams that callers may resume.

        Args:
            current: the configuration in force.
            now: monotonic seconds.
        """
        for route in current.routes:
            if route.is_resumable:
                for weight in route.pool_weights:
                    self.note_kept(weight.pool, route.timeout_s)
        self.cold_pools = {
            name for name, pool in current.pools.items() if pool.cold_per_s > 0
        }
        self._find_unrecorded(now)

    def note_kept(self, pool: ids.PoolId, deadline_s: float) -> None:
        """Records for how long a stream of a pool may run, in seconds."""
        kept_s = min(deadline_s + KEPT_MARGIN_S, MAX_KEPT_S)
        kept_s = math.ceil(kept_s / KEPT_STEP_S) * KEPT_STEP_S
        self.kept_s[pool] = max(kept_s, self.kept_s.get(pool, 0.0))

    def note_listed(self, entry: target_list.Entry, now: float) -> None:
        """Records that a target is or was listed until now."""
        key = (entry.pool, entry.version)
        kept_s = self.kept_s.get(entry.pool, 0.0)
        since = self.unlisted_since.pop(key, None)
        if since is not None and now - since >= kept_s - KEPT_MARGIN_S:
            # Another router may be about to remove the record.
            self.stored.pop(key, None)
        self.listed_at[key] = now
        if key not in self.stored and self._is_relevant(key):
            self.unrecorded.setdefault(key, now)

    def note_targets_read(self, now: float) -> None:
        """Records that the target list is up to date."""
        self.is_list_lost = False
        self.targets_read_at = now
        self.watched_since = min(self.watched_since, now)

    def note_targets_lost(self) -> None:
        """Records that the target list can't be read."""
        self.is_list_lost = True
        self.unlisted_since.clear()

    def refresh(self, now: float) -> None:
        """Compares the target list with what is recorded; called at intervals.

        Args:
            now: monotonic seconds.
        """
        listed = self._list_listed()
        for key in listed:
            self.listed_at[key] = now
            self.unlisted_since.pop(key, None)
        for key, at in list(self.listed_at.items()):
            if now - at > MAX_KEPT_S:
                del self.listed_at[key]
        self._find_unrecorded(now)
        if self.targets_read_at is None:
            return
        for key in self.stored.keys() - listed:
            self.unlisted_since.setdefault(key, now)

    def note_era(self, era: int, now: float) -> None:
        """Records the era of the store, which never falls."""
        if era > self.era:
            if self.era:
                self.era_rose_at = now
            self.era = era

    def replace(
        self,
        found: dict[PoolVersion, StoredVersion],
        router_eras: Iterable[int | None],
        era: int,
        now: float,
    ) -> None:
        """Applies the newest records of all keys.

        Args:
            found: the records of versions.
            router_eras: era in which each registered router started; None for
                one whose software doesn't record versions.
            era: era of the store.
            now: monotonic seconds.
        """
        self.note_era(era, now)
        if self.read_since is None:
            self.read_since = now
            self.is_new_fleet = all(e == era for e in router_eras)
            self.first_pools = {pool for pool, _ in found}
        for key, stored in list(self.stored.items()):
            if key not in found and stored.era == era:
                del self.stored[key]
        for key, stored in found.items():
            self.apply(key, stored, now)

    def apply(
        self, key: PoolVersion, stored: StoredVersion | None, now: float
    ) -> None:
        """Applies one record, written by any router; None if it is removed."""
        if stored is None:
            self.stored.pop(key, None)
            self._find_unrecorded(now)
            return
        self.stored[key] = stored
        self.unrecorded.pop(key, None)
        pool = key[0]
        self.kept_s[pool] = max(stored.kept_s, self.kept_s.get(pool, 0.0))

    @property
    def is_first_of_fleet(self) -> bool:
        """Whether this router started before any stream may have begun."""
        return self.is_new_fleet and not self.first_pools

    def find_kept_s(self, pool: ids.PoolId) -> float:
        """Returns for how long streams of a pool may be resumed, in seconds."""
        return self.kept_s.get(pool, MAX_KEPT_S)

    def find_known(self, pool: ids.PoolId, now: float) -> set[str]:
        """Returns the versions that may have begun streams of a pool."""
        kept_s = self.find_kept_s(pool)
        return (
            {version for name, version in self.stored if name == pool}
            | {version for name, version in self._list_listed() if name == pool}
            | {
                version
                for (name, version), at in self.listed_at.items()
                if name == pool and now - at <= kept_s
            }
        )

    def find_only(self, pool: ids.PoolId, now: float) -> str | None:
        """Returns the version that began every stream of a pool.

        Returns:
            None if there may have been several, or if this can't be known.
        """
        if not self.is_settled(pool, now):
            return None
        known = self.find_known(pool, now)
        return known.pop() if len(known) == 1 and "" not in known else None

    def is_settled(self, pool: ids.PoolId, now: float) -> bool:
        """Whether all versions that may have begun streams are known."""
        if self.read_since is None or now - self.era_rose_at < ERA_SETTLED_S:
            return False
        if pool not in self.settled:
            is_claimed = any(
                stored.is_settled and stored.era == self.era
                for (name, _), stored in self.stored.items()
                if name == pool
            )
            is_new = self.is_new_fleet and pool not in self.first_pools
            since = max(self.read_since, self.watched_since)
            kept_s = self.find_kept_s(pool)
            if is_claimed or is_new or now - since >= kept_s:
                self.settled.add(pool)
        return pool in self.settled

    def select_startable(
        self, targets: list[target_list.Entry], key: int, now: float
    ) -> list[target_list.Entry]:
        """Returns the targets at which a stream may begin.

        Without a rule, these are all targets of recorded versions. If none of
        them runs one, the stream waits for the first record, and then serving
        goes first.

        Args:
            targets: targets of one pool that may get the request.
            key: key of the stream.
            now: monotonic seconds.
        """
        if not targets:
            return targets
        pool = targets[0].pool
        ruled = self.rules.find_version(pool, key, self.era)
        if ruled is not None:
            return [entry for entry in targets if entry.version == ruled]
        if not self.unrecorded:
            return targets
        recorded = [
            entry
            for entry in targets
            if (entry.pool, entry.version) not in self.unrecorded
        ]
        if recorded or not self._waits_for_record(pool, now):
            return recorded or targets
        self.is_awaited = True
        return []

    def find_unstartable(self, pool: ids.PoolId, key: int) -> str | None:
        """Returns the version that a stream needs but can't begin at for long.

        Returns:
            None if it can begin, or if the rule may change soon: it can't
            without the store.
        """
        if not self.is_list_lost:
            return None
        ruled = self.rules.find_version(pool, key, self.era)
        if ruled is None or self.targets.has_version(pool, ruled):
            return None
        return ruled

    def list_changes(self, now: float) -> list[PoolVersion]:
        """Returns the records that some router has to write or remove."""
        if self.read_since is None:
            return []
        keys = self.stored.keys() | self.unrecorded.keys()
        return [key for key in sorted(keys) if self._needs_change(key, now)]

    def describe(self, key: PoolVersion, now: float) -> StoredVersion | None:
        """Returns the record to write; None if it is to be removed."""
        pool = key[0]
        if self._is_removable(key, now):
            return None
        others = [
            self.stored.get((pool, version))
            for version in self.find_known(pool, now)
            if (pool, version) != key and version
        ]
        is_settled = self.is_settled(pool, now) and all(
            other is not None and other.era == self.era for other in others
        )
        kept_s = self.find_kept_s(pool)
        return StoredVersion(self.era, is_settled, kept_s)

    def _needs_change(self, key: PoolVersion, now: float) -> bool:
        stored = self.stored.get(key)
        if stored is None or self._is_removable(key, now):
            return True
        pool = key[0]
        if stored.era < self.era or stored.kept_s < self.kept_s[pool]:
            return True
        if not self.describe(key, now).is_settled:
            return False
        keys = [other for other in self.stored if other[0] == pool]
        return key == max(keys) and not any(
            self.stored[other].is_settled and self.stored[other].era == self.era
            for other in keys
        )

    def _is_removable(self, key: PoolVersion, now: float) -> bool:
        """Whether no stream that this version began may still be resumed."""
        since = self.unlisted_since.get(key)
        if since is None or self.targets_read_at is None:
            return False
        if key in self._list_listed():
            return False
        kept_s = self.find_kept_s(key[0])
        return self.targets_read_at - since >= kept_s

    def _is_relevant(self, key: PoolVersion) -> bool:
        pool, version = key
        return pool in self.kept_s and version != ""

    def _waits_for_record(self, pool: ids.PoolId, now: float) -> bool:
        """Whether one of several versions of a pool is recorded soon."""
        if self.read_since is None or len(self.find_known(pool, now)) < 2:
            return False
        return any(
            now - since < self.find_longest_wait(pool)
            for (name, _), since in self.unrecorded.items()
            if name == pool
        )

    def find_longest_wait(self, pool: ids.PoolId) -> float:
        """Returns for how long streams wait for a record, in seconds."""
        has_records = any(name == pool for name, _ in self.stored)
        return UNRECORDED_WAIT_S if has_records else FIRST_WAIT_S

    def _list_listed(self) -> set[PoolVersion]:
        return {(e.pool, e.version) for e in self.targets.entries.values()}

    def _find_unrecorded(self, now: float) -> None:
        self.unrecorded = {
            key: self.unrecorded.get(key, now)
            for key in self._list_listed()
            if key not in self.stored and self._is_relevant(key)
        }
