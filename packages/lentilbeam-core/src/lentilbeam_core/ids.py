"""Identifier types shared by all modules."""

from typing import NewType

InstanceId = NewType("InstanceId", str)
"""Name of a router instance, unique in the fleet."""

Incarnation = NewType("Incarnation", int)
"""Start time of a router process, in microseconds since 1970 (wall clock)."""

DataCentreId = NewType("DataCentreId", str)
WorkspaceId = NewType("WorkspaceId", str)
ClassId = NewType("ClassId", str)
PoolId = NewType("PoolId", str)
TargetId = NewType("TargetId", str)

RequestId = NewType("RequestId", str)
"""A UUIDv7 (RFC 9562) in its canonical text form."""

Offset = NewType("Offset", int)
"""Position of a record in a stream of the platform's log service."""
