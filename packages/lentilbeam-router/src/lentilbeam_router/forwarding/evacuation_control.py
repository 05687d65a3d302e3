"""Puts evacuations of data centres in force and logs them."""

from collections.abc import Callable

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core.forwarding import target_list
from lentilbeam_router.forwarding import decision_log


class EvacuationControl:
    """Applies what the operators ask for.

    Attributes:
        targets: targets of all pools.
        log: log of decisions.
        clock: source of monotonic time.
        decide_all: processes the queues of all pools.
    """

    def __init__(
        self,
        targets: target_list.TargetList,
        log: decision_log.DecisionLog,
        clock: clock_lib.Clock,
        decide_all: Callable[[], None],
    ):
        self.targets = targets
        self.log = log
        self.clock = clock
        self.decide_all = decide_all

    def ask(self, data_centre: ids.DataCentreId) -> None:
        """Evacuates a data centre: its targets get no new requests."""
        if self.targets.evacuations.ask(data_centre):
            self._log_begun(data_centre, "record")
            self.decide_all()

    def note_reported(
        self,
        peer: ids.InstanceId,
        kept: tuple[messages.KeptEvacuation, ...],
        hold_s: float,
    ) -> None:
        """Applies what a peer reports, see `Evacuations.note_reported`.

        Args:
            peer: the peer.
            kept: the evacuations that it has kept.
            hold_s: time for which its report counts, in seconds.
        """
        until = self.clock.monotonic() + hold_s
        for item in kept:
            data_centre = item.data_centre
            if self.targets.evacuations.note_reported(data_centre, until):
                self._log_begun(data_centre, peer)

    def expire(self) -> None:
        """Ends what peers have reported and report no longer."""
        now = self.clock.monotonic()
        for data_centre in self.targets.evacuations.expire(now):
            self._use_again(data_centre)

    def list_kept(self) -> tuple[messages.KeptEvacuation, ...]:
        """Returns the evacuations that peers have to be told."""
        return tuple(
            map(messages.KeptEvacuation, self.targets.evacuations.list_kept())
        )

    def withdraw(self, data_centre: ids.DataCentreId) -> None:
        """Uses the targets of a data centre again."""
        if self.targets.evacuations.withdraw(data_centre):
            self._use_again(data_centre)
            self.decide_all()

    def replace(self, asked: set[ids.DataCentreId], era: int) -> None:
        """Applies the list of all evacuations, see `Evacuations.replace`."""
        changes = self.targets.evacuations.replace(asked, era)
        for data_centre in changes.begun:
            self._log_begun(data_centre, "record")
        for data_centre in changes.withdrawn:
            self._use_again(data_centre)
        for data_centre in changes.kept:
            self.log.write_event("evacuation_kept", data_centre=data_centre)
        if changes.begun or changes.withdrawn:
            self.decide_all()

    def read_gauges(self) -> dict[str, float]:
        """Returns the current gauge values by name."""
        evacuated = self.targets.evacuations.list_all()
        return {
            "data_centres_evacuated": len(evacuated),
            "targets_evacuated": sum(map(self._count_targets, evacuated)),
        }

    def _count_targets(self, data_centre: ids.DataCentreId) -> int:
        return sum(
            entry.data_centre == data_centre
            for entry in self.targets.entries.values()
        )

    def _log_begun(self, data_centre: ids.DataCentreId, source: str) -> None:
        self.log.write_event(
            "evacuation_begun",
            data_centre=data_centre,
            source=source,
            targets=self._count_targets(data_centre),
        )

    def _use_again(self, data_centre: ids.DataCentreId) -> None:
        """Logs a withdrawal; the targets count as cold until they write.

        They may have become cold meanwhile, and since they are idle, all
        routers would prefer them.
        """
        now = self.clock.monotonic()
        for entry in self.targets.entries.values():
            if entry.data_centre == data_centre:
                self.targets.cold.note_broken(
                    entry.name, entry.start_ms, False, now
                )
        self.log.write_event(
            "evacuation_withdrawn",
            data_centre=data_centre,
            targets=self._count_targets(data_centre),
        )
