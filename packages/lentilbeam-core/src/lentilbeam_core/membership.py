"""Membership: the platform's instance list joined with direct heartbeats.

An instance that is listed live but silent is unreachable, and may still be
at work; one that the list has dropped is gone. Neither source alone decides.
"""

import dataclasses
import enum
import math

from lentilbeam_core import events
from lentilbeam_core import ids
from lentilbeam_core import messages


class PeerState(enum.Enum):
    """What a router believes of a peer."""

    LIVE = "live"
    LEAVING = "leaving"
    UNREACHABLE = "unreachable"
    GONE = "gone"


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of membership.

    Attributes:
        silence_s: a pool's scheduler unheard for this long is unreachable.
        missed_beats: any peer that is overdue by this many of the
            heartbeat intervals that it announced is unreachable.
    """

    silence_s: float = 0.45
    missed_beats: float = 2.5


@dataclasses.dataclass(slots=True)
class Peer:
    """What is known of one peer."""

    incarnation: ids.Incarnation = ids.Incarnation(0)
    last_heard: float = float("-inf")
    interval_s: float = 0.0
    said_leaving: bool = False
    is_ready: bool = False
    catalogue_offset: ids.Offset = ids.Offset(0)


class Membership:
    """One router's view of all routers, itself included."""

    def __init__(self, me: ids.InstanceId, settings: Settings):
        self.me = me
        self.settings = settings
        self.listed: dict[ids.InstanceId, events.ListedInstance] = {}
        self.peers: dict[ids.InstanceId, Peer] = {}
        self.is_leaving = False

    def read_list(self, instances: tuple[events.ListedInstance, ...]) -> None:
        """Takes in the platform's instance list."""
        self.listed = {instance.name: instance for instance in instances}

    def hear(
        self, sender: ids.InstanceId, beat: messages.Heartbeat, now: float
    ) -> bool:
        """Takes in a heartbeat; returns whether the peer was restarted.

        A beat of an earlier incarnation is late and is dropped.
        """
        peer = self.peers.setdefault(sender, Peer())
        if beat.incarnation < peer.incarnation:
            return False
        was_restarted = beat.incarnation > peer.incarnation
        peer.incarnation = beat.incarnation
        peer.last_heard = now
        peer.interval_s = beat.interval_ms / 1000
        peer.said_leaving = beat.leaving
        peer.is_ready = beat.is_ready
        peer.catalogue_offset = beat.catalogue_offset
        return was_restarted

    def hear_any(self, sender: ids.InstanceId, now: float) -> None:
        """Takes any other message as a sign of life of a known peer."""
        peer = self.peers.get(sender)
        if peer is not None:
            peer.last_heard = max(peer.last_heard, now)

    def suspect(self, name: ids.InstanceId) -> None:
        """Takes the peer for unreachable until it is heard again."""
        peer = self.peers.get(name)
        if peer is not None:
            peer.last_heard = float("-inf")

    def bound_s(self, peer: Peer) -> float:
        """Returns the silence after which `peer` is unreachable."""
        missed_s = self.settings.missed_beats * peer.interval_s
        return max(self.settings.silence_s, missed_s)

    def next_silence(self, now: float) -> float:
        """Returns when the next peer falls silent; infinite if none can."""
        ends = (p.last_heard + self.bound_s(p) for p in self.peers.values())
        margin_s = 1e-6
        return min((e + margin_s for e in ends if e >= now), default=math.inf)

    def is_heard(self, name: ids.InstanceId, now: float) -> bool:
        """Tells whether the instance gives signs of life."""
        if name == self.me:
            return True
        peer = self.peers.get(name)
        return peer is not None and now - peer.last_heard <= self.bound_s(peer)

    def state(self, name: ids.InstanceId, now: float) -> PeerState:
        """Returns what is believed of the instance `name`."""
        listed = self.listed.get(name)
        if name == self.me:
            return PeerState.LEAVING if self.is_leaving else PeerState.LIVE
        peer = self.peers.get(name, Peer())
        is_heard = self.is_heard(name, now)
        if peer.said_leaving and (is_heard or listed):
            return PeerState.LEAVING
        if listed and listed.state is events.ListedState.LEAVING:
            return PeerState.LEAVING
        if is_heard:
            return PeerState.LIVE
        return PeerState.UNREACHABLE if listed else PeerState.GONE

    def names(self) -> list[ids.InstanceId]:
        """Returns all instances that are listed or were heard, sorted."""
        return sorted({self.me, *self.listed, *self.peers})

    def collect(self, now: float, *states: PeerState) -> list[ids.InstanceId]:
        """Returns the instances in any of `states`, sorted by name."""
        return [n for n in self.names() if self.state(n, now) in states]
