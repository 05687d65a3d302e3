"""Figures and invariants drawn from a load's outcomes."""

import collections
import dataclasses
import itertools

from demo import caller as caller_lib
from demo import catalogue
from demo import load as load_lib
from demo import request_specs
from lentilbeam_core import outcome as outcome_lib

CURVE_STEP_S = 0.5
WARM_UP_S = 2.0
ROUTER_FAULT = "router_fault"


@dataclasses.dataclass(frozen=True, slots=True)
class FleetObservations:
    """What the demonstration knows besides the callers' results.

    Attributes:
        counts: how often the bookings services ran each key.
        stopped: instance that got a planned stop.
        stopped_at: when it was told to stop.
        ended_badly: processes that did not end by themselves, or not well.
        tracebacks: processes that printed one.
    """

    run_counts: dict[str, int]
    stopped_instance: str
    stopped_at: float
    failed_exits: list[str]
    tracebacks: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceStats:
    """One workspace's part of the assistant's service, in tokens.

    Only what ended within the window counts: afterwards a workspace with a
    longer queue has the engines for itself.
    """

    workspace: catalogue.WorkspaceSpec
    requests: int
    tokens: float
    median_s: float
    max_duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Evaluation:
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

    outcome_counts: dict[str, dict[str, int]]
    workspace_stats: list[WorkspaceStats]
    fairness_gap: float
    utilisation: float
    max_duration_s: float
    broken_attempts: int
    violations: dict[str, int]


def evaluate(
    load_result: load_lib.LoadResult,
    workspaces: list[catalogue.WorkspaceSpec],
    slots: int,
    observations: FleetObservations,
) -> Evaluation:
    """Returns the verdict on a load."""
    results = load_result.results
    return Evaluation(
        outcome_counts=count_outcomes(results),
        workspace_stats=[
            compute_workspace_stats(each, load_result) for each in workspaces
        ],
        fairness_gap=compute_fairness_gap(load_result, workspaces),
        utilisation=compute_utilisation(load_result, slots),
        max_duration_s=max(r.ended_at - r.started_at for r in results),
        broken_attempts=sum(len(result.broken_attempts) for result in results),
        violations={
            "untyped outcomes": len(load_result.untyped_errors),
            "answers damaged": sum(bool(r.mismatches) for r in results),
            "bookings run twice": count_double_runs(
                results, observations.run_counts
            ),
            "bookings told not run that ran": count_false_refusals(
                results, observations.run_counts
            ),
            "bookings told completed that did not run": count_missing_runs(
                results, observations.run_counts
            ),
            "cut by the planned stop": count_broken_by_stop(
                results, observations
            ),
            "answers telling of a fault in a router": count_router_faults(
                results
            ),
            "processes with a traceback": len(observations.tracebacks),
            "processes that ended badly": len(observations.failed_exits),
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
        row[get_request_kind(result.spec)] += 1
    return table


def get_request_kind(spec: request_specs.RequestSpec) -> str:
    """Returns the kind of a request, for people."""
    if spec.pool == request_specs.BOOKINGS_POOL:
        return "lookup" if spec.is_idempotent else "booking"
    return "streamed" if spec.is_streamed else "whole"


def compute_workspace_stats(
    workspace: catalogue.WorkspaceSpec, load_result: load_lib.LoadResult
) -> WorkspaceStats:
    """Returns what a workspace got of the assistant within the window."""
    own_results = [
        result
        for result in select_served(load_result.results)
        if belongs_to(result, workspace)
        and result.ended_at <= load_result.ended_at
    ]
    times = sorted(r.ended_at - r.started_at for r in own_results) or [0.0]
    return WorkspaceStats(
        workspace=workspace,
        requests=len(own_results),
        tokens=sum(r.answer.cost for r in own_results),
        median_s=times[len(times) // 2],
        max_duration_s=times[-1],
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


def belongs_to(
    result: caller_lib.Result, workspace: catalogue.WorkspaceSpec
) -> bool:
    """Tells whether the result is of a request of the workspace."""
    return result.spec.workspace == workspace.name


def compute_fairness_gap(
    load_result: load_lib.LoadResult, workspaces: list[catalogue.WorkspaceSpec]
) -> float:
    """Returns the fairness gap, see `Verdict.gap`."""
    served = select_served(load_result.results)
    curves = []
    for workspace in workspaces:
        if workspace.is_backlogged:
            own_results = [r for r in served if belongs_to(r, workspace)]
            curves.append(
                compute_service_curve(
                    own_results, workspace.weight, load_result
                )
            )
    fairness_gap = 0.0
    for first, second in itertools.combinations(curves, 2):
        ahead = [a - b for a, b in zip(first, second, strict=True)]
        fairness_gap = max(fairness_gap, max(ahead) - min(ahead))
    return fairness_gap


def compute_service_curve(
    results: list[caller_lib.Result],
    weight: float,
    load_result: load_lib.LoadResult,
) -> list[float]:
    """Returns the service per weight so far, at every step."""
    steps = int((load_result.ended_at - load_result.started_at) / CURVE_STEP_S)
    start = load_result.started_at
    return [
        sum(
            result.answer.cost
            for result in results
            if result.ended_at <= start + step * CURVE_STEP_S
        )
        / weight
        for step in range(int(WARM_UP_S / CURVE_STEP_S), steps + 1)
    ]


def compute_utilisation(load_result: load_lib.LoadResult, slots: int) -> float:
    """Returns the mean part of the engines' slots that was in use."""
    warm_at = load_result.started_at + WARM_UP_S
    used = [s.running / slots for s in load_result.samples if s.at >= warm_at]
    return sum(used) / len(used) if used else 0.0


def select_non_idempotent(
    results: list[caller_lib.Result],
) -> list[caller_lib.Result]:
    """Returns the requests that must not be repeated."""
    return [result for result in results if not result.spec.is_idempotent]


def count_runs(spec: request_specs.RequestSpec, counts: dict[str, int]) -> int:
    """Returns how often the bookings services ran a request."""
    return counts.get(f"{spec.workspace}/{spec.request_id}", 0)


def count_double_runs(
    results: list[caller_lib.Result], counts: dict[str, int]
) -> int:
    """Returns the number of bookings that ran more than once."""
    bookings = select_non_idempotent(results)
    return sum(count_runs(r.spec, counts) > 1 for r in bookings)


def count_false_refusals(
    results: list[caller_lib.Result], counts: dict[str, int]
) -> int:
    """Returns the number of bookings refused as not run that did run."""
    refused = outcome_lib.Outcome.REFUSED_NOT_RUN
    return sum(
        result.answer.outcome is refused and count_runs(result.spec, counts) > 0
        for result in select_non_idempotent(results)
    )


def count_missing_runs(
    results: list[caller_lib.Result], counts: dict[str, int]
) -> int:
    """Returns the number of completed bookings that never ran."""
    completed = outcome_lib.Outcome.COMPLETED
    return sum(
        result.answer.outcome is completed
        and count_runs(result.spec, counts) == 0
        for result in select_non_idempotent(results)
    )


def count_router_faults(results: list[caller_lib.Result]) -> int:
    """Returns the number of requests that failed by a router's own fault."""
    return sum(ROUTER_FAULT in result.answer.reason for result in results)


def count_broken_by_stop(
    results: list[caller_lib.Result], observations: FleetObservations
) -> int:
    """Returns the number of tries that the planned stop broke."""
    return sum(
        each.instance == observations.stopped_instance
        and each.was_sent
        and each.at >= observations.stopped_at
        for result in results
        for each in result.broken_attempts
    )
