"""How much work the targets of a pool have, over the whole fleet.

Each router knows what it sent itself and hears from its peers what they did;
an engine's own reports come too late to place the next request by them.
"""

import collections
import dataclasses

from lentilbeam_core import ids
from lentilbeam_core import messages

PEER_REPORT_AGE_S = 1.5
"""Reports of a peer that is silent for longer count no more."""


@dataclasses.dataclass(slots=True)
class Load:
    """Work at one target.

    Attributes:
        unread: prompt tokens sent there and not yet read.
        running: requests sent there that have not ended.
    """

    unread: float = 0.0
    running: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """A request that this router has at a target."""

    target: ids.TargetId
    unread: float


class Loads:
    """Work at all targets: this router's own and its peers'."""

    def __init__(self):
        self.own: dict[ids.TargetId, Load] = collections.defaultdict(Load)
        self.sent: dict[str, Sent] = {}
        self.peers: dict[
            ids.InstanceId, tuple[float, dict[ids.TargetId, Load]]
        ] = {}

    def start(self, name: str, target: ids.TargetId, unread: float) -> None:
        """Notes that a request is sent to `target`."""
        load = self.own[target]
        load.unread += unread
        load.running += 1
        self.sent[name] = Sent(target, unread)

    def read(self, name: str) -> None:
        """Notes that a request's prompt was read: its answer has begun."""
        sent = self.sent.get(name)
        if sent is None or sent.unread == 0:
            return
        self.own[sent.target].unread -= sent.unread
        self.sent[name] = Sent(sent.target, 0.0)

    def end(self, name: str) -> None:
        """Notes that a request is no longer at its target."""
        self.read(name)
        sent = self.sent.pop(name, None)
        if sent is not None:
            self.own[sent.target].running -= 1

    def hear(
        self,
        peer: ids.InstanceId,
        reported: tuple[messages.TargetLoad, ...],
        now: float,
    ) -> None:
        """Takes in what a peer has at the targets."""
        loads = {t.target: Load(t.unread, t.running) for t in reported}
        self.peers[peer] = (now, loads)

    def total(self, target: ids.TargetId, now: float) -> Load:
        """Returns the work that all routers heard of have at `target`."""
        own = self.own.get(target)
        total = Load(own.unread, own.running) if own else Load()
        for heard_at, loads in self.peers.values():
            load = loads.get(target)
            if load is not None and now - heard_at < PEER_REPORT_AGE_S:
                total.unread += load.unread
                total.running += load.running
        return total

    def forget(self, target: ids.TargetId) -> None:
        """Drops the entry of a target that is gone and has no work here."""
        own = self.own.get(target)
        if own is not None and own.running == 0:
            del self.own[target]
