"""Named patterns of load, seeded, at the sizes of the users' sites."""

from collections.abc import Iterator
import dataclasses
import random

from lentilbeam_core import ids
from lentilbeam_core.forwarding import configuration
from lentilbeam_core.forwarding import requests

POOL = ids.PoolId("engines")


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request.

    Attributes:
        name: of its route.
        per_s: requests a second of the whole fleet on a calm day.
        goal_s: within which the first event is to come.
        gap_s: longest pause between events that is on time.
        deadline_s: when callers give up.
        worth: of a request that is on time; late ones have `LATE_WORTH` of it.
        shared: lengths of shared parts, each drawn from so many.
        own_tokens: mean length of the part that is the request's own.
        output_tokens: mean length of the answer.
    """

    name: str
    per_s: float
    goal_s: float
    gap_s: float
    deadline_s: float
    worth: float
    shared: tuple[tuple[int, int], ...]
    own_tokens: int
    output_tokens: int

    def as_route(self) -> configuration.Route:
        """Returns the route of this kind."""
        return configuration.Route(
            name=self.name,
            host="studio.example",
            path_prefix=f"/{self.name}/",
            kind=configuration.RouteKind.STREAMING,
            timeout_s=self.deadline_s,
            goal_s=self.goal_s,
            gap_goal_s=self.gap_s,
            pool_weights=(configuration.PoolWeight(POOL, 1.0),),
            attempts=2,
            is_public=False,
            is_resumable=True,
        )


LATE_WORTH = 0.3
KINDS = (
    Kind("chat", 25, 0.6, 0.4, 12, 4, ((512, 3), (4900, 200)), 1230, 380),
    Kind("question", 40, 0.4, 0.4, 10, 2.5, ((120, 40), (80, 240)), 430, 290),
    Kind("summary", 40, 0.4, 0.4, 2.5, 0.4, ((340, 40), (230, 320)), 1230, 22),
)
"""Each of the three model kinds that both users have."""
WORKSPACES = 30
SKEW = 1.2
"""Exponent of the workspaces' parts of the load: a few are large."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pattern:
    """A pattern of load on one pool.

    Attributes:
        name: what it is called.
        length_s: time during which requests come.
        burst: load from a third to two thirds of that, relative to calm.
        flood: load of the largest workspace in that time, likewise.
        hot_key: part of the requests that have the same shared parts then.
        long_prompts: length of own parts then, likewise.
        lost_engines: engines that are lost at a third of the time.
        impatient: part of the callers that return at once when refused.
    """

    name: str
    length_s: float = 18.0
    burst: float = 1.0
    flood: float = 1.0
    hot_key: float = 0.0
    long_prompts: float = 1.0
    lost_engines: int = 0
    impatient: float = 0.0


PATTERNS = (
    Pattern("calm"),
    Pattern("burst", burst=2.5),
    Pattern("flood", flood=6.0),
    Pattern("hot_key", hot_key=0.5, burst=1.5),
    Pattern("long_prompts", long_prompts=3.0),
    Pattern("lost_engines", lost_engines=2, burst=1.5),
    Pattern("impatient", burst=2.5, impatient=0.5),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request as it comes.

    Attributes:
        request: what comes; its times are those of the first attempt.
        output: tokens of its answer.
        kind: of the request.
        returns_at_once: whether its caller ignores Retry-After.
    """

    request: requests.Request
    output: int
    kind: Kind
    returns_at_once: bool


def draw_arrivals(
    pattern: Pattern, seed: int, scale: float = 1.0
) -> Iterator[Arrival]:
    """Yields the requests of a pattern in order of time.

    Args:
        pattern: of the load.
        seed: of all that is drawn.
        scale: load of the fleet, relative to the users' first sites.
    """
    draw = random.Random(f"{pattern.name} {seed}")
    weights = [1.0 / (n + 1) ** SKEW for n in range(WORKSPACES)]
    routes = {kind.name: kind.as_route() for kind in KINDS}
    at = 0.0
    number = 0
    while True:
        is_peak = pattern.length_s <= at * 3 < pattern.length_s * 2
        load = scale * (pattern.burst if is_peak else 1.0)
        scaled = list(weights)
        if is_peak:
            scaled[0] *= pattern.flood
        load *= sum(scaled) / sum(weights)
        at += draw.expovariate(load * sum(kind.per_s for kind in KINDS))
        if at >= pattern.length_s:
            return
        number += 1
        kind = draw.choices(KINDS, [k.per_s for k in KINDS])[0]
        workspace = draw.choices(range(WORKSPACES), scaled)[0]
        is_hot = is_peak and draw.random() < pattern.hot_key
        longer = pattern.long_prompts if is_peak else 1.0
        output = max(round(draw.gammavariate(2, kind.output_tokens / 2)), 2)
        parts = _draw_parts(kind, number, is_hot, longer, draw)
        prompt = requests.Prompt(sum(p.tokens for p in parts), output, parts)
        request = requests.Request(
            name=f"r{number}",
            workspace=ids.WorkspaceId(f"w{workspace}"),
            route=routes[kind.name],
            pool=POOL,
            arrived_at=at,
            deadline_at=at + kind.deadline_s,
            prompt=prompt,
            configuration_version=1,
        )
        is_impatient = draw.random() < pattern.impatient
        yield Arrival(request, output, kind, is_impatient)


def _draw_parts(
    kind: Kind,
    number: int,
    is_hot: bool,
    longer: float,
    draw: random.Random,
) -> tuple[requests.Part, ...]:
    parts = []
    for level, (tokens, choices) in enumerate(kind.shared):
        choice = 0 if is_hot else draw.randrange(choices)
        prefix = parts[-1].name if parts else kind.name
        parts.append(requests.Part(f"{prefix}.{level}{choice}", tokens))
    own = max(round(draw.expovariate(1 / (kind.own_tokens * longer))), 1)
    parts.append(requests.Part(f"{kind.name} {number}", own))
    return tuple(parts)
