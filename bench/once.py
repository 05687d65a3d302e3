"""Measures the guarantees and the cost of at-most-once claims.

Runs in virtual time first, then on a fleet of real processes. Prints one JSON
line per figure, with its limit.
"""

import asyncio
import collections
import dataclasses
import hashlib
import json
import logging
import random
from typing import Any

from absl import app
from absl import flags

from bench import claims_load
from bench import claims_model
from bench import claims_steps
from bench import once_processes
from lentilbeam_core import answers
from lentilbeam_core import claim_events
from lentilbeam_core import ids

STEPS = flags.DEFINE_integer(
    "steps", 100_000, "Number of random steps of each model."
)
SEED = flags.DEFINE_integer("seed", 1, "Seed of all random number generators.")
FLEET = flags.DEFINE_bool("fleet", True, "Also measure real processes.")
HISTORY_STEPS = 1000
"""Number of steps after which a new model fleet is started."""

ANSWER_STEPS = 20
"""Number of pieces sent for each answer."""

MAX_APPENDS_PER_S = 20.0
FLEET_SIZE = 7
LATENCY_TOLERANCE_S = 1e-6
"""Allowance for rounding errors of virtual time."""

LOADS = {
    "idle": claims_load.Load(routers=FLEET_SIZE, requests_per_s=0.2),
    "one_after_the_other": claims_load.Load(
        routers=FLEET_SIZE, requests_per_s=0.0
    ),
    "normal": claims_load.Load(routers=FLEET_SIZE, requests_per_s=5.0),
    "saturated": claims_load.Load(
        routers=FLEET_SIZE, requests_per_s=400.0, duration_s=5.0
    ),
}


def report(
    name: str, value: float, target: str, is_met: bool, **details: Any
) -> bool:
    """Prints a figure as a JSON line.

    Args:
        name: name of the figure.
        value: measured value; None if the measured event did not happen.
        target: description of the limit.
        is_met: whether the value is within the limit.
        **details: further fields of the line.

    Returns:
        `is_met`.
    """
    line = {"figure": name, "value": value, "target": target, "met": is_met}
    print(json.dumps(line | details), flush=True)
    return is_met


def measure_guarantees(steps: int, seed: int) -> bool:
    """Runs random histories of a model fleet and counts broken guarantees.

    Returns:
        Whether no guarantee was broken.
    """
    counts: collections.Counter[str] = collections.Counter()
    broken_counts: collections.Counter[claims_model.Guarantee] = (
        collections.Counter()
    )
    histories = max(1, steps // HISTORY_STEPS)
    for number in range(histories):
        fleet = claims_model.FleetModel()
        rng = random.Random(f"{seed}/{number}")
        try:
            for _ in range(HISTORY_STEPS):
                claims_steps.run_random_step(fleet, rng)
        except claims_model.GuaranteeViolationError as error:
            broken_counts[error.guarantee] += 1
        counts += fleet.counts
        counts["steps"] += fleet.step
    printed_counts = {
        name.replace(" ", "_"): counts[name] for name in sorted(counts)
    }
    results = [
        report(
            guarantee.value,
            broken_counts[guarantee],
            "0",
            not broken_counts[guarantee],
        )
        for guarantee in claims_model.Guarantee
    ]
    print(json.dumps({"counts": printed_counts}), flush=True)
    return all(results)


def measure_answers(steps: int, seed: int) -> bool:
    """Assembles random pieces and counts wrong answers marked complete.

    Returns:
        Whether there was none.
    """
    rng = random.Random(seed)
    complete_count = 0
    damaged_count = 0
    rounds = max(1, steps // ANSWER_STEPS)
    for _ in range(rounds):
        text = "".join(rng.choices("aé🙂", k=rng.randint(0, 12)))
        assembler = answers.AnswerAssembler(ids.RequestId("own"))
        received = b""
        for _ in range(ANSWER_STEPS):
            piece = _make_piece(rng, text, assembler.length)
            received += assembler.add_piece(piece)
        complete_count += assembler.is_complete
        damaged_count += assembler.is_complete and received != text.encode()
    return report(
        "damaged_answers",
        damaged_count,
        "0",
        damaged_count == 0,
        steps=rounds * ANSWER_STEPS,
        complete=complete_count,
    )


def _make_piece(rng: random.Random, text: str, length: int) -> answers.Piece:
    """Returns a random piece of an answer, or an end mark.

    The piece may be correct, wrong, repeated or of another request.

    Args:
        rng: random number generator.
        text: the complete answer.
        length: number of bytes that were assembled so far.
    """
    name = rng.choices(["own", "other"], [9, 1])[0]
    encoded = text.encode()
    kind = rng.random()
    if kind < 0.4:
        remaining = encoded[length:].decode(errors="ignore")
        return answers.Chunk(name, length, remaining[: rng.randint(1, 6)], 0.0)
    if kind < 0.8:
        first = rng.randint(0, len(text))
        offset = len(text[:first].encode())
        part = text[first : first + rng.randint(0, 6)]
        return answers.Chunk(name, offset, part, 0.0)
    if kind < 0.82:
        return answers.Chunk(name, rng.randint(0, 12), "x", 0.0)
    digest = hashlib.sha256(encoded).hexdigest()
    end_offset = rng.choices([len(encoded), rng.randint(0, 12)], [3, 1])[0]
    return answers.EndMark(name, end_offset, digest, 0.0)


def measure_cost(name: str, load: claims_load.Load, seed: int) -> bool:
    """Runs a load and reports the append rate and the latency of claims.

    Returns:
        Whether both are within their limits.
    """
    totals = claims_load.LoadedFleet(load, seed).run()
    interval_s = claim_events.Settings().append_interval_s
    appends_per_s = totals.appends / load.duration_s / load.routers
    max_latency_s = interval_s + load.append_s + load.read_s
    max_latency_s += claim_events.Settings().read_interval_s
    p99_s = totals.get_latency_s(0.99)
    is_rate_met = report(
        f"{name}.appends_per_s_per_router",
        round(appends_per_s, 2),
        f"<= {MAX_APPENDS_PER_S:g}",
        appends_per_s <= MAX_APPENDS_PER_S,
        records_per_append=round(totals.records / totals.appends, 2),
        reads_per_s_per_router=round(
            totals.reads / load.duration_s / load.routers, 2
        ),
    )
    return is_rate_met & report(
        f"{name}.claim_latency_p99_s",
        round(p99_s, 4),
        f"<= {max_latency_s:g} (append interval, append and read back)",
        p99_s <= max_latency_s + LATENCY_TOLERANCE_S,
        median_s=round(totals.get_latency_s(0.5), 4),
        p99_in_append_intervals=round(p99_s / interval_s, 2),
        asked=totals.asked,
        won=totals.won,
        load=dataclasses.asdict(load),
    )


def main(_: list[str]) -> None:
    """Runs all measurements; exits with status 1 if a limit is not met."""
    results = [
        measure_guarantees(STEPS.value, SEED.value),
        measure_answers(STEPS.value, SEED.value),
    ]
    for name, load in LOADS.items():
        results.append(measure_cost(name, load, SEED.value))
    if FLEET.value:
        logging.getLogger("httpx").setLevel(logging.WARNING)
        results.append(asyncio.run(once_processes.measure_all(report)))
    if not all(results):
        raise SystemExit(1)


if __name__ == "__main__":
    app.run(main)
