"""Findings: what is wrong with a JSON document, and where."""

import dataclasses
from typing import Any

import jsonschema
from jsonschema import exceptions as schema_exceptions

MAX_MESSAGE_LENGTH = 200
"""Longer messages are truncated to this number of characters."""


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One thing that is wrong with a JSON document.

    Attributes:
        pointer: JSON pointer (RFC 6901) to the value concerned.
        message: human-readable description of what is wrong with it.
    """

    pointer: str
    message: str

    def __str__(self) -> str:
        return f"{self.pointer or '/'}: {self.message}"


def join_pointer(base: str, *parts: str | int) -> str:
    """Returns `base` extended by member names or indices, escaped."""
    escaped = [
        str(part).replace("~", "~0").replace("/", "~1") for part in parts
    ]
    return "/".join([base, *escaped])


def collect_findings(
    validator: jsonschema.Draft202012Validator, value: Any, pointer: str = ""
) -> list[Finding]:
    """Validates `value`; returns all findings, sorted by pointer.

    Args:
        validator: validator of the JSON schema.
        value: JSON data.
        pointer: JSON pointer to `value` in its document.
    """
    errors = validator.iter_errors(value)
    found = [_build_finding(error, pointer) for error in errors]
    return sorted(found, key=lambda f: (f.pointer, f.message))


def _build_finding(
    error: schema_exceptions.ValidationError, pointer: str
) -> Finding:
    deepest = schema_exceptions.best_match([error])
    message = deepest.message
    if len(message) > MAX_MESSAGE_LENGTH:
        message = message[:MAX_MESSAGE_LENGTH] + "…"
    return Finding(join_pointer(pointer, *deepest.absolute_path), message)
