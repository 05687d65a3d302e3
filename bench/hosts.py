"""Hosts of router decisions: they can be paused, killed and restarted."""

import collections
from collections.abc import Callable
import time
from typing import Protocol

from bench import simulation
from lentilbeam_core import events
from lentilbeam_core import ids

SOCKET_BUFFER_DATAGRAMS = 256
"""Datagrams that are kept for a paused router; later ones are lost."""

TIMER_RESOLUTION_S = 0.001


class Node(Protocol):
    """The decisions of one router, see `lentilbeam_core.events`."""

    def handle(self, event: events.Event, now: float) -> list[events.Effect]:
        """Takes one event in and returns the effects."""

    def next_wakeup(self, now: float) -> float | None:
        """Returns when `Ticked` is wanted, if at all."""


class Host:
    """Feeds one node with events and timers.

    Attributes:
        cpu_s: processor time spent in `Node.handle`, in real seconds.
    """

    def __init__(
        self,
        loop: simulation.Simulation,
        name: ids.InstanceId,
        apply: Callable[[ids.InstanceId, events.Effect], None],
    ):
        self.loop = loop
        self.name = name
        self.apply = apply
        self.node: Node | None = None
        self.is_paused = False
        self.inbox: collections.deque[events.Event] = collections.deque()
        self.wakeup: float | None = None
        self.cpu_s = 0.0
        self.handled = 0

    @property
    def is_alive(self) -> bool:
        """Whether the process exists, paused or not."""
        return self.node is not None

    def start(self, node: Node) -> None:
        """Starts a process that knows nothing."""
        self.node = node
        self.is_paused = False
        self.inbox.clear()
        self.wakeup = None

    def kill(self) -> None:
        """Ends the process with all that it knew."""
        self.node = None
        self.inbox.clear()
        self.wakeup = None

    def pause(self) -> None:
        """Stops the process; events queue up and the clock goes on."""
        self.is_paused = True

    def resume(self) -> None:
        """Lets the process go on.

        As in asyncio, one datagram is read before the timers run.
        """
        self.is_paused = False
        pending = [*self.inbox]
        self.inbox.clear()
        pending.insert(min(1, len(pending)), events.Ticked())
        for event in pending:
            self.deliver(event)

    def deliver(self, event: events.Event) -> None:
        """Hands an event to the node, now or after the pause."""
        if self.node is None:
            return
        if self.is_paused:
            self._keep(event)
            return
        started = time.perf_counter()
        effects = self.node.handle(event, self.loop.now)
        self.cpu_s += time.perf_counter() - started
        self.handled += 1
        for effect in effects:
            self.apply(self.name, effect)
        is_tick = isinstance(event, events.Ticked)
        self._arm(TIMER_RESOLUTION_S if is_tick else 0.0)

    def _keep(self, event: events.Event) -> None:
        is_datagram = isinstance(event, events.MessageReceived)
        if not is_datagram or len(self.inbox) < SOCKET_BUFFER_DATAGRAMS:
            self.inbox.append(event)

    def _arm(self, floor: float) -> None:
        if self.node is None:
            return
        due = self.node.next_wakeup(self.loop.now)
        if due is None:
            return
        due = max(due, self.loop.now + floor)
        if self.wakeup is None or due < self.wakeup:
            self.wakeup = due
            self.loop.at(due, lambda: self._wake(due))

    def _wake(self, due: float) -> None:
        if self.wakeup != due:
            return
        self.wakeup = None
        if self.node is None or self.is_paused:
            return
        wanted = self.node.next_wakeup(self.loop.now)
        if wanted is not None and wanted <= self.loop.now:
            self.deliver(events.Ticked())
        self._arm(TIMER_RESOLUTION_S)
