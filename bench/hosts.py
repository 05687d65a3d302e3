"""Simulated router processes, which can be paused, killed and restarted."""

import collections
from collections.abc import Callable
import time
from typing import Protocol

from bench import simulation
from lentilbeam_core import events
from lentilbeam_core import ids

SOCKET_BUFFER_DATAGRAMS = 256
"""Number of buffered events, of all kinds, at which a paused router starts to
lose datagrams."""

TIMER_RESOLUTION_S = 0.001
"""Shortest time between two timer events."""


class Node(Protocol):
    """The decision logic of one router, see `lentilbeam_core.events`."""

    def handle(self, event: events.Event, now: float) -> list[events.Effect]:
        """Processes one event at time `now` and returns its effects."""

    def next_wakeup(self, now: float) -> float | None:
        """Returns when the node needs `Ticked`; None if not at all."""


class Host:
    """Delivers events and timer ticks to one node.

    Attributes:
        loop: the simulation loop.
        name: instance id of the router.
        apply_effect: carries out an effect of the node.
        node: the node; None while the process doesn't run.
        is_paused: whether the process is paused.
        buffered_events: events that arrived during a pause.
        wakeup_at: virtual time of the next timer check; None if none is due.
        handling_s: wall time spent in `Node.handle`, in seconds.
        handled_count: number of events that the node has handled.
    """

    def __init__(
        self,
        loop: simulation.Simulation,
        name: ids.InstanceId,
        apply_effect: Callable[[ids.InstanceId, events.Effect], None],
    ):
        self.loop = loop
        self.name = name
        self.apply_effect = apply_effect
        self.node: Node | None = None
        self.is_paused = False
        self.buffered_events: collections.deque[events.Event] = (
            collections.deque()
        )
        self.wakeup_at: float | None = None
        self.handling_s = 0.0
        self.handled_count = 0

    @property
    def is_alive(self) -> bool:
        """Whether the process runs or is paused."""
        return self.node is not None

    def start(self, node: Node) -> None:
        """Starts the process with a node that has no state yet."""
        self.node = node
        self.is_paused = False
        self.buffered_events.clear()
        self.wakeup_at = None

    def kill(self) -> None:
        """Ends the process and discards its state."""
        self.node = None
        self.buffered_events.clear()
        self.wakeup_at = None

    def pause(self) -> None:
        """Pauses the process; events are buffered and the clock advances."""
        self.is_paused = True

    def resume(self) -> None:
        """Resumes the process and delivers the buffered events.

        As in asyncio, one event is delivered before the timers run.
        """
        self.is_paused = False
        events_to_deliver = [*self.buffered_events]
        self.buffered_events.clear()
        events_to_deliver.insert(
            min(1, len(events_to_deliver)), events.Ticked()
        )
        for event in events_to_deliver:
            self.deliver(event)

    def deliver(self, event: events.Event) -> None:
        """Passes an event to the node, or buffers it during a pause."""
        if self.node is None:
            return
        if self.is_paused:
            self._buffer(event)
            return
        started_at = time.perf_counter()
        effects = self.node.handle(event, self.loop.now)
        self.handling_s += time.perf_counter() - started_at
        self.handled_count += 1
        for effect in effects:
            self.apply_effect(self.name, effect)
        is_tick = isinstance(event, events.Ticked)
        self._schedule_wakeup(TIMER_RESOLUTION_S if is_tick else 0.0)

    def _buffer(self, event: events.Event) -> None:
        is_datagram = isinstance(event, events.MessageReceived)
        if (
            not is_datagram
            or len(self.buffered_events) < SOCKET_BUFFER_DATAGRAMS
        ):
            self.buffered_events.append(event)

    def _schedule_wakeup(self, min_delay_s: float) -> None:
        if self.node is None:
            return
        due_at = self.node.next_wakeup(self.loop.now)
        if due_at is None:
            return
        due_at = max(due_at, self.loop.now + min_delay_s)
        if self.wakeup_at is None or due_at < self.wakeup_at:
            self.wakeup_at = due_at
            self.loop.call_at(due_at, lambda: self._run_timers(due_at))

    def _run_timers(self, due_at: float) -> None:
        if self.wakeup_at != due_at:
            return
        self.wakeup_at = None
        if self.node is None or self.is_paused:
            return
        next_due_at = self.node.next_wakeup(self.loop.now)
        if next_due_at is not None and next_due_at <= self.loop.now:
            self.deliver(events.Ticked())
        self._schedule_wakeup(TIMER_RESOLUTION_S)
