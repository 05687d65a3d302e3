"""Settings of the daemon: one JSON file, checked whole before use."""

import dataclasses
import json
import pathlib
from typing import Any

import expression
import jsonschema

from lentilbeam_core import findings as findings_lib
from lentilbeam_core import ids
from lentilbeam_router import addresses

VALIDATOR = jsonschema.Draft202012Validator(
    json.loads(
        pathlib.Path(__file__).with_name("settings_schema.json").read_text()
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """Where the platform's services are. Times are in seconds."""

    log_url: str
    instance_list_url: str
    list_interval_s: float = 1.0
    log_retention_s: float = 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of one router.

    Attributes:
        body_bytes: largest request body.
        address_ttl_s: how long callers may keep the list of addresses.
        default_deadline_s: deadline of a request that names none.
        stream_idle_s: a target's stream silent for longer is given up.
        connect_timeout_s: bound on opening a connection to a target.
        kept_answer_s: how long an ended answer can be attached to.
        kept_answer_bytes: memory for kept answers.
        load_interval_s: pause between reads of a target's load.
        drain_limit_s: a planned stop waits at most this long.
    """

    body_bytes: int = 1_048_576
    address_ttl_s: float = 5.0
    default_deadline_s: float = 120.0
    stream_idle_s: float = 5.0
    connect_timeout_s: float = 1.0
    kept_answer_s: float = 120.0
    kept_answer_bytes: int = 8_388_608
    load_interval_s: float = 0.5
    drain_limit_s: float = 300.0


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one router process."""

    instance: ids.InstanceId
    data_centre: ids.DataCentreId
    http: addresses.Address
    peer: addresses.Address
    platform: Platform
    limits: Limits


def parse_settings(
    text: str,
) -> expression.Result[Settings, list[findings_lib.Finding]]:
    """Returns the settings in a JSON text, or all that is wrong with it."""
    try:
        value = json.loads(text)
    except json.JSONDecodeError as error:
        place = f"line {error.lineno} column {error.colno}"
        fault = findings_lib.Finding("", f"not JSON: {error.msg} at {place}")
        return expression.Error([fault])
    found = findings_lib.collect_findings(VALIDATOR, value)
    if found:
        return expression.Error(found)
    return expression.Ok(_build_settings(value))


def _build_settings(value: dict[str, Any]) -> Settings:
    return Settings(
        instance=ids.InstanceId(value["instance"]),
        data_centre=ids.DataCentreId(value["data_centre"]),
        http=addresses.Address(**value["http"]),
        peer=addresses.Address(**value["peer"]),
        platform=Platform(**value["platform"]),
        limits=Limits(**value.get("limits", {})),
    )
