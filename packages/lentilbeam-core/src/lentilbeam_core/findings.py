"""Findings: what is wrong with a document, and where."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One fault of a JSON document.

    Attributes:
        pointer: place of the fault, a JSON pointer (RFC 6901).
        message: what is wrong, for people.
    """

    pointer: str
    message: str


def join_pointer(base: str, *parts: str | int) -> str:
    """Returns the pointer of a member below `base`."""
    escaped = [
        str(part).replace("~", "~0").replace("/", "~1") for part in parts
    ]
    return "/".join([base, *escaped])
