"""All decisions of one router, driven by events.

A driver owns the sockets and the clock. It hands every event to
`Node.handle`, carries out the effects, and sends `events.Ticked` at the time
that `Node.next_wakeup` names.
"""

import math

from lentilbeam_core import agent as agent_lib
from lentilbeam_core import events
from lentilbeam_core import heartbeats
from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core import node_state
from lentilbeam_core import outcome
from lentilbeam_core import pool_snapshots
from lentilbeam_core import roles
from lentilbeam_core import scheduler as scheduler_lib

MIN_WAKEUP_S = 0.0005
"""Shortest time from an event to the next wake-up."""
MAX_ROUNDS = 8
"""Rounds of messages between this node's own parts for one event."""


Settings = node_state.Settings


class Node:
    """One router's decisions."""

    def __init__(self, settings: Settings, incarnation: ids.Incarnation):
        self.state = node_state.State(settings, incarnation)
        self.membership = self.state.membership
        self.agents = self.state.agents
        self.schedulers = self.state.schedulers
        self.beats = heartbeats.Heartbeats(self.state)
        self.pools_by_request: dict[ids.RequestId, ids.PoolId] = {}
        self.woken_at = math.inf

    def handle(self, event: events.Event, now: float) -> list[events.Effect]:
        """Takes in an event at `now` and returns what to do."""
        if isinstance(event, events.RequestProgressed) and now < self.woken_at:
            self._note_progress(event, now)
            return []
        effects: list[events.Effect] = []
        self._notice_pause(now, effects)
        self._dispatch_event(event, now, effects)
        roles.choose_schedulers(self.state, self.beats, now, effects)
        self._pump(now, effects)
        self.beats.beat(now, effects)
        self.woken_at = max(self._due(now), now + MIN_WAKEUP_S)
        return effects

    def _note_progress(
        self, event: events.RequestProgressed, now: float
    ) -> None:
        """Takes in progress, by far the most frequent event, at little cost.

        Nothing follows from it but a report, which the next tick sends.
        """
        agent = self.agents.get(self.pools_by_request.get(event.name))
        if agent is None:
            return
        agent.progress(event.name, event.cost, now)
        due = max(agent.due(now), now + MIN_WAKEUP_S)
        self.woken_at = min(self.woken_at, due)

    def next_wakeup(self, now: float) -> float | None:
        """Returns when `Ticked` is due, or None if nothing is planned."""
        return None if math.isinf(self.woken_at) else max(self.woken_at, now)

    def snapshot(
        self, now: float
    ) -> dict[ids.PoolId, pool_snapshots.PoolSnapshot]:
        """Returns what operators want to see, by pool."""
        return {
            pool: pool_snapshots.take_snapshot(
                agent, self.schedulers[pool], self.state.followed.get(pool), now
            )
            for pool, agent in self.agents.items()
        }

    def _notice_pause(self, now: float, effects: list[events.Effect]) -> None:
        """Restarts roles that may have been taken over during a pause."""
        late_s = now - self.woken_at
        if late_s <= self.state.settings.membership.silence_s:
            return
        effects.append(
            events.RecordEvent(
                "paused", self.state.settings.name, f"{late_s:.3f} s"
            )
        )
        for pool, scheduler in self.schedulers.items():
            if scheduler.is_active:
                roles.activate(self.state, self.beats, pool, now, effects)

    def _dispatch_event(
        self, event: events.Event, now: float, effects: list[events.Effect]
    ) -> None:
        match event:
            case events.MessageReceived():
                self._receive(event, now, effects)
            case events.InstanceListRead():
                self.membership.read_list(event.instances)
            case events.CatalogueChanged():
                self._configure(event, now)
            case events.TargetReported():
                for agent in self.agents.values():
                    agent.hear_target(event, now)
                for scheduler in self.schedulers.values():
                    scheduler.hear_target(event, self.state.settings.name)
            case events.DrainStarted():
                self.membership.is_leaving = True
                self.beats.hurry()
            case events.Ticked():
                for agent in self.agents.values():
                    effects += agent.tick(now)
            case _:
                self._handle_request(event, now, effects)
        self._forget(effects)

    def _handle_request(
        self, event: events.Event, now: float, effects: list[events.Effect]
    ) -> None:
        if isinstance(event, events.RequestArrived):
            self._arrive(event.request, now, effects)
            return
        agent = self.agents.get(self.pools_by_request.get(event.name))
        if agent is None:
            return
        match event:
            case events.RequestProgressed():
                agent.progress(event.name, event.cost, now)
            case events.RequestEnded():
                effects += agent.end(event.name, event.cost, event.end, now)
                if not agent.holds(event.name):
                    del self.pools_by_request[event.name]
            case events.RequestWithdrawn():
                agent.withdraw(event.name, now)
                if not agent.holds(event.name):
                    del self.pools_by_request[event.name]

    def _arrive(
        self,
        request: events.QueuedRequest,
        now: float,
        effects: list[events.Effect],
    ) -> None:
        agent = self.agents.get(request.pool)
        if agent is None or request.pool not in self.state.catalogue.pools:
            reason = outcome.RefusalReason.UNKNOWN_POOL
            effects.append(events.RefuseRequest(request.name, reason, 0.0))
            return
        self.pools_by_request[request.name] = request.pool
        effects += agent.arrive(request, now)

    def _forget(self, effects: list[events.Effect]) -> None:
        for effect in effects:
            if isinstance(effect, events.RefuseRequest):
                self.pools_by_request.pop(effect.name, None)

    def _receive(
        self,
        event: events.MessageReceived,
        now: float,
        effects: list[events.Effect],
    ) -> None:
        message = event.message
        if isinstance(message, messages.Heartbeat):
            self.membership.hear(event.sender, message, now)
            return
        self.membership.hear_any(event.sender, now)
        if isinstance(message, messages.DemandReport):
            scheduler = self.schedulers.get(message.pool)
            if scheduler is not None:
                scheduler.receive(event.sender, message, now)
        elif self.state.followed.get(message.pool) == event.sender:
            effects += self.agents[message.pool].take_grants(message, now)

    def _configure(self, event: events.CatalogueChanged, now: float) -> None:
        self.state.catalogue = event.catalogue
        self.state.offset = event.offset
        self.state.is_ready = True
        for name, pool in event.catalogue.pools.items():
            if name not in self.agents:
                self.agents[name] = agent_lib.Agent(
                    pool, self.state.incarnation, self.state.settings.agent
                )
                self.schedulers[name] = scheduler_lib.Scheduler(
                    self.state.settings.name,
                    pool,
                    self.state.settings.scheduler,
                )
            self.agents[name].configure(pool, event.catalogue)
            self.schedulers[name].configure(pool, event.catalogue)

    def _pump(self, now: float, effects: list[events.Effect]) -> None:
        """Exchanges reports and grants until nothing more is due."""
        for _ in range(MAX_ROUNDS):
            sent = self._pump_once(now, effects)
            if not sent:
                return

    def _pump_once(self, now: float, effects: list[events.Effect]) -> bool:
        has_local = False
        for pool, agent in self.agents.items():
            scheduler = self.schedulers[pool]
            receiver = self.state.followed[pool]
            for report in agent.report(now):
                if receiver == self.state.settings.name:
                    scheduler.receive(receiver, report, now)
                    has_local = True
                else:
                    self._send(receiver, report, now, effects)
            for addressed in scheduler.run(now):
                if addressed.receiver == self.state.settings.name:
                    effects += agent.take_grants(addressed.update, now)
                    has_local = True
                else:
                    self._send(
                        addressed.receiver, addressed.update, now, effects
                    )
        return has_local

    def _send(
        self,
        receiver: ids.InstanceId,
        message: messages.PeerMessage,
        now: float,
        effects: list[events.Effect],
    ) -> None:
        effects.append(events.SendMessage(receiver, message))
        self.beats.note_sent(receiver, now)

    def _due(self, now: float) -> float:
        dues = [self.beats.due(now)]
        bound_s = self.state.settings.membership.silence_s + 1e-6
        for pool, agent in self.agents.items():
            dues += [agent.due(now), self.schedulers[pool].due(now)]
            if agent.followed_at + bound_s > now:
                dues.append(agent.followed_at + bound_s)
        dues.append(self.membership.next_silence(now))
        return min(dues)
