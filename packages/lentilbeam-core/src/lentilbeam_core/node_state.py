"""State shared by the parts of a node: its view of the fleet and its pools."""

import dataclasses

from lentilbeam_core import agent as agent_lib
from lentilbeam_core import catalogue as catalogue_lib
from lentilbeam_core import ids
from lentilbeam_core import membership as membership_lib
from lentilbeam_core import scheduler as scheduler_lib


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a node. Intervals are in seconds.

    Each heartbeat announces its interval. Peers consider this router
    unreachable after `membership.missed_heartbeats` of these intervals, but
    not before `membership.silence_s`.

    Attributes:
        name: name of this instance.
        data_centre: the data centre it runs in.
        membership: settings of membership.
        scheduler_heartbeat_s: interval of heartbeats from a router that
            schedules a pool.
        to_scheduler_heartbeat_s: interval of heartbeats to a pool's scheduler.
        other_heartbeat_s: interval of heartbeats between all other routers.
        unreachable_heartbeat_s: interval of heartbeats to unreachable peers.
        agent: settings of the agents.
        scheduler: settings of the schedulers.
    """

    name: ids.InstanceId
    data_centre: ids.DataCentreId
    membership: membership_lib.Settings = membership_lib.Settings()
    scheduler_heartbeat_s: float = 0.21
    to_scheduler_heartbeat_s: float = 0.3
    other_heartbeat_s: float = 4.0
    unreachable_heartbeat_s: float = 0.5
    agent: agent_lib.Settings = agent_lib.Settings()
    scheduler: scheduler_lib.Settings = scheduler_lib.Settings()


class State:
    """One router's view of the fleet, and its agents and schedulers.

    Attributes:
        settings: settings of the node.
        incarnation: start time of this process.
        membership: states of all routers.
        catalogue: the catalogue the router uses.
        offset: offset of that catalogue in the catalogue log.
        is_ready: whether the router has a catalogue.
        agents: the agent of each pool.
        schedulers: the scheduler of each pool, active or not.
        scheduler_by_pool: the instance that this router has chosen as the
            scheduler of each pool.
    """

    def __init__(self, settings: Settings, incarnation: ids.Incarnation):
        self.settings = settings
        self.incarnation = incarnation
        self.membership = membership_lib.Membership(
            settings.name, settings.membership
        )
        self.catalogue = catalogue_lib.EMPTY
        self.offset = ids.Offset(0)
        self.is_ready = False
        self.agents: dict[ids.PoolId, agent_lib.Agent] = {}
        self.schedulers: dict[ids.PoolId, scheduler_lib.Scheduler] = {}
        self.scheduler_by_pool: dict[ids.PoolId, ids.InstanceId] = {}
