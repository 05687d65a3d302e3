"""Heartbeats of one router: to whom, and how often."""

import math

from lentilbeam_core import events
from lentilbeam_core import ids
from lentilbeam_core import membership as membership_lib
from lentilbeam_core import messages
from lentilbeam_core import node_state


class HeartbeatSender:
    """When each peer last heard this router.

    Attributes:
        said_at: when anything was last sent to a peer, monotonic seconds.
        promised_s: the interval that the last beat has announced.
    """

    def __init__(self, state: node_state.State):
        self.state = state
        self.last_sent_at: dict[ids.InstanceId, float] = {}
        self.announced_interval_s: dict[ids.InstanceId, float] = {}

    def make_all_due(self) -> None:
        """Makes a beat to every peer due at once."""
        self.last_sent_at = {}

    def note_sent(self, peer: ids.InstanceId, now: float) -> None:
        """Counts a message to `peer` as a sign of life."""
        if peer in self.last_sent_at:
            self.last_sent_at[peer] = now

    def due(self, now: float) -> float:
        """Returns when `beat` is to be called next."""
        dues = [self._next_send_at(peer, now) for peer in self._peers(now)]
        return min(dues, default=math.inf)

    def send_due(self, now: float, effects: list[events.Effect]) -> None:
        """Sends the beats that are due."""
        for peer in self._peers(now):
            interval_s = self._interval_s(peer, now)
            is_shorter = interval_s < self.announced_interval_s.get(
                peer, math.inf
            )
            if now < self._next_send_at(peer, now) and not is_shorter:
                continue
            self.last_sent_at[peer] = now
            self.announced_interval_s[peer] = interval_s
            heartbeat = messages.Heartbeat(
                incarnation=self.state.incarnation,
                leaving=self.state.membership.is_leaving,
                is_ready=self.state.is_ready,
                catalogue_offset=self.state.offset,
                interval_ms=int(interval_s * messages.MS_PER_S),
            )
            effects.append(events.SendMessage(peer, heartbeat))

    def _next_send_at(self, peer: ids.InstanceId, now: float) -> float:
        """Returns when the next beat is due.

        A longer interval holds only once a beat has announced it, or else
        the peer would take this router for unreachable.
        """
        if peer not in self.last_sent_at:
            return now
        announced_interval_s = self.announced_interval_s.get(peer, math.inf)
        interval_s = min(announced_interval_s, self._interval_s(peer, now))
        return self.last_sent_at[peer] + interval_s

    def _interval_s(self, peer: ids.InstanceId, now: float) -> float:
        unreachable = membership_lib.PeerState.UNREACHABLE
        if self.state.membership.state(peer, now) is unreachable:
            return self.state.settings.unreachable_heartbeat_s
        is_scheduler = any(s.is_active for s in self.state.schedulers.values())
        if is_scheduler:
            return self.state.settings.heartbeat_s
        if peer in self.state.scheduler_by_pool.values():
            return self.state.settings.follower_heartbeat_s
        return self.state.settings.slow_heartbeat_s

    def _peers(self, now: float) -> list[ids.InstanceId]:
        gone = membership_lib.PeerState.GONE
        return [
            name
            for name in self.state.membership.names()
            if name != self.state.settings.name
            and self.state.membership.state(name, now) is not gone
        ]
