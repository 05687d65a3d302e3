"""Measures what at-most-once claims promise and cost.

In virtual time, and then on a fleet of real processes. Prints one JSON line
for each figure, with its target.
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

STEPS = flags.DEFINE_integer("steps", 100_000, "Generated steps of each model.")
SEED = flags.DEFINE_integer("seed", 1, "Seed of all generators.")
FLEET = flags.DEFINE_bool("fleet", True, "Also measures real processes.")
HISTORY_STEPS = 1000
ANSWER_STEPS = 20
MAX_APPENDS_PER_S = 20.0
FLEET_SIZE = 7
SLOT_ERROR_S = 1e-6
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
    """Prints a figure; returns whether it meets its target."""
    line = {"figure": name, "value": value, "target": target, "met": is_met}
    print(json.dumps(line | details), flush=True)
    return is_met


def measure_promises(steps: int, seed: int) -> bool:
    """Generates histories of a fleet and counts broken promises."""
    counts: collections.Counter[str] = collections.Counter()
    broken: collections.Counter[claims_model.Guarantee] = collections.Counter()
    histories = max(1, steps // HISTORY_STEPS)
    for number in range(histories):
        fleet = claims_model.FleetModel()
        rng = random.Random(f"{seed}/{number}")
        try:
            for _ in range(HISTORY_STEPS):
                claims_steps.run_random_step(fleet, rng)
        except claims_model.GuaranteeViolationError as error:
            broken[error.guarantee] += 1
        counts += fleet.counts
        counts["steps"] += fleet.step
    shown = {name.replace(" ", "_"): counts[name] for name in sorted(counts)}
    results = [
        report(guarantee.value, broken[guarantee], "0", not broken[guarantee])
        for guarantee in claims_model.Guarantee
    ]
    print(json.dumps({"counts": shown}), flush=True)
    return all(results)


def measure_answers(steps: int, seed: int) -> bool:
    """Sends generated pieces and counts complete answers that are wrong."""
    rng = random.Random(seed)
    complete = 0
    damaged = 0
    rounds = max(1, steps // ANSWER_STEPS)
    for _ in range(rounds):
        text = "".join(rng.choices("aé🙂", k=rng.randint(0, 12)))
        assembler = answers.AnswerAssembler(ids.RequestId("own"))
        passed_on = b""
        for _ in range(ANSWER_STEPS):
            piece = _make_piece(rng, text, assembler.length)
            passed_on += assembler.add_piece(piece)
        complete += assembler.is_complete
        damaged += assembler.is_complete and passed_on != text.encode()
    return report(
        "damaged_answers",
        damaged,
        "0",
        damaged == 0,
        steps=rounds * ANSWER_STEPS,
        complete=complete,
    )


def _make_piece(rng: random.Random, text: str, length: int) -> answers.Piece:
    """Returns a right, wrong, crossed or repeated piece, or an end mark."""
    name = rng.choices(["own", "other"], [9, 1])[0]
    whole = text.encode()
    kind = rng.random()
    if kind < 0.4:
        rest = whole[length:].decode(errors="ignore")
        return answers.Chunk(name, length, rest[: rng.randint(1, 6)], 0.0)
    if kind < 0.8:
        first = rng.randint(0, len(text))
        offset = len(text[:first].encode())
        part = text[first : first + rng.randint(0, 6)]
        return answers.Chunk(name, offset, part, 0.0)
    if kind < 0.82:
        return answers.Chunk(name, rng.randint(0, 12), "x", 0.0)
    digest = hashlib.sha256(whole).hexdigest()
    end = rng.choices([len(whole), rng.randint(0, 12)], [3, 1])[0]
    return answers.EndMark(name, end, digest, 0.0)


def measure_cost(name: str, load: claims_load.Load, seed: int) -> bool:
    """Applies a load and reports appends and latency of claims."""
    totals = claims_load.LoadedFleet(load, seed).run()
    interval_s = claim_events.Settings().append_interval_s
    appends_per_s = totals.appends / load.duration_s / load.routers
    bound_s = interval_s + load.append_s + load.read_s
    bound_s += claim_events.Settings().read_interval_s
    p99_s = totals.get_latency_s(0.99)
    met = report(
        f"{name}.appends_per_s_per_router",
        round(appends_per_s, 2),
        f"<= {MAX_APPENDS_PER_S:g}",
        appends_per_s <= MAX_APPENDS_PER_S,
        records_per_append=round(totals.records / totals.appends, 2),
        reads_per_s_per_router=round(
            totals.reads / load.duration_s / load.routers, 2
        ),
    )
    return met & report(
        f"{name}.claim_latency_p99_s",
        round(p99_s, 4),
        f"<= {bound_s:g} (append interval, append and read back)",
        p99_s <= bound_s + SLOT_ERROR_S,
        median_s=round(totals.get_latency_s(0.5), 4),
        p99_in_append_intervals=round(p99_s / interval_s, 2),
        asked=totals.asked,
        won=totals.won,
        load=dataclasses.asdict(load),
    )


def main(_: list[str]) -> None:
    """Runs all measurements."""
    results = [
        measure_promises(STEPS.value, SEED.value),
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
