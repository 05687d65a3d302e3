"""Heartbeats keep an idle fleet's views of each other alive."""

from lentilbeam_core import membership
from tests.unit import fleet as fleet_lib

SETTLED_S = 5.0
STEP_S = 0.05
END_S = 30.0


def collect_unreachable(fleet: fleet_lib.Fleet) -> set[tuple[str, str]]:
    """Returns who takes whom for unreachable at the moment."""
    return {
        (name, peer)
        for name, node in fleet.nodes.items()
        for peer in node.membership.names_in(
            fleet.now, membership.PeerState.UNREACHABLE
        )
    }


def test_idle_routers_stay_live_to_each_other():
    shape = fleet_lib.Shape(routers=7, loss=0.0, repeat=0.0)
    fleet = fleet_lib.Fleet(shape)
    fleet.run(SETTLED_S)
    seen = set()
    while fleet.now < END_S:
        fleet.run(fleet.now + STEP_S)
        seen |= collect_unreachable(fleet)
    assert seen == set()
