"""Policies by name: how the node of each router is made."""

from collections.abc import Callable
import dataclasses

from bench import baselines
from bench import fair_queue
from bench import hosts
from lentilbeam_core import catalogue as catalogue_lib
from lentilbeam_core import ids
from lentilbeam_core import node

NodeFactory = Callable[[ids.InstanceId, ids.Incarnation, float], hosts.Node]
"""Makes the node of a router that starts as an incarnation at a time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """What a policy may build on.

    Attributes:
        routers: data centre of each router.
    """

    catalogue: catalogue_lib.Catalogue
    pool: catalogue_lib.Pool
    routers: dict[ids.InstanceId, ids.DataCentreId]


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """One way of sharing a pool.

    Attributes:
        is_ideal: whether it has true costs and a network without delay, and
            is out of reach of router and network faults.
    """

    name: str
    make_factory: Callable[[Fleet], NodeFactory]
    is_ideal: bool = False


def _make_shared(queue: fair_queue.QueueFactory, fleet: Fleet) -> NodeFactory:
    slots = [baselines.Slots(t, t.slots) for t in fleet.pool.targets]
    dispatcher = baselines.Dispatcher(fleet.catalogue, slots, queue)
    return lambda name, incarnation, now: baselines.QueueNode(dispatcher)


def _split_slots(fleet: Fleet, name: ids.InstanceId) -> list[baselines.Slots]:
    """Returns the fixed share of each target's slots for one router.

    What does not divide evenly goes to the routers in turn.
    """
    count = len(fleet.routers)
    position = list(fleet.routers).index(name)
    offset = 0
    shares = []
    for target in fleet.pool.targets:
        limit, rest = divmod(target.slots, count)
        limit += (position - offset) % count < rest
        offset += rest
        if limit:
            shares.append(baselines.Slots(target, limit))
    return shares


def _make_static(fleet: Fleet) -> NodeFactory:
    def make(
        name: ids.InstanceId, incarnation: ids.Incarnation, now: float
    ) -> hosts.Node:
        dispatcher = baselines.Dispatcher(
            fleet.catalogue, _split_slots(fleet, name), fair_queue.FairQueue
        )
        return baselines.QueueNode(dispatcher)

    return make


def _make_gossip(fleet: Fleet) -> NodeFactory:
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


def _make_central(fleet: Fleet) -> NodeFactory:
    def make(
        name: ids.InstanceId, incarnation: ids.Incarnation, now: float
    ) -> hosts.Node:
        settings = node.Settings(name, fleet.routers[name])
        return node.Node(settings, incarnation)

    return make


def _make_omniscient(fleet: Fleet) -> NodeFactory:
    return _make_shared(fair_queue.FairQueue, fleet)


def _make_arrival_order(fleet: Fleet) -> NodeFactory:
    return _make_shared(fair_queue.FifoQueue, fleet)


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
