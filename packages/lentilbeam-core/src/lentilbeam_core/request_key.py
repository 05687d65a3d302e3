"""Idempotency keys: UUIDv7 (RFC 9562) scoped by workspace, and their age.

A key can't have been claimed long before the time that it contains, since
keys too far in the future are refused. It can be claimed only while it is
younger than the claim window, and the window is much shorter than the log's
retention. So the log still holds all claims of any key that can be claimed.
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
    """An idempotency key within its workspace.

    Attributes:
        workspace: the workspace that the key is scoped to.
        request_id: a UUIDv7 in canonical form.
    """

    workspace: ids.WorkspaceId
    request_id: ids.RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class KeyWindow:
    """Ages at which keys can be claimed; times in seconds.

    Attributes:
        claim_window_s: maximum age of a key.
        future_bound_s: maximum time by which a key may be ahead of the
            router's wall clock.
        log_retention_s: how long the log keeps records.

    Raises:
        ValueError: the window and the bound exceed half the retention.
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
        """Age at which a key is evicted from the index, in milliseconds.

        Longer than the claim window, so that a late retry still learns how
        the request ended.
        """
        return round(self.log_retention_s * MS_PER_S)


def build_window(log_retention_s: float) -> KeyWindow:
    """Returns the default window, narrowed for a log with a short retention.

    The claim window is at most a quarter of the retention, the future bound
    at most a twentieth.

    Args:
        log_retention_s: how long the log keeps records, in seconds.
    """
    widest = KeyWindow()
    return KeyWindow(
        claim_window_s=min(widest.claim_window_s, log_retention_s / 4),
        future_bound_s=min(widest.future_bound_s, log_retention_s / 20),
        log_retention_s=log_retention_s,
    )


class KeyFault(enum.Enum):
    """What is wrong with a key; the value is a message for the caller."""

    NOT_A_UUID = "not a UUID"
    NOT_VERSION_7 = "not a UUID of version 7"
    NOT_CANONICAL = "not in canonical lower-case form"
    TOO_OLD = "older than the claim window"
    TOO_FAR_IN_FUTURE = "further in the future than clocks may differ"


def find_format_faults(text: str) -> list[KeyFault]:
    """Returns what is wrong with the format of a key; empty if nothing."""
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
    """Returns a well-formed key's time, in milliseconds since 1970."""
    return int(request_id[:8] + request_id[9:13], base=16)


def find_age_fault(
    request_id: ids.RequestId, window: KeyWindow, wall_ms: int
) -> KeyFault | None:
    """Returns why a well-formed key's age forbids a claim, or None.

    Args:
        request_id: the key.
        window: the ages that permit a claim.
        wall_ms: the router's wall clock, in milliseconds since 1970.
    """
    age_ms = wall_ms - read_timestamp_ms(request_id)
    if age_ms > window.claim_window_s * MS_PER_S:
        return KeyFault.TOO_OLD
    if -age_ms > window.future_bound_s * MS_PER_S:
        return KeyFault.TOO_FAR_IN_FUTURE
    return None


def build_request_id(timestamp_ms: int, random_bits: int) -> ids.RequestId:
    """Returns a UUIDv7.

    Args:
        timestamp_ms: milliseconds since 1970.
        random_bits: a random integer of 74 bits.
    """
    high = (random_bits >> 62) & 0xFFF
    low = random_bits & ((1 << 62) - 1)
    value = (timestamp_ms << TIMESTAMP_SHIFT_BITS) | (UUID_VERSION << 76)
    value |= (high << 64) | (0b10 << 62) | low
    return ids.RequestId(str(uuid.UUID(int=value)))
