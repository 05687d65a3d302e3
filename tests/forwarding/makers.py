"""Creates routes, targets, requests and components for forwarding tests."""

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
    """Returns the entry of a ready target.

    Args:
        name: name of the target.
        **changes: other values for fields of the entry.
    """
    entry = target_list.Entry(
        name=ids.TargetId(name),
        pool=POOL,
        host="127.0.0.1",
        port=1,
        data_centre=ids.DataCentreId("east"),
        slots=64,
        state=target_list.TargetState.READY,
        version="v1",
    )
    return dataclasses.replace(entry, **changes)


def make_parts(*parts: tuple[str, int]) -> tuple[requests.Part, ...]:
    """Returns parts of a prompt, given as names and numbers of tokens."""
    return tuple(requests.Part(*part) for part in parts)


def make_request(
    name: str,
    *parts: tuple[str, int],
    workspace: str = "ashby",
    now: float = 0.0,
    max_output_tokens: int = 100,
    **changes,
) -> requests.Request:
    """Returns a request.

    Args:
        name: name of the request.
        *parts: name and number of tokens of each part of the prompt; without
            parts, the request has no prompt.
        workspace: name of the workspace.
        now: when the request arrived, monotonic seconds.
        max_output_tokens: maximum length of the answer, in tokens.
        **changes: other values for fields of the request.
    """
    prompt = None
    if parts:
        prompt_parts = make_parts(*parts)
        tokens = sum(part.tokens for part in prompt_parts)
        prompt = requests.Prompt(tokens, max_output_tokens, prompt_parts)
    route = changes.pop("route", CHAT)
    request = requests.Request(
        request_id=name,
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
    """Returns a placer whose penalties have no random noise.

    Args:
        engine: engine of the pool; None if its targets run none.
        seed: seed of the other random choices.
        **settings: other values for fields of the settings.
    """
    return placement.Placer(
        placement.Settings(noise_s=0.0, **settings),
        configuration.Pool(POOL, 300, engine),
        loads.LoadTracker(),
        ids.DataCentreId("east"),
        random.Random(seed),
    )


def make_admission(
    placer: placement.Placer | None = None, decay_s: float = 4.0
) -> admission.Admission:
    """Returns an empty admission queue.

    Args:
        placer: chooses the targets; None for the one of `make_placer`.
        decay_s: time constant of the exponential decay of a workspace's
            usage, in seconds.
    """
    return admission.Admission(
        admission.Settings(),
        placer or make_placer(),
        shares.Usage(decay_s),
        random.Random(1),
    )
