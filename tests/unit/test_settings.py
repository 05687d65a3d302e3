"""Tests of checking a router's settings.

All findings are reported together; no input may raise an exception.
"""

import copy
import json

import expression
import hypothesis
from hypothesis import strategies

from lentilbeam_router import settings as settings_lib
from tests.golden import session

JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=8), inner)
    ),
    max_leaves=8,
)
PATHS = [("instance",), ("http",), ("http", "port"), ("platform", "log_url")]
PATHS += [("limits",), ("limits", "body_bytes"), ("more",)]
PROPERTY_SETTINGS = hypothesis.settings(derandomize=True, deadline=None)


def parse(text: str) -> settings_lib.Settings | list:
    """Returns the settings, or the findings if they are invalid."""
    match settings_lib.parse_settings(text):
        case expression.Result(tag="ok", ok=settings):
            return settings
        case expression.Result(tag="error", error=findings):
            return findings


@PROPERTY_SETTINGS
@hypothesis.given(strategies.sampled_from(PATHS), JSON_VALUES)
def test_any_value_at_any_path_gives_settings_or_findings(path, value):
    changed = copy.deepcopy(session.SETTINGS) | {"limits": {}}
    container = changed
    for key in path[:-1]:
        container = container[key]
    container[path[-1]] = value
    parsed = parse(json.dumps(changed))
    if isinstance(parsed, list):
        pointer = "/" + path[0]
        assert parsed
        assert all(
            f.pointer.startswith(pointer) or not f.pointer for f in parsed
        )
        assert all(f.message for f in parsed)


@PROPERTY_SETTINGS
@hypothesis.given(strategies.text(max_size=40))
def test_random_text_gives_findings(text):
    assert isinstance(parse(text), list)


def test_all_findings_are_reported_together():
    invalid = copy.deepcopy(session.SETTINGS)
    del invalid["data_centre"]
    invalid["http"]["port"] = 0
    invalid["platform"]["log_url"] = "nowhere"
    pointers = [finding.pointer for finding in parse(json.dumps(invalid))]
    assert pointers == ["", "/http/port", "/platform/log_url"]
