"""Settings of the daemon, read from one JSON file.

The file is validated against `settings_schema.json` before any value is used.
"""

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
    """Access to the platform's services.

    Attributes:
        log_url: base URL of the append-only log service.
        instance_list_url: base URL of the instance list service.
        list_interval_s: pause between reads of the instance list, in seconds.
        log_retention_s: how long the log keeps records, in seconds.
    """

    log_url: str
    instance_list_url: str
    list_interval_s: float = 1.0
    log_retention_s: float = 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one router. Names end in the unit: `_s` for seconds.

    Attributes:
        body_bytes: maximum size of a request body.
        address_ttl_s: how long callers may cache the list of addresses.
        default_deadline_s: time from the arrival of a request to its deadline
            if the request specifies none.
        stream_idle_s: time without data from a target after which the
            exchange fails.
        connect_timeout_s: timeout for connecting to a target.
        kept_answer_s: how long callers can still attach to an answer after
            it has ended.
        kept_answer_bytes: maximum total size of kept answers.
        load_interval_s: pause between reads of a target's load.
        drain_limit_s: time limit of a graceful shutdown from its announcement
            to the end of all requests, in seconds. Appending claim records
            and closing connections come after it, each with its own limit.
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
    """All settings of one router process.

    Attributes:
        instance: the router's name in the instance list.
        data_centre: the data centre where the router runs.
        http: listening address of the HTTP API.
        peer: listening address for UDP messages from other routers.
        platform: access to the platform's services.
        limits: limits of the router.
    """

    instance: ids.InstanceId
    data_centre: ids.DataCentreId
    http: addresses.Address
    peer: addresses.Address
    platform: Platform
    limits: Limits


def parse_settings(
    text: str,
) -> expression.Result[Settings, list[findings_lib.Finding]]:
    """Parses and validates a JSON text.

    Args:
        text: content of the settings file.

    Returns:
        The settings, or all errors found in the text.
    """
    try:
        value = json.loads(text)
    except json.JSONDecodeError as error:
        place = f"line {error.lineno} column {error.colno}"
        finding = findings_lib.Finding("", f"not JSON: {error.msg} at {place}")
        return expression.Error([finding])
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
