"""Preference for targets to which this router has an idle connection.

In a large fleet each router sends a target a request every few seconds, and
targets close connections that are idle for as long. Without a preference most
requests then open a connection, which takes time of the target and round trips
of the request. A router that prefers targets with an idle connection keeps to
some of the pool, which change as its requests end.
"""

from collections.abc import Callable
import itertools
import math
import random

from lentilbeam_core import ids
from lentilbeam_core import rendezvous
from lentilbeam_core.forwarding import configuration
from lentilbeam_core.forwarding import requests
from lentilbeam_core.forwarding import target_list

MAX_ROUTERS_WITHOUT = 16
"""Largest fleet without a preference. Its routers send each target requests so
often that connections are reused anyway."""
NEW_CONNECTION_S = 0.012
"""Cost of a new connection, in seconds: a round trip, and what targets and
routers do for it. The cost of a target must not be higher than what the request
gains by the connection."""
PROCESS_CHECK_S = 0.008
"""Additional cost if the target is asked for its process, in seconds: another
round trip."""
NEW_CONNECTION_REQUESTS = 2.0
"""The same at a plain target, in running requests. One that takes 40 ms in one
of 32 slots delays others by about 1 ms, a fifth of what this amounts to."""
SAMPLED_CONNECTED = 5
"""Targets with an idle connection that are added to the sample of a large
pool; as many as give a choice between them."""
SUBSET_TARGETS = 6
"""Number of targets of a large pool from which a router mainly samples, besides
those that have parts of the prompt. Few targets keep its connections in use;
load is even over the pool since each target is in as many subsets."""
FRESH_S = 1.5
"""Idle time up to which a request that must not run twice may use a connection,
in seconds. It is shorter than the idle timeout of any target, so that the
target does not close the connection as the request arrives. A connection that
breaks otherwise does so as likely when it is new; either way the request is not
sent again."""
MIN_IDLE_CONNECTIONS = 2
"""Number of idle connections that a router may keep to a target in any case."""

HasIdle = Callable[[ids.TargetId, float], bool]
"""Whether this router has a usable connection to a target that has been idle
for at most so many seconds."""


class ConnectionPreference:
    """Which targets of one pool are preferred for their connections.

    Attributes:
        pool: the pool, as configured.
        has_idle: tells of this router's idle connections.
        count_routers: returns the number of routers in the fleet, this one
            included.
        own_name: ID of this router.
    """

    def __init__(
        self,
        pool: configuration.Pool,
        has_idle: HasIdle,
        count_routers: Callable[[], int],
        own_name: str = "",
    ):
        self.pool = pool
        self.has_idle = has_idle
        self.count_routers = count_routers
        self.own_name = own_name
        self._names: tuple[ids.TargetId, ...] = ()
        self._preferred: list[int] = []

    @property
    def is_used(self) -> bool:
        """Whether the operators limit connections and the fleet is large."""
        return (
            self.pool.max_connections > 0
            and self.count_routers() > MAX_ROUTERS_WITHOUT
        )

    def estimate_cost(
        self, request: requests.Request, entry: target_list.Entry
    ) -> float:
        """Returns what the connection for a request costs it, in seconds."""
        if not self.is_used or self._has_idle(request, entry):
            return 0.0
        is_checked = request.route.is_resumable and entry.started_at_ms > 0
        return NEW_CONNECTION_S + PROCESS_CHECK_S * is_checked

    def estimate_plain_cost(
        self,
        request: requests.Request,
        entry: target_list.Entry,
        is_remote: bool,
    ) -> float:
        """Returns the same for a plain target, in running requests.

        A connection to another data centre does not count, since it would
        outweigh the penalty for the bytes that travel there.
        """
        if not self.is_used:
            return 0.0
        if not is_remote and self._has_idle(request, entry):
            return 0.0
        return NEW_CONNECTION_REQUESTS

    def sample(
        self,
        request: requests.Request,
        targets: list[target_list.Entry],
        count: int,
        rng: random.Random,
    ) -> set[int]:
        """Returns indexes of targets that are sampled from a large pool.

        Without a preference these are `count` random ones. Else all but one of
        them are from this router's subset of the pool, and some with an idle
        connection are added.

        Args:
            request: the request.
            targets: targets that may get it, more than `count`.
            count: size of the random sample.
            rng: random number generator.
        """
        indexes = range(len(targets))
        if not self.is_used:
            return set(rng.sample(indexes, count))
        preferred = self._find_preferred(targets)
        chosen = set(
            rng.sample(preferred, min(len(preferred), count - 1)),
        )
        chosen.add(rng.choice(indexes))
        idle_s = self.find_longest_idle(request.route.is_retryable)
        connected = (
            index
            for index in rng.sample(indexes, len(indexes))
            if self.has_idle(targets[index].name, idle_s)
        )
        chosen.update(itertools.islice(connected, SAMPLED_CONNECTED))
        return chosen

    def _find_preferred(self, targets: list[target_list.Entry]) -> list[int]:
        """Returns the indexes of this router's subset of the targets.

        The subset is chosen by rendezvous hashing, so that each target is in
        about as many subsets and few change when a target comes or goes.
        """
        names = tuple(entry.name for entry in targets)
        if names != self._names:
            self._names = names
            ranking = sorted(
                range(len(names)),
                key=lambda index: rendezvous.score(
                    f"connections of {self.own_name}", names[index]
                ),
            )
            self._preferred = ranking[-SUBSET_TARGETS:]
        return self._preferred

    def _has_idle(
        self, request: requests.Request, entry: target_list.Entry
    ) -> bool:
        """Whether a request would get an idle connection to a target."""
        idle_s = self.find_longest_idle(request.route.is_retryable)
        return self.has_idle(entry.name, idle_s)

    def find_longest_idle(self, is_retryable: bool) -> float:
        """Returns how long a connection for a request may have been idle.

        Args:
            is_retryable: whether the request may be sent again if it may have
                run.

        Returns:
            Seconds; 0 if the connection must be new.
        """
        if is_retryable:
            return math.inf
        return FRESH_S if self.is_used else 0.0

    def find_max_idle(self) -> int | None:
        """Returns how many idle connections to keep to a target.

        It is this router's part of what the target accepts. None if there is
        no limit.
        """
        if not self.is_used:
            return None
        part = self.pool.max_connections // self.count_routers()
        return max(part, MIN_IDLE_CONNECTIONS)
