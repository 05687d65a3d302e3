"""Routes, targets and requests that the tests of forwarding share."""

import dataclasses
import random

from lentilbeam_core import ids
from lentilbeam_core.forwarding import admission
from lentilbeam_core.forwarding import configuration
from lentilbeam_core.forwarding import loads
from lentilbeam_core.forwarding import placement
from lentilbeam_core.forwarding import requests
from lentilbeam_core.forwarding import shares
from lentilbeam_core.forwarding import target_list

POOL = ids.PoolId("engines")
CHAT = configuration.Route(
    name="chat",
    host="studio.example",
    path_prefix="/chat/",
    kind=configuration.RouteKind.STREAMING,
    timeout_s=15.0,
    goal_s=0.6,
    gap_goal_s=0.4,
    pool_weights=(configuration.PoolWeight(POOL, 1.0),),
    attempts=2,
    is_public=False,
    is_resumable=True,
)
BOOK = dataclasses.replace(
    CHAT,
    name="book",
    path_prefix="/book/",
    kind=configuration.RouteKind.NON_IDEMPOTENT,
    attempts=3,
    is_resumable=False,
)
LOOK_UP = dataclasses.replace(
    CHAT,
    name="look-up",
    path_prefix="/look/",
    kind=configuration.RouteKind.IDEMPOTENT,
    is_resumable=False,
)


def make_target(name: str, **changes) -> target_list.Entry:
    """Returns a target's entry."""
    entry = target_list.Entry(
        name=ids.TargetId(name),
        pool=POOL,
        host="127.0.0.1",
        port=1,
        data_centre=ids.DataCentreId("east"),
        slots=64,
        state=target_list.TargetState.READY,
    )
    return dataclasses.replace(entry, **changes)


def make_parts(*parts: tuple[str, int]) -> tuple[requests.Part, ...]:
    """Returns parts of a prompt by name and length."""
    return tuple(requests.Part(*part) for part in parts)


def make_request(
    name: str,
    *parts: tuple[str, int],
    workspace: str = "ashby",
    now: float = 0.0,
    output: int = 100,
    **changes,
) -> requests.Request:
    """Returns a request whose prompt has these parts."""
    prompt = None
    if parts:
        listed = make_parts(*parts)
        tokens = sum(part.tokens for part in listed)
        prompt = requests.Prompt(tokens, output, listed)
    route = changes.pop("route", CHAT)
    request = requests.Request(
        name=name,
        workspace=ids.WorkspaceId(workspace),
        route=route,
        pool=POOL,
        arrived_at=now,
        deadline_at=now + route.timeout_s,
        prompt=prompt,
        configuration_version=1,
    )
    return dataclasses.replace(request, **changes)


ENGINE = configuration.Engine(slots=64, cache_tokens=800_000)


def make_placer(
    engine: configuration.Engine | None = ENGINE,
    seed: int = 1,
    **settings,
) -> placement.Placer:
    """Returns a placer without random disadvantages."""
    return placement.Placer(
        placement.Settings(noise_s=0.0, **settings),
        configuration.Pool(POOL, 300, engine),
        loads.LoadTracker(),
        ids.DataCentreId("east"),
        random.Random(seed),
    )


def make_admission(
    placer: placement.Placer | None = None, window_s: float = 4.0
) -> admission.Admission:
    """Returns an empty queue."""
    return admission.Admission(
        admission.Settings(),
        placer or make_placer(),
        shares.Usage(window_s),
        random.Random(1),
    )
