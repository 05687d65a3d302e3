"""Data centres that the operators have asked to evacuate.

The targets of an evacuated data centre get no new requests until the evacuation
is withdrawn. Each data centre is independent of the others.

The store may come back from an older copy, which doesn't tell what was asked or
withdrawn since. Sending to an evacuated data centre does more harm than leaving
one out for longer. So any record that asks for an evacuation is believed, but a
missing or empty record is believed only in the era in which the evacuation was
read.

A router that starts after that can't read what the copy lacks. So routers
report to their peers what they have kept. Such a report counts for a short time
and only at routers that have read no record about the data centre themselves.
"""

import dataclasses

from lentilbeam_core import ids


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """What a list of all evacuations has changed.

    Attributes:
        begun: data centres that are evacuated from now on.
        withdrawn: data centres that are used again.
        kept: data centres that stay evacuated although the list lacks them.
    """

    begun: tuple[ids.DataCentreId, ...]
    withdrawn: tuple[ids.DataCentreId, ...]
    kept: tuple[ids.DataCentreId, ...]


class Evacuations:
    """The evacuations in force.

    Attributes:
        era: era of the store in which the last list was read.
        read_in: era in which each evacuation was last read, by data centre.
        recorded: data centres about which a new record was read since the
            start; what peers report about them is ignored.
        reported_until: until when the reports of peers count, by data centre,
            monotonic seconds.
    """

    def __init__(self):
        self.era = 0
        self.read_in: dict[ids.DataCentreId, int] = {}
        self.recorded: set[ids.DataCentreId] = set()
        self.reported_until: dict[ids.DataCentreId, float] = {}

    def __contains__(self, data_centre: ids.DataCentreId) -> bool:
        """Whether a data centre is evacuated."""
        return data_centre in self.read_in or data_centre in self.reported_until

    @property
    def is_empty(self) -> bool:
        """Whether no data centre is evacuated."""
        return not self.read_in and not self.reported_until

    def list_all(self) -> set[ids.DataCentreId]:
        """Returns the data centres that are evacuated."""
        return self.read_in.keys() | self.reported_until.keys()

    def list_kept(self) -> tuple[ids.DataCentreId, ...]:
        """Returns those that were read in an earlier era only."""
        return tuple(
            sorted(name for name, era in self.read_in.items() if era < self.era)
        )

    def note_reported(
        self, data_centre: ids.DataCentreId, until: float
    ) -> bool:
        """Applies the report of a peer that has kept an evacuation.

        Args:
            data_centre: the data centre.
            until: until when the report counts, monotonic seconds.

        Returns:
            Whether the data centre was not evacuated before.
        """
        if data_centre in self.recorded or data_centre in self.read_in:
            return False
        is_new = data_centre not in self.reported_until
        self.reported_until[data_centre] = until
        return is_new

    def expire(self, now: float) -> list[ids.DataCentreId]:
        """Drops reports that no longer count; returns their data centres."""
        expired = [n for n, at in self.reported_until.items() if at <= now]
        for name in expired:
            del self.reported_until[name]
        return expired

    def ask(self, data_centre: ids.DataCentreId) -> bool:
        """Applies a new record that asks for an evacuation.

        Returns:
            Whether the data centre was not evacuated before.
        """
        self.recorded.add(data_centre)
        return self._put(data_centre)

    def withdraw(self, data_centre: ids.DataCentreId) -> bool:
        """Applies a new record that withdraws an evacuation.

        Returns:
            Whether the data centre was evacuated before.
        """
        self.recorded.add(data_centre)
        was_evacuated = data_centre in self
        self.read_in.pop(data_centre, None)
        self.reported_until.pop(data_centre, None)
        return was_evacuated

    def replace(self, asked: set[ids.DataCentreId], era: int) -> Changes:
        """Applies the list of all evacuations that are asked for.

        Args:
            asked: the data centres.
            era: era of the store in which the list was read.
        """
        self.era = era
        missing = set(self.read_in) - asked
        withdrawn = {name for name in missing if self.read_in[name] == era}
        for name in withdrawn:
            del self.read_in[name]
        begun = {name for name in asked if self._put(name)}
        return Changes(
            tuple(sorted(begun)),
            tuple(sorted(withdrawn)),
            tuple(sorted(missing - withdrawn)),
        )

    def _put(self, data_centre: ids.DataCentreId) -> bool:
        """Puts an evacuation in force; returns whether it was not before."""
        is_new = data_centre not in self
        self.reported_until.pop(data_centre, None)
        self.read_in[data_centre] = self.era
        return is_new
