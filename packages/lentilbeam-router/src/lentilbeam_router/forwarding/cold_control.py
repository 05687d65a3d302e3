"""Limits the requests of this router to cold targets."""

from lentilbeam_core import hash_ring
from lentilbeam_core import ids
from lentilbeam_core import rendezvous
from lentilbeam_core.forwarding import cold_pace
from lentilbeam_core.forwarding import configuration
from lentilbeam_core.forwarding import fleet_demand
from lentilbeam_core.forwarding import limit_parts
from lentilbeam_core.forwarding import target_list
from lentilbeam_router.forwarding import decision_log
from lentilbeam_router.forwarding import peers as peers_lib

ENTRY_INTERVAL_S = 1.2
"""Time between two entries of a target, as documented by the platform."""
MAX_KNOWN_SHARERS = 10_000
"""Number of targets for which it is kept whether this router shares them."""


class ColdControl:
    """What all pools share: the margin, and who sends to which cold target.

    Attributes:
        settings: margin of the operators.
        own_name: ID of this router.
        peers: the other routers.
        targets: targets of all pools.
        log: log of decisions.
        pools: pools that have a rate for cold targets.
        has_peers: whether the list of routers was read since the start. Until
            then this router can't know its part and sends nothing.
        ring: all listed routers, this one included.
        known_sharers: results of `is_sharer` by its arguments, since they are
            needed in each pass over a queue.
    """

    def __init__(
        self,
        settings: cold_pace.Settings,
        own_name: ids.InstanceId,
        peers: peers_lib.Peers,
        targets: target_list.TargetList,
        log: decision_log.DecisionLog,
    ):
        self.settings = settings
        self.own_name = own_name
        self.peers = peers
        self.targets = targets
        self.log = log
        self.pools: set[ids.PoolId] = set()
        self.has_peers = False
        self.ring: hash_ring.HashRing[ids.InstanceId] = hash_ring.HashRing(())
        self.known_sharers: dict[tuple[ids.TargetId, int], bool] = {}

    def is_sharer(self, target: ids.TargetId, count: int) -> bool:
        """Whether this router is among the first `count` of a target."""
        if len(self.ring.names) != self.peers.count_routers():
            self.ring = hash_ring.HashRing([*self.peers.listed, self.own_name])
            self.known_sharers.clear()
        if (target, count) not in self.known_sharers:
            if len(self.known_sharers) >= MAX_KNOWN_SHARERS:
                self.known_sharers.clear()
            key = int.from_bytes(rendezvous.score("cold", target))
            found = self.ring.find(key, count, lambda name: True)
            self.known_sharers[target, count] = self.own_name in found
        return self.known_sharers[target, count]

    def note_record(self, entry: target_list.Entry, now: float) -> bool:
        """Applies a new record of a target.

        Returns:
            Whether it has turned cold or warm in a pool where this matters.
        """
        is_changed = self.targets.cold.note_record(
            entry.name, entry.start_ms, entry.cold_left_s, now
        )
        if entry.pool not in self.pools:
            return False
        if is_changed:
            self.log.write_event(
                "target_cold" if entry.cold_left_s > 0 else "target_warm",
                target=entry.name,
                left_s=round(entry.cold_left_s, 3),
                source="entry",
            )
        return is_changed

    def find_turned_cold(
        self, pool: ids.PoolId, now: float
    ) -> dict[ids.TargetId, int]:
        """Returns the targets of a pool that turned cold a moment ago.

        Returns:
            Start of the process (`Entry.start_ms`) by name of the target.
        """
        if pool not in self.pools:
            return {}
        entries = self.targets.entries
        return {
            name: start_ms
            for name, start_ms in self.targets.cold.list_turned_cold(
                now
            ).items()
            if name in entries and entries[name].pool == pool
        }

    def note_broken(
        self, entry: target_list.Entry, is_news: bool, now: float
    ) -> bool:
        """Records that a connection broke; see `ColdTargets.note_broken`."""
        was_warm = self.targets.cold.note_broken(
            entry.name, entry.start_ms, is_news, now
        )
        if was_warm:
            self.log.write_event(
                "target_cold", target=entry.name, left_s=None, source="broken"
            )
        return was_warm


class PoolColdControl:
    """Paces the requests to the cold targets of one pool.

    Attributes:
        control: what all pools share; None if no router is to be limited.
        limit_parts: limits in force at the pool's targets.
        demand: requests for the pool, at all routers.
        part: this router's part if all routers send to a cold target; None
            before it is first needed.
        names: the cold targets.
        ramps: when targets became warm whose rate still grows.
    """

    def __init__(
        self,
        control: ColdControl | None,
        limits: limit_parts.LimitParts,
        demand: fleet_demand.FleetDemand,
    ):
        self.control = control
        self.limit_parts = limits
        self.demand = demand
        self.part: cold_pace.GrowingPart | None = None
        self.names: frozenset[ids.TargetId] = frozenset()
        self.ramps = cold_pace.Ramps()

    def is_cold(
        self,
        pool: configuration.Pool,
        entry: target_list.Entry,
        now: float,
    ) -> bool:
        """Whether a target may get only the rate of a cold one."""
        return (
            self.control is not None
            and pool.cold_per_s > 0
            and not self.control.targets.cold.is_warm(
                entry.name, entry.start_ms, now
            )
        )

    def note_broken(
        self,
        pool: configuration.Pool,
        entry: target_list.Entry,
        is_news: bool,
        now: float,
    ) -> bool:
        """Records that a connection to a target of the pool broke.

        Returns:
            Whether the target was warm before.
        """
        if self.control is None or pool.cold_per_s <= 0:
            return False
        if not self.control.targets.is_listed(entry):
            return False
        return self.control.note_broken(entry, is_news, now)

    def update(
        self,
        pool: configuration.Pool,
        ready: list[target_list.Entry],
        now: float,
    ) -> None:
        """Brings the paces at all targets of the pool up to date."""
        limits = self.limit_parts
        if pool.cold_per_s <= 0 and not limits.paces:
            return
        cold = [entry for entry in ready if self.is_cold(pool, entry, now)]
        self.names = frozenset(entry.name for entry in cold)
        rising = self._keep_rising(pool, {entry.name for entry in ready}, now)
        if not (cold or rising) or self.control is None:
            return
        routers = self.control.peers.count_routers()
        sharers = self.control.settings.count_sharers(pool.cold_per_s, routers)
        by_demand = self._find_part(routers, now)
        if not self.control.has_peers:
            by_demand = 0.0
        for entry in cold:
            part = by_demand
            if self.control.has_peers and sharers < routers:
                is_sharer = self.control.is_sharer(entry.name, sharers)
                part = 1.0 / sharers if is_sharer else 0.0
            limits.update_pace(entry.name, part * pool.cold_per_s, now)
        part = by_demand if sharers == routers else 1.0 / routers
        fair_per_s = self.demand.estimate_per_s(now) / max(len(ready), 1)
        for name in rising:
            per_s = cold_pace.find_ramp_rate(
                pool.cold_per_s, fair_per_s, now - self.ramps.since[name]
            )
            limits.raise_pace(name, part * per_s, now)

    def _keep_rising(
        self, pool: configuration.Pool, ready: set[ids.TargetId], now: float
    ) -> list[ids.TargetId]:
        """Removes the paces at warm targets once these have their full rate.

        Returns:
            The warm targets that do not have it yet.
        """
        paces = self.limit_parts.paces
        for name in self.ramps.since.keys() - (paces.keys() - self.names):
            del self.ramps.since[name]
        rising = []
        for name in paces.keys() - self.names:
            is_warm = name in ready and pool.cold_per_s > 0
            if is_warm and self.ramps.keep(name, now):
                rising.append(name)
            else:
                del paces[name]
                self.ramps.since.pop(name, None)
        return rising

    def _find_part(self, routers: int, now: float) -> float:
        wanted = self.demand.compute_part(routers, now)
        if self.part is None:
            self.part = cold_pace.GrowingPart(1.0 / routers, now)
        return self.part.update(wanted, now)
