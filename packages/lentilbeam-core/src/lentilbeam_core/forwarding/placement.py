"""Chooses the target of a request, or says that none has room.

Model engines read prompts in arrival order, so the time until the first
event of an answer follows from what is still unread ahead of it. A target
that holds the request's shared parts reads less; one that doesn't can fetch
them from a target that does, which is far cheaper than reading them again.
"""

from collections.abc import Iterable
import dataclasses
import random

from lentilbeam_core import ids
from lentilbeam_core import rendezvous
from lentilbeam_core.forwarding import configuration
from lentilbeam_core.forwarding import loads as loads_lib
from lentilbeam_core.forwarding import prefill_rates
from lentilbeam_core.forwarding import prompt_cache
from lentilbeam_core.forwarding import requests
from lentilbeam_core.forwarding import target_list


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """How much work a target may have before a request is sent there.

    Attributes:
        goal_fraction: part of the goal within which the first event has to
            be expected; the rest is for errors of the estimate.
        reading_fraction: part of an engine's time that goes into reading
            prompts; streams need the rest to go on without long pauses.
        slots_fraction: part of the slots that may be taken.
    """

    goal_fraction: float
    prefill_fraction: float
    slots_fraction: float


BELOW_GUARANTEE_BOUNDS = Bounds(0.9, 0.85, 1.0)
"""For workspaces that have received less than their share."""
BELOW_FAIR_SHARE_BOUNDS = Bounds(0.8, 0.72, 0.9)
"""For those beyond it that received far less than others who ask as much."""
AT_FAIR_SHARE_BOUNDS = Bounds(0.7, 0.6, 0.8)
"""For the others: the difference is kept free for those within theirs."""
ABOVE_FAIR_SHARE_BOUNDS = Bounds(0.4, 0.4, 0.55)
"""For those that received more than any other that asks for as much."""


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of placement. Disadvantages of a target are in seconds.

    Attributes:
        first_event_s: time to the first event of a prompt that is read at
            once; from the users' sheets.
        fetch_s: disadvantage of fetching shared parts at all.
        fetch_token_s: and for each token: copies crowd out other parts.
        fetch_least_tokens: fewer tokens are read again instead.
        reread_token_s: disadvantage of each shared token read again.
        away_token_s: disadvantage of each shared token away from the home
            that all routers agree on, while no target holds it.
        distance_s: disadvantage of a target in another data centre.
        crowd_s: disadvantage of a full batch: it slows all streams in it.
        sampled_targets: weighed of those in a large pool, by chance.
        noise_s: spread of random disadvantages, so that routers with the
            same view don't all choose the same target.
        least_backlog_s: a target with less unread work than this has room
            for any request.
        plain_overcommit: requests at a plain target, relative to its slots.
        plain_distance: disadvantage of a plain target in another data
            centre, in requests.
    """

    first_event_s: float = 0.06
    fetch_penalty_s: float = 0.005
    fetch_token_penalty_s: float = 5e-6
    min_fetch_tokens: int = 64
    reread_token_penalty_s: float = 4e-5
    off_home_token_penalty_s: float = 1e-5
    remote_penalty_s: float = 0.004
    batch_penalty_s: float = 0.1
    sampled_targets: int = 5
    noise_s: float = 0.01
    min_backlog_s: float = 0.05
    plain_overcommit: float = 1.5
    plain_remote_penalty: float = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Where a request goes.

    Attributes:
        target: the chosen target.
        unread: prompt tokens that it is expected to read.
        ahead: prompt tokens to be read there before its first event, its
            own included.
        fetch_from: a target to fetch shared parts from, if any.
    """

    target: target_list.Entry
    unread: float
    tokens_to_first_event: float
    fetch_from: target_list.Entry | None


@dataclasses.dataclass(frozen=True, slots=True)
class _Candidate:
    """A target and what speaks against it, in seconds."""

    cost_s: float
    placement: Placement
    needs_fetch: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _CachedPrefix:
    """Where a prompt's leading parts are kept.

    Attributes:
        tokens: kept by each target, in the order of the targets.
        most: the most of these.
        holders: places of the targets that keep that much, if any does.
        shared: length of all parts but the last, which is the request's own.
        home: where shared parts go while no target holds them.
    """

    tokens: list[int]
    max_cached_tokens: int
    holders: list[int]
    shared_tokens: int
    home_target: ids.TargetId


class Placer:
    """Places the requests of one pool."""

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
        self.caches = prompt_cache.PromptCaches(0)
        self.update_pool(pool)
        self.rates = prefill_rates.PrefillRates(prefill_rates.Settings())

    def update_pool(self, pool: configuration.Pool) -> None:
        """Takes in a changed description of the pool."""
        self.pool = pool
        self.caches.cache_tokens = (
            pool.engine.cache_tokens if pool.engine else 0
        )

    def choose(
        self,
        request: requests.Request,
        targets: list[target_list.Entry],
        bounds: Bounds,
        now: float,
    ) -> Placement | None:
        """Returns the best target with room, or None."""
        if not targets:
            return None
        if request.prompt is None or self.pool.engine is None:
            return self._choose_plain(targets, now)
        kept = self._find_cached(request.prompt, targets)
        best = None
        for index in self._sample(targets, kept):
            entry = targets[index]
            choice = self._evaluate(request, entry, kept, index, bounds, now)
            if choice and (best is None or choice.cost_s < best.cost_s):
                best = choice
        if best is None:
            return None
        if not best.needs_fetch:
            return best.placement
        holders = [targets[place] for place in kept.holders]
        source = self._choose_fetch_source(best.placement.target, holders)
        return dataclasses.replace(best.placement, fetch_from=source)

    def _sample(
        self, targets: list[target_list.Entry], kept: _CachedPrefix
    ) -> Iterable[int]:
        """Returns the places of the targets that are weighed.

        In a large pool all routers would rush to the one target that looks
        empty, before they hear of each other. Each therefore looks at a few
        targets by chance, at a few that keep most, and at the home.
        """
        count = self.settings.sampled_targets
        if len(targets) <= 2 * count:
            return range(len(targets))
        places = range(len(targets))
        chosen = set(self.rng.sample(places, count))
        few = min(count, len(kept.holders))
        chosen.update(self.rng.sample(kept.holders, few))
        chosen.update(i for i in places if targets[i].name == kept.home_target)
        return sorted(chosen)

    def note_prompt_sent(
        self,
        target: ids.TargetId,
        parts: tuple[requests.Part, ...],
        now: float,
    ) -> None:
        """Notes that a prompt is read at `target`, by whichever router."""
        held = self.loads.total(target, now).held
        self.caches.add_parts(target, parts, held)

    def update_prefill_rate(self, placement: Placement, seconds: float) -> None:
        """Notes the time from sending a request to its first event."""
        reading_s = seconds - self.settings.first_event_s
        self.rates.add_sample(
            placement.target.name, placement.tokens_to_first_event, reading_s
        )

    def forget(self, target: ids.TargetId) -> None:
        """Drops all beliefs about a target that started anew or is gone."""
        self.caches.forget(target)
        self.rates.forget(target)
        self.loads.forget(target)

    def _choose_plain(
        self, targets: list[target_list.Entry], now: float
    ) -> Placement | None:
        best = None
        lowest_utilisation = self.settings.plain_overcommit
        for entry in targets:
            running = self.loads.total(entry.name, now).running
            if running >= entry.slots * self.settings.plain_overcommit:
                continue
            is_far = entry.data_centre != self.data_centre
            away = self.settings.plain_remote_penalty * is_far
            utilisation = (
                running + away + self.rng.random() * 0.1
            ) / entry.slots
            if best is None or utilisation < lowest_utilisation:
                best, lowest_utilisation = entry, utilisation
        return Placement(best, 0.0, 0.0, None) if best is not None else None

    def _find_cached(
        self, prompt: requests.Prompt, targets: list[target_list.Entry]
    ) -> _CachedPrefix:
        tokens = [
            self.caches.count_cached(entry.name, prompt.parts)
            for entry in targets
        ]
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
        home_target = rendezvous.choose(key, (entry.name for entry in targets))
        shared_tokens = sum(part.tokens for part in shared_parts)
        return _CachedPrefix(
            tokens, max_cached_tokens, holders, shared_tokens, home_target
        )

    def _evaluate(
        self,
        request: requests.Request,
        entry: target_list.Entry,
        found: _CachedPrefix,
        index: int,
        bounds: Bounds,
        now: float,
    ) -> _Candidate | None:
        settings = self.settings
        load = self.loads.total(entry.name, now)
        if load.running >= entry.slots * bounds.slots_fraction:
            return None
        rate = self.rates.read(entry.name)
        backlog_s = load.unread / rate
        kept = found.tokens[index]
        missing_tokens = found.max_cached_tokens - kept
        away = max(found.shared_tokens - found.max_cached_tokens, 0) * (
            entry.name != found.home_target
        )
        penalty_s = away * settings.off_home_token_penalty_s
        needs_fetch = missing_tokens >= settings.min_fetch_tokens
        if needs_fetch:
            kept = found.max_cached_tokens
            penalty_s += (
                settings.fetch_penalty_s
                + missing_tokens * settings.fetch_token_penalty_s
            )
        else:
            penalty_s += missing_tokens * settings.reread_token_penalty_s
        unread = max(request.prompt.tokens - kept, 1)
        recent = load.recent + unread
        bound = bounds.prefill_fraction * rate * loads_lib.RECENT_DECAY_S
        if recent > bound and backlog_s > settings.min_backlog_s:
            return None
        first_event_delay_s = backlog_s + unread / rate + settings.first_event_s
        goal_s = (request.goal_at - now) * bounds.goal_fraction
        if first_event_delay_s > goal_s and backlog_s > settings.min_backlog_s:
            return None
        if entry.data_centre != self.data_centre:
            penalty_s += settings.remote_penalty_s
        penalty_s += settings.batch_penalty_s * load.running / entry.slots
        penalty_s += settings.noise_s * self.rng.random()
        placement = Placement(
            target=entry,
            unread=unread,
            tokens_to_first_event=load.unread + unread,
            fetch_from=None,
        )
        return _Candidate(
            first_event_delay_s + penalty_s, placement, needs_fetch
        )

    def _choose_fetch_source(
        self, target: target_list.Entry, holders: list[target_list.Entry]
    ) -> target_list.Entry:
        """Returns one of the holders: each sends one copy after another.

        Those in the target's data centre go first: copies between data
        centres take longer.
        """
        near = [h for h in holders if h.data_centre == target.data_centre]
        return self.rng.choice(near or holders)
