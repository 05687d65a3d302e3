"""Rendezvous hashing: each key falls to one of the candidates."""

from collections.abc import Iterable
import hashlib
from typing import TypeVar

T = TypeVar("T", bound=str)


def score(key: str, candidate: str) -> bytes:
    """Returns the rank of `candidate` for `key`; the highest wins."""
    text = f"{key}|{candidate}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def choose(key: str, candidates: Iterable[T]) -> T | None:
    """Returns the winner among `candidates`, or None if there are none."""
    return max(candidates, key=lambda name: score(key, name), default=None)
