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
    loads: dict[ids.TargetId, list[float]] = {}
    uses: dict[tuple[ids.PoolId, ids.WorkspaceId], list[float]] = {}
    for term in terms:
        sign = term.sign
        recent_sign = sign * math.exp(-term.age_s / loads_lib.RECENT_S)
        use_sign = sign * math.exp(-term.age_s / window_s)
        for load in term.work.loads:
            sums = loads.setdefault(load.target, [0.0, 0.0, 0.0, 0.0])
            sums[0] += load.unread * sign
            sums[1] += load.running * sign
            sums[2] += load.held * sign
            sums[3] += load.recent * recent_sign
        for use in term.work.uses:
            amounts = uses.setdefault((use.pool, use.workspace), [0.0, 0.0])
            amounts[0] += use.cost * use_sign
            amounts[1] += use.asked * use_sign
    return Work(_list_loads(loads), _list_uses(uses))


def _list_loads(
    sums: dict[ids.TargetId, list[float]],
) -> tuple[messages.TargetLoad, ...]:
    listed = []
    for target, amounts in sums.items():
        unread, running, held, recent = (max(a, 0.0) for a in amounts)
        if running or recent >= 1.0:
            listed.append(
                messages.TargetLoad(
                    target, unread, round(running), held, recent
                )
            )
    return tuple(listed)


def _list_uses(
    sums: dict[tuple[ids.PoolId, ids.WorkspaceId], list[float]],
) -> tuple[messages.WorkspaceUse, ...]:
    return tuple(
        messages.WorkspaceUse(pool, workspace, max(cost, 0.0), asked)
        for (pool, workspace), (cost, asked) in sums.items()
        if asked >= 1.0
    )
