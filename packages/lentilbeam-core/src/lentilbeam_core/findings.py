"""Findings: what is wrong with a document, and where."""

import dataclasses
from typing import Any

import jsonschema
from jsonschema import exceptions as schema_exceptions

MAX_MESSAGE_LENGTH = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One fault of a JSON document.

    Attributes:
        pointer: place of the fault, a JSON pointer (RFC 6901).
        message: what is wrong, for people.
    """

    pointer: str
    message: str

    def __str__(self) -> str:
        return f"{self.pointer or '/'}: {self.message}"


def join_pointer(base: str, *parts: str | int) -> str:
    """Returns the pointer of a member below `base`."""
    escaped = [
        str(part).replace("~", "~0").replace("/", "~1") for part in parts
    ]
    return "/".join([base, *escaped])


def collect_findings(
    validator: jsonschema.Draft202012Validator, value: Any, pointer: str = ""
) -> list[Finding]:
    """Returns all places where `value` breaks a JSON schema, in order.

    Args:
        validator: of the schema.
        value: JSON data.
        pointer: place of `value` in its document.
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
