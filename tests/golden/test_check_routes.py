"""`lentilbeam check --routes`: findings and differences of configurations."""

import copy
import io
import json

import hypothesis
from hypothesis import strategies
import pytest

from lentilbeam_cli import environment
from lentilbeam_cli import exit_status
from lentilbeam_cli import program
from lentilbeam_core.forwarding import configuration_check
from lentilbeam_platform import configuration_file
from lentilbeam_platform import records
from tests.golden import golden

ROUTE = {
    "name": "chat",
    "host": "studio.example",
    "path_prefix": "/chat/",
    "kind": "streaming",
    "timeout_ms": 15000,
    "goal_ms": 600,
    "gap_goal_ms": 400,
    "attempts": 2,
    "service": "engines",
    "resumable": True,
}
CLEAN = {
    "version": 7,
    "routes": [
        ROUTE,
        {
            "name": "book",
            "host": "studio.example",
            "path_prefix": "/book/",
            "kind": "non_idempotent",
            "timeout_ms": 2500,
            "goal_ms": 145,
            "service": "desk",
        },
    ],
    "services": [
        {
            "name": "engines",
            "max_conns": 360,
            "engine": {"slots": 64, "kv_tokens": 800000},
        },
        {"name": "desk", "max_conns": 100},
    ],
    "limits": {"max_body_bytes": 4194304, "tokens_per_s": 250000},
    "tenants": [
        {"name": "ashby", "api_keys": ["k1", "k2"]},
        {"name": "corran", "api_keys": ["k3"]},
    ],
}


def change_route(**changes):
    """Returns the clean configuration with changes of its first route."""
    changed = copy.deepcopy(CLEAN)
    changed["routes"][0].update(changes)
    return changed


def change(**changes):
    """Returns the clean configuration with other members."""
    return {**copy.deepcopy(CLEAN), **changes}


CASES = {
    "clean": CLEAN,
    "not-decodable": change_route(kind="stream"),
    "no-pool": change_route(service=None),
    "unknown-pool": change_route(service="gone"),
    "no-slash": change_route(path_prefix="/chat"),
    "host-with-port": change_route(host="studio.example:80"),
    "same-prefix": change_route(path_prefix="/book/"),
    "same-name": change_route(name="book"),
    "no-weight": change_route(
        service=None,
        split=[
            {"service": "engines", "weight": 0},
            {"service": "desk", "weight": 0},
        ],
    ),
    "short-time-out": change_route(timeout_ms=500, gap_goal_ms=700),
    "short-goal": change_route(goal_ms=4),
    "no-attempts": change_route(attempts=0),
    "plain-resumable": change_route(kind="idempotent"),
    "few-connections": change(
        services=[
            {
                "name": "engines",
                "max_conns": 10,
                "engine": {"slots": 64, "kv_tokens": 0},
            },
            {"name": "desk"},
            {"name": "unused"},
        ]
    ),
    "no-cold-rate": change(
        services=[
            {**CLEAN["services"][0], "cold_start_s": 8, "cold_per_s": 0},
            CLEAN["services"][1],
        ]
    ),
    "no-body": change(limits={"max_body_bytes": 0, "tokens_per_s": -1}),
    "keys": change(
        tenants=[
            {"name": "ashby", "api_keys": ["k1", ""]},
            {"name": "corran", "api_keys": ["k1"]},
            {"name": "corran", "api_keys": []},
        ]
    ),
}


def run(tmp_path, config, *arguments):
    """Runs the command on a configuration; returns its status and output."""
    path = tmp_path / "next.json"
    path.write_text(json.dumps(config))
    env = environment.Environment(stdout=io.StringIO(), stderr=io.StringIO())
    args = ["lentilbeam", "check", "--routes", str(path), *arguments]
    status = program.run(args, env)
    return status, env.stdout.getvalue(), env.stderr.getvalue()


# Guards against mistakes that routers accept without a word.
@pytest.mark.parametrize("name", CASES)
def test_each_mistake_is_found(tmp_path, name):
    status, out, _ = run(tmp_path, CASES[name])
    expected = exit_status.ExitStatus.FAILED
    if name == "clean":
        expected = exit_status.ExitStatus.OK
    assert status is expected
    golden.compare(f"check_routes/{name}.txt", out)


# Guards against a change whose effect on traffic is seen only afterwards.
def test_differences_from_the_version_in_force(tmp_path):
    in_force = tmp_path / "in_force.json"
    in_force.write_text(json.dumps(CLEAN))
    log = tmp_path / "router.log"
    log.write_text(
        "".join(
            json.dumps({"at": "t", "event": "sent", "route": route}) + "\n"
            for route in ["chat", "chat", "chat", "book"]
        )
    )
    config = change_route(
        service=None,
        timeout_ms=20000,
        split=[
            {"service": "engines", "weight": 75},
            {"service": "desk", "weight": 25},
        ],
    )
    config.update(
        version=8,
        tenants=[
            {"name": "ashby", "api_keys": ["k1", "k9"]},
            {"name": "dale", "api_keys": ["k4"]},
        ],
        limits={"max_body_bytes": 4194304, "tokens_per_s": 260000},
    )
    del config["routes"][1]
    against = (f"--against={in_force}", f"--requests_log={log}")
    _, text, _ = run(tmp_path, config, *against)
    golden.compare("check_routes/differences.txt", text)
    _, dumped, _ = run(tmp_path, config, *against, "--format=json")
    golden.compare("check_routes/differences.json", dumped)


# Guards against a version that routers ignore without the operator's notice.
def test_a_version_that_is_in_force_already_is_an_error(tmp_path):
    in_force = tmp_path / "in_force.json"
    in_force.write_text(json.dumps(CLEAN))
    status, out, _ = run(tmp_path, CLEAN, f"--against={in_force}")
    assert status is exit_status.ExitStatus.FAILED
    assert out.startswith("error: version: 7 is not above 7")


# Guards against a script that takes an unreadable file for a clean one.
def test_a_file_that_can_not_be_read_is_a_usage_error(tmp_path):
    env = environment.Environment(stdout=io.StringIO(), stderr=io.StringIO())
    missing = str(tmp_path / "none.json")
    status = program.run(["lentilbeam", "check", "--routes", missing], env)
    assert status is exit_status.ExitStatus.USAGE
    assert missing in env.stderr.getvalue()


_values = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(-5, 5),
    strategies.text(max_size=3),
    strategies.lists(strategies.integers(), max_size=2),
)
_places = strategies.sampled_from(
    [
        ("version",),
        ("routes",),
        ("routes", 0),
        *(("routes", 0, field) for field in ROUTE),
        ("services", 0, "engine"),
        ("services", 0, "engine", "slots"),
        ("limits", "tokens_per_s"),
        ("tenants",),
        ("tenants", 0, "api_keys"),
    ]
)


# Guards against a check that knows other rules than routers do.
@hypothesis.given(_places, _values)
@hypothesis.settings(max_examples=300, deadline=None)
def test_the_check_rejects_what_routers_reject_and_nothing_else(place, value):
    config = copy.deepcopy(CLEAN)
    *parents, last = place
    holder = config
    for parent in parents:
        holder = holder[parent]
    holder[last] = value
    data = json.dumps(config).encode()
    try:
        accepted = records.decode_configuration(data)
    except records.BadRecordError:
        accepted = None
    try:
        candidate = configuration_file.decode(data)
    except ValueError:
        candidate = None
    assert (candidate is None) == (accepted is None)
    if candidate is not None:
        assert candidate.configuration == accepted
        configuration_check.check(candidate)
