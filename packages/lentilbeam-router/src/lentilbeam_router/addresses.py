"""Addresses of sockets."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int
