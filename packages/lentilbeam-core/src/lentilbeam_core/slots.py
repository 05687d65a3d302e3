"""Tracks how many requests each target of a pool has and may have."""

import dataclasses
import math

from lentilbeam_core import catalogue as catalogue_lib
from lentilbeam_core import ejection
from lentilbeam_core import events
from lentilbeam_core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the slot table.

    Attributes:
        control_delay_s: time from the end of a request to the start of the
            next one in its slot, in seconds, without the delay by
            `message_interval_s`.
        max_message_interval_s: longest average time between two messages, in
            seconds.
        message_interval_fraction: longest average time between two messages,
            as a fraction of the mean run time.
        mean_run_s: initial value of the mean run time, in seconds.
        run_time_decay_s: time constant, in seconds, with which old
            measurements of the run time decay.
        prefix_bonus: how much a cached prefix lowers a target's load, as a
            fraction of its slots.
        data_centre_bonus: how much a target in the router's own data centre
            is preferred, as a fraction of its slots.
        ejector: settings of ejection.
    """

    control_delay_s: float = 0.1
    max_message_interval_s: float = 0.15
    message_interval_fraction: float = 0.15
    mean_run_s: float = 1.0
    run_time_decay_s: float = 20.0
    prefix_bonus: float = 0.25
    data_centre_bonus: float = 0.02
    ejector: ejection.Settings = ejection.Settings()


class SlotTable:
    """Occupancy and limits of all targets of one pool.

    Attributes:
        settings: settings of the slot table.
        ejector: ejects failing targets.
        targets: the pool's targets, by name.
        occupied: number of running and granted requests, by target.
        reported_capacity: number of requests that this scheduler may have on
            a target according to the target's load report, by target. Lets
            the scheduler of a partitioned fleet use slots beyond its share.
        draining: routers that say that a target is draining, by target.
        served_fraction: fraction of the fleet that this scheduler serves,
            from 0 to 1.
        busy_slot_s: decayed total of slot time in use, in seconds.
        ended_requests: decayed number of ended requests.
        measured_at: when `busy_slot_s` and `ended_requests` were last
            updated, in monotonic seconds.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        self.ejector = ejection.Ejector(settings.ejector)
        self.targets: dict[ids.TargetId, catalogue_lib.Target] = {}
        self.occupied: dict[ids.TargetId, int] = {}
        self.reported_capacity: dict[ids.TargetId, int] = {}
        self.draining: dict[ids.TargetId, set[ids.InstanceId]] = {}
        self.served_fraction = 1.0
        self.busy_slot_s = 0.0
        self.ended_requests = 0.0
        self.measured_at = -math.inf

    def configure(self, targets: tuple[catalogue_lib.Target, ...]) -> None:
        """Sets the pool's targets."""
        self.targets = {target.name: target for target in targets}
        self.reported_capacity = {
            t: n for t, n in self.reported_capacity.items() if t in self.targets
        }

    def add_occupied(self, target: ids.TargetId, change: int) -> None:
        """Adds `change` to the target's occupancy."""
        self.occupied[target] = self.occupied.get(target, 0) + change

    def update_run_time(self, ended: int, now: float) -> None:
        """Updates the mean run time.

        Args:
            ended: number of requests that have ended since the last call.
            now: monotonic time in seconds.
        """
        elapsed_s = now - self.measured_at
        self.measured_at = now
        if math.isinf(elapsed_s):
            return
        decay = math.exp(-elapsed_s / self.settings.run_time_decay_s)
        running = sum(
            min(self.occupied.get(name, 0), target.slots)
            for name, target in self.targets.items()
        )
        self.busy_slot_s = self.busy_slot_s * decay + running * elapsed_s
        self.ended_requests = self.ended_requests * decay + ended

    def mean_run_s(self) -> float:
        """Returns the mean run time of a request, in seconds."""
        # Number of requests with the initial mean run time that are averaged
        # with the ended ones.
        prior = 4.0
        busy_slot_s = self.busy_slot_s + prior * self.settings.mean_run_s
        return busy_slot_s / (self.ended_requests + prior)

    def update_reported_load(self, report: events.TargetReported) -> None:
        """Updates a target's usable capacity from its load report.

        The report lags behind the actual load.
        """
        target = self.targets.get(report.target)
        if target is None:
            return
        idle = max(target.slots - report.running - report.waiting, 0)
        excess = max(report.waiting - self._extra_requests(target), 0)
        occupied = self.occupied.get(report.target, 0)
        self.reported_capacity[report.target] = min(
            occupied + idle - excess, target.slots
        )

    def flag_draining(
        self, target: ids.TargetId, source: ids.InstanceId, is_draining: bool
    ) -> None:
        """Records whether router `source` says that the target is draining."""
        sources = self.draining.setdefault(target, set())
        if is_draining:
            sources.add(source)
        else:
            sources.discard(source)

    def limit(self, name: ids.TargetId, now: float) -> int:
        """Returns how many requests the target may have now."""
        target = self.targets.get(name)
        if target is None or self.draining.get(name):
            return 0
        if self.ejector.is_ejected(name, now):
            return 0
        if self.ejector.needs_probe(name):
            return 1
        share = target.slots
        if self.served_fraction < 1:
            share = max(
                1, math.floor(target.slots * self.served_fraction + 0.5)
            )
            share = max(share, self.reported_capacity.get(name, 0))
        return share + self._extra_requests(target)

    def has_capacity(self, name: ids.TargetId, now: float) -> bool:
        """Returns whether the target may get another request."""
        return self.occupied.get(name, 0) < self.limit(name, now)

    def available_targets(self, now: float) -> list[catalogue_lib.Target]:
        """Returns the targets that may get another request."""
        return [
            target
            for name, target in self.targets.items()
            if self.has_capacity(name, now)
        ]

    def message_interval_s(self, now: float) -> float:
        """Returns the minimum average time between messages, in seconds.

        Returns 0 while a slot is free. Otherwise the time grows with the mean
        run time: requests sent in advance keep the slots busy in between.
        """
        return (
            self._find_max_message_interval_s() if self._is_busy(now) else 0.0
        )

    def _find_max_message_interval_s(self) -> float:
        interval_s = self.mean_run_s() * self.settings.message_interval_fraction
        return min(interval_s, self.settings.max_message_interval_s)

    def _is_busy(self, now: float) -> bool:
        """Returns whether all usable slots are in use."""
        return all(
            self.occupied.get(name, 0) + self._extra_requests(target)
            >= self.limit(name, now)
            for name, target in self.targets.items()
        )

    def load(
        self,
        target: catalogue_lib.Target,
        preferred: str,
        data_centre: ids.DataCentreId | None,
    ) -> float:
        """Returns a target's load, by which targets are compared.

        The target with the lowest value is the best for the request.

        Args:
            target: the target.
            preferred: name of the target that probably caches the request's
                prefix, or "".
            data_centre: data centre of the request's router, or None.
        """
        occupied = self.occupied.get(target.name, 0)
        load = occupied / target.slots
        if target.name == preferred and occupied < target.slots:
            load -= self.settings.prefix_bonus
        if target.data_centre == data_centre:
            load -= self.settings.data_centre_bonus
        return load

    def _extra_requests(self, target: catalogue_lib.Target) -> int:
        """Returns how many requests to send beyond the target's slots.

        They wait at the target, and keep a freed slot from being idle until
        the next grant arrives.
        """
        delay_s = (
            self.settings.control_delay_s + self._find_max_message_interval_s()
        )
        # The lower limit of 1e-6 s prevents a division by zero.
        ratio = delay_s / max(self.mean_run_s(), 1e-6)
        return min(math.ceil(target.slots * ratio), target.slots)
