"""Findings: what is wrong with a document, and where."""

import dataclasses
from typing import Any

import jsonschema


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
    validator: jsonschema.Draft202012Validator, value: Any
) -> list[Finding]:
    """Returns all places where `value` breaks a JSON schema, in order."""
    found = [
        Finding(join_pointer("", *error.absolute_path), error.message)
        for error in validator.iter_errors(value)
    ]
    return sorted(found, key=lambda f: (f.pointer, f.message))
