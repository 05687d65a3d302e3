"""Tests that heartbeats keep idle routers reachable to each other."""

from lentilbeam_core import membership
from tests.unit import fleet as fleet_lib

STARTUP_S = 5.0
SAMPLE_INTERVAL_S = 0.05
END_S = 30.0


def collect_unreachable(fleet: fleet_lib.Fleet) -> set[tuple[str, str]]:
    """Returns (router, peer) pairs where the peer counts as unreachable."""
    return {
        (name, peer)
        for name, node in fleet.nodes.items()
        for peer in node.membership.names_in(
            fleet.now, membership.PeerState.UNREACHABLE
        )
    }


def test_idle_routers_stay_reachable_to_each_other():
    config = fleet_lib.FleetConfig(
        routers=7, loss_probability=0.0, duplicate_probability=0.0
    )
    fleet = fleet_lib.Fleet(config)
    fleet.run_until(STARTUP_S)
    unreachable = set()
    while fleet.now < END_S:
        fleet.run_until(fleet.now + SAMPLE_INTERVAL_S)
        unreachable |= collect_unreachable(fleet)
    assert unreachable == set()
