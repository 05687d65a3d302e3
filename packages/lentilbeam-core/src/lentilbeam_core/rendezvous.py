"""Rendezvous hashing: each pool's role falls to one of the candidates."""

from collections.abc import Iterable
import hashlib

from lentilbeam_core import ids


def score(pool: ids.PoolId, instance: ids.InstanceId) -> bytes:
    """Returns the rank of `instance` for `pool`; the highest wins."""
    key = f"{pool}|{instance}".encode()
    return hashlib.blake2b(key, digest_size=8).digest()


def choose(
    pool: ids.PoolId, candidates: Iterable[ids.InstanceId]
) -> ids.InstanceId | None:
    """Returns the winner among `candidates`, or None if there are none."""
    return max(candidates, key=lambda name: score(pool, name), default=None)
