"""Encodes and reads UUIDv7 identifiers (RFC 9562) in canonical text form."""

import re

PATTERN = (
    r"^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}\Z"
)
RANDOM_BITS = 74

_VERSION = 0x7 << 76
_VARIANT = 0x2 << 62
_LOW_BITS = 62


def encode(unix_ms: int, random_bits: int) -> str:
    """Returns the identifier for a time and random bits.

    Args:
        unix_ms: milliseconds since 1970.
        random_bits: integer of `RANDOM_BITS` random bits.
    """
    high = random_bits >> _LOW_BITS
    low = random_bits & ((1 << _LOW_BITS) - 1)
    value = unix_ms << 80 | _VERSION | high << 64 | _VARIANT | low
    text = f"{value:032x}"
    return "-".join([text[:8], text[8:12], text[12:16], text[16:20], text[20:]])


def is_valid(text: str) -> bool:
    """Returns whether `text` is a UUIDv7 in canonical text form."""
    return re.match(PATTERN, text) is not None


def unix_ms(text: str) -> int:
    """Returns the time in a valid identifier, in milliseconds since 1970."""
    return int(text[:8] + text[9:13], 16)
