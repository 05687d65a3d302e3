"""Sums of the work reported by several routers.

A sum has the form of a report, so the receiver handles it like the report of a
single router.
"""

from collections.abc import Iterable
import dataclasses
import math

from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core.forwarding import loads as loads_lib


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """Work of one or several routers.

    Attributes:
        loads: load of each target.
        uses: recent service received and cost asked for, by workspace.
    """

    loads: tuple[messages.TargetLoad, ...] = ()
    uses: tuple[messages.WorkspaceUse, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Term:
    """One term of a sum.

    Attributes:
        work: work as it was reported.
        age_s: time since the report, in seconds.
        sign: 1 to add the work, -1 to subtract it.
    """

    work: Work
    age_s: float = 0.0
    sign: int = 1


def sum_terms(terms: Iterable[Term], decay_s: float) -> Work:
    """Returns the sum of the terms as of now, without negative amounts.

    Args:
        terms: terms of the sum.
        decay_s: time constant of the exponential decay of `Work.uses`, in
            seconds.
    """
    loads: dict[ids.TargetId, loads_lib.Load] = {}
    uses: dict[tuple[ids.PoolId, ids.WorkspaceId], list[float]] = {}
    for term in terms:
        usage_factor = term.sign * math.exp(-term.age_s / decay_s)
        for item in term.work.loads:
            load = loads.setdefault(item.target, loads_lib.Load())
            load.add_reported(item, term.age_s, term.sign)
        for use in term.work.uses:
            amounts = uses.setdefault((use.pool, use.workspace), [0.0, 0.0])
            amounts[0] += use.cost * usage_factor
            amounts[1] += use.asked * usage_factor
    reports = (load.report(target) for target, load in loads.items())
    listed = tuple(report for report in reports if report is not None)
    return Work(listed, _list_uses(uses))


def _list_uses(
    sums: dict[tuple[ids.PoolId, ids.WorkspaceId], list[float]],
) -> tuple[messages.WorkspaceUse, ...]:
    """Omits workspaces that asked for less than 1 cost unit."""
    return tuple(
        messages.WorkspaceUse(pool, workspace, max(cost, 0.0), asked)
        for (pool, workspace), (cost, asked) in sums.items()
        if asked >= 1.0
    )
