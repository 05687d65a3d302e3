"""Measures time and memory for applying the catalogue log.

`make bench-catalogue` creates 40,000 entries and applies 13,000 changes to
them. The records are decoded from JSON, as a catalogue reader does. Prints one
line of JSON with the figures and their targets.
"""

from collections.abc import Iterator
import gc
import json
import random
import time
import tracemalloc
from typing import Any

import msgspec

from lentilbeam_core import catalogue
from lentilbeam_core import catalogue_change
from lentilbeam_core import catalogue_log
from lentilbeam_core import catalogue_snapshot
from lentilbeam_core import catalogue_state
from lentilbeam_core import ids
from lentilbeam_core import uuid7

ENTRIES = 40_000
CLASSES = 200
POOLS = 100
TARGETS_PER_POOL = 10
CHANGES = 13_000
LOAD_BATCH = 100
RACE_SHARE = 0.05
FAULT_SHARE = 0.01
SEED = 1
AIM_SECONDS = 2.0
AIM_MB = 32.0
MB = 1_000_000
OPERATOR = "ops"


def make_entry(number: int) -> dict[str, Any]:
    """Returns entry `number`: first classes, then pools, then workspaces."""
    if number < CLASSES:
        weight = 1 + number % 8
        return _name("class", number) | {"weight": weight}
    if number < CLASSES + POOLS:
        targets = [_make_target(number, t) for t in range(TARGETS_PER_POOL)]
        return _name("pool", number) | {"service": "model", "targets": targets}
    limits = {"concurrency": 1 + number % 16, "queue_length": 64}
    return _name("workspace", number) | {
        "class": f"class-{number % CLASSES}",
        "limits": limits,
    }


def _name(kind: str, number: int) -> dict[str, Any]:
    return {"kind": kind, "name": f"{kind}-{number}", "owner": OPERATOR}


def _make_target(pool: int, number: int) -> dict[str, Any]:
    return {
        "name": f"target-{pool}-{number}",
        "url": f"http://10.0.{pool % 256}.{number}:8000",
        "data_centre": "north",
        "slots": 8,
    }


def encode_change(
    number: int, entries: list[dict[str, Any]], versions: dict[str, int]
) -> bytes:
    """Returns a change as JSON.

    Args:
        number: makes the change id unique.
        entries: entries to write.
        versions: offset of the current version by entry name; 0 if absent.
    """
    keys = [
        catalogue.EntryKey(catalogue.EntryKind(raw["kind"]), raw["name"])
        for raw in entries
    ]
    change = catalogue_change.Change(
        catalogue_change.ChangeId(uuid7.encode(1_000_000 + number, number)),
        OPERATOR,
        tuple(
            catalogue_change.Base(key, ids.Offset(versions.get(key.name, 0)))
            for key in keys
        ),
        tuple(entries),
        (),
    )
    return msgspec.json.encode(catalogue_change.dump_change(change))


def generate_load() -> Iterator[bytes]:
    """Yields changes that create all entries, `LOAD_BATCH` in each."""
    for number, start in enumerate(range(0, ENTRIES, LOAD_BATCH)):
        batch = range(start, min(start + LOAD_BATCH, ENTRIES))
        yield encode_change(number, [make_entry(n) for n in batch], {})


def generate_changes(first: int) -> Iterator[bytes]:
    """Yields changes of one entry each.

    A fraction `FAULT_SHARE` of them is invalid, and `RACE_SHARE` conflicts
    with the current version of the entry.

    Args:
        first: offset of the first change.
    """
    rng = random.Random(SEED)
    versions = {
        make_entry(n)["name"]: 1 + n // LOAD_BATCH for n in range(ENTRIES)
    }
    for number in range(first, first + CHANGES):
        entry = make_entry(rng.randrange(CLASSES, ENTRIES))
        entry["note"] = number
        draw = rng.random()
        if draw < FAULT_SHARE:
            yield encode_change(number, [entry | {"owner": 5}], versions)
        elif draw < FAULT_SHARE + RACE_SHARE:
            yield encode_change(number, [entry], {})
        else:
            yield encode_change(number, [entry], versions)
            versions[entry["name"]] = number


def evaluate(
    state: catalogue_state.State, records: list[bytes]
) -> dict[str, int]:
    """Applies the records; returns the number of records by verdict."""
    counts: dict[str, int] = {}
    for record in records:
        verdict = catalogue_log.apply_record(
            state,
            ids.Offset(state.offset + 1),
            msgspec.json.decode(record),
        )
        status = verdict.status.value
        counts[status] = counts.get(status, 0) + 1
    return counts


def measure_time(load: list[bytes], changes: list[bytes]) -> dict[str, Any]:
    """Returns durations, the snapshot size and the number of verdicts."""
    state = catalogue_state.State()
    started = time.perf_counter()
    evaluate(state, load)
    loaded = time.perf_counter()
    counts = evaluate(state, changes)
    ended = time.perf_counter()
    snapshot = msgspec.json.encode(catalogue_snapshot.dump_snapshot(state))
    dumped = time.perf_counter()
    catalogue_snapshot.parse_snapshot(msgspec.json.decode(snapshot))
    parsed = time.perf_counter()
    return {
        "verdicts": counts,
        "load_s": round(loaded - started, 3),
        "changes_s": round(ended - loaded, 3),
        "us_per_change": round((ended - loaded) / CHANGES * 1e6, 1),
        "us_per_loaded_entry": round((loaded - started) / ENTRIES * 1e6, 1),
        "snapshot_mb": round(len(snapshot) / MB, 2),
        "snapshot_dump_s": round(dumped - ended, 3),
        "snapshot_parse_s": round(parsed - dumped, 3),
    }


def measure_memory(load: list[bytes], changes: list[bytes]) -> dict[str, Any]:
    """Returns the memory of the state and the peak memory."""
    gc.collect()
    tracemalloc.start()
    state = catalogue_state.State()
    evaluate(state, load)
    gc.collect()
    loaded, _ = tracemalloc.get_traced_memory()
    evaluate(state, changes)
    gc.collect()
    ended, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "state_mb": round(ended / MB, 2),
        "peak_mb": round(peak / MB, 2),
        "bytes_per_entry": round(loaded / ENTRIES),
        "bytes_per_change": round((ended - loaded) / CHANGES),
        "kept_verdicts": len(state.verdicts),
    }


def main() -> None:
    """Runs the benchmark and prints one line of JSON."""
    load = list(generate_load())
    changes = list(generate_changes(len(load) + 1))
    timed = measure_time(load, changes)
    sized = measure_memory(load, changes)
    report = {
        "entries": ENTRIES,
        "changes": CHANGES,
        **timed,
        **sized,
        "aims": {"changes_s": AIM_SECONDS, "peak_mb": AIM_MB},
        "is_met": timed["changes_s"] < AIM_SECONDS
        and sized["peak_mb"] < AIM_MB,
    }
    print(json.dumps(report))


if __name__ == "__main__":
    main()
