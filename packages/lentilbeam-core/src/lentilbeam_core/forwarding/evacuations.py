"""Data centres that the operators have asked to evacuate.

The targets of an evacuated data centre get no new requests until the evacuation
is withdrawn. Each data centre is independent of the others.

The store may come back from an older copy, which doesn't tell what was asked or
withdrawn since. Sending to an evacuated data centre does more harm than leaving
one out for longer. So any record that asks for an evacuation is believed, but a
missing or empty record is believed only in the era in which the evacuation was
read.
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
    """

    def __init__(self):
        self.era = 0
        self.read_in: dict[ids.DataCentreId, int] = {}

    def __contains__(self, data_centre: ids.DataCentreId) -> bool:
        """Whether a data centre is evacuated."""
        return data_centre in self.read_in

    def ask(self, data_centre: ids.DataCentreId) -> bool:
        """Applies a new record that asks for an evacuation.

        Returns:
            Whether the data centre was not evacuated before.
        """
        is_new = data_centre not in self.read_in
        self.read_in[data_centre] = self.era
        return is_new

    def withdraw(self, data_centre: ids.DataCentreId) -> bool:
        """Applies a new record that withdraws an evacuation.

        Returns:
            Whether the data centre was evacuated before.
        """
        return self.read_in.pop(data_centre, None) is not None

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
        begun = {name for name in asked if self.ask(name)}
        return Changes(
            tuple(sorted(begun)),
            tuple(sorted(withdrawn)),
            tuple(sorted(missing - withdrawn)),
        )
