"""Measures how a router's membership cost grows with the number of routers."""

import time
import tracemalloc

from lentilbeam_core import catalogue
from lentilbeam_core import events
from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core import node
from lentilbeam_router import peer_codec

ROUTER_COUNTS = (7, 70, 700, 2500)
DURATION_S = 8.0
"""Duration in virtual time: two intervals of the slow heartbeat."""

DATAGRAM_HEADER_BYTES = 28
"""Size of the IPv4 header and the UDP header."""

HOME = ids.DataCentreId("east")
POOL = catalogue.Pool(
    ids.PoolId("assistants"), "owner", catalogue.ServiceKind.MODEL, ()
)
CATALOGUE = catalogue.Catalogue({}, {}, {POOL.name: POOL})


def _make_names(count: int) -> list[ids.InstanceId]:
    return [ids.InstanceId(f"router-{number}") for number in range(count)]


def _make_node(names: list[ids.InstanceId]) -> node.Node:
    """Returns the first router's node after a heartbeat from every other."""
    router = node.Node(node.Settings(names[0], HOME), ids.Incarnation(1))
    live_state = events.ListedState.LIVE
    listed_instances = tuple(
        events.ListedInstance(n, HOME, live_state) for n in names
    )
    router.handle(events.InstanceListRead(listed_instances), 0.0)
    heartbeat = messages.Heartbeat(ids.Incarnation(1), False, True, 1, 4000)
    for name in names[1:]:
        router.membership.receive_heartbeat(name, heartbeat, 0.0)
    router.handle(events.CatalogueChanged(CATALOGUE, ids.Offset(1)), 0.0)
    return router


def measure(count: int) -> dict[str, object]:
    """Measures one router in a fleet of `count` routers.

    Returns:
        CPU time per timer event (including one heartbeat received from each
        peer and the encoding of sent messages), sent bytes per second, and
        memory per router.
    """
    names = _make_names(count)
    tracemalloc.start()
    router = _make_node(names)
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    now, event_count, sent_bytes = 0.0, 0, 0
    started_at = time.process_time()
    heartbeat = messages.Heartbeat(ids.Incarnation(1), False, True, 1, 4000)
    while now < DURATION_S and event_count < 2000:
        now = max(router.next_wakeup(now) or DURATION_S, now + 0.05)
        for name in names[1:]:
            router.membership.receive_heartbeat(name, heartbeat, now)
        for effect in router.handle(events.Ticked(), now):
            if isinstance(effect, events.SendMessage):
                data = peer_codec.encode(names[0], effect.message)
                sent_bytes += len(data) + DATAGRAM_HEADER_BYTES
        event_count += 1
    cpu_s = time.process_time() - started_at
    return {
        "name": "membership",
        "routers": count,
        "event_us": round(cpu_s / event_count * 1e6, 1),
        "bytes_per_s": round(sent_bytes / now),
        "bytes_per_peer": round(allocated_bytes / count),
    }
