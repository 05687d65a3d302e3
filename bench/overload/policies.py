"""Placement and admission policies that are compared on the same load.

The policy `shipped` is that of routers that place requests themselves, from
load reports (`lentilbeam_core.forwarding`). The policy of routers that get
slots from one scheduler per pool is `central` in `bench.policies`.
"""

from collections.abc import Callable
import dataclasses
import random

from bench.overload import engine as engine_lib
from lentilbeam_core import ids
from lentilbeam_core import rendezvous
from lentilbeam_core.forwarding import admission
from lentilbeam_core.forwarding import configuration
from lentilbeam_core.forwarding import loads
from lentilbeam_core.forwarding import placement as placement_lib
from lentilbeam_core.forwarding import requests
from lentilbeam_core.forwarding import shares
from lentilbeam_core.forwarding import target_list

USAGE_DECAY_S = 4.0 * shares.DECAY_FRACTION
"""Decay time of usage, a fraction of the four seconds over which the users
evaluate the guaranteed shares."""
MAX_RELATIVE_LOAD = 1.25
"""Highest load of a target relative to the mean; consistent hashing with
bounded loads skips a target above it."""

Choose = Callable[
    [
        placement_lib.Placer,
        requests.Request,
        list[target_list.Entry],
        float,
    ],
    target_list.Entry | None,
]


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """A placement and admission policy.

    Attributes:
        name: name of the policy, as in the report.
        choose: function that selects a target; None for the placement of
            `lentilbeam_core.forwarding`.
        has_shares: whether workspaces have guaranteed shares.
        is_one_queue: whether a single router receives all requests. This is
            an upper bound on what routers can achieve that know each other's
            load only from stale reports.
        placement: settings of the placement of `lentilbeam_core.forwarding`.
        is_long_assigned: whether long prompts are assigned to a few engines.
        has_work_left: whether the output that streams have left is counted.
        knows_outputs: whether routers know the length of each answer.
    """

    name: str
    choose: Choose | None = None
    has_shares: bool = False
    is_one_queue: bool = False
    placement: placement_lib.Settings = placement_lib.Settings()
    is_long_assigned: bool = True
    has_work_left: bool = True
    knows_outputs: bool = False


def choose_at_random(placer, request, targets, now) -> target_list.Entry:
    """Selects a random target, as callers without a router do."""
    del request, now
    return placer.rng.choice(targets)


def choose_least_connections(
    placer, request, targets, now
) -> target_list.Entry:
    """Selects the target with the fewest known running requests."""
    del request
    return min(
        targets,
        key=lambda t: (
            placer.loads.total(t.name, now).running,
            placer.rng.random(),
        ),
    )


def choose_by_prefix(placer, request, targets, now) -> target_list.Entry:
    """Selects a target by the hash of the shared parts, with bounded load."""
    running = {t.name: placer.loads.total(t.name, now).running for t in targets}
    bound = MAX_RELATIVE_LOAD * (sum(running.values()) + 1) / len(targets)
    free = [t for t in targets if running[t.name] <= bound]
    key = request.prompt.parts[-2].name
    return max(free, key=lambda t: rendezvous.score(key, t.name))


POLICIES = (
    Policy("random", choose_at_random),
    Policy("least_connections", choose_least_connections),
    Policy("prefix_hash", choose_by_prefix),
    Policy("no_shares"),
    Policy(
        "all_targets",
        has_shares=True,
        # More than any pool has: compares all targets.
        placement=placement_lib.Settings(sampled_targets=1_000_000),
    ),
    Policy("shipped", has_shares=True),
    Policy("long_anywhere", has_shares=True, is_long_assigned=False),
    Policy("by_count", has_shares=True, has_work_left=False),
    Policy("one_queue", has_shares=True, is_one_queue=True),
    Policy(
        "omniscient", has_shares=True, is_one_queue=True, knows_outputs=True
    ),
)


def build_admission(
    policy: Policy,
    settings: engine_lib.Settings,
    guaranteed_per_s: float,
    gap_goal_s: float,
    rng: random.Random,
) -> admission.Admission:
    """Builds the admission queue of one router.

    Args:
        policy: the policy that it follows.
        settings: performance figures of each engine.
        guaranteed_per_s: cost per second that is guaranteed to all workspaces
            together; ignored if the policy has no shares.
        gap_goal_s: smallest goal for pauses of streams, in seconds.
        rng: random number generator.
    """
    engine = configuration.Engine(
        settings.slots,
        settings.cache_tokens,
        settings.event_tokens if policy.has_work_left else 0,
    )
    placer = placement_lib.Placer(
        policy.placement,
        # 100 is the maximum number of connections, which is not simulated.
        configuration.Pool(ids.PoolId("engines"), 100, engine),
        loads.LoadTracker(),
        ids.DataCentreId("east"),
        rng,
    )
    if policy.is_long_assigned:
        placer.long_prompts.gap_goal_s = gap_goal_s
    if policy.choose is not None:
        placer.choose = _place_by(policy.choose, placer)
    queue = admission.Admission(
        admission.Settings(), placer, shares.Usage(USAGE_DECAY_S), rng
    )
    queue.guaranteed_per_s = guaranteed_per_s if policy.has_shares else 0.0
    return queue


def _place_by(choose: Choose, placer: placement_lib.Placer):
    def place(request, targets, bounds, now) -> placement_lib.Placement | None:
        del bounds
        target = choose(placer, request, targets, now)
        unread = request.prompt.tokens
        return placement_lib.Placement(target, unread, unread, None)

    return place
