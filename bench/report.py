"""Builds the report of one experiment and checks its limits."""

import dataclasses
import math
from typing import Any

from bench import emulator as emulator_lib
from bench import requests
from bench import scenarios
from bench import sizes
from bench import utilisation

MAX_RECOVERED_GAP = 2.0
"""Upper limit of the gap after recovery, in units of the largest request."""

MAX_RECOVERY_S = 3.0
"""Longest time from the end of a fault to recovery."""

MIN_UTILISATION = 0.98
MIN_WINDOW_UTILISATION = 0.95
MAX_CONTROL_BYTES_PER_S = 2000.0
"""Highest rate of peer messages that any router sends."""

MIN_STATIC_RATIO = 10.0
"""Lowest ratio of the `static` policy's gap to the measured policy's."""

MAX_IDLE_GROWTH = 1.05
"""Highest ratio of idle traffic in the second half of a run to the first."""

TARGET_FAULTS = (scenarios.DrainTarget, scenarios.FailTarget)
"""Faults that take a target out of service."""


@dataclasses.dataclass(frozen=True, slots=True)
class Goal:
    """A limit of a measured value.

    Attributes:
        name: name of the measured value.
        bound: the limit.
        measured: the measured value; None if the measured event did not
            happen within the run.
        is_upper: whether it is an upper limit, not a lower one.
    """

    name: str
    bound: float
    measured: float | None
    is_upper: bool = True

    @property
    def is_met(self) -> bool:
        """Whether the measured value is within the limit."""
        if self.measured is None or math.isnan(self.measured):
            return False
        if self.is_upper:
            return self.measured <= self.bound
        return self.measured >= self.bound


def measure_recovery(emulator: emulator_lib.Emulator) -> float | None:
    """Returns the seconds from the end of the last fault to recovery.

    Recovery ends when the gap exceeds `MAX_RECOVERED_GAP` for the last time.
    Returns None if that is in the last second of the run.
    """
    end = emulator.experiment.scenario.fault_end_s
    meter = emulator.recorder.gap
    last = meter.find_last_above(MAX_RECOVERED_GAP, end)
    if last is None:
        return 0.0
    if last > emulator.experiment.seconds - 1.0:
        return None
    return last - end


def build_goals(emulator: emulator_lib.Emulator) -> list[Goal]:
    """Returns the limits that apply to the experiment."""
    scenario = emulator.experiment.scenario
    recorder = emulator.recorder
    sent_rates = _compute_sent_rates(emulator)
    goals = [
        Goal("control_bytes_per_s", MAX_CONTROL_BYTES_PER_S, max(sent_rates))
    ]
    if scenario.name == "idle":
        growth = emulator.meter.compute_growth(emulator.experiment.seconds)
        return [*goals, Goal("idle_growth", MAX_IDLE_GROWTH, growth)]
    # A start may be late by at most the duration of the largest request.
    max_request_s = scenario.costs.max_cost / sizes.TOKENS_PER_S
    goals += [
        Goal("gap", scenario.max_gap, recorder.gap.peak.gap),
        Goal("late_s", max_request_s, recorder.lateness.max_lateness.seconds),
    ]
    if scenario.is_saturated:
        overall = recorder.utilisation.get_overall()
        goals.append(
            Goal("utilisation", MIN_UTILISATION, overall, is_upper=False)
        )
    if scenario.faults:
        goals += _build_fault_goals(emulator)
    if scenario.concurrency is not None:
        max_over_limit = recorder.max_over_limit
        goals.append(Goal("running_over_limit", 0, max_over_limit))
    if scenario.has_flood:
        names = [*sizes.get_weights()]
        refusals_of_others = sum(
            count
            for (name, _), count in recorder.refusals.items()
            if name != names[-1]
        )
        goals.append(Goal("refusals_of_others", 0, refusals_of_others))
    return goals


def build_line(
    emulator: emulator_lib.Emulator, goals: list[Goal]
) -> dict[str, Any]:
    """Returns the report as a dictionary for one JSON line."""
    experiment = emulator.experiment
    recorder = emulator.recorder
    gap_peak = recorder.gap.peak
    max_lateness = recorder.lateness.max_lateness
    end = experiment.seconds
    line: dict[str, Any] = {
        "scenario": experiment.scenario.name,
        "size": experiment.size.name,
        "policy": experiment.policy.name,
        "seed": experiment.seed,
        "seconds": end,
        "met": all(goal.is_met for goal in goals),
        "targets": [_describe_goal(goal) for goal in goals],
        "gap": _round(gap_peak.gap),
        "gap_strict": _round(recorder.gap.max_range),
        "gap_at_s": _round(gap_peak.time),
        "gap_ahead": gap_peak.ahead,
        "gap_behind": gap_peak.behind,
        "utilisation": _round(recorder.utilisation.get_overall()),
        "utilisation_worst_2s": _round(
            recorder.utilisation.find_lowest_window(0, end)
        ),
        "waiting_at_targets_mean": _round(
            recorder.waiting_at_targets.get_average()
        ),
        "late_s": _round(max_lateness.seconds),
        "late_at_s": _round(max_lateness.time),
        "late_workspace": max_lateness.workspace,
        "wait_p50_ms": recorder.wait_times_ms.get_value_at_percentile(50),
        "wait_p99_ms": recorder.wait_times_ms.get_value_at_percentile(99),
        "wait_longest_s": _round(recorder.max_wait_s),
        "misuses": emulator.exchange.misuses,
    }
    line |= _describe_fault(emulator)
    line |= _describe_traffic(emulator)
    line |= _describe_outcomes(emulator)
    return line


def _build_fault_goals(emulator: emulator_lib.Emulator) -> list[Goal]:
    scenario = emulator.experiment.scenario
    recorder = emulator.recorder
    begin = scenario.fault_start_s - utilisation.WINDOW_S
    end = scenario.fault_end_s + MAX_RECOVERY_S
    lowest_utilisation = recorder.utilisation.find_lowest_window(begin, end)
    late_dispatches = sum(e.late_dispatches for e in emulator.engines.values())
    goals = [
        Goal("settling_s", MAX_RECOVERY_S, measure_recovery(emulator)),
        Goal("late_dispatches", 0, late_dispatches),
    ]
    if not any(isinstance(f, TARGET_FAULTS) for f in scenario.faults):
        window = Goal(
            "utilisation_2s",
            MIN_WINDOW_UTILISATION,
            lowest_utilisation,
            is_upper=False,
        )
        goals.append(window)
    return goals


def _describe_fault(emulator: emulator_lib.Emulator) -> dict[str, Any]:
    scenario = emulator.experiment.scenario
    if not scenario.faults:
        return {}
    meter = emulator.recorder.gap
    begin = scenario.fault_start_s
    end = scenario.fault_end_s + MAX_RECOVERY_S
    return {
        "gap_before_fault": _round(meter.find_max(0.0, begin)),
        "gap_through_fault": _round(meter.find_max(begin, end)),
        "settling_s": _round(measure_recovery(emulator)),
    }


def _describe_traffic(emulator: emulator_lib.Emulator) -> dict[str, Any]:
    meter = emulator.meter
    seconds = emulator.experiment.seconds - meter.start
    sent_rates = _compute_sent_rates(emulator)
    received_rates = [
        meter.received_bytes[name] / seconds for name in emulator.routers
    ]
    total = sum(meter.sent_bytes.values())
    answered_count = emulator.recorder.counts_by_end[
        requests.RequestEnd.ANSWERED
    ]
    return {
        "control_bytes_per_s_mean": _round(sum(sent_rates) / len(sent_rates)),
        "control_bytes_per_s_worst": _round(max(sent_rates)),
        "control_received_per_s_worst": _round(max(received_rates)),
        "control_bytes_per_s_between_data_centres": _round(
            meter.cross_centre_bytes / seconds
        ),
        "control_bytes_per_request": _round(
            total / answered_count if answered_count else None
        ),
        "control_bytes_by_kind": dict(meter.bytes_by_type),
        "control_messages_by_kind": dict(meter.messages_by_type),
    }


def _describe_outcomes(emulator: emulator_lib.Emulator) -> dict[str, Any]:
    recorder = emulator.recorder
    answered_count = recorder.counts_by_end[requests.RequestEnd.ANSWERED]
    reasons: dict[str, dict[str, int]] = {}
    for (name, reason), count in sorted(recorder.refusals.items()):
        reasons.setdefault(reason, {})[name] = count
    handling_times_s = [host.handling_s for host in emulator.hosts.values()]
    return {
        "closings": {
            request_end.value: n
            for request_end, n in recorder.counts_by_end.items()
        },
        "refusals": reasons,
        "cpu_us_per_request": _round(
            sum(handling_times_s) * 1e6 / answered_count
            if answered_count
            else None
        ),
        "cpu_us_per_request_busiest": _round(
            max(handling_times_s) * 1e6 / answered_count
            if answered_count
            else None
        ),
        "cpu_share_worst": _round(
            max(handling_times_s) / emulator.experiment.seconds
        ),
    }


def _compute_sent_rates(emulator: emulator_lib.Emulator) -> list[float]:
    meter = emulator.meter
    seconds = emulator.experiment.seconds - meter.start
    return [meter.sent_bytes[name] / seconds for name in emulator.routers]


def _describe_goal(goal: Goal) -> dict[str, Any]:
    return {
        "name": goal.name,
        "bound": goal.bound,
        "at": "most" if goal.is_upper else "least",
        "measured": _round(goal.measured),
        "met": goal.is_met,
    }


def _round(value: float | None) -> float | None:
    return None if value is None else round(value, 4)
