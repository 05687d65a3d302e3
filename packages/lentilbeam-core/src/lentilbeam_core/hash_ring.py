"""Consistent hashing: the candidates that come next after a key on a ring.

Finding them takes logarithmic time, while rendezvous hashing scores all
candidates, which takes milliseconds for thousands.
"""

import bisect
from collections.abc import Callable
from collections.abc import Iterable
from typing import Generic
from typing import TypeVar

from lentilbeam_core import rendezvous

T = TypeVar("T", bound=str)


class HashRing(Generic[T]):
    """Candidates in the order of the hashes of their names.

    Attributes:
        points: hashes of the names, in ascending order: 64 bits.
        names: the names, in the same order.
    """

    def __init__(self, names: Iterable[T]):
        pairs = sorted(
            (int.from_bytes(rendezvous.score("", name)), name) for name in names
        )
        self.points = [point for point, _ in pairs]
        self.names = [name for _, name in pairs]

    def find(
        self, key: int, count: int, is_usable: Callable[[T], bool]
    ) -> list[T]:
        """Returns the first usable candidates after a key.

        Args:
            key: an evenly distributed key of 64 bits.
            count: how many are wanted.
            is_usable: whether a candidate may be returned.

        Returns:
            At most `count` candidates, in their order on the ring.
        """
        start = bisect.bisect_left(self.points, key)
        found = []
        for offset in range(len(self.names)):
            name = self.names[(start + offset) % len(self.names)]
            if is_usable(name):
                found.append(name)
                if len(found) == count:
                    break
        return found
