"""Runs seeds one after another; prints a JSON line for each."""

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

_SEED = flags.DEFINE_integer("seed", None, "first seed; by the clock if none")
_SEEDS = flags.DEFINE_integer("seeds", 1, "number of seeds")
_LENGTH_S = flags.DEFINE_float("length_s", 20.0, "seconds of faults")
_ROUTERS = flags.DEFINE_integer("routers", 3, "router processes")
_TARGETS = flags.DEFINE_integer("targets", 3, "target processes at first")
_KEEP = flags.DEFINE_string("keep", None, "folder for the logs of failed runs")


def main(argv: list[str]) -> None:
    """Plays the seeds that the flags name; exits with 1 if any failed."""
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
            result = asyncio.run(run_lib.play(settings, folder))
        line = {
            "seed": seed,
            "broken": result.broken,
            "ends": result.ends,
            "faults": result.faults,
        }
        print(json.dumps(line), flush=True)
        failed = failed or bool(result.broken)
    sys.exit(failed)


if __name__ == "__main__":
    app.run(main)
