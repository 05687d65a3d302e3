"""Benchmark scenarios: a load, its cost distribution and injected faults.

All times are virtual seconds since the start of the run.
"""

from collections.abc import Callable
import dataclasses

from bench import load
from bench import sizes

FAULT_AT_S = 10.0
LISTING_LAG_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class KillScheduler:
    """The pool's scheduler is killed and later restarted without state.

    Attributes:
        at_s: when the scheduler is killed.
        restart_s: when its process is started again.
    """

    at_s: float
    restart_s: float

    @property
    def end_s(self) -> float:
        """Time from which recovery is measured: the kill, not the restart."""
        return self.at_s


@dataclasses.dataclass(frozen=True, slots=True)
class PauseRouter:
    """The process of one router is paused.

    Attributes:
        at_s: when the pause begins.
        end_s: when the process resumes.
        is_scheduler: whether the paused router is the pool's scheduler.
    """

    at_s: float
    end_s: float
    is_scheduler: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Partition:
    """A network partition separates some routers from the others.

    Attributes:
        at_s: when the partition begins.
        end_s: when the partition heals.
        includes_scheduler: whether the scheduler is one of the separated
            routers.
        count: number of separated routers.
    """

    at_s: float
    end_s: float
    includes_scheduler: bool
    count: int = 2


@dataclasses.dataclass(frozen=True, slots=True)
class DrainTarget:
    """A target drains: it completes its requests and accepts no new ones.

    Attributes:
        at_s: when the target starts to drain.
        end_s: time from which recovery is measured; the target stays out of
            service.
    """

    at_s: float
    end_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class FailTarget:
    """A target fails its current and all new requests.

    New requests fail after `engines.FAILURE_DELAY_S`.

    Attributes:
        at_s: when the target starts to fail.
        end_s: when it serves requests again.
    """

    at_s: float
    end_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RestartRouters:
    """Several routers, including the scheduler, restart without state.

    Attributes:
        at_s: when the routers are killed.
        end_s: when they are started again.
        count: number of restarted routers.
    """

    at_s: float
    end_s: float
    count: int = 4


Fault = (
    KillScheduler
    | PauseRouter
    | Partition
    | DrainTarget
    | FailTarget
    | RestartRouters
)

DEFAULT_COSTS = load.CostDistribution(
    median=370.0, sigma=0.8, max_cost=2048.0, hint_factor=1.5
)
INACCURATE_HINT_COSTS = load.CostDistribution(
    median=240.0, sigma=1.2, max_cost=4096.0, hint_factor=4.0
)


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """The load and faults of one experiment.

    Attributes:
        name: name in reports and on the command line.
        make_load: builds the load for a fleet size.
        costs: distribution of request costs.
        faults: faults to inject.
        seconds: duration in virtual time.
        max_gap: upper limit of the fairness gap, in units of the largest
            request.
        has_flood: whether the last workspace sends far more than its share.
        is_compared_with_static: whether the gap is compared with that of the
            `static` policy.
        is_saturated: whether requests wait for slots. Otherwise slots are
            free, requests wait only for messages between routers, and
            utilisation has no limit.
        listing_lag_s: age of the instance list when a router reads it.
        concurrency: fleet-wide concurrency limit of the limited workspaces;
            None for no limit.
    """

    name: str
    make_load: Callable[[sizes.FleetSize], tuple[load.Load, ...]]
    costs: load.CostDistribution = DEFAULT_COSTS
    faults: tuple[Fault, ...] = ()
    seconds: float = 30.0
    max_gap: float = 4.0
    has_flood: bool = False
    is_compared_with_static: bool = False
    is_saturated: bool = True
    listing_lag_s: float = LISTING_LAG_S
    concurrency: int | None = None

    @property
    def fault_start_s(self) -> float:
        """When the first fault begins; infinity without faults."""
        return min((f.at_s for f in self.faults), default=float("inf"))

    @property
    def fault_end_s(self) -> float:
        """When the last fault ends; 0 without faults."""
        return max((f.end_s for f in self.faults), default=0.0)


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario("idle", load.make_idle_load, seconds=20.0),
        Scenario(
            "light", load.make_light_load, max_gap=2.0, is_saturated=False
        ),
        Scenario("steady", load.make_even_load, max_gap=2.0),
        Scenario(
            "uneven",
            load.make_uneven_load,
            max_gap=2.0,
            is_compared_with_static=True,
            seconds=60.0,
        ),
        Scenario("limits", load.make_even_load, max_gap=2.0, concurrency=2),
        Scenario("flood", load.make_flood_load, max_gap=2.0, has_flood=True),
        Scenario(
            "hints",
            load.make_even_load,
            costs=INACCURATE_HINT_COSTS,
            max_gap=2.0,
        ),
        Scenario(
            "scheduler_killed",
            load.make_even_load,
            faults=(KillScheduler(FAULT_AT_S, restart_s=20.0),),
        ),
        Scenario(
            "scheduler_paused",
            load.make_even_load,
            faults=(PauseRouter(FAULT_AT_S, end_s=15.0),),
        ),
        Scenario(
            "router_paused",
            load.make_even_load,
            faults=(PauseRouter(FAULT_AT_S, end_s=15.0, is_scheduler=False),),
        ),
        Scenario(
            "partition",
            load.make_even_load,
            faults=(
                Partition(FAULT_AT_S, end_s=15.0, includes_scheduler=False),
            ),
        ),
        Scenario(
            "partition_scheduler",
            load.make_even_load,
            faults=(
                Partition(FAULT_AT_S, end_s=15.0, includes_scheduler=True),
            ),
        ),
        Scenario(
            "killed_twice",
            load.make_even_load,
            faults=(
                KillScheduler(FAULT_AT_S, restart_s=20.0),
                KillScheduler(FAULT_AT_S + 0.5, restart_s=20.0),
            ),
        ),
        Scenario(
            "cold_start",
            load.make_even_load,
            faults=(RestartRouters(FAULT_AT_S, end_s=11.0),),
        ),
        Scenario(
            "partition_killed",
            load.make_even_load,
            faults=(
                Partition(FAULT_AT_S, end_s=15.0, includes_scheduler=False),
                KillScheduler(12.0, restart_s=20.0),
            ),
        ),
        Scenario(
            "list_stale",
            load.make_even_load,
            faults=(KillScheduler(FAULT_AT_S, restart_s=60.0),),
            listing_lag_s=30.0,
            seconds=45.0,
        ),
        Scenario(
            "target_leaves",
            load.make_even_load,
            faults=(DrainTarget(FAULT_AT_S, end_s=FAULT_AT_S),),
        ),
        Scenario(
            "target_fails_fast",
            load.make_even_load,
            faults=(FailTarget(FAULT_AT_S, end_s=15.0),),
        ),
    )
}
