"""Combines the platform's instance list with heartbeats between routers.

An instance that is listed as live but sends no heartbeats is unreachable; it
may still be running. A silent instance that is no longer listed is gone.
Neither source alone is sufficient.
"""

import dataclasses
import enum
import math

from lentilbeam_core import events
from lentilbeam_core import ids
from lentilbeam_core import messages


class PeerState(enum.Enum):
    """State of a peer as seen by this router."""

    LIVE = "live"
    LEAVING = "leaving"
    UNREACHABLE = "unreachable"
    GONE = "gone"


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of membership.

    Attributes:
        silence_s: time without messages, in seconds, after which a peer is
            unreachable, unless `missed_heartbeats` allows more. Also limits
            how long a newly chosen scheduler may stay silent.
        missed_heartbeats: number of announced heartbeat intervals without
            messages after which a peer is unreachable.
    """

    silence_s: float = 0.45
    missed_heartbeats: float = 2.5


@dataclasses.dataclass(slots=True)
class Peer:
    """What the last messages of a peer said.

    Attributes:
        incarnation: start time of the peer's process; 0 before the first
            heartbeat.
        last_heard: when its last message arrived, in monotonic seconds.
        interval_s: heartbeat interval that it announced, in seconds.
        announced_leaving: whether it announced that it is leaving.
        is_ready: whether it may schedule pools.
        catalogue_offset: log offset of the catalogue it uses.
    """

    incarnation: ids.Incarnation = ids.Incarnation(0)
    last_heard: float = float("-inf")
    interval_s: float = 0.0
    announced_leaving: bool = False
    is_ready: bool = False
    catalogue_offset: ids.Offset = ids.Offset(0)


@dataclasses.dataclass(slots=True)
class CachedStates:
    """Cached states of all instances.

    Attributes:
        states: state of each instance, sorted by name.
        valid_until: monotonic time at which silence may change a state.
        names_by_states: cached results of `Membership.names_in`.
    """

    states: dict[ids.InstanceId, PeerState]
    valid_until: float
    names_by_states: dict[tuple[PeerState, ...], list[ids.InstanceId]] = (
        dataclasses.field(default_factory=dict)
    )


class Membership:
    """One router's view of all routers, including itself.

    Attributes:
        own_name: name of this instance.
        settings: settings of membership.
        listed: the platform's instance list, by name.
        peers: all peers that have sent a heartbeat, by name.
        cached_states: states of all instances, or None if they must be
            computed again.
    """

    def __init__(self, own_name: ids.InstanceId, settings: Settings):
        self.own_name = own_name
        self.settings = settings
        self.listed: dict[ids.InstanceId, events.ListedInstance] = {}
        self.peers: dict[ids.InstanceId, Peer] = {}
        self.cached_states: CachedStates | None = None
        self._is_leaving = False

    @property
    def is_leaving(self) -> bool:
        """Whether this router is draining."""
        return self._is_leaving

    @is_leaving.setter
    def is_leaving(self, value: bool) -> None:
        self._is_leaving = value
        self.cached_states = None

    def set_listed(self, instances: tuple[events.ListedInstance, ...]) -> None:
        """Replaces the platform's instance list."""
        listed = {instance.name: instance for instance in instances}
        if listed != self.listed:
            self.listed = listed
            self.cached_states = None

    def receive_heartbeat(
        self, sender: ids.InstanceId, heartbeat: messages.Heartbeat, now: float
    ) -> bool:
        """Processes a heartbeat.

        Returns whether it is the first of the peer's incarnation. A heartbeat
        of an earlier incarnation is outdated and is ignored.
        """
        peer = self.peers.setdefault(sender, Peer())
        if heartbeat.incarnation < peer.incarnation:
            return False
        is_new_incarnation = heartbeat.incarnation > peer.incarnation
        interval_s = heartbeat.interval_ms / messages.MS_PER_S
        if (heartbeat.leaving, interval_s) != (
            peer.announced_leaving,
            peer.interval_s,
        ):
            self.cached_states = None
        self._invalidate_if_unreachable(sender)
        peer.incarnation = heartbeat.incarnation
        peer.last_heard = now
        peer.interval_s = interval_s
        peer.announced_leaving = heartbeat.leaving
        peer.is_ready = heartbeat.is_ready
        peer.catalogue_offset = heartbeat.catalogue_offset
        return is_new_incarnation

    def record_contact(self, sender: ids.InstanceId, now: float) -> None:
        """Records that a known peer sent a message of another type."""
        peer = self.peers.get(sender)
        if peer is not None:
            peer.last_heard = max(peer.last_heard, now)
            self._invalidate_if_unreachable(sender)

    def suspect(self, name: ids.InstanceId) -> None:
        """Considers the peer unreachable until its next message arrives."""
        peer = self.peers.get(name)
        if peer is not None:
            peer.last_heard = float("-inf")
            self.cached_states = None

    def silence_limit_s(self, peer: Peer) -> float:
        """Returns the seconds of silence after which `peer` is unreachable."""
        missed_s = self.settings.missed_heartbeats * peer.interval_s
        return max(self.settings.silence_s, missed_s)

    def next_timeout_at(self, now: float) -> float:
        """Returns when silence may next change a peer's state.

        The time is in monotonic seconds; infinite if there is none.
        """
        return self._refresh(now).valid_until

    def is_reachable(self, name: ids.InstanceId, now: float) -> bool:
        """Returns whether the instance's messages still arrive in time."""
        if name == self.own_name:
            return True
        peer = self.peers.get(name)
        return (
            peer is not None
            and now - peer.last_heard <= self.silence_limit_s(peer)
        )

    def state(self, name: ids.InstanceId, now: float) -> PeerState:
        """Returns the state of the instance `name`."""
        return self._refresh(now).states.get(name, PeerState.GONE)

    def names(self) -> list[ids.InstanceId]:
        """Returns all listed instances and known peers, sorted by name."""
        return sorted({self.own_name, *self.listed, *self.peers})

    def names_in(self, now: float, *states: PeerState) -> list[ids.InstanceId]:
        """Returns the instances in any of `states`, sorted by name."""
        cached_states = self._refresh(now)
        if states not in cached_states.names_by_states:
            cached_states.names_by_states[states] = [
                name
                for name, state in cached_states.states.items()
                if state in states
            ]
        return cached_states.names_by_states[states]

    def _invalidate_if_unreachable(self, sender: ids.InstanceId) -> None:
        """Clears the cached states if a message changes the sender's state."""
        reachable = (PeerState.LIVE, PeerState.LEAVING)
        if (
            self.cached_states
            and self.cached_states.states.get(sender) not in reachable
        ):
            self.cached_states = None

    def _refresh(self, now: float) -> CachedStates:
        if self.cached_states is None or now >= self.cached_states.valid_until:
            states = {n: self._find_state(n, now) for n in self.names()}
            self.cached_states = CachedStates(
                states, self._find_next_timeout(now)
            )
        return self.cached_states

    def _find_next_timeout(self, now: float) -> float:
        ends = (
            p.last_heard + self.silence_limit_s(p) for p in self.peers.values()
        )
        # A peer is unreachable only after its limit, so the timeout must not
        # coincide with it.
        margin_s = 1e-6
        return min((e + margin_s for e in ends if e >= now), default=math.inf)

    def _find_state(self, name: ids.InstanceId, now: float) -> PeerState:
        listed = self.listed.get(name)
        if name == self.own_name:
            return PeerState.LEAVING if self.is_leaving else PeerState.LIVE
        peer = self.peers.get(name, Peer())
        is_reachable = self.is_reachable(name, now)
        if peer.announced_leaving and (is_reachable or listed):
            return PeerState.LEAVING
        if listed and listed.state is events.ListedState.LEAVING:
            return PeerState.LEAVING
        if is_reachable:
            return PeerState.LIVE
        return PeerState.UNREACHABLE if listed else PeerState.GONE
