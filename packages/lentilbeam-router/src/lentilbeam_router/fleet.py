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
        rows: the platform's instance list as last read, by instance.
        catalogue: the catalogue in force.
        catalogue_offset: log offset of the catalogue in force; 0 if none.
        was_listed: whether the instance list has been read at least once.
        is_closed: whether this router refuses new requests because it stops.
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
        self.rows: dict[ids.InstanceId, instance_list.ListedRow] = {}
        self.catalogue = catalogue_lib.EMPTY
        self.catalogue_offset = ids.Offset(0)
        self.was_listed = False
        self.is_closed = False

    @property
    def is_ready(self) -> bool:
        """Whether the catalogue and the instance list have been read."""
        return self.catalogue_offset > 0 and self.was_listed

    def state(self, name: str) -> membership_lib.PeerState:
        """Returns the state of an instance as seen by this router."""
        now = self.node.clock.monotonic()
        membership = self.node.node.membership
        return membership.state(ids.InstanceId(name), now)

    def peers(self) -> list[instance_list.ListedRow]:
        """Returns all listed instances except this one."""
        me = self.settings.instance
        return [row for row in self.rows.values() if row.name != me]

    def list_catalogue_peers(self) -> list[catalogue_reader.Peer]:
        """Returns the peers with the catalogue offset that each reported."""
        known = self.node.node.membership.peers
        peers = []
        for row in self.peers():
            peer = known.get(ids.InstanceId(row.name))
            offset = peer.catalogue_offset if peer else None
            peers.append(catalogue_reader.Peer(row.url, offset))
        return peers

    def change_catalogue(
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

    def read_rows(self, rows: list[instance_list.ListedRow]) -> None:
        """Replaces the known instances by the platform's list."""
        self.rows = {ids.InstanceId(row.name): row for row in rows}
        self.was_listed = True
        for name, row in self.rows.items():
            address = addresses.Address(row.peer_host, row.peer_port)
            self.node.addresses[name] = address
        instances = tuple(row.build_instance() for row in rows)
        self.node.post(events.InstanceListRead(instances))

    async def follow_list(self, http: httpx.AsyncClient) -> None:
        """Reads the platform's list at intervals until cancelled."""
        platform = self.settings.platform
        is_up = True
        while True:
            result = await instance_list.read_instances(
                platform.instance_list_url, http
            )
            match result:
                case expression.Result(tag="ok", ok=rows):
                    self.read_rows(rows)
                case expression.Result(tag="error", error=error):
                    self.node.metrics.count("instance_list.errors")
                    if is_up:
                        self.log.warning(
                            "instance list down", detail=error.detail
                        )
            if result.is_ok() and not is_up:
                self.log.info("instance list up again")
            is_up = result.is_ok()
            await asyncio.sleep(platform.list_interval_s)
