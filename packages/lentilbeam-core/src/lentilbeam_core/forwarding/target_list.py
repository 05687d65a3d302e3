"""Targets listed in the platform's store.

While the store is unavailable, targets can't renew their entries, and the
store may remove them. Entries removed shortly after the store is available
again therefore stay in use for a grace period, in which a running target
registers itself again.

The store may come back from an older copy. Its entries then don't tell what has
happened since: a target that left or was removed may be listed as ready again.
What this router has read before goes first.

A router may also be cut off while the store serves the others. What it would
keep for a grace period is then gone for good, as routers that have read the
list all the time know. They report it, with the position up to which they have
read, and whoever has read further knows better.

A target may also give notice in its responses that it is leaving, that it
wants no requests from this router for a while, or that it takes a limited
number of requests per second.
"""

import dataclasses
import enum

from lentilbeam_core import ids
from lentilbeam_core.forwarding import cold_targets
from lentilbeam_core.forwarding import evacuations
from lentilbeam_core.forwarding import target_limits

REMOVAL_GRACE_S = 2.0
"""Time within which running targets register again after the store is available
again, as documented by the platform."""


MAX_QUIET_S = 60.0
"""Longest time, in seconds, for which a target can ask for no requests. What it
asks beyond that is taken for a mistake."""
REPORT_REMOVED_S = 20.0
"""Time, in seconds, for which peers are told of a removed target."""
REMEMBER_REMOVED_S = 60.0
"""Time, in seconds, for which removed targets are remembered, and for which
peers are told of them that were not heard in the meantime. The copy from which
the store comes back is some seconds old."""
UNKNOWN_START_MS = 1
"""Stands for the start of a target whose entry doesn't tell it."""


class TargetState(enum.Enum):
    """State of a target, as given in its entry."""

    READY = "ready"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Entry that a target has registered in the store.

    Attributes:
        name: id of the target; usually differs for each start.
        pool: pool that it belongs to.
        host: IP address.
        port: TCP port.
        data_centre: data centre that it runs in.
        slots: maximum number of requests that it runs concurrently.
        state: whether it takes new requests.
        started_at_ms: when its process started, Unix milliseconds; 0 if
            unknown.
        version: version of its software; empty if unknown.
        cold_left_s: for how much longer it was cold when the entry was
            written, in seconds; 0 if it was not. It changes with each write,
            so entries that differ only in it are equal.
    """

    name: ids.TargetId
    pool: ids.PoolId
    host: str
    port: int
    data_centre: ids.DataCentreId
    slots: int
    state: TargetState
    started_at_ms: int = 0
    version: str = ""
    cold_left_s: float = dataclasses.field(default=0.0, compare=False)

    @property
    def start_ms(self) -> int:
        """`started_at_ms`, or `UNKNOWN_START_MS` if it is unknown."""
        return self.started_at_ms or UNKNOWN_START_MS


@dataclasses.dataclass(frozen=True, slots=True)
class RemovedTarget:
    """A target that was removed from the list.

    Attributes:
        pool: pool that it belonged to.
        start_ms: start of its process, see `Entry.start_ms`.
        removed_at: monotonic seconds.
        is_final: whether the target can't have lost its entry because the store
            was away.
    """

    pool: ids.PoolId
    start_ms: int
    removed_at: float
    is_final: bool


class TargetList:
    """All listed targets of all pools.

    Attributes:
        entries: entries by name, including those with a pending removal.
        pending_removals: when each entry that was removed during a grace
            period will be dropped, by name, monotonic seconds.
        complete_at: latest time up to which this router is known to have
            missed no change, monotonic seconds; None if it has read nothing.
        store_returned_at: when the store was last found available again,
            monotonic seconds; None if it has never been unavailable.
        leaving: start of the process that is leaving (`Entry.start_ms`), for
            each target that its entry, a response or a peer has called
            leaving. A target that restarts under the same name isn't.
        removed_elsewhere: start of the process that peers have reported as
            removed for good, for each listed target; until this router reads a
            newer record of it.
        quiet_until: until when each target has asked this router for no
            requests, monotonic seconds.
        limits: limits that targets have set on the rate of their requests.
        removed: targets that were removed lately, by name.
        evacuations: data centres whose targets get no new requests.
        cold: which targets are cold.
    """

    def __init__(self):
        self.entries: dict[ids.TargetId, Entry] = {}
        self.pending_removals: dict[ids.TargetId, float] = {}
        self.complete_at: float | None = None
        self.store_returned_at: float | None = None
        self.leaving: dict[ids.TargetId, int] = {}
        self.removed_elsewhere: dict[ids.TargetId, int] = {}
        self.quiet_until: dict[ids.TargetId, float] = {}
        self.limits = target_limits.TargetLimits()
        self.removed: dict[ids.TargetId, RemovedTarget] = {}
        self.evacuations = evacuations.Evacuations()
        self.cold = cold_targets.ColdTargets()

    def note_complete(self, at: float) -> None:
        """Records that no change was missed up to a time.

        Args:
            at: monotonic seconds.
        """
        if self.complete_at is None or at > self.complete_at:
            self.complete_at = at

    def read_age(self, now: float) -> float:
        """Returns the age of the list, in seconds; 0 if it was never read."""
        return 0.0 if self.complete_at is None else now - self.complete_at

    def note_store_returned(self, now: float) -> None:
        """Starts a grace period: the store is available again."""
        self.store_returned_at = now
        self.cold.note_store_returned(now)

    def put(self, entry: Entry) -> Entry | None:
        """Adds or replaces an entry; returns the previous one, or None."""
        previous = self.entries.get(entry.name)
        self.pending_removals.pop(entry.name, None)
        self.removed.pop(entry.name, None)
        self.removed_elsewhere.pop(entry.name, None)
        self.entries[entry.name] = entry
        if entry.state is TargetState.LEAVING:
            self.note_leaving(entry.name, entry.start_ms)
        elif previous and previous.start_ms != entry.start_ms:
            self.leaving.pop(entry.name, None)
            self.quiet_until.pop(entry.name, None)
            self.limits.forget(entry.name)
        return previous

    def take_snapshot(self) -> tuple:
        """Returns what records change; equal if they have changed nothing.

        A target that turns warm is no change: a router that does not know it
        reads its records itself.
        """
        return (
            dict(self.entries),
            dict(self.leaving),
            dict(self.pending_removals),
            dict(self.cold.turned_cold),
        )

    def is_known_as_removed(self, entry: Entry) -> bool:
        """Whether this process of a target was removed from the list lately."""
        removed = self.removed.get(entry.name)
        return removed is not None and removed.start_ms == entry.start_ms

    def note_leaving(self, name: ids.TargetId, start_ms: int) -> bool:
        """Records that a process of a target is leaving.

        Args:
            name: name of the target.
            start_ms: start of the process, see `Entry.start_ms`.

        Returns:
            Whether this is new. It isn't if another process of the target is
            listed.
        """
        if name in self.leaving or not self._is_listed(name, start_ms):
            return False
        self.leaving[name] = start_ms
        return True

    def note_removed_elsewhere(
        self, name: ids.TargetId, start_ms: int, is_newer: bool
    ) -> bool:
        """Records that a peer has reported a target as removed for good.

        Args:
            name: name of the target.
            start_ms: start of the process, see `Entry.start_ms`.
            is_newer: whether the peer has read the list further than this
                router. Else the report counts only if the removal is pending
                here, too.

        Returns:
            Whether this is new.
        """
        if name in self.removed_elsewhere or not self._is_listed(
            name, start_ms
        ):
            return False
        if not is_newer and name not in self.pending_removals:
            return False
        self.removed_elsewhere[name] = start_ms
        return True

    def note_quiet(
        self, name: ids.TargetId, quiet_s: float, now: float
    ) -> float:
        """Records that a target wants no requests from this router.

        Args:
            name: name of the target.
            quiet_s: time for which it wants none, in seconds; at most
                `MAX_QUIET_S` count.
            now: monotonic seconds.

        Returns:
            When the time ends, monotonic seconds.
        """
        until = now + min(max(quiet_s, 0.0), MAX_QUIET_S)
        self.quiet_until[name] = max(until, self.quiet_until.get(name, until))
        return self.quiet_until[name]

    def is_quiet(self, name: ids.TargetId, now: float) -> bool:
        """Whether a target wants no requests from this router."""
        return now < self.quiet_until.get(name, now)

    def note_limit(
        self,
        entry: Entry,
        per_s: float | None,
        sent_at: float,
        now: float,
    ) -> bool:
        """Records what a response says about the limit of its target.

        Args:
            entry: the target, as it was listed when the request was sent.
            per_s: requests per second that it takes from all routers together;
                None if the response names no limit.
            sent_at: when the request was sent, monotonic seconds.
            now: monotonic seconds.

        Returns:
            Whether another limit counts than before.
        """
        if not self.is_listed(entry):
            return False
        before = self.limits.read_rate(entry.name, now)
        self.limits.note_response(
            entry.name, entry.start_ms, per_s, sent_at, now
        )
        return self.limits.read_rate(entry.name, now) != before

    def note_reported_limit(
        self, name: ids.TargetId, limit: target_limits.Limit, now: float
    ) -> bool:
        """Records what a peer has reported about the limit of a target.

        Args:
            name: the target.
            limit: what the peer has reported.
            now: monotonic seconds.

        Returns:
            Whether another limit counts than before.
        """
        if not self._is_listed(name, limit.start_ms):
            return False
        before = self.limits.read_rate(name, now)
        self.limits.note_reported(name, limit)
        return self.limits.read_rate(name, now) != before

    def note_reported_cold(
        self, name: ids.TargetId, start_ms: int, now: float
    ) -> bool:
        """Records that a peer has reported that a target turned cold.

        Returns:
            Whether a target counts as cold that counted as warm before.
        """
        entry = self.entries.get(name)
        if entry is None or entry.start_ms > start_ms:
            return False
        was_warm = self.cold.is_warm(name, entry.start_ms, now)
        self.cold.note_reported(name, now)
        return was_warm

    def find_own_limits(
        self, pool: ids.PoolId, now: float
    ) -> dict[ids.TargetId, target_limits.Limit]:
        """Returns the limits in a pool from responses to this router."""
        return {
            name: limit
            for name, limit in self.limits.own.items()
            if self.entries[name].pool == pool and now < limit.ends_at
        }

    def find_leaving(self, pool: ids.PoolId) -> dict[ids.TargetId, int]:
        """Returns the targets of a pool that are known to leave.

        Returns:
            Start of the process (`Entry.start_ms`) by name of the target.
        """
        return {
            name: start_ms
            for name, start_ms in self.leaving.items()
            if self.entries[name].pool == pool
        }

    def find_removed(
        self,
        pool: ids.PoolId,
        now: float,
        max_age_s: float = REPORT_REMOVED_S,
    ) -> dict[ids.TargetId, int]:
        """Returns the targets of a pool that were removed for good lately.

        Args:
            pool: the pool.
            now: monotonic seconds.
            max_age_s: longest time since the removal, in seconds.

        Returns:
            Start of the process (`Entry.start_ms`) by name of the target.
        """
        return {
            name: removed.start_ms
            for name, removed in self.removed.items()
            if removed.pool == pool
            and removed.is_final
            and now - removed.removed_at < max_age_s
        }

    def remove(
        self, name: ids.TargetId, now: float, is_final: bool = False
    ) -> bool:
        """Removes an entry, at the end of the grace period if there is one.

        Args:
            name: name of the target.
            now: monotonic seconds.
            is_final: whether the list was read without a break until now, so
                that the target can't have lost its entry because the store was
                away.

        Returns:
            Whether the entry existed and was removed at once.
        """
        if name not in self.entries:
            return False
        if self.is_in_grace_period(now):
            self.pending_removals.setdefault(
                name, self.store_returned_at + REMOVAL_GRACE_S
            )
            return False
        self._drop(name, now, is_final)
        return True

    def find_time_kept(self, name: ids.TargetId, now: float) -> float:
        """Returns for how much longer a removed entry stays, in seconds."""
        return max(self.pending_removals.get(name, now) - now, 0.0)

    def expire(self, now: float) -> list[ids.TargetId]:
        """Drops entries whose pending removal is due; returns their names."""
        expired = [
            name for name, at in self.pending_removals.items() if at <= now
        ]
        for name in expired:
            del self.pending_removals[name]
            # The store may have been away for a part of the grace period.
            self._drop(name, now, is_final=False)
        return expired

    def _is_listed(self, name: ids.TargetId, start_ms: int) -> bool:
        """Whether the list has this process of a target."""
        entry = self.entries.get(name)
        return entry is not None and entry.start_ms == start_ms

    def _drop(self, name: ids.TargetId, now: float, is_final: bool) -> None:
        """Drops an entry with all notices of its target."""
        entry = self.entries.pop(name, None)
        self.leaving.pop(name, None)
        self.removed_elsewhere.pop(name, None)
        self.quiet_until.pop(name, None)
        self.limits.forget(name)
        self.cold.forget(name)
        for other, removed in list(self.removed.items()):
            if now - removed.removed_at > REMEMBER_REMOVED_S:
                del self.removed[other]
        if entry is not None:
            self.removed[name] = RemovedTarget(
                entry.pool, entry.start_ms, now, is_final
            )

    def has_version(self, pool: ids.PoolId, version: str) -> bool:
        """Whether a ready target of a pool runs a software version."""
        return version != "" and any(
            entry.version == version for entry in self.find_ready(pool)
        )

    def is_listed(self, entry: Entry) -> bool:
        """Whether the list has the same process of a target."""
        return self._is_listed(entry.name, entry.start_ms)

    def is_ready(self, name: ids.TargetId) -> bool:
        """Whether a listed target is ready, not leaving and not removed."""
        return (
            self.entries[name].state is TargetState.READY
            and name not in self.leaving
            and name not in self.removed_elsewhere
        )

    def is_in_grace_period(self, now: float) -> bool:
        """Returns whether the grace period lasts.

        An entry may then have been removed only because its target couldn't
        renew it.
        """
        if self.store_returned_at is None:
            return False
        return now < self.store_returned_at + REMOVAL_GRACE_S

    def find_ready(self, pool: ids.PoolId) -> list[Entry]:
        """Returns the targets of a pool that may get new requests.

        They are ready, not leaving, and in no evacuated data centre.
        """
        ready = self._list_ready(pool)
        if self.evacuations.is_empty:
            return ready
        return [e for e in ready if not self.is_evacuated(e.data_centre)]

    def find_listed(self, pool: ids.PoolId) -> list[Entry]:
        """Returns all listed targets of a pool, also those that leave."""
        return [e for e in self.entries.values() if e.pool == pool]

    def is_evacuated(self, data_centre: ids.DataCentreId) -> bool:
        """Whether the targets of a data centre get no new requests."""
        return data_centre in self.evacuations

    def is_pool_evacuated(self, pool: ids.PoolId) -> bool:
        """Whether a pool has ready targets, all in evacuated data centres."""
        if self.evacuations.is_empty:
            return False
        ready = self._list_ready(pool)
        return bool(ready) and all(
            self.is_evacuated(entry.data_centre) for entry in ready
        )

    def _list_ready(self, pool: ids.PoolId) -> list[Entry]:
        """Returns the targets of a pool for which `is_ready` is true."""
        gone = self.leaving
        if self.removed_elsewhere:
            gone = gone.keys() | self.removed_elsewhere.keys()
        return [
            entry
            for entry in self.entries.values()
            if entry.pool == pool
            and entry.state is TargetState.READY
            and entry.name not in gone
        ]
