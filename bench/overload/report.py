"""Summary figures of a run, for comparing policies."""

import bisect
import collections
import dataclasses
from typing import Any

from hdrh import histogram as hdr

from bench.overload import fleet as fleet_lib
from lentilbeam_core.forwarding import requests

FAIR_WINDOW_S = 6
"""The users evaluate fairness over six seconds at a time."""
MAX_LATENCY_US = 60_000_000


def summarize(
    fleet: fleet_lib.Fleet, outcomes: list[fleet_lib.Outcome]
) -> dict[str, Any]:
    """Returns the figures of a run by name.

    `worth` is relative to the value of all requests answered on time,
    `read_again` is the ratio of the tokens of shared parts that were admitted
    before and are not in the cache at admission to all prefilled tokens, and
    `worst_due` is the result of `compute_min_fair_fraction`. The other
    fractions are relative to the number of requests. Times are in seconds.
    """
    max_worth = sum(o.arrival.kind.worth for o in outcomes)
    first_event_times = hdr.HdrHistogram(1, MAX_LATENCY_US, 3)
    for outcome in outcomes:
        if outcome.first_s is not None:
            first_event_times.record_value(max(round(outcome.first_s * 1e6), 1))
    engines = fleet.engines.values()
    return {
        "requests": len(outcomes),
        "worth": round(sum(o.worth for o in outcomes) / max_worth, 3),
        "on_time": _compute_fraction(outcomes, lambda o: o.is_on_time),
        "late": _compute_fraction(
            outcomes, lambda o: o.is_complete and not o.is_on_time
        ),
        "refused": _compute_fraction(outcomes, lambda o: o.sent_at is None),
        "late_gap": _compute_fraction(
            outcomes,
            lambda o: o.is_complete and o.gap_s > o.arrival.kind.gap_s,
        ),
        "late_gap_by_kind": {
            kind.name: _compute_fraction(
                [o for o in outcomes if o.arrival.kind == kind],
                lambda o: o.is_complete and o.gap_s > o.arrival.kind.gap_s,
            )
            for kind in fleet.pattern.kinds
        },
        "first_s_p50": first_event_times.get_value_at_percentile(50) / 1e6,
        "first_s_p95": first_event_times.get_value_at_percentile(95) / 1e6,
        "read_again": round(
            sum(e.repeated_prefill_tokens for e in engines)
            / max(sum(e.prefilled_tokens for e in engines), 1),
            3,
        ),
        "worst_due": round(compute_min_fair_fraction(outcomes), 2),
    }


def compute_min_fair_fraction(outcomes: list[fleet_lib.Outcome]) -> float:
    """Returns the smallest fraction of its fair service that a workspace got.

    The minimum is taken over all workspaces and all windows of
    `FAIR_WINDOW_S`. In each second a workspace is due the cost that it
    requested, but at most the cost served to the best-served workspace. A
    window counts for a workspace only if the workspace had a refused or late
    request in each of its seconds. The cost of the workspace's three largest
    requests is subtracted from what it is due.
    """
    requested_costs, served_costs = _sum_by_second(outcomes)
    underserved_seconds = collections.defaultdict(set)
    request_costs = collections.defaultdict(list)
    for outcome in outcomes:
        request = outcome.arrival.request
        request_costs[request.workspace].append(requests.estimate_cost(request))
        if outcome.refusals or not outcome.is_on_time:
            second = int(request.arrived_at)
            underserved_seconds[request.workspace].add(second)
    last_second = max(int(o.arrival.request.arrived_at) for o in outcomes)
    min_fraction = 1.0
    for start in range(last_second - FAIR_WINDOW_S + 2):
        window = range(start, start + FAIR_WINDOW_S)
        max_served = {
            s: max(g[s] for g in served_costs.values()) for s in window
        }
        for workspace, requested in requested_costs.items():
            if not underserved_seconds[workspace].issuperset(window):
                continue
            due = sum(min(requested[s], max_served[s]) for s in window)
            due -= sum(sorted(request_costs[workspace])[-3:])
            served = sum(served_costs[workspace][s] for s in window)
            if due > 0:
                min_fraction = min(min_fraction, served / due)
    return min_fraction


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """What a workspace and the best served one received in some seconds.

    Attributes:
        start_s: beginning of the window, in seconds.
        asked: cost that the workspace asked for, without retries.
        served: cost of its requests that were sent to an engine.
        best_served: the same of the workspace that received most.
    """

    start_s: int
    asked: float
    served: float
    best_served: float


def list_windows(
    outcomes: list[fleet_lib.Outcome], workspace: str, from_s: int
) -> list[Window]:
    """Returns each window of `FAIR_WINDOW_S` in which requests arrive.

    Args:
        outcomes: results of the requests.
        workspace: the workspace that is compared with the best served one.
        from_s: beginning of the first window, in seconds.
    """
    requested, served = _sum_by_second(outcomes)
    asked = requested[workspace]
    last_second = max(int(o.arrival.request.arrived_at) for o in outcomes)
    windows = []
    for start in range(from_s, last_second - FAIR_WINDOW_S + 2):
        seconds = range(start, start + FAIR_WINDOW_S)
        sums = {
            name: sum(costs[second] for second in seconds)
            for name, costs in served.items()
        }
        windows.append(
            Window(
                start,
                sum(asked[second] for second in seconds),
                sums.get(workspace, 0.0),
                max(sums.values()),
            )
        )
    return windows


def count_pauses(
    outcomes: list[fleet_lib.Outcome], bounds: tuple[int, ...]
) -> list[tuple[int, int]]:
    """Returns how many streams paused for too long, by size of other prompts.

    Streams of ten events or fewer are left out.

    Args:
        outcomes: results of the requests.
        bounds: ascending upper bounds of the ranges of sizes, in tokens to
            prefill; one more range has what is larger.

    Returns:
        For each range, the streams that paused for longer than the goal of
        their kind, and all streams.
    """
    counts = [[0, 0] for _ in range(len(bounds) + 1)]
    for outcome in outcomes:
        if outcome.is_complete and outcome.events > 10:
            index = bisect.bisect_right(bounds, outcome.largest_other_tokens)
            counts[index][0] += outcome.gap_s > outcome.arrival.kind.gap_s
            counts[index][1] += 1
    return [(paused, total) for paused, total in counts]


_CostsBySecond = dict[str, collections.Counter]


def _sum_by_second(
    outcomes: list[fleet_lib.Outcome],
) -> tuple[_CostsBySecond, _CostsBySecond]:
    """Returns the costs that each workspace requested and was served."""
    requested = collections.defaultdict(collections.Counter)
    served = collections.defaultdict(collections.Counter)
    for outcome in outcomes:
        request = outcome.arrival.request
        cost = requests.estimate_cost(request)
        requested[request.workspace][int(request.arrived_at)] += cost
        if outcome.sent_at is not None:
            served[request.workspace][int(outcome.sent_at)] += cost
    return requested, served


def _compute_fraction(outcomes, predicate) -> float:
    return round(sum(map(predicate, outcomes)) / len(outcomes), 3)
