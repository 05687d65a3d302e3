"""All decisions of one router, driven by events.

A driver owns the sockets and the clock. It hands every event to
`Node.handle`, carries out the effects, and sends `events.Ticked` at the time
that `Node.next_wakeup` names.
"""

import dataclasses
import math

from lentilbeam_core import agent as agent_lib
from lentilbeam_core import catalogue as catalogue_lib
from lentilbeam_core import events
from lentilbeam_core import ids
from lentilbeam_core import membership as membership_lib
from lentilbeam_core import messages
from lentilbeam_core import outcome
from lentilbeam_core import rendezvous
from lentilbeam_core import scheduler as scheduler_lib
from lentilbeam_core import snapshots

MIN_WAKEUP_S = 0.0005
"""Shortest time from an event to the next wake-up."""
MAX_ROUNDS = 8
"""Rounds of messages between this node's own parts for one event."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one router's decisions.

    Attributes:
        name: this instance.
        data_centre: where it runs.
        membership: settings of membership.
        heartbeat_s: interval of heartbeats from a pool's scheduler.
        follower_heartbeat_s: interval of heartbeats to it.
        slow_heartbeat_s: interval of heartbeats between all others.
        silent_heartbeat_s: interval of heartbeats to unreachable peers.
        agent: settings of the router's side of pools.
        scheduler: settings of pools' schedulers.
    """

    name: ids.InstanceId
    data_centre: ids.DataCentreId
    membership: membership_lib.Settings = membership_lib.Settings()
    heartbeat_s: float = 0.21
    follower_heartbeat_s: float = 0.3
    slow_heartbeat_s: float = 4.0
    silent_heartbeat_s: float = 0.5
    agent: agent_lib.Settings = agent_lib.Settings()
    scheduler: scheduler_lib.Settings = scheduler_lib.Settings()


class Node:
    """One router's decisions."""

    def __init__(self, settings: Settings, incarnation: ids.Incarnation):
        self.settings = settings
        self.incarnation = incarnation
        self.membership = membership_lib.Membership(
            settings.name, settings.membership
        )
        self.catalogue = catalogue_lib.EMPTY
        self.offset = ids.Offset(0)
        self.is_ready = False
        self.agents: dict[ids.PoolId, agent_lib.Agent] = {}
        self.schedulers: dict[ids.PoolId, scheduler_lib.Scheduler] = {}
        self.followed: dict[ids.PoolId, ids.InstanceId] = {}
        self.follow_until: dict[ids.PoolId, float] = {}
        self.pools_by_request: dict[ids.RequestId, ids.PoolId] = {}
        self.said_at: dict[ids.InstanceId, float] = {}
        self.promised_s: dict[ids.InstanceId, float] = {}
        self.handled_at = -math.inf
        self.woken_at = math.inf

    def handle(self, event: events.Event, now: float) -> list[events.Effect]:
        """Takes in an event at `now` and returns what to do."""
        if isinstance(event, events.RequestProgressed) and now < self.woken_at:
            self._note_progress(event, now)
            return []
        effects: list[events.Effect] = []
        self._notice_pause(now, effects)
        self._dispatch_event(event, now, effects)
        self._choose_schedulers(now, effects)
        self._pump(now, effects)
        self._beat(now, effects)
        self.handled_at = now
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

    def snapshot(self, now: float) -> dict[ids.PoolId, snapshots.PoolSnapshot]:
        """Returns what operators want to see, by pool."""
        return {
            pool: snapshots.take(
                agent, self.schedulers[pool], self.followed.get(pool), now
            )
            for pool, agent in self.agents.items()
        }

    def _notice_pause(self, now: float, effects: list[events.Effect]) -> None:
        """Restarts roles that may have been taken over during a pause."""
        late_s = now - self.woken_at
        if late_s <= self.settings.membership.silence_s:
            return
        effects.append(
            events.RecordEvent("paused", self.settings.name, f"{late_s:.3f} s")
        )
        for pool, scheduler in self.schedulers.items():
            if scheduler.is_active:
                self._activate(pool, now, effects)

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
                    scheduler.hear_target(event, self.settings.name)
            case events.DrainStarted():
                self.membership.is_leaving = True
                self.said_at = {}
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
        if agent is None or request.pool not in self.catalogue.pools:
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
        elif self.followed.get(message.pool) == event.sender:
            effects += self.agents[message.pool].take_grants(message, now)

    def _configure(self, event: events.CatalogueChanged, now: float) -> None:
        self.catalogue = event.catalogue
        self.offset = event.offset
        self.is_ready = True
        for name, pool in event.catalogue.pools.items():
            if name not in self.agents:
                self.agents[name] = agent_lib.Agent(
                    pool, self.incarnation, self.settings.agent
                )
                self.schedulers[name] = scheduler_lib.Scheduler(
                    self.settings.name, pool, self.settings.scheduler
                )
            self.agents[name].configure(pool, event.catalogue)
            self.schedulers[name].configure(pool, event.catalogue)

    def _members(self, now: float) -> scheduler_lib.Members:
        states = membership_lib.PeerState
        named = {
            name: self.membership.state(name, now)
            for name in self.membership.names()
        }
        heard = {
            name: self._data_centre(name)
            for name, state in named.items()
            if state in (states.LIVE, states.LEAVING)
            and self.membership.is_heard(name, now)
        }
        live = frozenset(n for n, s in named.items() if s is states.LIVE)
        silent = sum(s is states.UNREACHABLE for s in named.values())
        known = frozenset(n for n, s in named.items() if s is not states.GONE)
        return scheduler_lib.Members(heard, live, known, len(live) + silent)

    def _data_centre(self, name: ids.InstanceId) -> ids.DataCentreId | None:
        if name == self.settings.name:
            return self.settings.data_centre
        listed = self.membership.listed.get(name)
        return listed.data_centre if listed else None

    def _can_schedule(self, name: ids.InstanceId) -> bool:
        if name == self.settings.name:
            return self.is_ready
        return self.membership.peers[name].is_ready

    def _choose_schedulers(
        self, now: float, effects: list[events.Effect]
    ) -> None:
        """Follows the scheduler that this node's own view names."""
        self._suspect_silent(now)
        members = self._members(now)
        able = [n for n in sorted(members.live) if self._can_schedule(n)]
        if not able:
            able = [n for n in sorted(members.heard) if self._can_schedule(n)]
        for pool, agent in self.agents.items():
            chosen = rendezvous.choose(pool, able) or self.settings.name
            scheduler = self.schedulers[pool]
            is_mine = chosen == self.settings.name
            if members != scheduler.state.members:
                scheduler.set_members(members, now)
            if is_mine and not scheduler.is_active:
                self._activate(pool, now, effects)
            elif scheduler.is_active and not is_mine:
                scheduler.deactivate()
                agent.adopt(scheduler.virtual_times(), scheduler.floor())
            if self.followed.get(pool) != chosen:
                self.followed[pool] = chosen
                agent.follow(chosen, is_mine, now)
                effects.append(events.RecordEvent("follow", pool, chosen))

    def _suspect_silent(self, now: float) -> None:
        """Gives up schedulers that were not heard since they were chosen."""
        bound_s = self.settings.membership.silence_s
        for pool, chosen in self.followed.items():
            asked_at = self.agents[pool].followed_at
            peer = self.membership.peers.get(chosen)
            if peer is None or now - asked_at <= bound_s:
                continue
            if peer.last_heard <= asked_at:
                self.membership.suspect(chosen)

    def _activate(
        self, pool: ids.PoolId, now: float, effects: list[events.Effect]
    ) -> None:
        scheduler = self.schedulers[pool]
        scheduler.activate(now)
        self.said_at = {}
        effects.append(
            events.RecordEvent("schedule", pool, f"term {scheduler.term}")
        )

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
            receiver = self.followed[pool]
            for report in agent.report(now):
                if receiver == self.settings.name:
                    scheduler.receive(receiver, report, now)
                    has_local = True
                else:
                    self._send(receiver, report, now, effects)
            for addressed in scheduler.run(now):
                if addressed.receiver == self.settings.name:
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
        if receiver in self.said_at:
            self.said_at[receiver] = now

    def _interval_s(self, peer: ids.InstanceId, now: float) -> float:
        unreachable = membership_lib.PeerState.UNREACHABLE
        if self.membership.state(peer, now) is unreachable:
            return self.settings.silent_heartbeat_s
        is_scheduler = any(s.is_active for s in self.schedulers.values())
        if is_scheduler:
            return self.settings.heartbeat_s
        if peer in self.followed.values():
            return self.settings.follower_heartbeat_s
        return self.settings.slow_heartbeat_s

    def _peers(self, now: float) -> list[ids.InstanceId]:
        gone = membership_lib.PeerState.GONE
        return [
            name
            for name in self.membership.names()
            if name != self.settings.name
            and self.membership.state(name, now) is not gone
        ]

    def _beat(self, now: float, effects: list[events.Effect]) -> None:
        for peer in self._peers(now):
            interval_s = self._interval_s(peer, now)
            is_shorter = interval_s < self.promised_s.get(peer, math.inf)
            if now < self._beat_due(peer, now) and not is_shorter:
                continue
            self.said_at[peer] = now
            self.promised_s[peer] = interval_s
            beat = messages.Heartbeat(
                incarnation=self.incarnation,
                leaving=self.membership.is_leaving,
                is_ready=self.is_ready,
                catalogue_offset=self.offset,
                interval_ms=int(interval_s * 1000),
            )
            effects.append(events.SendMessage(peer, beat))

    def _beat_due(self, peer: ids.InstanceId, now: float) -> float:
        """Returns when the next beat is due.

        A longer interval holds only once a beat has announced it, or else
        the peer would take this router for unreachable.
        """
        if peer not in self.said_at:
            return now
        promised_s = self.promised_s.get(peer, math.inf)
        interval_s = min(promised_s, self._interval_s(peer, now))
        return self.said_at[peer] + interval_s

    def _due(self, now: float) -> float:
        dues = [self._beat_due(peer, now) for peer in self._peers(now)]
        bound_s = self.settings.membership.silence_s + 1e-6
        for pool, agent in self.agents.items():
            dues += [agent.due(now), self.schedulers[pool].due(now)]
            if agent.followed_at + bound_s > now:
                dues.append(agent.followed_at + bound_s)
        dues.append(self.membership.next_silence(now))
        return min(dues, default=math.inf)
