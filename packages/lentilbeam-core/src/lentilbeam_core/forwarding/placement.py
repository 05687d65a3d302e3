"""Chooses the target of a request, or says that none has room.

Model engines read prompts in arrival order, so the time until the first
event of an answer follows from what is still unread ahead of it. A target
that holds the request's shared parts reads less; one that doesn't can fetch
them from a target that does, which is far cheaper than reading them again.
"""

from collections.abc import Callable
import dataclasses
import random

from lentilbeam_core import ids
from lentilbeam_core.forwarding import configuration
from lentilbeam_core.forwarding import loads as loads_lib
from lentilbeam_core.forwarding import prompt_cache
from lentilbeam_core.forwarding import requests
from lentilbeam_core.forwarding import target_list


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of placement.

    Attributes:
        read_tokens_per_s: prompt tokens that an engine reads in a second;
            from the users' sheets.
        first_event_s: time to the first event of a prompt that is read at
            once; from the users' sheets.
        fetch_s: disadvantage of a target that has to fetch shared parts.
        reread_factor: weight of shared parts that would be read again,
            relative to their reading time.
        distance_s: disadvantage of a target in another data centre.
        noise_s: spread of random disadvantages, so that routers with the
            same view don't all choose the same target.
        fetch_least_tokens: shorter shared parts are read again instead.
        least_backlog_s: a target with less unread work than this has room
            for any request.
        plain_overcommit: requests at a plain target, relative to its slots.
    """

    read_tokens_per_s: float = 100_000.0
    first_event_s: float = 0.06
    fetch_s: float = 0.03
    reread_factor: float = 3.0
    distance_s: float = 0.004
    noise_s: float = 0.01
    fetch_least_tokens: int = 1024
    least_backlog_s: float = 0.05
    plain_overcommit: float = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Where a request goes.

    Attributes:
        target: the chosen target.
        unread: prompt tokens that it is expected to read.
        fetch_from: a target to fetch shared parts from, if any.
    """

    target: target_list.Entry
    unread: float
    fetch_from: target_list.Entry | None


@dataclasses.dataclass(frozen=True, slots=True)
class _Choice:
    cost_s: float
    placement: Placement


class Placer:
    """Places the requests of one pool."""

    def __init__(
        self,
        settings: Settings,
        pool: configuration.Pool,
        loads: loads_lib.Loads,
        data_centre: ids.DataCentreId,
        draw: random.Random,
    ):
        self.settings = settings
        self.pool = pool
        self.loads = loads
        self.data_centre = data_centre
        self.draw = draw
        cache_tokens = pool.engine.cache_tokens if pool.engine else 0
        self.caches = prompt_cache.PromptCaches(cache_tokens)

    def choose(
        self,
        request: requests.Request,
        targets: list[target_list.Entry],
        now: float,
    ) -> Placement | None:
        """Returns the best target with room, or None."""
        if request.prompt is None or self.pool.engine is None:
            return self._choose_plain(targets, now)
        kept = [
            self.caches.count_kept(entry.name, request.prompt.parts)
            for entry in targets
        ]
        weigh = self._weigh(request, list(zip(targets, kept, strict=True)), now)
        choices = map(weigh, targets, kept)
        best = min(
            (choice for choice in choices if choice is not None),
            key=lambda choice: choice.cost_s,
            default=None,
        )
        return best.placement if best is not None else None

    def note_sent(
        self, target: ids.TargetId, prompt: requests.Prompt | None
    ) -> None:
        """Notes that a prompt is read at `target`, by whichever router."""
        if prompt is not None:
            self.caches.use(target, prompt.parts)

    def _choose_plain(
        self, targets: list[target_list.Entry], now: float
    ) -> Placement | None:
        def weigh(entry: target_list.Entry) -> float:
            running = self.loads.total(entry.name, now).running
            is_far = entry.data_centre != self.data_centre
            share = (running + 0.3 * is_far) / max(entry.slots, 1)
            return share + self.draw.random() * 0.05

        limit = self.settings.plain_overcommit
        best = min(targets, key=weigh, default=None)
        if best is None:
            return None
        running = self.loads.total(best.name, now).running
        if running >= best.slots * limit:
            return None
        return Placement(best, 0.0, None)

    def _weigh(
        self,
        request: requests.Request,
        holders: list[tuple[target_list.Entry, int]],
        now: float,
    ) -> Callable[[target_list.Entry, int], _Choice | None]:
        settings = self.settings
        prompt = request.prompt
        holder, most_kept = max(
            holders, key=lambda pair: pair[1], default=(None, 0)
        )

        def weigh(entry: target_list.Entry, kept: int) -> _Choice | None:
            load = self.loads.total(entry.name, now)
            if load.running >= entry.slots:
                return None
            lost = most_kept - kept
            extra_s = settings.noise_s * self.draw.random()
            if entry.data_centre != self.data_centre:
                extra_s += settings.distance_s
            is_fetched = lost >= settings.fetch_least_tokens
            if is_fetched:
                kept = most_kept
                extra_s += settings.fetch_s
            else:
                extra_s += (
                    settings.reread_factor * lost / settings.read_tokens_per_s
                )
            unread = max(prompt.tokens - kept, 1)
            backlog_s = load.unread / settings.read_tokens_per_s
            read_s = unread / settings.read_tokens_per_s
            first_at = now + backlog_s + read_s + settings.first_event_s
            has_room = backlog_s < settings.least_backlog_s
            if first_at > request.goal_at and not has_room:
                return None
            # A crowded batch slows all streams in it.
            crowd_s = 0.1 * load.running / entry.slots
            placement = Placement(entry, unread, holder if is_fetched else None)
            cost_s = backlog_s + read_s + extra_s + crowd_s
            return _Choice(cost_s, placement)

        return weigh
