"""Beliefs about targets: listed, leaving, lapsed, suspected or gone.

The platform's list says who exists. Entries lapse while the platform's store
is away; such a target stays in use for a short grace after the store's
return, since it will list itself again if it lives.
"""

import dataclasses
import enum

from lentilbeam_core import ids

REMOVAL_GRACE_S = 2.0
"""Targets that live are listed again within this time, says the platform."""


class TargetState(enum.Enum):
    """What the list says of a target."""

    READY = "ready"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A target as it lists itself.

    Attributes:
        name: differs for each start of a target, mostly.
        pool: whose requests it runs.
        host: IP address.
        port: TCP port.
        data_centre: where it is.
        slots: requests that it runs at once.
        state: whether it takes new requests.
        started_at_ms: start of its process, Unix milliseconds; 0 if unknown.
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
    """All targets that may be used, by pool."""

    def __init__(self):
        self.entries: dict[ids.TargetId, Entry] = {}
        self.pending_removals: dict[ids.TargetId, float] = {}
        self.store_returned_at: float | None = None

    def note_store_returned(self, now: float) -> None:
        """Notes that the store answers again after it was away."""
        self.store_returned_at = now

    def put(self, entry: Entry) -> Entry | None:
        """Takes in an entry; returns the one that it replaces."""
        previous = self.entries.get(entry.name)
        self.pending_removals.pop(entry.name, None)
        self.entries[entry.name] = entry
        return previous

    def remove(self, name: ids.TargetId, now: float) -> bool:
        """Takes in a removal; returns whether it counts at once."""
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
        """Removes lapsed entries whose grace is over; returns their names."""
        expired = [
            name for name, at in self.pending_removals.items() if at <= now
        ]
        for name in expired:
            del self.pending_removals[name]
            self.entries.pop(name, None)
        return expired

    def is_in_grace_period(self, now: float) -> bool:
        """Whether entries may be missing only because the store was away."""
        if self.store_returned_at is None:
            return False
        return now < self.store_returned_at + REMOVAL_GRACE_S

    def find_usable(self, pool: ids.PoolId) -> list[Entry]:
        """Returns the targets of a pool that take new requests."""
        return [
            entry
            for entry in self.entries.values()
            if entry.pool == pool and entry.state is TargetState.READY
        ]
