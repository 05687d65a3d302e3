"""Assignment of long prompts to a few engines of a large pool.

A stream pauses while its engine prefills prompts. A prompt whose prefill takes
about as long as the goal for pauses (`Route.gap_goal_s`) therefore makes every
stream late that runs beside it. Such prompts are sent to a few engines, and
other requests avoid these.

The engines are the first in rendezvous order, so all routers choose the same
ones. Their number follows the prefill time of long prompts at all routers;
routers that estimate it differently still agree on the first ones.
"""

from collections.abc import Iterable
import dataclasses
import math

from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core import rendezvous
from lentilbeam_core.forwarding import configuration
from lentilbeam_core.forwarding import decayed
from lentilbeam_core.forwarding import estimate_error
from lentilbeam_core.forwarding import loads as loads_lib
from lentilbeam_core.forwarding import prefill_model
from lentilbeam_core.forwarding import requests
from lentilbeam_core.forwarding import target_list

ORDER_KEY = "long prompts"
"""Key of the rendezvous order; the same at all routers."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the assignment.

    Attributes:
        min_targets: smallest pool in which long prompts are assigned. With
            fewer engines, those that are kept for long prompts are missed by
            the others.
        long_fraction: a prompt is long if its prefill takes more than this
            fraction of the goal for pauses. Prefill takes 2.5 times as long
            in noisy half seconds.
        utilisation: fraction of their time that the engines for long prompts
            are expected to prefill these.
        max_pool_fraction: maximum fraction of the pool that is used for long
            prompts.
        decay_s: time constant of the decaying sums of prefill work, in
            seconds.
        refresh_interval_s: time between two computations of the number of
            engines, in seconds.
        sampled_targets: number of engines for long prompts that are compared,
            if there are more.
        short_penalty_s: penalty of these engines for other requests.
        outside_penalty_s: penalty of the other engines for long prompts.
        paused_stream_penalty_s: penalty for each running stream that a
            prompt is expected to pause for longer than the goal.
        full_memory_penalty_s: penalty of an engine whose KV cache the running
            requests and this one may exceed; it would hold the request until
            others end. Long prompts on few engines use more of it.
        max_error: the assignment pauses while the error of the estimate is
            larger, see `estimate_error`.
        max_pause_fraction: longest time, as a fraction of the goal for pauses,
            for which an engine with running streams prefills without a break,
            unless a request has waited for long, see
            `load_bounds.Bounds.max_hold_fraction`.
        alone_fraction: an engine that needs less time than this fraction of
            the goal for its unread prompts counts as having none.
        safe_fraction: pauses up to this fraction of the goal have no penalty;
            up to the goal the penalty increases to its full amount.
    """

    min_targets: int = 12
    long_fraction: float = 0.5
    utilisation: float = 0.2
    max_pool_fraction: float = 0.67
    decay_s: float = 20.0
    refresh_interval_s: float = 0.5
    sampled_targets: int = 8
    short_penalty_s: float = 0.15
    outside_penalty_s: float = 0.1
    paused_stream_penalty_s: float = 0.03
    full_memory_penalty_s: float = 0.3
    max_error: float = 0.6
    max_pause_fraction: float = 0.75
    alone_fraction: float = 0.1
    safe_fraction: float = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What applies to one request.

    Attributes:
        is_long: whether its prompt is long.
        engines: engines for long prompts.
        held: KV cache tokens that the request is counted with.
        cache_tokens: size of the KV cache of an engine, in tokens.
    """

    is_long: bool
    engines: frozenset[ids.TargetId]
    held: float
    cache_tokens: int


class LongPrompts:
    """Assignment of long prompts to the engines of one pool.

    Attributes:
        settings: settings of the assignment.
        gap_goal_s: smallest goal for pauses of the routes that use the pool,
            in seconds; 0 if none has one, which disables the assignment.
        model: prefill time of prompts.
        long_s: prefill time of the long prompts that this router placed,
            decayed, in seconds.
        tokens: prompt tokens that this router placed, decayed.
        peers: last prefill time of long prompts and prompt tokens of each
            peer, and when they were received in monotonic seconds.
        fleet_tokens: decayed sum over time of the prompt tokens a second
            that all routers placed.
        fleet_time: decayed sum of that time, in seconds.
        count: number of engines for long prompts.
        refreshed_at: when `count` was computed, monotonic seconds.
        order: engines in rendezvous order.
        engines: the first `count` of them.
        error: error of the estimates of this router's prefills.
        names: engines that `order` was computed from.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        self.gap_goal_s = 0.0
        self.model = prefill_model.PrefillModel(prefill_model.Settings())
        self.long_s = decayed.DecayingSum()
        self.tokens = decayed.DecayingSum()
        self.peers: dict[ids.InstanceId, tuple[float, float, float]] = {}
        self.fleet_tokens = decayed.DecayingSum()
        self.fleet_time = decayed.DecayingSum()
        self.count = 0
        self.refreshed_at = -math.inf
        self.order: tuple[ids.TargetId, ...] = ()
        self.engines: frozenset[ids.TargetId] = frozenset()
        self.error = estimate_error.EstimateError()
        self.names: frozenset[ids.TargetId] = frozenset()

    def is_enabled(self, target_count: int) -> bool:
        """Whether long prompts are handled apart in a pool of this size."""
        return self.gap_goal_s > 0 and target_count >= self.settings.min_targets

    def plan(
        self,
        prompt: requests.Prompt,
        cached_tokens: int,
        held: float,
        cache_tokens: int,
        targets: list[target_list.Entry],
        loads: loads_lib.LoadTracker,
        now: float,
    ) -> Plan | None:
        """Returns what applies to a request; None if nothing is assigned.

        Args:
            prompt: its prompt.
            cached_tokens: most leading tokens that a target has cached.
            held: KV cache tokens that the request is counted with.
            cache_tokens: size of the KV cache of an engine, in tokens.
            targets: targets that may get it.
            loads: loads of the targets.
            now: monotonic seconds.
        """
        if not self.is_enabled(len(targets)):
            return None
        if now - self.refreshed_at >= self.settings.refresh_interval_s:
            self._refresh(targets, loads, now)
        if self.error.is_above(self.settings.max_error, now):
            return None
        unread = max(prompt.tokens - cached_tokens, 1)
        prefill_s = self.model.estimate(unread, cached_tokens)
        is_long = prefill_s > self.settings.long_fraction * self.gap_goal_s
        return Plan(is_long, self.engines, held, cache_tokens)

    def find_penalty(
        self,
        plan: Plan,
        entry: target_list.Entry,
        load: loads_lib.Load,
        pause_s: float,
    ) -> float:
        """Returns the penalty of a target for a request, in seconds.

        Args:
            plan: what applies to the request.
            entry: the target.
            load: load of the target.
            pause_s: time until the target would have prefilled the prompt, in
                seconds.
        """
        settings = self.settings
        is_assigned = entry.name in plan.engines
        penalty_s = 0.0
        if plan.is_long and not is_assigned:
            penalty_s = settings.outside_penalty_s
        elif is_assigned and not plan.is_long:
            penalty_s = settings.short_penalty_s
        if load.held + plan.held > plan.cache_tokens:
            penalty_s += settings.full_memory_penalty_s
        safe_s = settings.safe_fraction * self.gap_goal_s
        risk = (pause_s - safe_s) / (self.gap_goal_s - safe_s)
        paused_streams = load.running * min(max(risk, 0.0), 1.0)
        return penalty_s + settings.paused_stream_penalty_s * paused_streams

    def must_wait(
        self,
        plan: Plan,
        entry: target_list.Entry,
        load: loads_lib.Load,
        backlog_s: float,
        prefill_s: float,
        may_wait: bool,
    ) -> bool:
        """Whether a request should rather wait than pause running streams.

        Args:
            plan: what applies to the request.
            entry: the target.
            load: load of the target.
            backlog_s: time for what is unread at the target, in seconds.
            prefill_s: time for the prompt itself, in seconds.
            may_wait: whether the request has time to wait.
        """
        settings = self.settings
        if load.running == 0 or not may_wait:
            return False
        longest_s = settings.max_pause_fraction * self.gap_goal_s
        if backlog_s + prefill_s <= longest_s:
            return False
        # A prompt that is too long by itself is sent where nothing is unread.
        is_alone = backlog_s <= settings.alone_fraction * self.gap_goal_s
        return not (
            prefill_s > longest_s and is_alone and entry.name in plan.engines
        )

    def estimate_prefill(
        self, unread: float, prompt_tokens: int, slowdown: float
    ) -> float:
        """Returns the time in which a target prefills a prompt, in seconds.

        Args:
            unread: tokens of the prompt that it has to prefill.
            prompt_tokens: length of the prompt.
            slowdown: see `find_slowdown`.
        """
        return self.model.estimate(unread, prompt_tokens - unread) * slowdown

    def find_slowdown(self, load: loads_lib.Load) -> float:
        """Returns how much slower a target is than its pool, as a factor."""
        return prefill_model.compute_slowdown(load.timed_s, load.expected_s)

    def note_first_event(
        self,
        target: ids.TargetId,
        unread: float,
        preceding: float,
        ahead: float,
        seconds: float,
        loads: loads_lib.LoadTracker,
        now: float,
    ) -> None:
        """Compares the time of a prefill with the estimate, and learns.

        Args:
            target: where it ran.
            unread: tokens of the prompt that the target had to prefill.
            preceding: tokens of the prompt that were cached.
            ahead: tokens of other prompts that it had to prefill before.
            seconds: time for both.
            loads: gets the time of the target.
            now: monotonic seconds.
        """
        ahead = max(ahead, 0.0)
        expected_s = ahead * self.model.mean_s
        expected_s += self.model.estimate(unread, preceding)
        if self.model.add_sample(unread, preceding, ahead, seconds, now):
            self.error.add(expected_s, seconds, now)
            loads.note_prefill_time(target, seconds, expected_s, now)

    def note_placed(
        self, unread: float, prompt_tokens: int, target_count: int, now: float
    ) -> None:
        """Counts a request that this router placed.

        Args:
            unread: prompt tokens that the target has to prefill.
            prompt_tokens: length of the prompt.
            target_count: number of targets of the pool.
            now: monotonic seconds.
        """
        if not self.is_enabled(target_count):
            return
        prefill_s = self.model.estimate(unread, prompt_tokens - unread)
        self.tokens.add(unread, now, self.settings.decay_s)
        if prefill_s > self.settings.long_fraction * self.gap_goal_s:
            self.long_s.add(prefill_s, now, self.settings.decay_s)

    def export(
        self, demand: messages.PoolDemand, now: float
    ) -> messages.PoolDemand:
        """Returns a report of demand with this router's sums added."""
        own = self.model.read_own(now)
        return dataclasses.replace(
            demand,
            long_s=self.long_s.read(now, self.settings.decay_s),
            placed_tokens=self.tokens.read(now, self.settings.decay_s),
            sample_tokens=own.tokens,
            sample_positions=own.positions,
            sample_s=own.seconds,
            sample_squares=own.squares,
            sample_products=own.products,
        )

    def apply_report(
        self, peer: ids.InstanceId, demand: messages.PoolDemand, now: float
    ) -> None:
        """Replaces the last sums of a peer."""
        self.peers[peer] = (now, demand.long_s, demand.placed_tokens)
        self.model.apply_report(peer, demand, now)

    def forget_peer(self, peer: ids.InstanceId) -> None:
        """Removes the sums of a peer that another report includes."""
        self.peers.pop(peer, None)
        self.model.forget_peer(peer)

    def _refresh(
        self,
        targets: list[target_list.Entry],
        loads: loads_lib.LoadTracker,
        now: float,
    ) -> None:
        """Computes the number of engines for long prompts, and their order."""
        settings = self.settings
        recent = sum(loads.total(entry.name, now).recent for entry in targets)
        tokens_per_s = recent / loads_lib.RECENT_DECAY_S
        # The first interval has no beginning.
        interval_s = min(now - self.refreshed_at, settings.refresh_interval_s)
        self.refreshed_at = now
        self.fleet_tokens.add(tokens_per_s * interval_s, now, settings.decay_s)
        self.fleet_time.add(interval_s, now, settings.decay_s)
        placed_tokens = self.tokens.read(now, settings.decay_s)
        long_s = self.long_s.read(now, settings.decay_s)
        for received_at, peer_long_s, peer_tokens in self.peers.values():
            if now - received_at < prefill_model.REPORT_MAX_AGE_S:
                long_s += peer_long_s
                placed_tokens += peer_tokens
        self.model.fit(now)
        # Prefill time of long prompts in the fleet, in seconds a second.
        busy = (
            (long_s / max(placed_tokens, 1.0))
            * self.fleet_tokens.value
            / self.fleet_time.value
        )
        wanted = math.ceil(busy / settings.utilisation)
        self.count = min(wanted, int(len(targets) * settings.max_pool_fraction))
        names = frozenset(entry.name for entry in targets)
        if names != self.names:
            self.names = names
            self.order = tuple(
                sorted(
                    names,
                    key=lambda name: rendezvous.score(ORDER_KEY, name),
                    reverse=True,
                )
            )
        self.engines = frozenset(self.order[: self.count])


def find_gap_goal(
    routes: Iterable[configuration.Route], pool: ids.PoolId
) -> float:
    """Returns the smallest goal for pauses of the streams of a pool.

    Returns:
        Seconds; 0 if no route with such a goal uses the pool.
    """
    goals = (
        route.gap_goal_s
        for route in routes
        if route.kind is configuration.RouteKind.STREAMING
        and route.gap_goal_s > 0
        and any(
            part.pool == pool and part.weight > 0 for part in route.pool_weights
        )
    )
    return min(goals, default=0.0)
