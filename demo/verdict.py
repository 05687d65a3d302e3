"""Figures and invariants drawn from a load's outcomes."""

import collections
import dataclasses
import itertools

from demo import caller as caller_lib
from demo import catalogue
from demo import load as load_lib
from demo import request_specs
from lentilbeam_core import outcome as outcome_lib

STEP_S = 0.5
WARM_UP_S = 2.0
ROUTER_FAULT = "router_fault"


@dataclasses.dataclass(frozen=True, slots=True)
class Facts:
    """What the demonstration knows besides the callers' results.

    Attributes:
        counts: how often the bookings services ran each key.
        stopped: instance that got a planned stop.
        stopped_at: when it was told to stop.
        ended_badly: processes that did not end by themselves, or not well.
        tracebacks: processes that printed one.
    """

    counts: dict[str, int]
    stopped: str
    stopped_at: float
    ended_badly: list[str]
    tracebacks: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """One workspace's part of the assistant's service, in tokens.

    Only what ended within the window counts: afterwards a workspace with a
    longer queue has the engines for itself.
    """

    workspace: catalogue.WorkspaceSpec
    requests: int
    tokens: float
    median_s: float
    slowest_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """All figures; the invariants hold if all of `violations` are 0.

    Attributes:
        outcomes: requests by service and final outcome.
        gap: largest difference in tokens per weight that any two backlogged
            workspaces got within any interval, counted as requests end.
        utilisation: mean part of the engines' slots in use.
        slowest_s: the longest time that a request took, with all its tries.
        broken_tries: tries that ended without a typed answer, and that the
            callers made good by another one.
        violations: number of violations of each invariant.
    """

    outcomes: dict[str, dict[str, int]]
    shares: list[Share]
    gap: float
    utilisation: float
    slowest_s: float
    broken_attempts: int
    violations: dict[str, int]


def judge(
    outcomes: load_lib.Outcomes,
    workspaces: list[catalogue.WorkspaceSpec],
    slots: int,
    facts: Facts,
) -> Verdict:
    """Returns the verdict on a load."""
    results = outcomes.results
    return Verdict(
        outcomes=count_outcomes(results),
        shares=[measure_share(each, outcomes) for each in workspaces],
        gap=measure_gap(outcomes, workspaces),
        utilisation=measure_utilisation(outcomes, slots),
        slowest_s=max(r.ended_at - r.started_at for r in results),
        broken_attempts=sum(len(result.broken_attempts) for result in results),
        violations={
            "untyped outcomes": len(outcomes.untyped),
            "answers damaged": sum(bool(r.mismatches) for r in results),
            "bookings run twice": count_repeats(results, facts.counts),
            "bookings told not run that ran": count_false_refusals(
                results, facts.counts
            ),
            "bookings told completed that did not run": count_phantoms(
                results, facts.counts
            ),
            "cut by the planned stop": count_cuts(results, facts),
            "answers telling of a fault in a router": count_faults(results),
            "processes with a traceback": len(facts.tracebacks),
            "processes that ended badly": len(facts.ended_badly),
        },
    )


def count_outcomes(
    results: list[caller_lib.Result],
) -> dict[str, dict[str, int]]:
    """Returns the number of requests by kind and by outcome."""
    table: dict[str, collections.Counter] = {}
    for result in results:
        answer = result.answer
        name = answer.outcome.value
        if answer.reason:
            name = f"{name} ({answer.reason})"
        row = table.setdefault(name, collections.Counter())
        row[name_kind(result.spec)] += 1
    return table


def name_kind(spec: request_specs.RequestSpec) -> str:
    """Returns the kind of a request, for people."""
    if spec.pool == request_specs.BOOKINGS_POOL:
        return "lookup" if spec.is_idempotent else "booking"
    return "streamed" if spec.is_streamed else "whole"


def measure_share(
    workspace: catalogue.WorkspaceSpec, outcomes: load_lib.Outcomes
) -> Share:
    """Returns what a workspace got of the assistant within the window."""
    mine = [
        result
        for result in select_served(outcomes.results)
        if is_of(result, workspace) and result.ended_at <= outcomes.ended_at
    ]
    times = sorted(r.ended_at - r.started_at for r in mine) or [0.0]
    return Share(
        workspace=workspace,
        requests=len(mine),
        tokens=sum(r.answer.cost for r in mine),
        median_s=times[len(times) // 2],
        slowest_s=times[-1],
    )


def select_served(
    results: list[caller_lib.Result],
) -> list[caller_lib.Result]:
    """Returns the completed assistant requests."""
    return [
        result
        for result in results
        if result.spec.pool == request_specs.ASSISTANT_POOL
        and result.answer.outcome is outcome_lib.Outcome.COMPLETED
    ]


def is_of(
    result: caller_lib.Result, workspace: catalogue.WorkspaceSpec
) -> bool:
    """Tells whether the result is of a request of the workspace."""
    return result.spec.workspace == workspace.name


def measure_gap(
    outcomes: load_lib.Outcomes, workspaces: list[catalogue.WorkspaceSpec]
) -> float:
    """Returns the fairness gap, see `Verdict.gap`."""
    served = select_served(outcomes.results)
    curves = []
    for workspace in workspaces:
        if workspace.is_backlogged:
            mine = [r for r in served if is_of(r, workspace)]
            curves.append(draw_curve(mine, workspace.weight, outcomes))
    gap = 0.0
    for first, second in itertools.combinations(curves, 2):
        ahead = [a - b for a, b in zip(first, second, strict=True)]
        gap = max(gap, max(ahead) - min(ahead))
    return gap


def draw_curve(
    results: list[caller_lib.Result],
    weight: float,
    outcomes: load_lib.Outcomes,
) -> list[float]:
    """Returns the service per weight so far, at every step."""
    steps = int((outcomes.ended_at - outcomes.started_at) / STEP_S)
    start = outcomes.started_at
    return [
        sum(
            result.answer.cost
            for result in results
            if result.ended_at <= start + step * STEP_S
        )
        / weight
        for step in range(int(WARM_UP_S / STEP_S), steps + 1)
    ]


def measure_utilisation(outcomes: load_lib.Outcomes, slots: int) -> float:
    """Returns the mean part of the engines' slots that was in use."""
    warm_at = outcomes.started_at + WARM_UP_S
    used = [s.running / slots for s in outcomes.samples if s.at >= warm_at]
    return sum(used) / len(used) if used else 0.0


def select_bookings(
    results: list[caller_lib.Result],
) -> list[caller_lib.Result]:
    """Returns the requests that must not be repeated."""
    return [result for result in results if not result.spec.is_idempotent]


def count_runs(spec: request_specs.RequestSpec, counts: dict[str, int]) -> int:
    """Returns how often the bookings services ran a request."""
    return counts.get(f"{spec.workspace}/{spec.request_id}", 0)


def count_repeats(
    results: list[caller_lib.Result], counts: dict[str, int]
) -> int:
    """Returns the number of bookings that ran more than once."""
    bookings = select_bookings(results)
    return sum(count_runs(r.spec, counts) > 1 for r in bookings)


def count_false_refusals(
    results: list[caller_lib.Result], counts: dict[str, int]
) -> int:
    """Returns the number of bookings refused as not run that did run."""
    refused = outcome_lib.Outcome.REFUSED_NOT_RUN
    return sum(
        result.answer.outcome is refused and count_runs(result.spec, counts) > 0
        for result in select_bookings(results)
    )


def count_phantoms(
    results: list[caller_lib.Result], counts: dict[str, int]
) -> int:
    """Returns the number of completed bookings that never ran."""
    completed = outcome_lib.Outcome.COMPLETED
    return sum(
        result.answer.outcome is completed
        and count_runs(result.spec, counts) == 0
        for result in select_bookings(results)
    )


def count_faults(results: list[caller_lib.Result]) -> int:
    """Returns the number of requests that failed by a router's own fault."""
    return sum(ROUTER_FAULT in result.answer.reason for result in results)


def count_cuts(results: list[caller_lib.Result], facts: Facts) -> int:
    """Returns the number of tries that the planned stop broke."""
    return sum(
        each.instance == facts.stopped
        and each.was_sent
        and each.at >= facts.stopped_at
        for result in results
        for each in result.broken_attempts
    )
