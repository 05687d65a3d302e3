"""A fake of the platform's instance list, which is read with a delay."""

from bench import simulation
from lentilbeam_core import events
from lentilbeam_core import ids


class Listing:
    """Keeps the current list and returns it as it was `lag_s` ago.

    Attributes:
        loop: the simulation loop.
        lag_s: age of the list that readers get, in seconds.
        current: the current entries by instance id.
        versions: all versions of the list, each with the time since which it
            is current.
    """

    def __init__(
        self,
        loop: simulation.Simulation,
        routers: dict[ids.InstanceId, ids.DataCentreId],
        lag_s: float,
    ):
        self.loop = loop
        self.lag_s = lag_s
        self.current = {
            name: events.ListedInstance(name, place, events.ListedState.LIVE)
            for name, place in routers.items()
        }
        self.versions = [(float("-inf"), tuple(self.current.values()))]

    def read(self) -> tuple[events.ListedInstance, ...]:
        """Returns the entries as they were `lag_s` ago."""
        seen_at = self.loop.now - self.lag_s
        seen = [rows for time, rows in self.versions if time <= seen_at]
        return seen[-1]

    def remove(self, name: ids.InstanceId) -> None:
        """Removes an instance from the list, if it is there."""
        self.current.pop(name, None)
        self._publish()

    def add(self, row: events.ListedInstance) -> None:
        """Adds or replaces an instance on the list."""
        self.current[row.name] = row
        self._publish()

    def _publish(self) -> None:
        rows = tuple(self.current.values())
        self.versions.append((self.loop.now, rows))
