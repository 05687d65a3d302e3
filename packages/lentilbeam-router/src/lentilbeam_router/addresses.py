"""Socket addresses."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """A host (IP address or host name) and a port."""

    host: str
    port: int
