"""Tests of the format and age that an idempotency key must have."""

import uuid

import pytest

from lentilbeam_core import request_key

NOW_MS = 1_800_000_000_000
WINDOW = request_key.KeyWindow()
Fault = request_key.KeyFault


@pytest.mark.parametrize(
    ("age_s", "fault"),
    [
        (0, None),
        (600, None),
        (601, Fault.TOO_OLD),
        (-30, None),
        (-31, Fault.TOO_FAR_IN_FUTURE),
    ],
)
def test_keys_outside_the_time_window_are_refused(age_s, fault):
    key = request_key.build_request_id(NOW_MS - age_s * 1000, 7)
    assert request_key.find_format_faults(key) == []
    assert request_key.find_age_fault(key, WINDOW, NOW_MS) is fault


def test_all_format_faults_are_found():
    upper_case_version_0 = str(uuid.UUID(int=0xABC << 64)).upper()
    assert request_key.find_format_faults(upper_case_version_0) == [
        Fault.NOT_VERSION_7,
        Fault.NOT_CANONICAL,
    ]
    assert request_key.find_format_faults("x") == [Fault.NOT_A_UUID]


def test_claim_window_is_limited_by_log_retention():
    assert request_key.build_window(60.0).claim_window_s == 15.0
    assert request_key.build_window(3600.0) == WINDOW
    with pytest.raises(ValueError, match="retention"):
        request_key.KeyWindow(claim_window_s=1800, log_retention_s=3600)
