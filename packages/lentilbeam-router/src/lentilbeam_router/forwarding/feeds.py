"""What the platform tells this process: configuration, targets, routers."""

import dataclasses
from typing import Protocol

from lentilbeam_core import ids
from lentilbeam_core.forwarding import configuration
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
