"""Log of the faults and planned changes of a soak run.

Checks use it to find out whether a component was undisturbed at some time.
"""

import asyncio
import dataclasses
import enum
import math
import time


class Kind(enum.Enum):
    """Kinds of disturbances."""

    KILL = "kill"
    PAUSE = "pause"
    TERMINATE = "terminate"
    RELOAD = "hang_up"
    LINK = "link"
    RESET = "reset"
    STORE = "store"
    PUBLISH = "publish"
    DRAIN = "drain"
    QUIET = "quiet"  # A target turns requests away for a while.
    EVACUATE = "evacuate"  # A data centre gets no new requests.
    HOST = "host"  # The machine that runs the soak test was overloaded.


PLANNED = {
    Kind.TERMINATE,
    Kind.RELOAD,
    Kind.PUBLISH,
    Kind.DRAIN,
    Kind.QUIET,
    Kind.EVACUATE,
}
"""Planned changes by an operator, which must not abort any request."""
RECOVERY_S = 4.0
"""The guarantees apply again this long after the last disturbance."""
EVERYWHERE = "*"
"""Component of a disturbance that affects all components."""
TIMER_INTERVAL_S = 0.05
MAX_TIMER_DELAY_S = 0.25
"""A timer that fires later than this shows that the host is too busy for
checks with time limits of a few seconds."""


@dataclasses.dataclass(slots=True)
class Disturbance:
    """One fault or planned change.

    Attributes:
        kind: what was done.
        component: name of a router or target, "store", "a>b" for the link
            from a to b, or `EVERYWHERE`.
        start: when it began, in monotonic seconds.
        end: when it ended, in monotonic seconds; infinite until then.
    """

    kind: Kind
    component: str
    start: float
    end: float = math.inf

    def affects(self, name: str) -> bool:
        """Whether the disturbance affects `name`.

        It does if it is the component itself, an end of the link, or the
        component is `EVERYWHERE`. `name` must not be a link.
        """
        return self.component == EVERYWHERE or name in self.component.split(">")


class DisturbanceLog:
    """All disturbances of a run, in the order of their starts."""

    def __init__(self):
        self.entries: list[Disturbance] = []

    def add(self, kind: Kind, component: str, now: float) -> Disturbance:
        """Adds a disturbance that starts now.

        Returns:
            The new entry. The caller sets its `end` when it is over.
        """
        entry = Disturbance(kind, component, now)
        self.entries.append(entry)
        return entry

    def is_undisturbed(
        self,
        components: tuple[str, ...],
        start: float,
        end: float,
        allowed: frozenset[Kind] = frozenset(),
    ) -> bool:
        """Tells whether no disturbance affected components in an interval.

        The interval begins `RECOVERY_S` before `start`, so that the
        components had time to recover from earlier disturbances.

        Args:
            components: names of routers, targets or the store; links are found
                by their ends.
            start: start of the interval, in monotonic seconds.
            end: end of the interval, in monotonic seconds.
            allowed: kinds of disturbances to ignore.
        """
        return not any(
            entry.start <= end
            and entry.end >= start - RECOVERY_S
            and entry.kind not in allowed
            and any(entry.affects(name) for name in components)
            for entry in self.entries
        )


async def monitor_host(disturbance_log: DisturbanceLog) -> None:
    """Logs when the host is too busy to wake this task in time.

    Runs until cancelled.
    """
    while True:
        started_at = time.monotonic()
        await asyncio.sleep(TIMER_INTERVAL_S)
        woken_at = time.monotonic()
        if woken_at - started_at > TIMER_INTERVAL_S + MAX_TIMER_DELAY_S:
            entry = disturbance_log.add(Kind.HOST, EVERYWHERE, started_at)
            entry.end = woken_at
