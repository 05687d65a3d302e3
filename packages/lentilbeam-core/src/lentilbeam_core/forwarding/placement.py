"""Placement: chooses the target of a request.

Model engines process prompts (prefill) in arrival order. The time until the
first event of an answer can therefore be estimated from the unread prompt
tokens that were sent to the engine before. A target that has cached the
request's shared prompt parts only processes the rest. Any other target can
fetch the parts from a target that has them, which is much cheaper than
processing them again.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import random

from lentilbeam_core import ids
from lentilbeam_core import rendezvous
from lentilbeam_core.forwarding import cold_speed as cold_speed_lib
from lentilbeam_core.forwarding import configuration
from lentilbeam_core.forwarding import connection_preference
from lentilbeam_core.forwarding import fetch_sources
from lentilbeam_core.forwarding import fleet_demand
from lentilbeam_core.forwarding import load_bounds
from lentilbeam_core.forwarding import loads as loads_lib
from lentilbeam_core.forwarding import long_prompts as long_prompts_lib
from lentilbeam_core.forwarding import plain_work as plain_work_lib
from lentilbeam_core.forwarding import prefill_rates
from lentilbeam_core.forwarding import prompt_cache
from lentilbeam_core.forwarding import requests
from lentilbeam_core.forwarding import room as room_lib
from lentilbeam_core.forwarding import target_list
from lentilbeam_core.forwarding import target_memory
from lentilbeam_core.forwarding import work_left as work_left_lib

MAX_KNOWN_HOMES = 10_000
"""Number of keys whose home target is remembered."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of placement.

    The cost of an engine for a request is the estimated time to the first
    event plus penalties, all in seconds. The engine with the lowest cost is
    chosen. Plain targets, which aren't model engines, are chosen by their
    utilisation.

    Attributes:
        first_event_overhead_s: time from sending a request to its first event
            without prefill; from the operators' data sheets.
        fetch_penalty_s: penalty for fetching shared parts.
        fetch_token_penalty_s: additional penalty for each fetched token,
            because copies displace other parts from the target's cache.
        min_fetch_tokens: minimum number of tokens to fetch; fewer tokens are
            processed again instead.
        recompute_token_penalty_s: penalty for each cached token that the target
            processes again instead of fetching it.
        off_home_token_penalty_s: penalty for each shared token that no target
            has cached, unless the target is the prompt's home target.
        remote_penalty_s: penalty for a target in another data centre.
        remote_byte_penalty_s: additional penalty for each byte of the request
            that travels there. Within its goal a request is worth as much
            near as far, but bytes between data centres are paid for.
        batch_penalty_s: penalty for a target whose slots are all in use, in
            proportion if some are; a large batch slows down all its streams.
        decode_penalty_s: additional penalty if the streams in all of its slots
            last as long as the request, in proportion if some do, see
            `work_left`.
        sampled_targets: number of targets sampled at random in a pool that has
            more than twice as many.
        noise_s: maximum of a random penalty, so that routers with the same
            information don't all choose the same target.
        goal_exempt_backlog_s: a target whose backlog (time to process its
            unread prompt tokens) is at most this many seconds, and at most
            `Bounds.free_backlog_s`, is accepted even beyond the goal bound.
        lone_version_penalty_s: penalty for the only target of its software
            version while others run, if callers may take up the stream: it
            could go on nowhere else.
        plain_overcommit: maximum number of requests at a plain target, as a
            multiple of its slots.
        plain_remote_penalty: penalty for a plain target in another data
            centre, in requests.
    """

    first_event_overhead_s: float = 0.06
    fetch_penalty_s: float = 0.005
    fetch_token_penalty_s: float = 5e-6
    min_fetch_tokens: int = 64
    recompute_token_penalty_s: float = 4e-5
    off_home_token_penalty_s: float = 1e-5
    remote_penalty_s: float = 0.004
    remote_byte_penalty_s: float = 1e-5
    batch_penalty_s: float = 0.1
    decode_penalty_s: float = 0.1
    sampled_targets: int = 5
    noise_s: float = 0.01
    goal_exempt_backlog_s: float = 0.05
    lone_version_penalty_s: float = 0.05
    plain_overcommit: float = 1.5
    plain_remote_penalty: float = 0.3


# Not frozen, as `_Candidate`: one is created for each target that a request is
# compared at, and creating a frozen object takes up to eight times as long.
@dataclasses.dataclass(slots=True)
class Placement:
    """The target chosen for a request.

    Attributes:
        target: the chosen target.
        unread: prompt tokens of the request that the target is expected to
            process; 0 for plain services.
        tokens_to_first_event: prompt tokens that the target has to process
            before the request's first event, its own included; 0 for plain
            services.
        fetch_from: target to fetch shared prompt parts from, or None.
        prompt_tokens: length of the request's prompt; 0 for plain services.
        expected_s: estimated time to the first event, in seconds; 0 for plain
            services.
        is_long: whether the prompt counts as long, see `long_prompts`.
    """

    target: target_list.Entry
    unread: float
    tokens_to_first_event: float
    fetch_from: target_list.Entry | None
    prompt_tokens: int = 0
    expected_s: float = 0.0
    is_long: bool = False


@dataclasses.dataclass(slots=True)
class _Candidate:
    """A target that may get the request.

    Attributes:
        cost_s: estimated time to the first event plus penalties, in seconds.
        placement: the placement if the target is chosen.
        needs_fetch: whether the target should fetch shared parts.
        is_last_resort: whether the target is chosen only if no other can be.
    """

    cost_s: float
    placement: Placement
    needs_fetch: bool
    is_last_resort: bool = False

    def is_better(self, other: "_Candidate | None") -> bool:
        """Whether this target is preferred to another; None if none is."""
        return other is None or (self.is_last_resort, self.cost_s) < (
            other.is_last_resort,
            other.cost_s,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _CachedPrefix:
    """Which targets have cached the leading parts of a prompt.

    Attributes:
        cached_tokens: leading tokens that each target has cached, in the
            order of the targets.
        max_cached_tokens: maximum of `cached_tokens`, and of what can be
            fetched from targets that get no new requests.
        holder_indexes: indexes of the targets that have cached the maximum of
            `cached_tokens`; empty if it is 0.
        sources: targets that have cached `max_cached_tokens`.
        shared_tokens: length of all parts but the last, which is rarely
            shared.
        home_target: target chosen by rendezvous hashing, so that all routers
            send shared parts that no target has cached to the same target.
    """

    cached_tokens: list[int]
    max_cached_tokens: int
    holder_indexes: list[int]
    sources: tuple[target_list.Entry, ...]
    shared_tokens: int
    home_target: ids.TargetId


class Placer:
    """Places the requests of one pool.

    Attributes:
        settings: settings of placement.
        pool: the pool, as configured.
        loads: loads of the pool's targets.
        data_centre: this router's data centre.
        rng: random number generator.
        caches: estimated cache contents of the pool's targets.
        rates: settings of the prefill rates of the pool's targets.
        long_prompts: assignment of long prompts to a few targets.
        work_left: output that running streams have left.
        memory: tells which engines have memory for a request.
        cold_speed: tells how slow the cold engines are.
        room: tells which engines have room for any request.
        plain_work: expected times of requests to plain targets.
        pool_size: number of targets of the last placement.
        list_sources: returns targets that hand out prompt parts, whether or
            not they get new requests.
        connections: tells to which targets this router has idle connections.
        homes: home targets among `home_candidates`, by the hashed key.
        home_candidates: targets of the last placement.
        select_startable: returns those of some targets at which the stream
            with a key can begin, at a time in monotonic seconds.
        exclusions: why targets were excluded in the last call of `choose`, and
            how many.
    """

    def __init__(
        self,
        settings: Settings,
        pool: configuration.Pool,
        loads: loads_lib.LoadTracker,
        data_centre: ids.DataCentreId,
        rng: random.Random,
    ):
        self.settings = settings
        self.pool = pool
        self.loads = loads
        self.data_centre = data_centre
        self.rng = rng
        self.connections = connection_preference.ConnectionPreference(
            pool, lambda target, idle_s: False, lambda: 1
        )
        self.caches = prompt_cache.PromptCaches(0)
        self.work_left = work_left_lib.WorkLeft(work_left_lib.Settings(), loads)
        self.plain_work = plain_work_lib.PlainWork(
            plain_work_lib.Settings(), loads, settings.plain_overcommit
        )
        self.update_pool(pool)
        self.rates = prefill_rates.Settings()
        self.long_prompts = long_prompts_lib.LongPrompts(
            long_prompts_lib.Settings()
        )
        self.memory = target_memory.TargetMemory(
            target_memory.Settings(),
            loads,
            fleet_demand.FleetDemand(),
            lambda: 1,
            rng,
        )
        self.cold_speed = cold_speed_lib.ColdSpeed()
        self.room = room_lib.Room(loads, self._estimate_rate)
        self.pool_size = 0
        self.list_sources: Callable[[], Iterable[target_list.Entry]] = tuple
        self.homes: dict[str, ids.TargetId] = {}
        self.home_candidates: tuple[ids.TargetId, ...] = ()
        self.select_startable: Callable[
            [list[target_list.Entry], int, float], list[target_list.Entry]
        ] = lambda targets, key, now: targets
        self.exclusions: collections.Counter[room_lib.Exclusion] = (
            collections.Counter()
        )

    def update_pool(self, pool: configuration.Pool) -> None:
        """Applies a new configuration of the pool."""
        self.pool = pool
        self.connections.pool = pool
        self.caches.cache_tokens = (
            pool.engine.cache_tokens if pool.engine else 0
        )
        self.plain_work.is_enabled = pool.cold_per_s <= 0
        self.work_left.event_tokens = (
            pool.engine.event_tokens if pool.engine else 0
        )

    def has_room(
        self,
        targets: list[target_list.Entry],
        bounds: load_bounds.Bounds,
        now: float,
    ) -> bool:
        """Returns whether any target has room within the bounds.

        If not, `choose` finds no placement for any request, and `exclusions`
        tells why.

        Args:
            targets: targets that may get a request.
            bounds: limits on the load of a target.
            now: monotonic seconds.
        """
        if self.pool.engine is None and self.plain_work.is_used(now):
            return bool(targets)
        fraction = self.settings.plain_overcommit
        if self.pool.engine is not None:
            if self._is_known_full(targets, bounds, now):
                return False
            fraction = bounds.slots_fraction
        if any(
            self.loads.count_running(entry.name) < entry.slots * fraction
            for entry in targets
        ):
            return True
        self.exclusions = collections.Counter(
            {room_lib.Exclusion.SLOTS: len(targets)}
        )
        return False

    def _is_known_full(
        self,
        targets: list[target_list.Entry],
        bounds: load_bounds.Bounds,
        now: float,
    ) -> bool:
        """Whether no engine has room; `exclusions` then tells why."""
        known = self.room.find_known(targets, bounds, now)
        if known is None:
            return False
        self.exclusions = known
        return True

    def choose(
        self,
        request: requests.Request,
        targets: list[target_list.Entry],
        bounds: load_bounds.Bounds,
        now: float,
    ) -> Placement | None:
        """Returns the placement with the lowest cost.

        Args:
            request: the request.
            targets: targets that may get it.
            bounds: limits on the load of a target.
            now: monotonic seconds.

        Returns:
            The placement, or None if no target is within the bounds; then
            `exclusions` tells why.
        """
        self.exclusions.clear()
        if request.stream_key is not None:
            targets = self.select_startable(targets, request.stream_key, now)
        if not targets:
            return None
        if request.prompt is None or self.pool.engine is None:
            return self._choose_plain(request, targets, now)
        if self._is_known_full(targets, bounds, now):
            return None
        prefix = self._find_cached(request.prompt, targets)
        self.pool_size = self.work_left.pool_size = len(targets)
        plan = self.long_prompts.plan(
            request.prompt,
            prefix.max_cached_tokens,
            self.work_left.estimate_held(request, now),
            self.pool.engine.cache_tokens,
            targets,
            self.loads,
            now,
        )
        evaluate = self._build_evaluation(
            request, targets, prefix, bounds, plan, now
        )
        indexes = self._find_indexes(
            request, targets, prefix, plan, bounds, now
        )
        best = _find_best(map(evaluate, indexes))
        if best is None:
            rest = self.room.find_open(targets, bounds, now)
            if bounds.is_exhaustive and not target_memory.is_bounded(self.pool):
                rest.difference_update(indexes)
                # Equally good targets must not be chosen by all routers.
                order = self.rng.sample(sorted(rest), len(rest))
                best = _find_best(map(evaluate, order))
        if best is None:
            return None
        if not best.needs_fetch:
            return best.placement
        source = self._choose_fetch_source(
            best.placement.target, prefix.sources
        )
        return dataclasses.replace(best.placement, fetch_from=source)

    def _build_evaluation(
        self,
        request: requests.Request,
        targets: list[target_list.Entry],
        prefix: _CachedPrefix,
        bounds: load_bounds.Bounds,
        plan: long_prompts_lib.Plan | None,
        now: float,
    ) -> Callable[[int], _Candidate | None]:
        """Returns a function that evaluates the target with an index."""
        lone = frozenset()
        if request.route.is_resumable:
            lone = find_lone_versions(targets)

        def evaluate(index: int) -> _Candidate | None:
            entry = targets[index]
            candidate = self._evaluate(
                request, entry, prefix, index, bounds, plan, now
            )
            if candidate and entry.version in lone:
                cost_s = candidate.cost_s + self.settings.lone_version_penalty_s
                candidate = dataclasses.replace(candidate, cost_s=cost_s)
            return candidate

        return evaluate

    def _find_indexes(
        self,
        request: requests.Request,
        targets: list[target_list.Entry],
        prefix: _CachedPrefix,
        plan: long_prompts_lib.Plan | None,
        bounds: load_bounds.Bounds,
        now: float,
    ) -> Iterable[int]:
        """Returns the indexes of the targets that are evaluated.

        Where memory is bounded, they have memory for the request. If a sample
        has none of these, all of them are evaluated.
        """
        sampled = self._sample(request, targets, prefix, plan)
        if not target_memory.is_bounded(self.pool):
            return sampled
        for indexes in (sampled, range(len(targets))):
            full = self.memory.find_full(
                request,
                [targets[i] for i in indexes],
                self.pool.engine.cache_tokens,
                bounds,
                now,
            )
            found = [i for i in indexes if targets[i].name not in full]
            if found:
                return found
        return []

    def _sample(
        self,
        request: requests.Request,
        targets: list[target_list.Entry],
        prefix: _CachedPrefix,
        plan: long_prompts_lib.Plan | None,
    ) -> Iterable[int]:
        """Returns the indexes of the targets to choose from.

        If each router evaluated all targets of a large pool, all routers would
        send to the same least loaded target until their next load reports.
        Each router therefore evaluates a random sample of all targets, a
        random sample of those with the most cached tokens, and the home
        target. For a long prompt, a random sample of the targets for long
        prompts is added.
        """
        count = self.settings.sampled_targets
        if len(targets) <= 2 * count:
            return range(len(targets))
        indexes = range(len(targets))
        chosen = self.connections.sample(request, targets, count, self.rng)
        holder_count = min(count, len(prefix.holder_indexes))
        chosen.update(self.rng.sample(prefix.holder_indexes, holder_count))
        chosen.update(
            i for i in indexes if targets[i].name == prefix.home_target
        )
        if plan is not None and plan.is_long:
            assigned = [i for i in indexes if targets[i].name in plan.engines]
            long_count = self.long_prompts.settings.sampled_targets
            chosen.update(
                self.rng.sample(assigned, min(long_count, len(assigned)))
            )
        return sorted(chosen)

    def note_prompt_placed(
        self,
        target: ids.TargetId,
        parts: tuple[requests.Part, ...],
        now: float,
    ) -> None:
        """Records that this router or a peer placed a prompt at `target`."""
        held = self.loads.read_held(target, now)
        self.caches.add_parts(target, parts, held)

    def note_placed(self, placement: Placement, now: float) -> None:
        """Records that this router placed a request with a prompt."""
        self.long_prompts.note_placed(
            placement.unread, placement.prompt_tokens, self.pool_size, now
        )

    def update_prefill_rate(
        self, placement: Placement, seconds: float, now: float
    ) -> None:
        """Adds a sample to the prefill rate of a target.

        Args:
            placement: where the request was sent.
            seconds: time from sending the request to its first event.
            now: monotonic seconds.
        """
        prefill_s = seconds - self.settings.first_event_overhead_s
        name = placement.target.name
        if self.long_prompts.is_enabled(self.pool_size):
            self.long_prompts.note_first_event(
                name,
                placement.unread,
                placement.prompt_tokens - placement.unread,
                placement.tokens_to_first_event - placement.unread,
                prefill_s,
                self.loads,
                now,
            )
        elif prefill_s > 0 and placement.tokens_to_first_event > 0:
            expected_s = (
                placement.tokens_to_first_event
                / self.rates.initial_tokens_per_s
            )
            self.loads.note_prefill_time(name, prefill_s, expected_s, now)

    def forget(self, target: ids.TargetId) -> None:
        """Removes a target that has restarted or is no longer listed."""
        self.caches.forget(target)
        self.loads.forget(target)
        self.memory.forget(target)

    def _choose_plain(
        self,
        request: requests.Request,
        targets: list[target_list.Entry],
        now: float,
    ) -> Placement | None:
        if self.pool.engine is None and self.plain_work.is_used(now):
            penalties = [
                (t, self._find_plain_penalty(request, t)) for t in targets
            ]
            chosen = self.plain_work.choose(request, penalties, self.rng, now)
            return chosen and Placement(chosen, 0.0, 0.0, None)
        best = None
        lowest_utilisation = self.settings.plain_overcommit
        for entry in targets:
            running = self.loads.total(entry.name, now).running
            if running >= entry.slots * self.settings.plain_overcommit:
                self._exclude(room_lib.Exclusion.SLOTS)
                continue
            # The random penalty of up to 0.1 requests spreads the choices of
            # routers with the same information.
            penalty = self._find_plain_penalty(request, entry)
            utilisation = (
                running + penalty + self.rng.random() * 0.1
            ) / entry.slots
            if best is None or utilisation < lowest_utilisation:
                best, lowest_utilisation = entry, utilisation
        return Placement(best, 0.0, 0.0, None) if best is not None else None

    def _find_plain_penalty(
        self, request: requests.Request, entry: target_list.Entry
    ) -> float:
        """Returns the penalty of a plain target, as a number of requests."""
        is_remote = entry.data_centre != self.data_centre
        penalty = self.settings.plain_remote_penalty * is_remote
        return penalty + self.connections.estimate_plain_cost(
            request, entry, is_remote
        )

    def _find_cached(
        self, prompt: requests.Prompt, targets: list[target_list.Entry]
    ) -> _CachedPrefix:
        counts = self.caches.count_cached_by_target(prompt.parts)
        tokens = [counts.get(entry.name, 0) for entry in targets]
        max_cached_tokens = max(tokens)
        holders = []
        if max_cached_tokens > 0:
            holders = [
                i
                for i, count in enumerate(tokens)
                if count == max_cached_tokens
            ]
        shared_parts = prompt.parts[:-1]
        key = shared_parts[-1].name if shared_parts else ""
        home_target = self._find_home(key, targets)
        shared_tokens = sum(part.tokens for part in shared_parts)
        sources = fetch_sources.find_sources(counts, targets, self.list_sources)
        return _CachedPrefix(
            tokens,
            sources.tokens,
            holders,
            sources.targets,
            shared_tokens,
            home_target,
        )

    def _find_home(
        self, key: str, targets: list[target_list.Entry]
    ) -> ids.TargetId:
        """Returns the home target of a key among the targets.

        The home targets of the last list of targets are remembered, since
        hashing the names of a whole pool takes longer than the rest of a
        placement.
        """
        names = tuple(entry.name for entry in targets)
        if names != self.home_candidates or len(self.homes) >= MAX_KNOWN_HOMES:
            self.home_candidates = names
            self.homes = {}
        if key not in self.homes:
            self.homes[key] = rendezvous.choose(key, names)
        return self.homes[key]

    def _evaluate(
        self,
        request: requests.Request,
        entry: target_list.Entry,
        prefix: _CachedPrefix,
        index: int,
        bounds: load_bounds.Bounds,
        plan: long_prompts_lib.Plan | None,
        now: float,
    ) -> _Candidate | None:
        settings = self.settings
        load = self.loads.total(entry.name, now)
        if load.running >= entry.slots * bounds.slots_fraction:
            return self._exclude(room_lib.Exclusion.SLOTS)
        cached_tokens = prefix.cached_tokens[index]
        missing_tokens = prefix.max_cached_tokens - cached_tokens
        off_home_tokens = max(
            prefix.shared_tokens - prefix.max_cached_tokens, 0
        ) * (entry.name != prefix.home_target)
        penalty_s = off_home_tokens * settings.off_home_token_penalty_s
        needs_fetch = missing_tokens >= settings.min_fetch_tokens
        if needs_fetch:
            cached_tokens = prefix.max_cached_tokens
            penalty_s += (
                settings.fetch_penalty_s
                + missing_tokens * settings.fetch_token_penalty_s
            )
        else:
            penalty_s += missing_tokens * settings.recompute_token_penalty_s
        unread = max(request.prompt.tokens - cached_tokens, 1)
        rate = self._estimate_rate(entry.name, load, now)
        if plan is None:
            prefill_s = unread / rate
        else:
            prefill_s = self.long_prompts.estimate_prefill(
                unread,
                request.prompt.tokens,
                self._find_slowdown(entry.name, load, now),
            )
        backlog_s = load.unread / rate
        is_last_resort = (
            entry.name in self.cold_speed.cold
            and cold_speed_lib.is_long(prefill_s, request.route.goal_s)
        )
        if is_last_resort and backlog_s > cold_speed_lib.MAX_BACKLOG_S:
            return self._exclude(room_lib.Exclusion.COLD)
        if room_lib.is_beyond_prefill(load, unread, rate, bounds):
            return self._exclude(room_lib.Exclusion.PREFILL)
        first_event_delay_s = (
            backlog_s + prefill_s + settings.first_event_overhead_s
        )
        if plan is not None:
            waited_s = now - request.arrived_at
            if self.long_prompts.must_wait(
                plan,
                entry,
                load,
                backlog_s,
                prefill_s,
                waited_s < bounds.max_hold_fraction * request.route.goal_s,
            ):
                return self._exclude(room_lib.Exclusion.PAUSE)
            penalty_s += self.long_prompts.find_penalty(
                plan, entry, load, backlog_s + prefill_s
            )
        goal_s = (request.goal_at - now) * bounds.goal_fraction
        goal_exempt_s = min(
            settings.goal_exempt_backlog_s, bounds.free_backlog_s
        )
        if first_event_delay_s > goal_s and backlog_s > goal_exempt_s:
            return self._exclude(room_lib.Exclusion.GOAL)
        if entry.data_centre != self.data_centre:
            penalty_s += (
                settings.remote_penalty_s
                + request.body_bytes * settings.remote_byte_penalty_s
            )
        penalty_s += settings.batch_penalty_s * load.running / entry.slots
        batch = self.work_left.expect_batch(request, load, now)
        penalty_s += settings.decode_penalty_s * batch / entry.slots
        penalty_s += self.connections.estimate_cost(request, entry)
        penalty_s += settings.noise_s * self.rng.random()
        placement = Placement(
            target=entry,
            unread=unread,
            tokens_to_first_event=load.unread + unread,
            fetch_from=None,
            prompt_tokens=request.prompt.tokens,
            expected_s=first_event_delay_s,
            is_long=plan is not None and plan.is_long,
        )
        return _Candidate(
            first_event_delay_s + penalty_s,
            placement,
            needs_fetch,
            is_last_resort,
        )

    def _exclude(self, exclusion: room_lib.Exclusion) -> None:
        """Counts a target that can't get a request now."""
        self.exclusions[exclusion] += 1

    def _find_slowdown(
        self, name: ids.TargetId, load: loads_lib.Load, now: float
    ) -> float:
        """Returns how much slower a target is than its pool, as a factor."""
        slowdown = self.long_prompts.find_slowdown(load)
        return self.cold_speed.correct(name, slowdown, 1.0, now)

    def _estimate_rate(
        self, name: ids.TargetId, load: loads_lib.Load, now: float
    ) -> float:
        """Returns the prompt tokens that a target processes per second."""
        if not self.long_prompts.is_enabled(self.pool_size):
            rate = prefill_rates.estimate(
                self.rates, load.timed_s, load.expected_s
            )
            initial = self.rates.initial_tokens_per_s
            return initial / self.cold_speed.correct(
                name, initial / rate, self.cold_speed.warm_slowdown, now
            )
        # The ratio of tokens to time is lower at engines for long prompts only
        # because of these, not because the engines are slow.
        slowdown = self._find_slowdown(name, load, now)
        return 1 / (self.long_prompts.model.mean_s * slowdown)

    def _choose_fetch_source(
        self, target: target_list.Entry, holders: Sequence[target_list.Entry]
    ) -> target_list.Entry:
        """Returns a random holder, preferably in the target's data centre.

        The choice is random because a holder sends its copies one after the
        other. Copies between data centres take longer.
        """
        nearby = [h for h in holders if h.data_centre == target.data_centre]
        return self.rng.choice(nearby or holders)


def find_lone_versions(targets: Iterable[target_list.Entry]) -> frozenset[str]:
    """Returns the software versions that only one of several targets runs."""
    counts = collections.Counter(entry.version for entry in targets)
    if len(counts) < 2:
        return frozenset()
    return frozenset(name for name, count in counts.items() if count == 1)


def _find_best(
    candidates: Iterable[_Candidate | None],
) -> _Candidate | None:
    """Returns the best of some candidates; None if there is none."""
    best = None
    for candidate in candidates:
        if candidate and candidate.is_better(best):
            best = candidate
    return best
