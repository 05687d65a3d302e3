"""Runs load patterns under policies; prints one JSON line per run."""

import json
import sys
import time

from absl import app
from absl import flags

from bench.overload import fleet as fleet_lib
from bench.overload import patterns
from bench.overload import policies
from bench.overload import report

_PATTERNS = flags.DEFINE_list(
    "patterns", [], "Names of load patterns; all by default."
)
_POLICIES = flags.DEFINE_list(
    "policies", [], "Names of policies; all by default."
)
_SEED = flags.DEFINE_integer(
    "seed", 1, "Seed of the load and of all random choices."
)
_ROUTERS = flags.DEFINE_integer("routers", 7, "Number of routers.")
_SLOTS = flags.DEFINE_integer("slots", 64, "Slots of each engine.")
_LOAD = flags.DEFINE_float(
    "load", 1.0, "Load relative to the users' initial deployments."
)
_ENGINES = flags.DEFINE_integer("engines", 6, "Number of engines in the pool.")


def _select(items, names: list[str]) -> list:
    return [item for item in items if not names or item.name in names]


def main(argv: list[str]) -> None:
    """Runs each selected pattern under each selected policy."""
    del argv
    size = fleet_lib.FleetSize(
        _ROUTERS.value, _ENGINES.value, _SLOTS.value, _LOAD.value
    )
    for pattern in _select(patterns.PATTERNS, _PATTERNS.value):
        for policy in _select(policies.POLICIES, _POLICIES.value):
            started = time.monotonic()
            fleet = fleet_lib.Fleet(pattern, policy, size, _SEED.value)
            outcomes = fleet.run(_SEED.value)
            line = {
                "pattern": pattern.name,
                "policy": policy.name,
                "seed": _SEED.value,
                **report.summarize(fleet, outcomes),
                "run_s": round(time.monotonic() - started, 1),
            }
            print(json.dumps(line))
            sys.stdout.flush()


if __name__ == "__main__":
    app.run(main)
