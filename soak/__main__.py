"""Runs the soak test for a range of seeds: `python -m soak`.

Seeds run one after another. Each prints one line of JSON: `seed`, the
violations found (`broken`), the number of requests by result (`ends`) and the
number of disturbances by kind (`faults`). The same seed doesn't repeat a run
exactly, because the random choices also depend on the timing of the processes.
"""

import asyncio
import json
import logging
import pathlib
import sys
import tempfile
import time

from absl import app
from absl import flags

from soak import run as run_lib

_SEED = flags.DEFINE_integer(
    "seed", None, "first seed; the current Unix time if not given"
)
_SEEDS = flags.DEFINE_integer("seeds", 1, "number of seeds to run")
_LENGTH_S = flags.DEFINE_float(
    "length_s", 20.0, "seconds during which faults are injected"
)
_ROUTERS = flags.DEFINE_integer("routers", 3, "number of router processes")
_TARGETS = flags.DEFINE_integer(
    "targets", 3, "number of target processes at the start"
)
_KEEP = flags.DEFINE_string(
    "keep",
    None,
    "directory in which to keep the logs of all runs; if not given, they are"
    " deleted",
)


def main(argv: list[str]) -> None:
    """Runs the seeds; exits with 1 if any run found a violation, else 0."""
    del argv
    logging.getLogger("httpx").setLevel(logging.WARNING)
    first = _SEED.value if _SEED.value is not None else int(time.time())
    failed = False
    for seed in range(first, first + _SEEDS.value):
        settings = run_lib.Settings(
            seed, _LENGTH_S.value, _ROUTERS.value, _TARGETS.value
        )
        with tempfile.TemporaryDirectory(prefix="soak-") as made:
            folder = pathlib.Path(made)
            if _KEEP.value:
                folder = pathlib.Path(_KEEP.value) / str(seed)
                folder.mkdir(parents=True)
            result = asyncio.run(run_lib.run_seed(settings, folder))
        line = {
            "seed": seed,
            "broken": result.violations,
            "ends": result.end_counts,
            "faults": result.disturbance_counts,
        }
        print(json.dumps(line), flush=True)
        failed = failed or bool(result.violations)
    sys.exit(failed)


if __name__ == "__main__":
    app.run(main)
