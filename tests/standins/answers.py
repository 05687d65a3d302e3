"""Answers of the stand-ins, computed from the request alone.

Test clients compute the expected answer with the same functions and compare
it with the received answer byte for byte.
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


def generate_tokens(request_id: str, max_tokens: int) -> list[str]:
    """Returns `max_tokens` tokens that depend only on the request id.

    Some tokens contain multi-byte UTF-8 characters, so that byte offsets and
    character offsets differ.
    """
    seed = hashlib.sha256(request_id.encode()).digest()
    count = len(WORDS)
    return [
        WORDS[(seed[i % len(seed)] + i // len(seed)) % count] + " "
        for i in range(max_tokens)
    ]


def generate_text(request_id: str, max_tokens: int) -> str:
    """Returns the complete answer of the model engine."""
    return "".join(generate_tokens(request_id, max_tokens))


def generate_output(
    call: str, workspace: str, request_id: str, arguments: object
) -> str:
    """Returns the complete answer of the bookings service.

    Args:
        call: name of the called operation.
        workspace: workspace that the request belongs to.
        request_id: id of the request.
        arguments: arguments of the call; must be JSON-serialisable.
    """
    body = json.dumps(arguments, sort_keys=True)
    digest = hashlib.sha256(body.encode()).hexdigest()
    return f"{call} of {workspace} {request_id} réservé {digest}"


def compute_digest(text: str) -> str:
    """Returns the hexadecimal SHA-256 digest of the UTF-8 encoded text."""
    return hashlib.sha256(text.encode()).hexdigest()
