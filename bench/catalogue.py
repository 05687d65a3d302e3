"""Measures time and memory for applying the catalogue log.

`make bench-catalogue` creates 40,000 entries and applies 13,000 changes to
them. The records are decoded from JSON, as a catalogue reader does. Prints one
line of JSON with the figures and their limits.
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
ENTRIES_PER_CHANGE = 100
CONFLICT_FRACTION = 0.05
INVALID_FRACTION = 0.01
SEED = 1
MAX_APPLY_S = 2.0
"""Upper limit of the time to apply all `CHANGES`, in seconds."""

MAX_PEAK_MB = 32.0
BYTES_PER_MB = 1_000_000
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


def generate_initial_changes() -> Iterator[bytes]:
    """Yields changes that create all entries, `ENTRIES_PER_CHANGE` in each."""
    for number, start in enumerate(range(0, ENTRIES, ENTRIES_PER_CHANGE)):
        batch = range(start, min(start + ENTRIES_PER_CHANGE, ENTRIES))
        yield encode_change(number, [make_entry(n) for n in batch], {})


def generate_changes(first: int) -> Iterator[bytes]:
    """Yields changes of one entry each.

    A fraction `INVALID_FRACTION` of them is invalid; another,
    `CONFLICT_FRACTION`, conflicts with the current version of the entry.

    Args:
        first: offset of the first change.
    """
    rng = random.Random(SEED)
    versions = {
        make_entry(n)["name"]: 1 + n // ENTRIES_PER_CHANGE
        for n in range(ENTRIES)
    }
    for number in range(first, first + CHANGES):
        entry = make_entry(rng.randrange(CLASSES, ENTRIES))
        entry["note"] = number
        random_value = rng.random()
        if random_value < INVALID_FRACTION:
            yield encode_change(number, [entry | {"owner": 5}], versions)
        elif random_value < INVALID_FRACTION + CONFLICT_FRACTION:
            yield encode_change(number, [entry], {})
        else:
            yield encode_change(number, [entry], versions)
            versions[entry["name"]] = number


def apply_records(
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


def measure_time(
    initial_changes: list[bytes], changes: list[bytes]
) -> dict[str, Any]:
    """Returns durations, the snapshot size and the number of verdicts."""
    state = catalogue_state.State()
    started = time.perf_counter()
    apply_records(state, initial_changes)
    loaded = time.perf_counter()
    counts = apply_records(state, changes)
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
        "snapshot_mb": round(len(snapshot) / BYTES_PER_MB, 2),
        "snapshot_dump_s": round(dumped - ended, 3),
        "snapshot_parse_s": round(parsed - dumped, 3),
    }


def measure_memory(
    initial_changes: list[bytes], changes: list[bytes]
) -> dict[str, Any]:
    """Returns the memory of the state and the peak memory."""
    gc.collect()
    tracemalloc.start()
    state = catalogue_state.State()
    apply_records(state, initial_changes)
    gc.collect()
    loaded, _ = tracemalloc.get_traced_memory()
    apply_records(state, changes)
    gc.collect()
    ended, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "state_mb": round(ended / BYTES_PER_MB, 2),
        "peak_mb": round(peak / BYTES_PER_MB, 2),
        "bytes_per_entry": round(loaded / ENTRIES),
        "bytes_per_change": round((ended - loaded) / CHANGES),
        "kept_verdicts": len(state.verdicts),
    }


def main() -> None:
    """Runs the benchmark and prints one line of JSON."""
    initial_changes = list(generate_initial_changes())
    changes = list(generate_changes(len(initial_changes) + 1))
    time_figures = measure_time(initial_changes, changes)
    memory_figures = measure_memory(initial_changes, changes)
    report = {
        "entries": ENTRIES,
        "changes": CHANGES,
        **time_figures,
        **memory_figures,
        "aims": {"changes_s": MAX_APPLY_S, "peak_mb": MAX_PEAK_MB},
        "is_met": time_figures["changes_s"] < MAX_APPLY_S
        and memory_figures["peak_mb"] < MAX_PEAK_MB,
    }
    print(json.dumps(report))


if __name__ == "__main__":
    main()
