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


def sum_terms(terms: Iterable[Term], decay_s: float) -> Work:
    """Returns the sum of the terms, as of now; nothing in it is below zero.

    Args:
        terms: to be added.
        decay_s: time after which a workspace's usage counts 1/e.
    """
    loads: dict[ids.TargetId, loads_lib.Load] = {}
    uses: dict[tuple[ids.PoolId, ids.WorkspaceId], list[float]] = {}
    for term in terms:
        use_sign = term.sign * math.exp(-term.age_s / decay_s)
        for item in term.work.loads:
            load = loads.setdefault(item.target, loads_lib.Load())
            load.add_reported(item, term.age_s, term.sign)
        for use in term.work.uses:
            amounts = uses.setdefault((use.pool, use.workspace), [0.0, 0.0])
            amounts[0] += use.cost * use_sign
            amounts[1] += use.asked * use_sign
    reports = (load.report(target) for target, load in loads.items())
    listed = tuple(report for report in reports if report is not None)
    return Work(listed, _list_uses(uses))


def _list_uses(
    sums: dict[tuple[ids.PoolId, ids.WorkspaceId], list[float]],
) -> tuple[messages.WorkspaceUse, ...]:
    return tuple(
        messages.WorkspaceUse(pool, workspace, max(cost, 0.0), asked)
        for (pool, workspace), (cost, asked) in sums.items()
        if asked >= 1.0
    )
