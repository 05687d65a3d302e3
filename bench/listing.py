"""A fake of the platform's instance list, which is read with a delay."""

from bench import simulation
from lentilbeam_core import events
from lentilbeam_core import ids


class Listing:
    """Keeps the current list and returns it as it was `lag_s` ago.

    Attributes:
        loop: the simulation loop.
        lag_s: age of the list that readers get, in seconds.
        entries_by_name: the current entries by instance id.
        versions: all versions of the list, each with the time from which it
            was current.
    """

    def __init__(
        self,
        loop: simulation.Simulation,
        routers: dict[ids.InstanceId, ids.DataCentreId],
        lag_s: float,
    ):
        self.loop = loop
        self.lag_s = lag_s
        self.entries_by_name = {
            name: events.ListedInstance(
                name, data_centre, events.ListedState.LIVE
            )
            for name, data_centre in routers.items()
        }
        self.versions = [(float("-inf"), tuple(self.entries_by_name.values()))]

    def read(self) -> tuple[events.ListedInstance, ...]:
        """Returns the entries as they were `lag_s` ago."""
        visible_at = self.loop.now - self.lag_s
        visible = [
            entries for time, entries in self.versions if time <= visible_at
        ]
        return visible[-1]

    def remove(self, name: ids.InstanceId) -> None:
        """Removes an instance from the list, if it is there."""
        self.entries_by_name.pop(name, None)
        self._publish()

    def add(self, entry: events.ListedInstance) -> None:
        """Adds or replaces an instance on the list."""
        self.entries_by_name[entry.name] = entry
        self._publish()

    def _publish(self) -> None:
        entries = tuple(self.entries_by_name.values())
        self.versions.append((self.loop.now, entries))
