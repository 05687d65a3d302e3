"""A router's view of the fleet: instances, catalogue and its own state."""

import asyncio

import expression
import httpx
import structlog

from lentilbeam_core import catalogue as catalogue_lib
from lentilbeam_core import events
from lentilbeam_core import ids
from lentilbeam_core import membership as membership_lib
from lentilbeam_router import addresses
from lentilbeam_router import catalogue_reader
from lentilbeam_router import instance_list
from lentilbeam_router import node_task
from lentilbeam_router import settings as settings_lib


class Fleet:
    """The fleet's instances and the catalogue in force.

    Attributes:
        settings: settings of this router.
        node: the task that runs the decision logic.
        log: logger for changes of state.
        listed_instances: the platform's list as last read, by instance.
        catalogue: the catalogue in force.
        catalogue_offset: log offset of the last record that the catalogue in
            force includes; 0 if there is no catalogue yet.
        has_instance_list: whether the list has been read at least once.
        refuses_new_requests: whether this router refuses new requests because
            it is leaving.
    """

    def __init__(
        self,
        settings: settings_lib.Settings,
        node: node_task.NodeTask,
        log: structlog.BoundLogger,
    ):
        self.settings = settings
        self.node = node
        self.log = log
        self.listed_instances: dict[
            ids.InstanceId, instance_list.InstanceEntry
        ] = {}
        self.catalogue = catalogue_lib.EMPTY
        self.catalogue_offset = ids.Offset(0)
        self.has_instance_list = False
        self.refuses_new_requests = False

    @property
    def is_ready(self) -> bool:
        """Whether the catalogue and the instance list have been read."""
        return self.catalogue_offset > 0 and self.has_instance_list

    def state(self, name: str) -> membership_lib.PeerState:
        """Returns the state of an instance as seen by this router."""
        now = self.node.clock.monotonic()
        membership = self.node.node.membership
        return membership.state(ids.InstanceId(name), now)

    def peers(self) -> list[instance_list.InstanceEntry]:
        """Returns all listed instances except this one."""
        own_name = self.settings.instance
        return [
            entry
            for entry in self.listed_instances.values()
            if entry.name != own_name
        ]

    def list_catalogue_peers(self) -> list[catalogue_reader.Peer]:
        """Returns the peers with the catalogue offset that each reported."""
        known_peers = self.node.node.membership.peers
        peers = []
        for entry in self.peers():
            peer = known_peers.get(ids.InstanceId(entry.name))
            offset = peer.catalogue_offset if peer else None
            peers.append(catalogue_reader.Peer(entry.url, offset))
        return peers

    def apply_catalogue(
        self, catalogue: catalogue_lib.Catalogue, offset: ids.Offset
    ) -> None:
        """Puts a catalogue in force if it is newer than the current one.

        Args:
            catalogue: the catalogue.
            offset: log offset of the last record that it includes.
        """
        if offset <= self.catalogue_offset:
            return
        self.catalogue = catalogue
        self.catalogue_offset = offset
        self.node.post(events.CatalogueChanged(catalogue, offset))
        self.node.timeline.record("catalogue.in_force", str(offset))
        self.log.info("catalogue in force", offset=offset)

    def apply_instance_list(
        self, entries: list[instance_list.InstanceEntry]
    ) -> None:
        """Replaces the known instances by the platform's list."""
        self.listed_instances = {
            ids.InstanceId(entry.name): entry for entry in entries
        }
        self.has_instance_list = True
        for name, entry in self.listed_instances.items():
            address = addresses.Address(entry.peer_host, entry.peer_port)
            self.node.addresses[name] = address
        instances = tuple(entry.build_listed_instance() for entry in entries)
        self.node.post(events.InstanceListRead(instances))

    async def follow_instance_list(self, http: httpx.AsyncClient) -> None:
        """Reads the platform's list at intervals until cancelled."""
        platform = self.settings.platform
        is_list_reachable = True
        while True:
            result = await instance_list.read_instances(
                platform.instance_list_url, http
            )
            match result:
                case expression.Result(tag="ok", ok=entries):
                    self.apply_instance_list(entries)
                case expression.Result(tag="error", error=error):
                    self.node.metrics.count("instance_list.errors")
                    if is_list_reachable:
                        self.log.warning(
                            "instance list down", detail=error.detail
                        )
            if result.is_ok() and not is_list_reachable:
                self.log.info("instance list up again")
            is_list_reachable = result.is_ok()
            await asyncio.sleep(platform.list_interval_s)
