"""What the parts of a node share: its view of the fleet and its pools."""

import dataclasses

from lentilbeam_core import agent as agent_lib
from lentilbeam_core import catalogue as catalogue_lib
from lentilbeam_core import ids
from lentilbeam_core import membership as membership_lib
from lentilbeam_core import scheduler as scheduler_lib


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one router's decisions.

    Attributes:
        name: this instance.
        data_centre: where it runs.
        membership: settings of membership.
        heartbeat_s: interval of heartbeats from a pool's scheduler.
        follower_heartbeat_s: interval of heartbeats to it.
        slow_heartbeat_s: interval of heartbeats between all others.
        silent_heartbeat_s: interval of heartbeats to unreachable peers.
        agent: settings of the router's side of pools.
        scheduler: settings of pools' schedulers.
    """

    name: ids.InstanceId
    data_centre: ids.DataCentreId
    membership: membership_lib.Settings = membership_lib.Settings()
    heartbeat_s: float = 0.21
    follower_heartbeat_s: float = 0.3
    slow_heartbeat_s: float = 4.0
    unreachable_heartbeat_s: float = 0.5
    agent: agent_lib.Settings = agent_lib.Settings()
    scheduler: scheduler_lib.Settings = scheduler_lib.Settings()


class State:
    """One router's view of the fleet and its part in each pool.

    Attributes:
        offset: the catalogue's place in its log.
        is_ready: whether the catalogue is known.
        agents: the router's side of each pool.
        schedulers: each pool's scheduler, active or not.
        followed: the instance that schedules each pool, as seen here.
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
