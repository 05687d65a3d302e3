"""Puts evacuations of data centres in force and logs them."""

from collections.abc import Callable

from lentilbeam_core import clock as clock_lib
from lentilbeam_core import ids
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
            self._log_begun(data_centre)
            self.decide_all()

    def withdraw(self, data_centre: ids.DataCentreId) -> None:
        """Uses the targets of a data centre again."""
        if self.targets.evacuations.withdraw(data_centre):
            self._use_again(data_centre)
            self.decide_all()

    def replace(self, asked: set[ids.DataCentreId], era: int) -> None:
        """Applies the list of all evacuations, see `Evacuations.replace`."""
        changes = self.targets.evacuations.replace(asked, era)
        for data_centre in changes.begun:
            self._log_begun(data_centre)
        for data_centre in changes.withdrawn:
            self._use_again(data_centre)
        for data_centre in changes.kept:
            self.log.write_event("evacuation_kept", data_centre=data_centre)
        if changes.begun or changes.withdrawn:
            self.decide_all()

    def read_gauges(self) -> dict[str, float]:
        """Returns the current gauge values by name."""
        evacuated = self.targets.evacuations.read_in
        return {
            "data_centres_evacuated": len(evacuated),
            "targets_evacuated": sum(map(self._count_targets, evacuated)),
        }

    def _count_targets(self, data_centre: ids.DataCentreId) -> int:
        return sum(
            entry.data_centre == data_centre
            for entry in self.targets.entries.values()
        )

    def _log_begun(self, data_centre: ids.DataCentreId) -> None:
        self.log.write_event(
            "evacuation_begun",
            data_centre=data_centre,
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
