"""Sums of the work that several routers report.

A sum is a report again: whoever hears it takes it in like one router's.
"""

from collections.abc import Iterable
import dataclasses
import math

from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core.forwarding import loads as loads_lib


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """Work at the targets, and what was served by workspace."""

    loads: tuple[messages.TargetLoad, ...] = ()
    uses: tuple[messages.WorkspaceUse, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Term:
    """A part of a sum.

    Attributes:
        work: as it was reported.
        age_s: time since then.
        sign: 1 to add it, -1 to take it off.
    """

    work: Work
    age_s: float = 0.0
    sign: int = 1


def add_up(terms: Iterable[Term], window_s: float) -> Work:
    """Returns the sum of the terms, as of now; nothing in it is below zero.

    Args:
        terms: to be added.
        window_s: time after which a workspace's usage counts 1/e.
    """
    loads: dict[ids.TargetId, loads_lib.Load] = {}
    uses: dict[tuple[ids.PoolId, ids.WorkspaceId], list[float]] = {}
    for term in terms:
        sign = term.sign
        recent_sign = sign * math.exp(-term.age_s / loads_lib.RECENT_S)
        use_sign = sign * math.exp(-term.age_s / window_s)
        outcome_sign = sign * math.exp(-term.age_s / loads_lib.OUTCOME_S)
        for item in term.work.loads:
            load = loads.setdefault(item.target, loads_lib.Load())
            load.unread += item.unread * sign
            load.running += item.running * sign
            load.held += item.held * sign
            load.recent += item.recent * recent_sign
            load.outcomes += item.outcomes * outcome_sign
            load.failures += item.failures * outcome_sign
        for use in term.work.uses:
            amounts = uses.setdefault((use.pool, use.workspace), [0.0, 0.0])
            amounts[0] += use.cost * use_sign
            amounts[1] += use.asked * use_sign
    return Work(_list_loads(loads), _list_uses(uses))


def _list_loads(
    sums: dict[ids.TargetId, loads_lib.Load],
) -> tuple[messages.TargetLoad, ...]:
    return tuple(
        messages.TargetLoad(
            target,
            max(load.unread, 0.0),
            max(load.running, 0),
            max(load.held, 0.0),
            max(load.recent, 0.0),
            max(load.outcomes, 0.0),
            max(load.failures, 0.0),
        )
        for target, load in sums.items()
        if load.running > 0
        or load.recent >= 1.0
        or load.outcomes >= loads_lib.LEAST_OUTCOMES
    )


def _list_uses(
    sums: dict[tuple[ids.PoolId, ids.WorkspaceId], list[float]],
) -> tuple[messages.WorkspaceUse, ...]:
    return tuple(
        messages.WorkspaceUse(pool, workspace, max(cost, 0.0), asked)
        for (pool, workspace), (cost, asked) in sums.items()
        if asked >= 1.0
    )
