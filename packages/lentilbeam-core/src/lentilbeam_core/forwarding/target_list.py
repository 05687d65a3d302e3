"""Targets listed in the platform's store.

While the store is unavailable, targets can't renew their entries, and the
store may remove them. Entries removed shortly after the store is available
again therefore stay in use for a grace period, in which a running target
registers itself again.
"""

import dataclasses
import enum

from lentilbeam_core import ids

REMOVAL_GRACE_S = 2.0
"""Time within which running targets register again after the store is available
again, as documented by the platform."""


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
    """

    name: ids.TargetId
    pool: ids.PoolId
    host: str
    port: int
    data_centre: ids.DataCentreId
    slots: int
    state: TargetState
    started_at_ms: int = 0


class TargetList:
    """All listed targets of all pools.

    Attributes:
        entries: entries by name, including those with a pending removal.
        pending_removals: when each entry that was removed during a grace
            period will be dropped, by name, monotonic seconds.
        store_returned_at: when the store was last found available again,
            monotonic seconds; None if it has never been unavailable.
    """

    def __init__(self):
        self.entries: dict[ids.TargetId, Entry] = {}
        self.pending_removals: dict[ids.TargetId, float] = {}
        self.store_returned_at: float | None = None

    def note_store_returned(self, now: float) -> None:
        """Starts a grace period: the store is available again."""
        self.store_returned_at = now

    def put(self, entry: Entry) -> Entry | None:
        """Adds or replaces an entry; returns the previous one, or None."""
        previous = self.entries.get(entry.name)
        self.pending_removals.pop(entry.name, None)
        self.entries[entry.name] = entry
        return previous

    def remove(self, name: ids.TargetId, now: float) -> bool:
        """Removes an entry, at the end of the grace period if there is one.

        Args:
            name: name of the target.
            now: monotonic seconds.

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
        del self.entries[name]
        return True

    def expire(self, now: float) -> list[ids.TargetId]:
        """Drops entries whose pending removal is due; returns their names."""
        expired = [
            name for name, at in self.pending_removals.items() if at <= now
        ]
        for name in expired:
            del self.pending_removals[name]
            self.entries.pop(name, None)
        return expired

    def is_in_grace_period(self, now: float) -> bool:
        """Returns whether the grace period lasts.

        An entry may then have been removed only because its target couldn't
        renew it.
        """
        if self.store_returned_at is None:
            return False
        return now < self.store_returned_at + REMOVAL_GRACE_S

    def find_ready(self, pool: ids.PoolId) -> list[Entry]:
        """Returns the targets of a pool whose entry has the state READY."""
        return [
            entry
            for entry in self.entries.values()
            if entry.pool == pool and entry.state is TargetState.READY
        ]
