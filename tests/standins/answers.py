"""Answers of the stand-ins as pure functions of the request.

A load client computes the same answer and compares it byte for byte.
"""

import hashlib
import json

WORDS = [
    "shaft",
    "loft",
    "spin",
    "tide",
    "surf",
    "lesson",
    "gür",
    "vague",
    "carré",
    "海",
    "bord",
    "swing",
    "⛳",
    "face",
    "path",
    "wax",
]


def tokens_of(request_id: str, max_tokens: int) -> list[str]:
    """Returns the answer's tokens; some hold multi-byte characters."""
    seed = hashlib.sha256(request_id.encode()).digest()
    count = len(WORDS)
    return [
        WORDS[(seed[i % len(seed)] + i // len(seed)) % count] + " "
        for i in range(max_tokens)
    ]


def text_of(request_id: str, max_tokens: int) -> str:
    """Returns the whole answer of the model engine."""
    return "".join(tokens_of(request_id, max_tokens))


def output_of(
    call: str, workspace: str, request_id: str, arguments: object
) -> str:
    """Returns the whole answer of the bookings service."""
    body = json.dumps(arguments, sort_keys=True)
    digest = hashlib.sha256(body.encode()).hexdigest()
    return f"{call} of {workspace} {request_id} réservé {digest}"


def digest_of(text: str) -> str:
    """Returns the SHA-256 of the text's UTF-8 bytes in hexadecimal."""
    return hashlib.sha256(text.encode()).hexdigest()
