"""Builds the report of one experiment and checks its targets."""

import dataclasses
import math
from typing import Any

from bench import emulator as emulator_lib
from bench import requests
from bench import scenarios
from bench import sizes
from bench import utilisation

SETTLED_GAP = 2.0
"""Upper limit of the gap after recovery, in units of the largest request."""

SETTLING_S = 3.0
"""Longest time from the end of a fault to recovery."""

OVERALL_UTILISATION = 0.98
WINDOW_UTILISATION = 0.95
CONTROL_BYTES_PER_S = 2000.0
"""Highest rate of peer messages that any router sends."""

STATIC_RATIO = 10.0
"""Lowest ratio of the `static` policy's gap to the measured policy's."""

IDLE_GROWTH = 1.05
"""Highest ratio of idle traffic in the second half of a run to the first."""

TARGET_FAULTS = (scenarios.DrainTarget, scenarios.FailTarget)
"""Faults that take a target out of service."""


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A required bound of a measured value.

    Attributes:
        name: name of the measured value.
        bound: the required bound.
        measured: the measured value; None if the measured event did not
            happen within the run.
        is_upper: whether the bound is an upper limit, not a lower one.
    """

    name: str
    bound: float
    measured: float | None
    is_upper: bool = True

    @property
    def met(self) -> bool:
        """Whether the measured value is within the bound."""
        if self.measured is None or math.isnan(self.measured):
            return False
        if self.is_upper:
            return self.measured <= self.bound
        return self.measured >= self.bound


def measure_settling(emulator: emulator_lib.Emulator) -> float | None:
    """Returns the seconds from the end of the last fault to recovery.

    The recovery ends when the gap exceeds `SETTLED_GAP` for the last time.
    Returns None if that is in the last second of the run.
    """
    end = emulator.experiment.scenario.fault_end_s
    meter = emulator.recorder.gap
    last = meter.find_last_above(SETTLED_GAP, end)
    if last is None:
        return 0.0
    if last > emulator.experiment.seconds - 1.0:
        return None
    return last - end


def build_targets(emulator: emulator_lib.Emulator) -> list[Target]:
    """Returns the targets that apply to the experiment."""
    scenario = emulator.experiment.scenario
    records = emulator.recorder
    sent = _rates(emulator)
    targets = [Target("control_bytes_per_s", CONTROL_BYTES_PER_S, max(sent))]
    if scenario.name == "idle":
        growth = emulator.meter.growth(emulator.experiment.seconds)
        return [*targets, Target("idle_growth", IDLE_GROWTH, growth)]
    longest = scenario.costs.largest / sizes.TOKENS_PER_S
    targets += [
        Target("gap", scenario.max_gap, records.gap.peak.gap),
        Target("late_s", longest, records.lateness.max_lateness.seconds),
    ]
    if scenario.is_saturated:
        overall = records.usage.get_overall()
        targets.append(
            Target("utilisation", OVERALL_UTILISATION, overall, is_upper=False)
        )
    if scenario.faults:
        targets += _build_fault_targets(emulator)
    if scenario.concurrency is not None:
        over = records.most_over_limit
        targets.append(Target("running_over_limit", 0, over))
    if scenario.flooding:
        names = [*sizes.name_workspaces()]
        others = sum(
            count
            for (name, _), count in records.refusals.items()
            if name != names[-1]
        )
        targets.append(Target("refusals_of_others", 0, others))
    return targets


def build_line(
    emulator: emulator_lib.Emulator, targets: list[Target]
) -> dict[str, Any]:
    """Returns the report as a dictionary for one JSON line."""
    experiment = emulator.experiment
    records = emulator.recorder
    gap_peak = records.gap.peak
    max_lateness = records.lateness.max_lateness
    end = experiment.seconds
    line: dict[str, Any] = {
        "scenario": experiment.scenario.name,
        "size": experiment.size.name,
        "policy": experiment.policy.name,
        "seed": experiment.seed,
        "seconds": end,
        "met": all(target.met for target in targets),
        "targets": [_describe(target) for target in targets],
        "gap": _round(gap_peak.gap),
        "gap_strict": _round(records.gap.max_range),
        "gap_at_s": _round(gap_peak.time),
        "gap_ahead": gap_peak.ahead,
        "gap_behind": gap_peak.behind,
        "utilisation": _round(records.usage.get_overall()),
        "utilisation_worst_2s": _round(
            records.usage.find_lowest_window(0, end)
        ),
        "waiting_at_targets_mean": _round(records.sent_ahead.get_average()),
        "late_s": _round(max_lateness.seconds),
        "late_at_s": _round(late.time),
        "late_workspace": late.workspace,
        "wait_p50_ms": records.waits.get_value_at_percentile(50),
        "wait_p99_ms": records.waits.get_value_at_percentile(99),
        "wait_longest_s": _round(records.longest_wait_s),
        "misuses": emulator.exchange.misuses,
    }
    line |= _describe_fault(emulator)
    line |= _describe_traffic(emulator)
    line |= _describe_ends(emulator)
    return line


def _build_fault_targets(emulator: emulator_lib.Emulator) -> list[Target]:
    scenario = emulator.experiment.scenario
    records = emulator.recorder
    begin = scenario.fault_start_s - utilisation.WINDOW_S
    end = scenario.fault_end_s + SETTLING_S
    worst = records.usage.find_lowest_window(begin, end)
    late = sum(e.late_admissions for e in emulator.engines.values())
    targets = [
        Target("settling_s", SETTLING_S, measure_settling(emulator)),
        Target("late_dispatches", 0, late),
    ]
    if not any(isinstance(f, TARGET_FAULTS) for f in scenario.faults):
        window = Target(
            "utilisation_2s", WINDOW_UTILISATION, worst, is_upper=False
        )
        targets.append(window)
    return targets


def _describe_fault(emulator: emulator_lib.Emulator) -> dict[str, Any]:
    scenario = emulator.experiment.scenario
    if not scenario.faults:
        return {}
    meter = emulator.recorder.gap
    begin = scenario.fault_start_s
    end = scenario.fault_end_s + SETTLING_S
    return {
        "gap_before_fault": _round(meter.find_max(0.0, begin)),
        "gap_through_fault": _round(meter.find_max(begin, end)),
        "settling_s": _round(measure_settling(emulator)),
    }


def _describe_traffic(emulator: emulator_lib.Emulator) -> dict[str, Any]:
    meter = emulator.meter
    seconds = emulator.experiment.seconds - meter.start
    sent = _rates(emulator)
    received = [meter.received[name] / seconds for name in emulator.routers]
    total = sum(meter.sent.values())
    answered = emulator.recorder.closings[requests.Closing.ANSWERED]
    return {
        "control_bytes_per_s_mean": _round(sum(sent) / len(sent)),
        "control_bytes_per_s_worst": _round(max(sent)),
        "control_received_per_s_worst": _round(max(received)),
        "control_bytes_per_s_between_data_centres": _round(
            meter.crossing / seconds
        ),
        "control_bytes_per_request": _round(
            total / answered if answered else None
        ),
        "control_bytes_by_kind": dict(meter.kinds),
        "control_messages_by_kind": dict(meter.counts),
    }


def _describe_ends(emulator: emulator_lib.Emulator) -> dict[str, Any]:
    records = emulator.recorder
    answered = records.closings[requests.Closing.ANSWERED]
    reasons: dict[str, dict[str, int]] = {}
    for (name, reason), count in sorted(records.refusals.items()):
        reasons.setdefault(reason, {})[name] = count
    cpu = [host.cpu_s for host in emulator.hosts.values()]
    return {
        "closings": {how.value: n for how, n in records.closings.items()},
        "refusals": reasons,
        "cpu_us_per_request": _round(
            sum(cpu) * 1e6 / answered if answered else None
        ),
        "cpu_us_per_request_busiest": _round(
            max(cpu) * 1e6 / answered if answered else None
        ),
        "cpu_share_worst": _round(max(cpu) / emulator.experiment.seconds),
    }


def _rates(emulator: emulator_lib.Emulator) -> list[float]:
    meter = emulator.meter
    seconds = emulator.experiment.seconds - meter.start
    return [meter.sent[name] / seconds for name in emulator.routers]


def _describe(target: Target) -> dict[str, Any]:
    return {
        "name": target.name,
        "bound": target.bound,
        "at": "most" if target.is_upper else "least",
        "measured": _round(target.measured),
        "met": target.met,
    }


def _round(value: float | None) -> float | None:
    return None if value is None else round(value, 4)
