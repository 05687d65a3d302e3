"""Which targets are cold: slow after their start, or again later.

Matters only in pools that have a rate for cold targets (`Pool.cold_per_s`).
There a target counts as warm only once its process was seen warm: a record of
its own said so, which was written while the store was available. So a target
is cold for a router that has just started, and it stays cold while the store
is down, until its next record. No clock is compared with that of a target.

A connection that breaks may mean that a new process runs under the same name.
The target is then suspected and counts as cold until a record that was written
after that says otherwise.

Peers report targets that have just turned cold, since a router reads the
records of targets only every 0.4 to 1.2 s, and less often while peers report
that nothing has changed.
"""

import dataclasses

from lentilbeam_core import ids

MAX_RECORD_DELAY_S = 1.5
"""Time, in seconds, after which a record that is read was surely written after
an event: while a target is not known to be warm, a router reads the records of
targets every 1.0 s or more often, and a read takes up to 0.5 s."""
REWRITE_S = 2.0
"""Time, in seconds, within which targets write their records again after the
store is available again, as documented by the platform. Records that are read
before may be from the time before the outage."""
NEWS_S = 2.0
"""Time, in seconds, for which a router reports that a target has turned cold.
By then every router has read the target's own record."""
REPORTED_S = 1.0
"""Time, in seconds, for which the report of a peer counts. Reports are at most
0.5 s apart."""


@dataclasses.dataclass(frozen=True, slots=True)
class Notice:
    """Something that was learned about a process of a target.

    Attributes:
        start_ms: start of the process, see `target_list.Entry.start_ms`.
        at: monotonic seconds.
    """

    start_ms: int
    at: float


class ColdTargets:
    """What this router knows about cold targets, in all pools.

    Attributes:
        warm: start of the process that was seen warm, by target.
        suspected: when a connection to a target broke last, by target.
        turned_cold: when each target turned cold that was warm before.
        reported_at: when a peer last reported that a target turned cold,
            monotonic seconds.
        records_valid_from: records that are read from then on were written
            while the store was available, monotonic seconds.
    """

    def __init__(self):
        self.warm: dict[ids.TargetId, int] = {}
        self.suspected: dict[ids.TargetId, Notice] = {}
        self.turned_cold: dict[ids.TargetId, Notice] = {}
        self.reported_at: dict[ids.TargetId, float] = {}
        self.records_valid_from = 0.0

    def note_store_returned(self, now: float) -> None:
        """Records that the store is available again."""
        self.records_valid_from = now + REWRITE_S

    def note_record(
        self, name: ids.TargetId, start_ms: int, cold_left_s: float, now: float
    ) -> bool:
        """Applies a new record of a target.

        Args:
            name: the target.
            start_ms: start of its process, see `target_list.Entry.start_ms`.
            cold_left_s: for how much longer it is cold, in seconds; 0 if it is
                not.
            now: monotonic seconds.

        Returns:
            Whether it has turned cold or warm for this router.
        """
        was_warm = name in self.warm
        if cold_left_s > 0 or self.warm.get(name, start_ms) != start_ms:
            self._note_turned_cold(name, start_ms, now)
        if cold_left_s > 0:
            return was_warm
        suspected = self.suspected.get(name)
        is_clear = (
            suspected is None
            or suspected.start_ms != start_ms
            or now >= suspected.at + MAX_RECORD_DELAY_S
        )
        if is_clear and now >= self.records_valid_from:
            self.warm[name] = start_ms
        return was_warm != (name in self.warm)

    def note_listed(
        self, name: ids.TargetId, start_ms: int, cold_left_s: float, now: float
    ) -> None:
        """Applies an entry of the whole list, which may be an old record.

        It never makes a target warm.
        """
        if cold_left_s > 0 or self.warm.get(name, start_ms) != start_ms:
            self._note_turned_cold(name, start_ms, now)

    def note_broken(
        self, name: ids.TargetId, start_ms: int, is_news: bool, now: float
    ) -> bool:
        """Records that a new process may run under the name of a target.

        Args:
            name: the target.
            start_ms: start of the process that is listed.
            is_news: whether peers are to be told.
            now: monotonic seconds.

        Returns:
            Whether the target was warm before.
        """
        self.suspected[name] = Notice(start_ms, now)
        if name not in self.warm:
            return False
        del self.warm[name]
        if is_news:
            self.turned_cold[name] = Notice(start_ms, now)
        return True

    def note_reported(self, name: ids.TargetId, now: float) -> None:
        """Records that a peer has reported that a target turned cold."""
        self.reported_at[name] = now

    def is_warm(self, name: ids.TargetId, start_ms: int, now: float) -> bool:
        """Whether a process of a target is known to be warm."""
        if self.warm.get(name) != start_ms:
            return False
        reported_at = self.reported_at.get(name)
        return reported_at is None or now >= reported_at + REPORTED_S

    def list_turned_cold(self, now: float) -> dict[ids.TargetId, int]:
        """Returns the targets that turned cold a moment ago.

        Returns:
            Start of the process by target.
        """
        for name, notice in list(self.turned_cold.items()):
            if now >= notice.at + NEWS_S:
                del self.turned_cold[name]
        return {name: n.start_ms for name, n in self.turned_cold.items()}

    def forget(self, name: ids.TargetId) -> None:
        """Drops what is known about a target that is gone."""
        for table in (
            self.warm,
            self.suspected,
            self.turned_cold,
            self.reported_at,
        ):
            table.pop(name, None)

    def _note_turned_cold(
        self, name: ids.TargetId, start_ms: int, now: float
    ) -> None:
        if self.warm.pop(name, None) is not None:
            self.turned_cold[name] = Notice(start_ms, now)
