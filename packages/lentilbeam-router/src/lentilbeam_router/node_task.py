"""The task that owns a router's decisions and applies their effects."""

import asyncio
import dataclasses

from lentilbeam_core import catalogue as catalogue_lib
from lentilbeam_core import clock as clock_lib
from lentilbeam_core import events
from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core import node as node_lib
from lentilbeam_core import outcome
from lentilbeam_core import timeline as timeline_lib
from lentilbeam_router import addresses
from lentilbeam_router import metrics as metrics_lib
from lentilbeam_router import peer_link


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The request may run on the target now."""

    target: catalogue_lib.Target


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request was not run and won't be."""

    reason: outcome.RefusalReason
    retry_after_s: float


Decision = Granted | Refused


class NodeTask:
    """Owns the node; all others talk to it by events and mailboxes."""

    def __init__(
        self,
        node: node_lib.Node,
        clock: clock_lib.Clock,
        link: peer_link.PeerLink,
        metrics: metrics_lib.Metrics,
        timeline: timeline_lib.Timeline,
    ):
        self.node = node
        self.clock = clock
        self.link = link
        self.metrics = metrics
        self.timeline = timeline
        self.inbox: asyncio.Queue[events.Event] = asyncio.Queue()
        self.mailboxes: dict[ids.RequestId, asyncio.Queue[Decision]] = {}
        self.addresses: dict[ids.InstanceId, addresses.Address] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.wakeup: float | None = None

    def post(self, event: events.Event) -> None:
        """Hands an event to the task."""
        self.inbox.put_nowait(event)

    def receive(
        self, sender: ids.InstanceId, message: messages.PeerMessage
    ) -> None:
        """Takes in a peer's message."""
        if isinstance(message, messages.Heartbeat):
            self.timeline.clock.observe(message.stamp)
        self.post(events.MessageReceived(sender, message))

    def open_mailbox(self, name: ids.RequestId) -> asyncio.Queue[Decision]:
        """Returns the queue on which decisions on a request arrive."""
        mailbox: asyncio.Queue[Decision] = asyncio.Queue()
        self.mailboxes[name] = mailbox
        return mailbox

    def close_mailbox(self, name: ids.RequestId) -> None:
        """Forgets a request's mailbox."""
        self.mailboxes.pop(name, None)

    async def run(self) -> None:
        """Takes in events until cancelled."""
        while True:
            event = await self.inbox.get()
            now = self.clock.monotonic()
            for effect in self.node.handle(event, now):
                self._apply(effect)
            if self.inbox.empty():
                self._set_timer(now)

    def _set_timer(self, now: float) -> None:
        wakeup = self.node.next_wakeup(now)
        if wakeup == self.wakeup:
            return
        self.wakeup = wakeup
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if wakeup is not None:
            loop = asyncio.get_running_loop()
            delay = max(0.0, wakeup - now)
            self.timer = loop.call_later(delay, self._tick)

    def _tick(self) -> None:
        self.timer = None
        self.wakeup = None
        self.post(events.Ticked())

    def _apply(self, effect: events.Effect) -> None:
        match effect:
            case events.SendMessage(receiver, message):
                address = self.addresses.get(receiver)
                if address is not None:
                    self.link.send(address, self._stamp(message))
            case events.DispatchRequest(name, target):
                self._deliver(name, Granted(target))
            case events.RefuseRequest(name, reason, retry_after_s):
                self.metrics.count(f"refused.{reason.value}")
                self._deliver(name, Refused(reason, retry_after_s))
            case events.RecordEvent(name, subject, detail):
                self.timeline.record(name, subject, detail)

    def _stamp(self, message: messages.PeerMessage) -> messages.PeerMessage:
        if not isinstance(message, messages.Heartbeat):
            return message
        return dataclasses.replace(message, stamp=self.timeline.clock.tick())

    def _deliver(self, name: ids.RequestId, decision: Decision) -> None:
        mailbox = self.mailboxes.get(name)
        if mailbox is not None:
            mailbox.put_nowait(decision)
            return
        if isinstance(decision, Granted):
            ended = events.RequestEnded(name, 0.0, events.RunEnd.CANCELLED)
            self.post(ended)
