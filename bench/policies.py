"""The compared policies of sharing a pool, by name.

`central` is the policy of routers that get slots from one scheduler per pool
(`lentilbeam_core.node`); the others are baselines. The policies of routers that
place requests themselves, from load reports, are in `bench.overload.policies`.
"""

from collections.abc import Callable
import dataclasses

from bench import baselines
from bench import fair_queue
from bench import hosts
from lentilbeam_core import catalogue as catalogue_lib
from lentilbeam_core import ids
from lentilbeam_core import node

NodeFactory = Callable[[ids.InstanceId, ids.Incarnation, float], hosts.Node]
"""Builds a router's node from its name, its incarnation and the time in s."""


@dataclasses.dataclass(frozen=True, slots=True)
class FleetConfig:
    """The fleet for which a policy builds nodes.

    Attributes:
        catalogue: catalogue of the fleet.
        pool: the pool whose slots are shared.
        routers: data centre of each router.
    """

    catalogue: catalogue_lib.Catalogue
    pool: catalogue_lib.Pool
    routers: dict[ids.InstanceId, ids.DataCentreId]


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """A way of sharing a pool between workspaces.

    Attributes:
        name: name in reports and on the command line.
        make_factory: returns the function that builds each router's node.
        is_ideal: whether nodes know the true costs, messages are neither
            delayed nor lost, and router and network faults are skipped.
    """

    name: str
    make_factory: Callable[[FleetConfig], NodeFactory]
    is_ideal: bool = False


def _make_shared_queue(
    queue: fair_queue.QueueFactory, fleet: FleetConfig
) -> NodeFactory:
    slots = [baselines.Slots(t, t.slots) for t in fleet.pool.targets]
    dispatcher = baselines.Dispatcher(fleet.catalogue, slots, queue)
    return lambda name, incarnation, now: baselines.QueueNode(dispatcher)


def _split_slots(
    fleet: FleetConfig, name: ids.InstanceId
) -> list[baselines.Slots]:
    """Returns one router's fixed share of each target's slots.

    The remainder of each division is given to the routers in rotation.
    """
    count = len(fleet.routers)
    position = list(fleet.routers).index(name)
    offset = 0
    shares = []
    for target in fleet.pool.targets:
        limit, remainder = divmod(target.slots, count)
        limit += (position - offset) % count < remainder
        offset += remainder
        if limit:
            shares.append(baselines.Slots(target, limit))
    return shares


def _make_static(fleet: FleetConfig) -> NodeFactory:
    """Gives each router a fixed share of the slots, queued fairly."""

    def make(
        name: ids.InstanceId, incarnation: ids.Incarnation, now: float
    ) -> hosts.Node:
        dispatcher = baselines.Dispatcher(
            fleet.catalogue, _split_slots(fleet, name), fair_queue.FairQueue
        )
        return baselines.QueueNode(dispatcher)

    return make


def _make_gossip(fleet: FleetConfig) -> NodeFactory:
    """Adds gossip between the routers to the `static` policy."""

    def make(
        name: ids.InstanceId, incarnation: ids.Incarnation, now: float
    ) -> hosts.Node:
        dispatcher = baselines.Dispatcher(
            fleet.catalogue, _split_slots(fleet, name), fair_queue.FairQueue
        )
        peers = [peer for peer in fleet.routers if peer != name]
        gossip = baselines.Gossip(
            dispatcher, fleet.pool.name, incarnation, peers, now
        )
        return baselines.QueueNode(dispatcher, gossip)

    return make


def _make_central(fleet: FleetConfig) -> NodeFactory:
    """Uses the node of the real router, with one scheduler per pool.

    Routers that place requests themselves, from load reports, don't use this
    node.
    """

    def make(
        name: ids.InstanceId, incarnation: ids.Incarnation, now: float
    ) -> hosts.Node:
        settings = node.Settings(name, fleet.routers[name])
        return node.Node(settings, incarnation)

    return make


def _make_omniscient(fleet: FleetConfig) -> NodeFactory:
    """Uses one fair queue for the whole fleet."""
    return _make_shared_queue(fair_queue.FairQueue, fleet)


def _make_arrival_order(fleet: FleetConfig) -> NodeFactory:
    """Uses one queue for the whole fleet, in order of arrival."""
    return _make_shared_queue(fair_queue.FifoQueue, fleet)


POLICIES = {
    policy.name: policy
    for policy in (
        Policy("omniscient", _make_omniscient, is_ideal=True),
        Policy("arrival_order", _make_arrival_order, is_ideal=True),
        Policy("static", _make_static),
        Policy("gossip", _make_gossip),
        Policy("central", _make_central),
    )
}
