"""Summary figures of a run, for comparing policies."""

import collections
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

    Fractions are relative to the number of requests, times are in seconds.
    """
    asked = sum(o.arrival.kind.worth for o in outcomes)
    first = hdr.HdrHistogram(1, MAX_LATENCY_US, 3)
    for outcome in outcomes:
        if outcome.first_s is not None:
            first.record_value(max(round(outcome.first_s * 1e6), 1))
    engines = fleet.engines.values()
    return {
        "requests": len(outcomes),
        "worth": round(sum(o.worth for o in outcomes) / asked, 3),
        "on_time": _compute_fraction(outcomes, lambda o: o.is_on_time),
        "late": _compute_fraction(
            outcomes, lambda o: o.is_complete and not o.is_on_time
        ),
        "refused": _compute_fraction(outcomes, lambda o: o.sent_at is None),
        "late_gap": _compute_fraction(
            outcomes,
            lambda o: o.is_complete and o.gap_s > o.arrival.kind.gap_s,
        ),
        "first_s_p50": first.get_value_at_percentile(50) / 1e6,
        "first_s_p95": first.get_value_at_percentile(95) / 1e6,
        "read_again": round(
            sum(e.reread_tokens for e in engines)
            / max(sum(e.read_tokens for e in engines), 1),
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
    asked = collections.defaultdict(collections.Counter)
    got = collections.defaultdict(collections.Counter)
    short = collections.defaultdict(set)
    largest = collections.defaultdict(list)
    for outcome in outcomes:
        request = outcome.arrival.request
        cost = requests.estimate_cost(request)
        second = int(request.arrived_at)
        asked[request.workspace][second] += cost
        largest[request.workspace].append(cost)
        if outcome.sent_at is not None:
            got[request.workspace][int(outcome.sent_at)] += cost
        if outcome.refusals or not outcome.is_on_time:
            short[request.workspace].add(second)
    last = max(int(o.arrival.request.arrived_at) for o in outcomes)
    worst = 1.0
    for start in range(last - FAIR_WINDOW_S + 2):
        window = range(start, start + FAIR_WINDOW_S)
        best = {s: max(g[s] for g in got.values()) for s in window}
        for workspace, amounts in asked.items():
            if not short[workspace].issuperset(window):
                continue
            due = sum(min(amounts[s], best[s]) for s in window)
            due -= sum(sorted(largest[workspace])[-3:])
            served = sum(got[workspace][s] for s in window)
            if due > 0:
                worst = min(worst, served / due)
    return worst


def _compute_fraction(outcomes, is_counted) -> float:
    return round(sum(map(is_counted, outcomes)) / len(outcomes), 3)
