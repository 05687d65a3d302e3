"""Rendezvous (highest random weight) hashing of keys to candidates."""

from collections.abc import Iterable
import hashlib
from typing import TypeVar

T = TypeVar("T", bound=str)


def score(key: str, candidate: str) -> bytes:
    """Returns the weight of `candidate` for `key`; the highest one wins."""
    text = f"{key}|{candidate}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def choose(key: str, candidates: Iterable[T]) -> T | None:
    """Returns the candidate with the highest weight for `key`.

    Returns None if there are no candidates.
    """
    return max(candidates, key=lambda name: score(key, name), default=None)
