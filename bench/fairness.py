"""Measures fairness, utilisation and control traffic of the policies.

Prints one JSON line for each scenario, size and policy, with the figures and
their limits. The experiments run in virtual time. Except for the measured
processing time, the results are the same in each run with the same seed. The
ideal policies (`omniscient`, `arrival_order`) know the true costs, have no
network delay and are not affected by faults of routers and links.
"""

import concurrent.futures
import dataclasses
import itertools
import json
import sys
import time
from typing import Any

from absl import app
from absl import flags

from bench import emulator as emulator_lib
from bench import faults
from bench import policies
from bench import report
from bench import scenarios
from bench import sizes

ALL = "all"

SCENARIO = flags.DEFINE_enum(
    "scenario", ALL, [ALL, *scenarios.SCENARIOS], "Scenario to run."
)
SIZE = flags.DEFINE_enum("size", ALL, [ALL, *sizes.SIZES], "Fleet to run.")
POLICY = flags.DEFINE_enum(
    "policy", ALL, [ALL, *policies.POLICIES], "Policy to run."
)
SEED = flags.DEFINE_integer("seed", 1, "Seed of all random number generators.")
SECONDS = flags.DEFINE_float(
    "seconds",
    None,
    "Duration in virtual seconds; by default the scenario's own.",
)
JOBS = flags.DEFINE_integer(
    "jobs", 4, "Number of experiments to run in parallel.", 1
)
TRACE = flags.DEFINE_bool(
    "trace", False, "Print the events that nodes record to standard error."
)


@dataclasses.dataclass(frozen=True, slots=True)
class Selection:
    """An experiment as selected by the flags.

    Attributes:
        scenario: name of the scenario.
        size: name of the fleet size.
        policy: name of the policy.
        seed: seed of all random number generators.
        seconds: duration in virtual seconds; None for the scenario's own.
        trace: whether to print recorded events.
    """

    scenario: str
    size: str
    policy: str
    seed: int
    seconds: float | None
    trace: bool


def run_experiment(selection: Selection) -> emulator_lib.Emulator:
    """Runs one experiment and returns its emulator."""
    scenario = scenarios.SCENARIOS[selection.scenario]
    experiment = emulator_lib.Experiment(
        scenario=scenario,
        size=sizes.SIZES[selection.size],
        policy=policies.POLICIES[selection.policy],
        seed=selection.seed,
        seconds=selection.seconds or scenario.seconds,
    )
    emulator = emulator_lib.Emulator(experiment)
    faults.schedule_faults(emulator)
    emulator.run()
    return emulator


def run_and_report(selection: Selection) -> dict[str, Any]:
    """Runs one experiment and returns its report."""
    started = time.perf_counter()
    emulator = run_experiment(selection)
    goals = report.build_goals(emulator)
    if (
        emulator.experiment.scenario.is_compared_with_static
        and selection.policy != "static"
    ):
        goals.append(_compare_with_static(selection, emulator))
    line = report.build_line(emulator, goals)
    line["real_seconds"] = round(time.perf_counter() - started, 2)
    if selection.trace:
        for when, sender, event in emulator.recorded_events:
            text = f"{when:.4f} {sender} {event.name} {event.subject}"
            print(text, event.detail, file=sys.stderr)
    return line


def _compare_with_static(
    selection: Selection, emulator: emulator_lib.Emulator
) -> report.Goal:
    static = run_experiment(dataclasses.replace(selection, policy="static"))
    own_gap = emulator.recorder.gap.peak.gap
    ratio = static.recorder.gap.peak.gap / own_gap if own_gap else float("inf")
    return report.Goal(
        "gap_static_ratio", report.MIN_STATIC_RATIO, ratio, is_upper=False
    )


def _select_experiments() -> list[Selection]:
    def pick(flag: flags.FlagHolder[str], names: list[str]) -> list[str]:
        return names if flag.value == ALL else [flag.value]

    product = itertools.product(
        pick(SCENARIO, [*scenarios.SCENARIOS]),
        pick(SIZE, [*sizes.SIZES]),
        pick(POLICY, [*policies.POLICIES]),
    )
    return [
        Selection(*names, SEED.value, SECONDS.value, TRACE.value)
        for names in product
    ]


def main(argv: list[str]) -> None:
    """Runs the selected experiments."""
    del argv
    selections = _select_experiments()
    if JOBS.value == 1 or len(selections) == 1:
        for selection in selections:
            print(json.dumps(run_and_report(selection)), flush=True)
        return
    with concurrent.futures.ProcessPoolExecutor(JOBS.value) as executor:
        for line in executor.map(run_and_report, selections):
            print(json.dumps(line), flush=True)


if __name__ == "__main__":
    app.run(main)
