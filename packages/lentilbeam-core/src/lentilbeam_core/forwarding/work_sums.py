"""Sums of the work reported by several routers.

A sum has the form of a report, so the receiver handles it like the report of a
single router.
"""

from collections.abc import Iterable
import dataclasses
import math
import operator

from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core.forwarding import loads as loads_lib


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """Work of one or several routers.

    Attributes:
        loads: load of each target.
        uses: recent service received and cost asked for, by workspace.
        demands: recent requests, by pool.
        routers: number of routers that the work adds up.
    """

    loads: tuple[messages.TargetLoad, ...] = ()
    uses: tuple[messages.WorkspaceUse, ...] = ()
    demands: tuple[messages.PoolDemand, ...] = ()
    routers: int = 1


def from_report(report: messages.LoadReport) -> Work:
    """Returns the work in a report."""
    # Routers of an earlier version do not count themselves.
    routers = max(report.routers, 1)
    return Work(report.loads, report.uses, report.demands, routers)


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
    demands: dict[ids.PoolId, list[float]] = {}
    routers = 0
    for term in terms:
        routers += term.sign * term.work.routers
        # Demand is compared between routers, so it does not fade between two
        # reports.
        for demand in term.work.demands:
            amounts = _read_amounts(demand)
            sums = demands.setdefault(demand.pool, [0.0] * len(amounts))
            for index, amount in enumerate(amounts):
                sums[index] += term.sign * amount
        usage_factor = term.sign * math.exp(-term.age_s / decay_s)
        aging = loads_lib.compute_aging(term.age_s)
        for item in term.work.loads:
            load = loads.get(item.target)
            if load is None:
                load = loads[item.target] = loads_lib.Load()
            load.add_reported(item, aging, term.sign)
        for use in term.work.uses:
            amounts = uses.setdefault((use.pool, use.workspace), [0.0, 0.0])
            amounts[0] += use.cost * usage_factor
            amounts[1] += use.asked * usage_factor
    reports = (load.report(target) for target, load in loads.items())
    listed = tuple(report for report in reports if report is not None)
    listed_demands = tuple(
        messages.PoolDemand(pool, *(max(amount, 0.0) for amount in sums))
        for pool, sums in demands.items()
    )
    return Work(listed, _list_uses(uses), listed_demands, max(routers, 0))


def subtract(work: Work, parts: Iterable[Term], decay_s: float) -> Work:
    """Returns work without some of the reports that it sums.

    Takes less time than `sum_terms` if most of the work has nothing in common
    with the reports.

    Args:
        work: the sum, as of now.
        parts: reports in the sum, with their ages.
        decay_s: see `sum_terms`.
    """
    parts = [dataclasses.replace(part, sign=-part.sign) for part in parts]
    targets = {item.target for part in parts for item in part.work.loads}
    users = {
        (use.pool, use.workspace) for part in parts for use in part.work.uses
    }
    loads: dict[bool, list[messages.TargetLoad]] = {True: [], False: []}
    for item in work.loads:
        loads[item.target in targets].append(item)
    uses: dict[bool, list[messages.WorkspaceUse]] = {True: [], False: []}
    for use in work.uses:
        uses[(use.pool, use.workspace) in users].append(use)
    common = Work(
        tuple(loads[True]), tuple(uses[True]), work.demands, work.routers
    )
    rest = sum_terms([Term(common), *parts], decay_s)
    return Work(
        (*loads[False], *rest.loads),
        (*uses[False], *rest.uses),
        rest.demands,
        rest.routers,
    )


# Unlike `dataclasses.astuple`, it copies nothing.
_read_amounts = operator.attrgetter(
    *(field.name for field in dataclasses.fields(messages.PoolDemand)[1:])
)


def _list_uses(
    sums: dict[tuple[ids.PoolId, ids.WorkspaceId], list[float]],
) -> tuple[messages.WorkspaceUse, ...]:
    """Omits workspaces that asked for less than 1 cost unit."""
    return tuple(
        messages.WorkspaceUse(pool, workspace, max(cost, 0.0), asked)
        for (pool, workspace), (cost, asked) in sums.items()
        if asked >= 1.0
    )
