"""Decides when one router sends heartbeats to its peers."""

import math

from lentilbeam_core import events
from lentilbeam_core import ids
from lentilbeam_core import membership as membership_lib
from lentilbeam_core import messages
from lentilbeam_core import node_state


class HeartbeatSender:
    """Schedules and creates the heartbeats to all peers.

    Attributes:
        state: the node's state.
        last_sent_at: monotonic time of the last message to each peer.
        announced_interval_s: interval, in seconds, that the last heartbeat
            to each peer announced.
    """

    def __init__(self, state: node_state.State):
        self.state = state
        self.last_sent_at: dict[ids.InstanceId, float] = {}
        self.announced_interval_s: dict[ids.InstanceId, float] = {}

    def make_all_due(self) -> None:
        """Makes a heartbeat to every peer due immediately."""
        self.last_sent_at = {}

    def note_sent(self, peer: ids.InstanceId, now: float) -> None:
        """Records another message to `peer`, which replaces a heartbeat."""
        if peer in self.last_sent_at:
            self.last_sent_at[peer] = now

    def next_due_at(self, now: float) -> float:
        """Returns when to call `send_due` next, in monotonic seconds.

        Returns infinity if there are no peers.
        """
        due_times = [self._next_send_at(peer, now) for peer in self._peers(now)]
        return min(due_times, default=math.inf)

    def send_due(self, now: float, effects: list[events.Effect]) -> None:
        """Appends the heartbeats that are due to `effects`."""
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
        """Returns when the next heartbeat to `peer` is due.

        A longer interval applies only after a heartbeat has announced it.
        Otherwise the peer would consider this router unreachable.
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
            return self.state.settings.scheduler_heartbeat_s
        if peer in self.state.scheduler_by_pool.values():
            return self.state.settings.to_scheduler_heartbeat_s
        return self.state.settings.other_heartbeat_s

    def _peers(self, now: float) -> list[ids.InstanceId]:
        gone = membership_lib.PeerState.GONE
        return [
            name
            for name in self.state.membership.names()
            if name != self.state.settings.name
            and self.state.membership.state(name, now) is not gone
        ]
