"""Makes all decisions of one router, driven by events.

A driver owns the sockets and the clock. It passes every event to
`Node.handle`, carries out the returned effects, and sends `events.Ticked` at
the time that `Node.next_wakeup` returns.
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
"""Shortest time from an event to the next wake-up, in seconds."""
MAX_LOCAL_ROUNDS = 8
"""Maximum number of rounds of messages between a node's agents and its own
schedulers per event."""


Settings = node_state.Settings


class Node:
    """Handles the events of one router.

    Attributes:
        state: the router's view of the fleet and its pools.
        membership: states of the other routers; part of `state`.
        agents: the router's agent for each pool; part of `state`.
        schedulers: the scheduler of each pool; part of `state`.
        heartbeat_sender: creates the heartbeats to peers.
        pools_by_request: pool of each request queued or running here.
        wakeup_at: when `events.Ticked` is due, in monotonic seconds;
            infinite before the first event.
    """

    def __init__(self, settings: Settings, incarnation: ids.Incarnation):
        self.state = node_state.State(settings, incarnation)
        self.membership = self.state.membership
        self.agents = self.state.agents
        self.schedulers = self.state.schedulers
        self.heartbeat_sender = heartbeats.HeartbeatSender(self.state)
        self.pools_by_request: dict[ids.RequestId, ids.PoolId] = {}
        self.wakeup_at = math.inf

    def handle(self, event: events.Event, now: float) -> list[events.Effect]:
        """Handles an event and returns the effects to carry out."""
        if isinstance(event, events.RequestProgressed) and now < self.wakeup_at:
            self._note_progress(event, now)
            return []
        effects: list[events.Effect] = []
        self._detect_pause(now, effects)
        self._dispatch_event(event, now, effects)
        roles.choose_schedulers(self.state, self.heartbeat_sender, now, effects)
        self._run_local_rounds(now, effects)
        self.heartbeat_sender.send_due(now, effects)
        self.wakeup_at = max(self._next_due_at(now), now + MIN_WAKEUP_S)
        return effects

    def _note_progress(
        self, event: events.RequestProgressed, now: float
    ) -> None:
        """Handles progress, by far the most frequent event, on a fast path.

        It causes no effects other than a report, which the next tick sends.
        """
        agent = self.agents.get(self.pools_by_request.get(event.name))
        if agent is None:
            return
        agent.record_progress(event.name, event.cost, now)
        due = max(agent.next_due_at(now), now + MIN_WAKEUP_S)
        self.wakeup_at = min(self.wakeup_at, due)

    def next_wakeup(self, now: float) -> float | None:
        """Returns when `Ticked` is due, in monotonic seconds.

        Returns None if no wake-up is planned.
        """
        return None if math.isinf(self.wakeup_at) else max(self.wakeup_at, now)

    def snapshot(
        self, now: float
    ) -> dict[ids.PoolId, pool_snapshots.PoolSnapshot]:
        """Returns a snapshot of each pool for operators."""
        return {
            pool: pool_snapshots.take_snapshot(
                agent,
                self.schedulers[pool],
                self.state.scheduler_by_pool.get(pool),
                now,
            )
            for pool, agent in self.agents.items()
        }

    def _detect_pause(self, now: float, effects: list[events.Effect]) -> None:
        """Reactivates schedulers after a pause of this process.

        Other routers may have replaced them during the pause.
        """
        late_s = now - self.wakeup_at
        if late_s <= self.state.settings.membership.silence_s:
            return
        effects.append(
            events.RecordEvent(
                "paused", self.state.settings.name, f"{late_s:.3f} s"
            )
        )
        for pool, scheduler in self.schedulers.items():
            if scheduler.is_active:
                roles.activate(
                    self.state, self.heartbeat_sender, pool, now, effects
                )

    def _dispatch_event(
        self, event: events.Event, now: float, effects: list[events.Effect]
    ) -> None:
        match event:
            case events.MessageReceived():
                self._receive(event, now, effects)
            case events.InstanceListRead():
                self.membership.set_listed(event.instances)
            case events.CatalogueChanged():
                self._configure(event, now)
            case events.TargetReported():
                for agent in self.agents.values():
                    agent.update_target(event, now)
                for scheduler in self.schedulers.values():
                    scheduler.update_target(event, self.state.settings.name)
            case events.DrainStarted():
                self.membership.is_leaving = True
                self.heartbeat_sender.make_all_due()
            case events.Ticked():
                for agent in self.agents.values():
                    effects += agent.tick(now)
            case _:
                self._handle_request(event, now, effects)
        self._forget_refused(effects)

    def _handle_request(
        self, event: events.Event, now: float, effects: list[events.Effect]
    ) -> None:
        if isinstance(event, events.RequestArrived):
            self._enqueue(event.request, now, effects)
            return
        agent = self.agents.get(self.pools_by_request.get(event.name))
        if agent is None:
            return
        match event:
            case events.RequestProgressed():
                agent.record_progress(event.name, event.cost, now)
            case events.RequestEnded():
                effects += agent.finish_run(
                    event.name, event.cost, event.end, now
                )
                if not agent.has_request(event.name):
                    del self.pools_by_request[event.name]
            case events.RequestWithdrawn():
                agent.remove_queued(event.name, now)
                if not agent.has_request(event.name):
                    del self.pools_by_request[event.name]

    def _enqueue(
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
        effects += agent.enqueue(request, now)

    def _forget_refused(self, effects: list[events.Effect]) -> None:
        for effect in effects:
            if isinstance(effect, events.RefuseRequest):
                self.pools_by_request.pop(effect.name, None)

    def _receive(
        self,
        event: events.MessageReceived,
        now: float,
        effects: list[events.Effect],
    ) -> None:
        # Not a `LoadReport`: these are sent between forwarding routers only.
        message = event.message
        if isinstance(message, messages.Heartbeat):
            self.membership.receive_heartbeat(event.sender, message, now)
            return
        self.membership.record_contact(event.sender, now)
        if isinstance(message, messages.DemandReport):
            scheduler = self.schedulers.get(message.pool)
            if scheduler is not None:
                scheduler.receive(event.sender, message, now)
        elif self.state.scheduler_by_pool.get(message.pool) == event.sender:
            effects += self.agents[message.pool].apply_grants(message, now)

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

    def _run_local_rounds(
        self, now: float, effects: list[events.Effect]
    ) -> None:
        """Passes messages between this router's agents and its schedulers.

        Repeats this until no local message is due, at most
        `MAX_LOCAL_ROUNDS` times. Messages to other routers become effects.
        """
        for _ in range(MAX_LOCAL_ROUNDS):
            sent = self._run_local_round(now, effects)
            if not sent:
                return

    def _run_local_round(
        self, now: float, effects: list[events.Effect]
    ) -> bool:
        """Returns whether any message was passed within this router."""
        has_local_messages = False
        for pool, agent in self.agents.items():
            scheduler = self.schedulers[pool]
            receiver = self.state.scheduler_by_pool[pool]
            for report in agent.report(now):
                if receiver == self.state.settings.name:
                    scheduler.receive(receiver, report, now)
                    has_local_messages = True
                else:
                    self._send(receiver, report, now, effects)
            for addressed in scheduler.run(now):
                if addressed.receiver == self.state.settings.name:
                    effects += agent.apply_grants(addressed.update, now)
                    has_local_messages = True
                else:
                    self._send(
                        addressed.receiver, addressed.update, now, effects
                    )
        return has_local_messages

    def _send(
        self,
        receiver: ids.InstanceId,
        message: messages.PeerMessage,
        now: float,
        effects: list[events.Effect],
    ) -> None:
        effects.append(events.SendMessage(receiver, message))
        self.heartbeat_sender.note_sent(receiver, now)

    def _next_due_at(self, now: float) -> float:
        due_times = [self.heartbeat_sender.next_due_at(now)]
        # A scheduler is suspected only after the limit, hence the margin.
        first_answer_timeout_s = self.state.settings.membership.silence_s + 1e-6
        for pool, agent in self.agents.items():
            due_times += [
                agent.next_due_at(now),
                self.schedulers[pool].next_due_at(now),
            ]
            if agent.session_began_at + first_answer_timeout_s > now:
                due_times.append(
                    agent.session_began_at + first_answer_timeout_s
                )
        due_times.append(self.membership.next_timeout_at(now))
        return min(due_times)
