"""A simulated network with delay, jitter, loss and partitions."""

from collections.abc import Callable
import dataclasses
import random

from bench import simulation
from bench import traffic
from lentilbeam_core import ids
from lentilbeam_core import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Delay and loss of the links.

    Attributes:
        far_s: one-way delay between data centres, in seconds.
        near_s: one-way delay within a data centre, in seconds.
        jitter: mean of the exponentially distributed extra delay, as a
            fraction of the delay.
        loss: probability that a datagram between routers is lost.
    """

    far_s: float
    near_s: float = 0.0003
    jitter: float = 0.2
    loss: float = 0.01


class Network:
    """Delivers datagrams between routers and calls between all endpoints.

    Attributes:
        loop: the simulation loop.
        settings: delay and loss of the links.
        random: random number generator for delay and loss.
        places: data centre of each router and target.
        meter: counts the bytes of all datagrams.
        cut: routers on one side of a partition; empty without a partition.
        last_grantor: router that sent the last grants; None before the first.
    """

    def __init__(
        self,
        loop: simulation.Simulation,
        settings: Settings,
        seed: str,
        places: dict[str, ids.DataCentreId],
        meter: traffic.TrafficMeter,
    ):
        self.loop = loop
        self.settings = settings
        self.random = random.Random(seed)
        self.places = places
        self.meter = meter
        self.cut: frozenset[ids.InstanceId] = frozenset()
        self.last_grantor: ids.InstanceId | None = None

    def delay(self, source: str, receiver: str) -> float:
        """Returns a random one-way delay between two endpoints, in seconds."""
        is_near = self.places[source] == self.places[receiver]
        base = self.settings.near_s if is_near else self.settings.far_s
        return base * (1 + self.random.expovariate(1) * self.settings.jitter)

    def call(
        self, source: str, receiver: str, callback: Callable[[], None]
    ) -> None:
        """Runs `callback` at the receiver after the delay, without loss."""
        self.loop.call_later(self.delay(source, receiver), callback)

    def is_cut(self, one: ids.InstanceId, other: ids.InstanceId) -> bool:
        """Returns whether a partition separates two routers."""
        return (one in self.cut) != (other in self.cut)

    def send(
        self,
        sender: ids.InstanceId,
        receiver: ids.InstanceId,
        message: messages.PeerMessage,
        deliver: Callable[[], None],
    ) -> None:
        """Sends a datagram, which may be lost or arrive out of order."""
        crosses = self.places[sender] != self.places[receiver]
        self.meter.count(sender, receiver, message, crosses, self.loop.now)
        if isinstance(message, messages.GrantUpdate) and message.grants:
            self.last_grantor = sender
        is_lost = self.random.random() < self.settings.loss
        if is_lost or self.is_cut(sender, receiver):
            return
        self.call(sender, receiver, deliver)
