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
        cross_centre_delay_s: one-way delay between data centres, in seconds.
        local_delay_s: one-way delay within a data centre, in seconds.
        jitter: mean of the exponentially distributed extra delay, as a
            fraction of the delay.
        loss: probability that a datagram between routers is lost.
    """

    cross_centre_delay_s: float
    local_delay_s: float = 0.0003
    jitter: float = 0.2
    loss: float = 0.01


class Network:
    """Delivers datagrams between routers and calls between all endpoints.

    Attributes:
        loop: the simulation loop.
        settings: delay and loss of the links.
        rng: random number generator for delay and loss.
        data_centres: data centre of each router and target.
        meter: counts the bytes of all datagrams.
        isolated: routers on one side of a partition; empty without one.
        last_granting_router: router that sent the last grants; None before
            the first.
    """

    def __init__(
        self,
        loop: simulation.Simulation,
        settings: Settings,
        seed: str,
        data_centres: dict[str, ids.DataCentreId],
        meter: traffic.TrafficMeter,
    ):
        self.loop = loop
        self.settings = settings
        self.rng = random.Random(seed)
        self.data_centres = data_centres
        self.meter = meter
        self.isolated: frozenset[ids.InstanceId] = frozenset()
        self.last_granting_router: ids.InstanceId | None = None

    def delay(self, source: str, receiver: str) -> float:
        """Returns a random one-way delay between two endpoints, in seconds."""
        is_near = self.data_centres[source] == self.data_centres[receiver]
        base = (
            self.settings.local_delay_s
            if is_near
            else self.settings.cross_centre_delay_s
        )
        return base * (1 + self.rng.expovariate(1) * self.settings.jitter)

    def call(
        self, source: str, receiver: str, callback: Callable[[], None]
    ) -> None:
        """Runs `callback` at the receiver after the delay, without loss."""
        self.loop.call_later(self.delay(source, receiver), callback)

    def is_partitioned(
        self, one: ids.InstanceId, other: ids.InstanceId
    ) -> bool:
        """Returns whether a partition separates two routers."""
        return (one in self.isolated) != (other in self.isolated)

    def send(
        self,
        sender: ids.InstanceId,
        receiver: ids.InstanceId,
        message: messages.PeerMessage,
        deliver: Callable[[], None],
    ) -> None:
        """Sends a datagram, which may be lost or arrive out of order."""
        crosses_data_centres = (
            self.data_centres[sender] != self.data_centres[receiver]
        )
        self.meter.count(
            sender, receiver, message, crosses_data_centres, self.loop.now
        )
        if isinstance(message, messages.GrantUpdate) and message.grants:
            self.last_granting_router = sender
        is_lost = self.rng.random() < self.settings.loss
        if is_lost or self.is_partitioned(sender, receiver):
            return
        self.call(sender, receiver, deliver)
