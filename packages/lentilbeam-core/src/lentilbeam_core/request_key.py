"""Idempotency keys: UUIDv7 (RFC 9562) scoped by workspace, and their age.

The time in a key bounds when its first claim can have been appended. A key
is only claimed while it is younger than the claim window, which is well below
the time for which the log keeps records, so that no claim of a key that may
still be claimed has expired.
"""

import dataclasses
import enum
import uuid

from lentilbeam_core import ids

UUID_VERSION = 7
TIMESTAMP_SHIFT_BITS = 80
MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class RequestKey:
    """An idempotency key within its workspace."""

    workspace: ids.WorkspaceId
    request_id: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class KeyWindow:
    """For how long keys can be claimed, in seconds.

    Attributes:
        claim_window_s: older keys are refused.
        future_bound_s: keys further ahead of the router's clock are refused.
        log_retention_s: for how long the log keeps records.
    """

    claim_window_s: float = 600.0
    future_bound_s: float = 30.0
    log_retention_s: float = 3600.0

    def __post_init__(self):
        span_s = self.claim_window_s + self.future_bound_s
        if span_s * 2 > self.log_retention_s:
            raise ValueError(
                "claim window and future bound exceed half the log's retention"
            )

    @property
    def key_retention_ms(self) -> int:
        """Age at which a key is forgotten, in milliseconds.

        Later than needed to win claims, so that late retries learn more.
        """
        return round(self.log_retention_s * MS_PER_S)


def build_window(log_retention_s: float) -> KeyWindow:
    """Returns the widest window that suits a log's retention, in seconds."""
    widest = KeyWindow()
    return KeyWindow(
        claim_window_s=min(widest.claim_window_s, log_retention_s / 4),
        future_bound_s=min(widest.future_bound_s, log_retention_s / 20),
        log_retention_s=log_retention_s,
    )


class KeyFault(enum.Enum):
    """What is wrong with a key; the value is a message for its caller."""

    NOT_A_UUID = "not a UUID"
    NOT_VERSION_7 = "not a UUID of version 7"
    NOT_CANONICAL = "not in canonical lower-case form"
    TOO_OLD = "older than the claim window"
    TOO_FAR_IN_FUTURE = "further in the future than clocks may differ"


def find_format_faults(text: str) -> list[KeyFault]:
    """Returns what is wrong with the form of a key."""
    try:
        key = uuid.UUID(text)
    except ValueError:
        return [KeyFault.NOT_A_UUID]
    faults = []
    if key.version != UUID_VERSION:
        faults.append(KeyFault.NOT_VERSION_7)
    if str(key) != text:
        faults.append(KeyFault.NOT_CANONICAL)
    return faults


def read_timestamp_ms(request_id: ids.RequestId) -> int:
    """Returns the milliseconds since 1970 in a well-formed key."""
    return int(request_id[:8] + request_id[9:13], base=16)


def find_age_fault(
    request_id: ids.RequestId, window: KeyWindow, wall_ms: int
) -> KeyFault | None:
    """Returns what is wrong with a well-formed key's age, if anything.

    Args:
        request_id: the key.
        window: which ages can be claimed.
        wall_ms: the router's wall clock, in milliseconds since 1970.
    """
    age_ms = wall_ms - read_timestamp_ms(request_id)
    if age_ms > window.claim_window_s * MS_PER_S:
        return KeyFault.TOO_OLD
    if -age_ms > window.future_bound_s * MS_PER_S:
        return KeyFault.TOO_FAR_IN_FUTURE
    return None


def build_request_id(timestamp_ms: int, random_bits: int) -> ids.RequestId:
    """Returns the UUIDv7 of a time and of 74 random bits."""
    high = (random_bits >> 62) & 0xFFF
    low = random_bits & ((1 << 62) - 1)
    value = (timestamp_ms << TIMESTAMP_SHIFT_BITS) | (UUID_VERSION << 76)
    value |= (high << 64) | (0b10 << 62) | low
    return ids.RequestId(str(uuid.UUID(int=value)))
