"""Seeded load patterns at the scale of the two users' fleets.

The users are kettleford and golfslag, see `bench.sizes`.
"""

from collections.abc import Iterator
import dataclasses
import math
import random

from bench.overload import engine as engine_lib
from lentilbeam_core import ids
from lentilbeam_core.forwarding import configuration
from lentilbeam_core.forwarding import requests

POOL = ids.PoolId("engines")


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request.

    Attributes:
        name: name of its route.
        per_s: requests per second in the whole fleet at normal load.
        goal_s: time limit for the first event, in seconds.
        gap_s: longest allowed pause between events, in seconds.
        deadline_s: time after which callers give up, in seconds.
        worth: value of a request that is answered on time; a late one counts
            for `LATE_WORTH` of it.
        shared: for each shared prompt part, its length in tokens and the
            number of variants it is drawn from.
        own_tokens: mean length of the unshared prompt part, in tokens.
        output_tokens: mean length of the answer, in tokens.
        output_range: shortest and longest answer, in tokens, between which
            the logarithm of the length is uniform, instead of
            `output_tokens`; the longest is the bound that requests name.
            (0, 0) for answers as long as their bound.
        hint_octaves: standard deviation of the binary logarithm of the error
            of the callers' hints.
        wrong_hint: factor by which each hint is too large or too small, at
            random. Without `output_range` there are no hints.
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
    output_range: tuple[int, int] = (0, 0)
    hint_octaves: float = 0.5
    wrong_hint: float = 1.0

    def as_route(self) -> configuration.Route:
        """Returns the route that serves this kind."""
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
"""The three kinds of model requests that both users have."""
DESCRIPTION_KINDS = (
    Kind("long", 30, 1.0, 0.4, 20, 3, ((5382, 60),), 9000, 448),
    Kind("short", 77, 0.6, 0.4, 12, 1, ((198, 12),), 628, 343),
)
"""Long and short descriptions of archived pages, for 30 engines.

Lengths of prompts and events, and how often streams meet prompts of each
size, are those of a recorded day of `ghpa-archive-grown`; 7 tokens an event."""
REVIEW_KINDS = (
    Kind("review", 50, 0.4, 0.3, 5, 2.9, ((1300, 3), (5000, 200)), 2890, 50),
    Kind("check", 32, 0.4, 0.3, 3, 1.7, ((340, 40), (230, 320)), 1800, 25),
    Kind("look-up", 20, 0.3, 0.3, 15, 0.85, ((172, 80),), 543, 280),
)
"""Reviews of drafts, short checks and look-ups, for 5 engines.

Lengths and rates are those of `kwpa-press`."""
REVIEW_ENGINE = engine_lib.Settings(
    cache_tokens=362_738,
    step_s=0.00374,
    prefill_tokens_per_s=81_900.0,
    double_tokens=20_000.0,
    noise_factor=2.5,
    noise_fraction=0.05,
    event_tokens=5,
)
"""Engine of `kwpa-press`, from the users' data sheet."""
ARCHIVE_ENGINE = engine_lib.Settings(
    slots=32,
    cache_tokens=507_820,
    step_s=0.00423,
    prefill_tokens_per_s=64_200.0,
    double_tokens=20_000.0,
    noise_factor=2.5,
    noise_fraction=0.05,
    event_tokens=7,
)
"""Engine of `ghpa-archive-grown`, from the users' data sheet and its events."""
NOTE_KINDS = (
    Kind("note", 350, 0.4, 0.4, 2.5, 1, ((340, 40), (230, 320)), 600, 60),
)
"""Short answers, for 9 engines of 16 slots: many requests for each slot."""
VARIED_KIND = Kind(
    "varied",
    250,
    0.6,
    0.4,
    15,
    1,
    ((400, 20),),
    600,
    0,
    output_range=(21, 1260),
)
"""Similar prompts with answers of 3 to 180 events of 7 tokens."""
VARIED_ENGINE = dataclasses.replace(ARCHIVE_ENGINE, cache_tokens=45_000)
"""Holds 32 requests of mean length, but only 20 of the greatest length."""
WORKSPACES = 30
ZIPF_EXPONENT = 1.2
"""Zipf exponent of the load per workspace: a few workspaces dominate."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pattern:
    """A load pattern for one pool.

    The peak is the middle third of the pattern.

    Attributes:
        name: name of the pattern, as in the report.
        duration_s: time during which requests arrive, in seconds.
        burst: factor on the load during the peak.
        flood: factor on the load of the largest workspace during the peak.
        hot_key: fraction of the requests during the peak that have the same
            shared prompt parts.
        long_prompts: factor on the length of unshared prompt parts during the
            peak.
        lost_engines: number of engines that fail when the peak begins.
        impatient: fraction of the callers that retry immediately after a
            refusal.
        one_router: workspaces, by rank of their size, whose callers all come
            to the same router.
        kinds: kinds of requests.
        engine: performance figures of the engines; None for the default with
            the number of slots of the fleet.
        speeds: speeds of the engines relative to `engine`, in turn.
        slow_engine_s: start and end of a time in which the first engine has a
            fifth of its speed, in seconds.
    """

    name: str
    duration_s: float = 18.0
    burst: float = 1.0
    flood: float = 1.0
    hot_key: float = 0.0
    long_prompts: float = 1.0
    lost_engines: int = 0
    impatient: float = 0.0
    one_router: tuple[int, ...] = ()
    kinds: tuple[Kind, ...] = KINDS
    engine: engine_lib.Settings | None = None
    speeds: tuple[float, ...] = (1.0,)
    slow_engine_s: tuple[float, float] = (0.0, 0.0)


PATTERNS = (
    Pattern("calm"),
    Pattern("burst", burst=2.5),
    Pattern("flood", flood=6.0),
    Pattern("hot_key", hot_key=0.5, burst=1.5),
    Pattern("long_prompts", long_prompts=3.0),
    Pattern("lost_engines", lost_engines=2, burst=1.5),
    Pattern("impatient", burst=2.5, impatient=0.5),
    Pattern("few_engines", lost_engines=5, burst=2.5, one_router=(4,)),
    Pattern("few_engines_two", lost_engines=5, burst=2.5, one_router=(4, 9)),
    Pattern("busy_router", duration_s=15.0, one_router=(1,)),
    Pattern(
        "busy_router_notes", duration_s=15.0, one_router=(1,), kinds=NOTE_KINDS
    ),
    Pattern(
        "last_engine",
        lost_engines=4,
        one_router=(1, 4),
        kinds=REVIEW_KINDS,
        engine=REVIEW_ENGINE,
    ),
    Pattern(
        "flooded_prefill",
        burst=3.0,
        flood=8.0,
        one_router=(1, 3),
        engine=engine_lib.Settings(first_event_s=0.15),
    ),
    Pattern(
        "long_among_short",
        duration_s=15.0,
        kinds=DESCRIPTION_KINDS,
        engine=ARCHIVE_ENGINE,
    ),
    Pattern(
        "three_speeds",
        duration_s=15.0,
        kinds=DESCRIPTION_KINDS,
        engine=ARCHIVE_ENGINE,
        speeds=(1.0, 1.15, 1.3),
    ),
    Pattern(
        "one_slow_engine",
        duration_s=15.0,
        kinds=DESCRIPTION_KINDS,
        engine=ARCHIVE_ENGINE,
        slow_engine_s=(5.0, 11.0),
    ),
    Pattern(
        "noise",
        duration_s=15.0,
        kinds=DESCRIPTION_KINDS,
        engine=dataclasses.replace(ARCHIVE_ENGINE, noise_fraction=0.25),
    ),
    Pattern(
        "varied_outputs",
        duration_s=15.0,
        kinds=(VARIED_KIND,),
        engine=VARIED_ENGINE,
    ),
    Pattern(
        "wrong_hints",
        duration_s=15.0,
        kinds=(dataclasses.replace(VARIED_KIND, wrong_hint=4.0),),
        engine=VARIED_ENGINE,
    ),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A generated request and the behaviour of its caller.

    Attributes:
        request: the request; its times are those of the first attempt.
        output: length of its answer in tokens.
        kind: kind of the request.
        ignores_retry_after: whether its caller ignores Retry-After and retries
            immediately.
    """

    request: requests.Request
    output: int
    kind: Kind
    ignores_retry_after: bool


def generate_arrivals(
    pattern: Pattern, seed: int, scale: float = 1.0
) -> Iterator[Arrival]:
    """Yields the requests of a pattern in order of arrival.

    Args:
        pattern: the load pattern.
        seed: seed of the random number generator.
        scale: load relative to the users' initial deployments.
    """
    rng = random.Random(f"{pattern.name} {seed}")
    weights = [1.0 / (n + 1) ** ZIPF_EXPONENT for n in range(WORKSPACES)]
    routes = {kind.name: kind.as_route() for kind in pattern.kinds}
    at = 0.0
    number = 0
    while True:
        is_peak = pattern.duration_s <= at * 3 < pattern.duration_s * 2
        load = scale * (pattern.burst if is_peak else 1.0)
        scaled = list(weights)
        if is_peak:
            scaled[0] *= pattern.flood
        load *= sum(scaled) / sum(weights)
        at += rng.expovariate(load * sum(kind.per_s for kind in pattern.kinds))
        if at >= pattern.duration_s:
            return
        number += 1
        kind = rng.choices(pattern.kinds, [k.per_s for k in pattern.kinds])[0]
        workspace = rng.choices(range(WORKSPACES), scaled)[0]
        is_hot = is_peak and rng.random() < pattern.hot_key
        length_factor = pattern.long_prompts if is_peak else 1.0
        output, bound, hint = _draw_output(kind, rng)
        parts = _draw_parts(kind, number, is_hot, length_factor, rng)
        prompt = requests.Prompt(
            sum(p.tokens for p in parts), bound, parts, hint
        )
        request = requests.Request(
            request_id=f"r{number}",
            workspace=ids.WorkspaceId(f"w{workspace}"),
            route=routes[kind.name],
            pool=POOL,
            arrived_at=at,
            deadline_at=at + kind.deadline_s,
            prompt=prompt,
            configuration_version=1,
        )
        is_impatient = rng.random() < pattern.impatient
        yield Arrival(request, output, kind, is_impatient)


def _draw_output(kind: Kind, rng: random.Random) -> tuple[int, int, int | None]:
    """Returns the length of an answer, its bound and the hint, in tokens."""
    shortest, longest = kind.output_range
    if not longest:
        output = max(round(rng.gammavariate(2, kind.output_tokens / 2)), 2)
        return output, output, None
    octaves = rng.uniform(math.log2(shortest), math.log2(longest))
    output = round(2**octaves)
    error = rng.gauss(0.0, kind.hint_octaves)
    error += rng.choice((-1, 1)) * math.log2(kind.wrong_hint)
    return output, longest, max(round(2 ** (octaves + error)), 1)


def _draw_parts(
    kind: Kind,
    number: int,
    is_hot: bool,
    length_factor: float,
    rng: random.Random,
) -> tuple[requests.Part, ...]:
    parts = []
    for level, (tokens, choices) in enumerate(kind.shared):
        choice = 0 if is_hot else rng.randrange(choices)
        prefix = parts[-1].name if parts else kind.name
        parts.append(requests.Part(f"{prefix}.{level}{choice}", tokens))
    own = max(round(rng.expovariate(1 / (kind.own_tokens * length_factor))), 1)
    parts.append(requests.Part(f"{kind.name} {number}", own))
    return tuple(parts)
