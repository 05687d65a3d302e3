"""Settings are checked whole; bad ones give findings, never a crash."""

import copy
import json

import expression
import hypothesis
from hypothesis import strategies

from lentilbeam_router import settings as settings_lib
from tests.golden import session

JSON = strategies.recursive(
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
PLACES = [("instance",), ("http",), ("http", "port"), ("platform", "log_url")]
PLACES += [("limits",), ("limits", "body_bytes"), ("more",)]
FUZZ = hypothesis.settings(derandomize=True, deadline=None)


def parse(text: str) -> settings_lib.Settings | list:
    """Returns the settings, or what is wrong with them."""
    match settings_lib.parse_settings(text):
        case expression.Result(tag="ok", ok=settings):
            return settings
        case expression.Result(tag="error", error=found):
            return found


@FUZZ
@hypothesis.given(strategies.sampled_from(PLACES), JSON)
def test_any_value_anywhere_gives_settings_or_findings(place, value):
    changed = copy.deepcopy(session.SETTINGS) | {"limits": {}}
    inner = changed
    for key in place[:-1]:
        inner = inner[key]
    inner[place[-1]] = value
    parsed = parse(json.dumps(changed))
    if isinstance(parsed, list):
        pointer = "/" + place[0]
        assert parsed
        assert all(
            f.pointer.startswith(pointer) or not f.pointer for f in parsed
        )
        assert all(f.message for f in parsed)


@FUZZ
@hypothesis.given(strategies.text(max_size=40))
def test_any_text_gives_findings(text):
    assert isinstance(parse(text), list)


def test_all_findings_come_at_once():
    broken = copy.deepcopy(session.SETTINGS)
    del broken["data_centre"]
    broken["http"]["port"] = 0
    broken["platform"]["log_url"] = "nowhere"
    pointers = [finding.pointer for finding in parse(json.dumps(broken))]
    assert pointers == ["", "/http/port", "/platform/log_url"]
