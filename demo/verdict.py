"""Statistics and invariant checks of a load's results."""

import collections
import dataclasses
import itertools

from demo import caller as caller_lib
from demo import catalogue
from demo import load as load_lib
from demo import request_specs
from lentilbeam_core import outcome as outcome_lib

CURVE_STEP_S = 0.5
"""Interval between two points of a service curve."""
WARM_UP_S = 2.0
"""Time at the beginning of the load that the fairness gap and the utilisation
leave out."""
ROUTER_FAULT = "router_fault"
"""Reason of an answer that reports an internal error of a router."""


@dataclasses.dataclass(frozen=True, slots=True)
class FleetObservations:
    """What was observed at the fleet's processes, besides the answers.

    Attributes:
        run_counts: number of runs at the bookings services by request, whose
            key is "workspace/request ID".
        stopped_instance: name of the router that was stopped as planned.
        stopped_at: when it got SIGTERM, in monotonic seconds.
        failed_exits: one text for each process that did not exit as expected.
        tracebacks: one text for each process that printed a traceback.
    """

    run_counts: dict[str, int]
    stopped_instance: str
    stopped_at: float
    failed_exits: list[str]
    tracebacks: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceStats:
    """What one workspace got from the model engines within the window.

    Requests that complete after the window don't count: a workspace with a
    longer queue then has the engines to itself.

    Attributes:
        workspace: the workspace.
        requests: number of completed requests.
        tokens: tokens that were generated for them.
        median_duration_s: median duration of the requests, with retries.
        max_duration_s: longest duration of a request, with retries.
    """

    workspace: catalogue.WorkspaceSpec
    requests: int
    tokens: float
    median_duration_s: float
    max_duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Statistics and invariant checks of one load.

    Attributes:
        outcome_counts: number of requests by final outcome and by kind.
        workspace_stats: statistics of each workspace.
        fairness_gap: largest difference in tokens per weight that any two
            backlogged workspaces got within any interval. Tokens count when
            their request completes.
        utilisation: mean fraction of the engines' slots in use, 0 to 1.
        max_duration_s: longest duration of a request, with retries.
        broken_attempts: number of attempts that ended without an answer from
            a router.
        violations: number of violations by invariant. The invariants hold if
            all of these are 0.
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
) -> Verdict:
    """Computes the statistics of a load and checks the invariants.

    Args:
        load_result: result of the load; it must hold at least one request.
        workspaces: workspaces that sent requests.
        slots: number of slots of all model engines.
        observations: what was observed at the fleet's processes.
    """
    results = load_result.results
    return Verdict(
        outcome_counts=count_outcomes(results),
        workspace_stats=[
            compute_workspace_stats(each, load_result) for each in workspaces
        ],
        fairness_gap=compute_fairness_gap(load_result, workspaces),
        utilisation=compute_utilisation(load_result, slots),
        max_duration_s=max(r.ended_at - r.started_at for r in results),
        broken_attempts=sum(len(result.broken_attempts) for result in results),
        violations={
            "requests without a typed outcome": len(load_result.untyped_errors),
            "answers with wrong content": sum(
                bool(r.mismatches) for r in results
            ),
            "bookings run twice": count_double_runs(
                results, observations.run_counts
            ),
            "bookings refused as not run that ran": count_false_refusals(
                results, observations.run_counts
            ),
            "bookings completed without a run": count_missing_runs(
                results, observations.run_counts
            ),
            "attempts broken by the planned stop": count_broken_by_stop(
                results, observations
            ),
            "answers reporting a router fault": count_router_faults(results),
            "processes with a traceback": len(observations.tracebacks),
            "processes with an unexpected exit": len(observations.failed_exits),
        },
    )


def count_outcomes(
    results: list[caller_lib.Result],
) -> dict[str, dict[str, int]]:
    """Returns the number of requests by outcome and by kind.

    The outcome includes the reason, if there is one.
    """
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
    """Returns the kind of a request, see `report.KINDS`."""
    if spec.pool == request_specs.BOOKINGS_POOL:
        return "lookup" if spec.is_idempotent else "booking"
    return "streamed" if spec.is_streamed else "whole"


def compute_workspace_stats(
    workspace: catalogue.WorkspaceSpec, load_result: load_lib.LoadResult
) -> WorkspaceStats:
    """Returns what a workspace got from the model engines in the window."""
    own_results = [
        result
        for result in select_served(load_result.results)
        if belongs_to(result, workspace)
        and result.ended_at <= load_result.window_ends_at
    ]
    times = sorted(r.ended_at - r.started_at for r in own_results) or [0.0]
    return WorkspaceStats(
        workspace=workspace,
        requests=len(own_results),
        tokens=sum(r.answer.cost for r in own_results),
        median_duration_s=times[len(times) // 2],
        max_duration_s=times[-1],
    )


def select_served(
    results: list[caller_lib.Result],
) -> list[caller_lib.Result]:
    """Returns the results of completed requests to model engines."""
    return [
        result
        for result in results
        if result.spec.pool == request_specs.ASSISTANT_POOL
        and result.answer.outcome is outcome_lib.Outcome.COMPLETED
    ]


def belongs_to(
    result: caller_lib.Result, workspace: catalogue.WorkspaceSpec
) -> bool:
    """Tells whether the workspace sent the request of the result."""
    return result.spec.workspace == workspace.name


def compute_fairness_gap(
    load_result: load_lib.LoadResult, workspaces: list[catalogue.WorkspaceSpec]
) -> float:
    """Returns the fairness gap, see `Verdict.fairness_gap`."""
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
    """Returns the cumulative tokens per weight at every step after warm-up.

    Args:
        results: completed requests of one workspace.
        weight: weight of the workspace.
        load_result: result of the load, for its start and end.
    """
    steps = int(
        (load_result.window_ends_at - load_result.started_at) / CURVE_STEP_S
    )
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
    """Returns the mean fraction of the engines' slots in use, 0 to 1."""
    warm_at = load_result.started_at + WARM_UP_S
    used = [s.running / slots for s in load_result.samples if s.at >= warm_at]
    return sum(used) / len(used) if used else 0.0


def select_non_idempotent(
    results: list[caller_lib.Result],
) -> list[caller_lib.Result]:
    """Returns the results of requests that must not run more than once."""
    return [result for result in results if not result.spec.is_idempotent]


def count_runs(
    spec: request_specs.RequestSpec, run_counts: dict[str, int]
) -> int:
    """Returns how often the bookings services ran a request.

    Args:
        spec: the request.
        run_counts: see `FleetObservations`.
    """
    return run_counts.get(f"{spec.workspace}/{spec.request_id}", 0)


def count_double_runs(
    results: list[caller_lib.Result], run_counts: dict[str, int]
) -> int:
    """Returns the number of bookings that ran more than once."""
    bookings = select_non_idempotent(results)
    return sum(count_runs(r.spec, run_counts) > 1 for r in bookings)


def count_false_refusals(
    results: list[caller_lib.Result], run_counts: dict[str, int]
) -> int:
    """Returns the number of bookings that ran but were refused as not run."""
    refused = outcome_lib.Outcome.REFUSED_NOT_RUN
    return sum(
        result.answer.outcome is refused
        and count_runs(result.spec, run_counts) > 0
        for result in select_non_idempotent(results)
    )


def count_missing_runs(
    results: list[caller_lib.Result], run_counts: dict[str, int]
) -> int:
    """Returns the number of completed bookings that never ran."""
    completed = outcome_lib.Outcome.COMPLETED
    return sum(
        result.answer.outcome is completed
        and count_runs(result.spec, run_counts) == 0
        for result in select_non_idempotent(results)
    )


def count_router_faults(results: list[caller_lib.Result]) -> int:
    """Returns the number of requests that failed by an error of a router."""
    return sum(ROUTER_FAULT in result.answer.reason for result in results)


def count_broken_by_stop(
    results: list[caller_lib.Result], observations: FleetObservations
) -> int:
    """Returns the number of attempts that the planned stop broke.

    These are attempts at the stopped router that ended without an answer
    after it was told to stop, if the request may have reached it.
    """
    return sum(
        each.instance == observations.stopped_instance
        and each.was_sent
        and each.at >= observations.stopped_at
        for result in results
        for each in result.broken_attempts
    )
