"""Baseline policies with the interface of `lentilbeam_core.node.Node`.

Each policy has a queue and a number of slots at each target. The ideal
policies have one queue for the whole fleet, the others one per router.
"""

import dataclasses

from bench import fair_queue
from lentilbeam_core import catalogue as catalogue_lib
from lentilbeam_core import events
from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core import outcome

AVOID_TARGET_S = 1.0
"""Time for which a target gets no requests after it failed one."""

QUEUE_FULL_RETRY_S = 1.0
GOSSIP_INTERVAL_S = 0.2


@dataclasses.dataclass(slots=True)
class Slots:
    """Slots of one target that a queue may use.

    Attributes:
        target: the target.
        limit: number of slots.
        used: number of occupied slots.
        avoided_until: time before which the target gets no requests.
        is_draining: whether the target admits no more requests.
    """

    target: catalogue_lib.Target
    limit: int
    used: int = 0
    avoided_until: float = 0.0
    is_draining: bool = False

    def is_usable(self, now: float) -> bool:
        """Returns whether a request may be dispatched to the target."""
        is_open = not self.is_draining and now >= self.avoided_until
        return is_open and self.used < self.limit


@dataclasses.dataclass(slots=True)
class Run:
    """A dispatched request.

    Attributes:
        request: the request.
        slots: slots of the target that it runs at.
        charged: cost that was charged to the workspace so far, at first an
            estimate.
        served: cost that the target has reported so far.
    """

    request: events.QueuedRequest
    slots: Slots
    charged: float
    served: float = 0.0


class Dispatcher:
    """Dispatches queued requests to free slots, in the order of its queue.

    Attributes:
        catalogue: catalogue in force.
        queue: waiting requests.
        slots: slots of all targets.
        runs: dispatched requests by id.
        served: total cost served to each workspace.
    """

    def __init__(
        self,
        catalogue: catalogue_lib.Catalogue,
        slots: list[Slots],
        make_queue: fair_queue.QueueFactory,
    ):
        self.catalogue = catalogue
        names = catalogue.workspaces
        weights = {name: catalogue.weight(name) for name in names}
        self.queue = make_queue(weights)
        self.slots = slots
        self.runs: dict[ids.RequestId, Run] = {}
        self.served = dict.fromkeys(names, 0.0)

    def enqueue(self, request: events.QueuedRequest) -> list[events.Effect]:
        """Queues a request, or refuses it if its workspace's queue is full."""
        limits = self.catalogue.workspaces[request.workspace].limits
        if self.queue.length(request.workspace) >= limits.queue_length:
            reason = outcome.RefusalReason.QUEUE_FULL
            refusal = events.RefuseRequest(
                request.name, reason, QUEUE_FULL_RETRY_S
            )
            return [refusal]
        self.queue.push(request)
        return []

    def update_run(self, event: events.RequestProgressed) -> None:
        """Updates the cost of a run from a progress report."""
        run = self.runs.get(event.name)
        if run:
            self._settle(run, event.cost, max(run.charged, event.cost))

    def end_run(self, event: events.RequestEnded, now: float) -> None:
        """Frees the slot of a run and charges its final cost.

        A request that did not reach its target is queued again.
        """
        run = self.runs.pop(event.name, None)
        if run is None:
            return
        run.slots.used -= 1
        self._settle(run, event.cost, event.cost)
        if event.end is events.RunEnd.UNREACHABLE:
            self.queue.push(run.request)
        if event.end is not events.RunEnd.COMPLETED:
            run.slots.avoided_until = now + AVOID_TARGET_S

    def apply_target_report(self, event: events.TargetReported) -> None:
        """Applies a target's load report."""
        for slots in self.slots:
            if slots.target.name == event.target:
                slots.is_draining = event.draining

    def dispatch(self, now: float) -> list[events.Effect]:
        """Dispatches requests as long as there are usable slots."""
        effects: list[events.Effect] = []
        while usable := [s for s in self.slots if s.is_usable(now)]:
            request = self.queue.pop()
            if request is None:
                break
            slots = min(usable, key=lambda s: s.used / s.limit)
            slots.used += 1
            estimate = request.cost_hint or 0.0
            self.runs[request.name] = Run(request, slots, estimate)
            self.queue.charge(request.workspace, estimate)
            effects.append(events.DispatchRequest(request.name, slots.target))
        return effects

    def _settle(self, run: Run, served: float, charged: float) -> None:
        workspace = run.request.workspace
        self.queue.charge(workspace, charged - run.charged)
        self.served[workspace] += served - run.served
        run.charged = charged
        run.served = served


class QueueNode:
    """A router that uses a single dispatcher.

    Attributes:
        dispatcher: queue and slots of the router.
        gossip: exchange of service counters with peers, or None.
    """

    def __init__(self, dispatcher: Dispatcher, gossip: "Gossip | None" = None):
        self.dispatcher = dispatcher
        self.gossip = gossip

    def handle(self, event: events.Event, now: float) -> list[events.Effect]:
        """Handles an event and returns the effects."""
        effects: list[events.Effect] = []
        match event:
            case events.RequestArrived():
                effects.extend(self.dispatcher.enqueue(event.request))
            case events.RequestProgressed():
                self.dispatcher.update_run(event)
            case events.RequestEnded():
                self.dispatcher.end_run(event, now)
            case events.RequestWithdrawn():
                self.dispatcher.queue.remove(event.name)
            case events.TargetReported():
                self.dispatcher.apply_target_report(event)
            case events.MessageReceived() if self.gossip:
                self.gossip.apply_report(event)
            case events.Ticked() if self.gossip:
                effects.extend(self.gossip.send_reports(now))
        effects.extend(self.dispatcher.dispatch(now))
        return effects

    def next_wakeup(self, now: float) -> float | None:
        """Returns the time of the next gossip round; None without gossip."""
        return self.gossip.next_round_at if self.gossip else None


class Gossip:
    """Exchanges service counters, so that virtual times include peers' service.

    Attributes:
        next_round_at: time of the next round.
        sequence: sequence number of the last report.
        last_sent: service counters by workspace in the last report.
        last_received: last service counter of each peer by workspace.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        pool: ids.PoolId,
        incarnation: ids.Incarnation,
        peers: list[ids.InstanceId],
        start: float,
    ):
        self.dispatcher = dispatcher
        self.pool = pool
        self.incarnation = incarnation
        self.peers = peers
        self.next_round_at = start
        self.sequence = 0
        self.last_sent: dict[ids.WorkspaceId, float] = {}
        self.last_received: dict[
            tuple[ids.InstanceId, ids.Incarnation, ids.WorkspaceId], float
        ] = {}

    def send_reports(self, now: float) -> list[events.Effect]:
        """Returns reports of the changed counters to all peers, when due."""
        if now < self.next_round_at:
            return []
        self.next_round_at = now + GOSSIP_INTERVAL_S
        served = self.dispatcher.served
        changed = [n for n in served if self.last_sent.get(n, 0.0) != served[n]]
        if not changed:
            return []
        self.last_sent = {**served}
        self.sequence += 1
        report = self._build_report(changed)
        return [events.SendMessage(peer, report) for peer in self.peers]

    def apply_report(self, event: events.MessageReceived) -> None:
        """Charges workspaces for service given by a peer."""
        report = event.message
        if not isinstance(report, messages.DemandReport):
            return
        for item in report.workspaces:
            key = (event.sender, report.incarnation, item.workspace)
            increase = item.served - self.last_received.get(key, 0.0)
            if increase > 0:
                self.last_received[key] = item.served
                self.dispatcher.queue.charge(item.workspace, increase)

    def _build_report(
        self, names: list[ids.WorkspaceId]
    ) -> messages.DemandReport:
        queue = self.dispatcher.queue
        items = tuple(
            messages.WorkspaceDemand(
                workspace=name,
                queued=queue.length(name),
                oldest_age_ms=0,
                served=self.dispatcher.served[name],
                next_cost=0.0,
            )
            for name in names
        )
        return messages.DemandReport(
            pool=self.pool,
            incarnation=self.incarnation,
            session=0,
            sequence=self.sequence,
            part=0,
            parts=1,
            acknowledged=0,
            is_full=False,
            floor=0.0,
            workspaces=items,
            slots=(),
            targets=(),
        )
