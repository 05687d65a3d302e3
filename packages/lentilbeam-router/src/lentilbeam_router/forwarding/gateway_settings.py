"""Settings of a forwarding router."""

import dataclasses

from lentilbeam_core import ids
from lentilbeam_core.forwarding import cold_pace
from lentilbeam_core.forwarding import retry_budget
from lentilbeam_core.forwarding import shares
from lentilbeam_router import addresses
from lentilbeam_router import caller_connections


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a forwarding router.

    Attributes:
        instance: ID of this router.
        data_centre: the data centre that this router runs in.
        front: address on which callers connect.
        peer: UDP address on which other routers send reports.
        budget: retry budget of the whole fleet, applied to each pool.
        quota_window_s: the operators' quota window, over which workspaces
            get their shares, in seconds.
        address_ttl_s: time for which callers may cache a resolved address,
            in seconds.
        grace_s: seconds between the signal to stop and the kill.
        cold: the operators' margin above the rate of a cold target.
        memory_bytes: memory above which the process is killed; 0 if unknown.
            Buffers are limited only if it is known.
        callers: limits on the connections of callers. The operators'
            configuration changes those on heads and idle connections.
    """

    instance: ids.InstanceId
    data_centre: ids.DataCentreId
    front: addresses.Address
    peer: addresses.Address
    budget: retry_budget.Settings
    quota_window_s: float
    address_ttl_s: float
    grace_s: float
    cold: cold_pace.Settings = cold_pace.Settings()
    memory_bytes: int = 0
    callers: caller_connections.Settings = caller_connections.Settings()

    @property
    def usage_decay_s(self) -> float:
        """Seconds after which recorded usage has decayed to 1/e."""
        return self.quota_window_s * shares.DECAY_FRACTION
