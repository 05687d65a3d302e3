"""When which part of the world was disturbed, for checks that need calm."""

import asyncio
import dataclasses
import enum
import math
import time


class Kind(enum.Enum):
    """What was done."""

    KILL = "kill"
    PAUSE = "pause"
    TERMINATE = "terminate"
    HANG_UP = "hang_up"
    LINK = "link"
    RESET = "reset"
    STORE = "store"
    PUBLISH = "publish"
    DRAIN = "drain"
    HOST = "host"  # The machine that the soak runs on had no time for it.


PLANNED = {Kind.TERMINATE, Kind.HANG_UP, Kind.PUBLISH, Kind.DRAIN}
"""Work of operators, which cuts nothing."""
SETTLING_S = 4.0
"""The users' bounds hold once things were calm for so long."""
EVERYWHERE = "*"
BEAT_S = 0.05
LATE_BEAT_S = 0.25
"""A timer that is later than this shows that the host is too busy for bounds
of some seconds."""


@dataclasses.dataclass(slots=True)
class Disturbance:
    """One fault or planned change.

    Attributes:
        kind: what was done.
        where: a router, a target, "store", "a>b" for a link, or everywhere.
        start: monotonic seconds.
        end: when it was over; infinite while it lasts.
    """

    kind: Kind
    where: str
    start: float
    end: float = math.inf

    def touches(self, name: str) -> bool:
        """Whether it is about `name` or one of its links."""
        return self.where == EVERYWHERE or name in self.where.split(">")


class Diary:
    """All disturbances of a run."""

    def __init__(self):
        self.entries: list[Disturbance] = []

    def begin(self, kind: Kind, where: str, now: float) -> Disturbance:
        """Notes the start of a disturbance."""
        entry = Disturbance(kind, where, now)
        self.entries.append(entry)
        return entry

    def is_calm(
        self,
        names: tuple[str, ...],
        start: float,
        end: float,
        allowed: frozenset[Kind] = frozenset(),
    ) -> bool:
        """Whether nothing but `allowed` disturbed `names` in a time.

        The time begins `SETTLING_S` before `start`.
        """
        return not any(
            entry.start <= end
            and entry.end >= start - SETTLING_S
            and entry.kind not in allowed
            and any(entry.touches(name) for name in names)
            for entry in self.entries
        )


async def watch_host(diary: Diary) -> None:
    """Notes for ever when the host was too busy to wake this task in time."""
    while True:
        slept_at = time.monotonic()
        await asyncio.sleep(BEAT_S)
        woken_at = time.monotonic()
        if woken_at - slept_at > BEAT_S + LATE_BEAT_S:
            entry = diary.begin(Kind.HOST, EVERYWHERE, slept_at)
            entry.end = woken_at
