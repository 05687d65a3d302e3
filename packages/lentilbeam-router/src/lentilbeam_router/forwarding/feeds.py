"""What the platform tells this process: configuration, targets, routers."""

import asyncio
import dataclasses
from typing import Protocol

from lentilbeam_core import ids
from lentilbeam_core.forwarding import configuration
from lentilbeam_core.forwarding import feed_lag
from lentilbeam_core.forwarding import target_list
from lentilbeam_router import addresses


@dataclasses.dataclass(frozen=True, slots=True)
class RouterEntry:
    """A router as it listed itself.

    Attributes:
        name: the instance.
        data_centre: where it is.
        front: where callers connect.
        peer: where it receives datagrams of its peers.
    """

    name: ids.InstanceId
    data_centre: ids.DataCentreId
    front: addresses.Address
    peer: addresses.Address


class FeedWatch:
    """Wakes the reader of a feed that has fallen behind its peers.

    Attributes:
        lag: how far this router and its peers have read.
        must_reread: set when the feed is to be read anew.
    """

    def __init__(self, patience_s: float):
        self.lag = feed_lag.FeedLag(patience_s)
        self.must_reread = asyncio.Event()

    def hear(self, position: int, now: float) -> bool:
        """Takes in a peer's position; tells whether the reader was woken."""
        self.lag.note_peer(position, now)
        if not self.lag.take_alarm(now):
            return False
        self.must_reread.set()
        return True


class Beliefs(Protocol):
    """Takes in what the platform's store says."""

    def offer_configuration(self, found: configuration.Configuration) -> None:
        """Takes in a configuration, whatever its version."""

    def put_target(self, entry: target_list.Entry) -> None:
        """Takes in a target's entry."""

    def remove_target(self, name: ids.TargetId) -> None:
        """Takes in that a target's entry was removed."""

    def replace_targets(self, entries: list[target_list.Entry]) -> None:
        """Takes in all targets that are listed now."""

    def put_router(self, entry: RouterEntry) -> None:
        """Takes in a router's entry."""

    def store_lost(self, what: str, detail: str) -> None:
        """Notes that a part of the store does not answer."""

    def store_returned(self, what: str, has_targets: bool) -> None:
        """Notes that it answers again; entries of targets may have lapsed."""
