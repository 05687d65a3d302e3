"""A fake of the platform's instance list, which lags."""

from bench import simulation
from lentilbeam_core import events
from lentilbeam_core import ids


class Listing:
    """Keeps the true list and shows it as it was `lag_s` ago."""

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
        """Returns the rows as a reader sees them now."""
        seen_at = self.loop.now - self.lag_s
        seen = [rows for time, rows in self.versions if time <= seen_at]
        return seen[-1]

    def remove(self, name: ids.InstanceId) -> None:
        """Takes an instance off the list."""
        self.current.pop(name, None)
        self._publish()

    def add(self, row: events.ListedInstance) -> None:
        """Puts an instance on the list."""
        self.current[row.name] = row
        self._publish()

    def _publish(self) -> None:
        rows = tuple(self.current.values())
        self.versions.append((self.loop.now, rows))
