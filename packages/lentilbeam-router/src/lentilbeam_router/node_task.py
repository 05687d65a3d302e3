"""The task that runs a router's decision logic and applies its effects.

`lentilbeam_core.node.Node` decides without doing any I/O. This task passes
events to it one by one and carries out the effects that it returns.
"""

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
    """The request has a slot and may run on the target now."""

    target: catalogue_lib.Target


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The node refused the request; it won't be sent to a target any more.

    If it was queued again after a failure, an earlier attempt may have reached
    a target.

    Attributes:
        reason: why it was refused.
        retry_after_s: time after which a retry makes sense, in seconds.
    """

    reason: outcome.RefusalReason
    retry_after_s: float


Decision = Granted | Refused


class NodeTask:
    """Owns the node. Other tasks use it through events and mailboxes.

    Attributes:
        node: the decision logic.
        clock: the router's clock.
        link: sends messages to other routers.
        metrics: counters and histograms of the process.
        timeline: records changes of state.
        inbox: events that are not handled yet.
        mailboxes: queues for decisions on open requests, by request.
        addresses: UDP addresses of routers, by instance.
        timer: timer for `wakeup`, or None.
        wakeup: monotonic time at which the node wants to run next, or None
            if it waits for events only.
    """

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
        """Queues an event for the task."""
        self.inbox.put_nowait(event)

    def receive(
        self, sender: ids.InstanceId, message: messages.PeerMessage
    ) -> None:
        """Queues a message from another router."""
        if isinstance(message, messages.Heartbeat):
            self.timeline.clock.observe(message.stamp)
        self.post(events.MessageReceived(sender, message))

    def open_mailbox(
        self, request_id: ids.RequestId
    ) -> asyncio.Queue[Decision]:
        """Returns a new queue that receives the decisions on a request."""
        mailbox: asyncio.Queue[Decision] = asyncio.Queue()
        self.mailboxes[request_id] = mailbox
        return mailbox

    def close_mailbox(self, request_id: ids.RequestId) -> None:
        """Removes a request's mailbox.

        The slots of grants that arrive later are released.
        """
        self.mailboxes.pop(request_id, None)

    async def run(self) -> None:
        """Handles events until cancelled."""
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
                    self.link.send(address, self._add_stamp(message))
            case events.DispatchRequest(request_id, target):
                self._deliver(request_id, Granted(target))
            case events.RefuseRequest(request_id, reason, retry_after_s):
                self.metrics.count(f"refused.{reason.value}")
                self._deliver(request_id, Refused(reason, retry_after_s))
            case events.RecordEvent(name, subject, detail):
                self.timeline.record(name, subject, detail)

    def _add_stamp(self, message: messages.PeerMessage) -> messages.PeerMessage:
        if not isinstance(message, messages.Heartbeat):
            return message
        return dataclasses.replace(message, stamp=self.timeline.clock.tick())

    def _deliver(self, request_id: ids.RequestId, decision: Decision) -> None:
        mailbox = self.mailboxes.get(request_id)
        if mailbox is not None:
            mailbox.put_nowait(decision)
            return
        if isinstance(decision, Granted):
            ended = events.RequestEnded(
                request_id, 0.0, events.RunEnd.CANCELLED
            )
            self.post(ended)
