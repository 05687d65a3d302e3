"""State of a pool's scheduler: sessions with routers, and totals over them."""

import dataclasses
import math

from lentilbeam_core import catalogue as catalogue_lib
from lentilbeam_core import channel
from lentilbeam_core import ids
from lentilbeam_core import sessions
from lentilbeam_core import slots
from lentilbeam_core import virtual_time


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a pool's scheduler.

    Attributes:
        pace: how often updates are sent to another router.
        acknowledge_delay_s: how long to delay an acknowledgement, in seconds,
            so that it can be sent with other changes.
        rebuild_timeout_s: how long a newly activated scheduler waits for full
            reports, in seconds.
        idle_grace_s: a workspace that was ineligible for grants (no queued
            request without a grant, or at a limit) for at most this many
            seconds keeps its virtual time.
        slot_table: settings of the slot table.
    """

    pace: channel.Pace = channel.Pace(
        batch_s=0.002, max_interval_s=0.15, resend_s=0.5
    )
    acknowledge_delay_s: float = 0.1
    rebuild_timeout_s: float = 0.15
    idle_grace_s: float = 0.05
    slot_table: slots.Settings = slots.Settings()


@dataclasses.dataclass(frozen=True, slots=True)
class Members:
    """Routers as seen by the router that runs the scheduler.

    Attributes:
        reachable: data centre of each reachable router; None if unknown.
        live: reachable routers that are not leaving.
        known: routers that are not gone.
        remaining_count: number of routers that are live or unreachable, that
            is all but leaving and gone ones; denominator of
            `SlotTable.served_fraction`.
    """

    reachable: dict[ids.InstanceId, ids.DataCentreId | None]
    live: frozenset[ids.InstanceId]
    known: frozenset[ids.InstanceId]
    remaining_count: int


class State:
    """Sessions of routers with one pool's scheduler, and totals over them.

    Attributes:
        pool: name of the pool.
        settings: the scheduler's settings.
        catalogue: the catalogue the scheduler uses.
        account_queue: accounts of the workspaces.
        slot_table: use of the targets' slots.
        sessions: current session of each router.
        baselines: service that has been charged already, by router.
        routers_by_workspace: routers that have reported demand of a
            workspace in their session.
        members: routers as seen by this one.
        is_ready: whether grants may be made.
        message_interval_s: minimum average time between two updates to a
            router, in seconds; 0 if a slot was still free after the last
            grants.
        next_token_at: when a rate limit next permits a request, in monotonic
            seconds; infinite if no workspace is waiting for that.
        rate_limited: workspaces whose rate limit permits no request now.
        counters: number of decisions since the start, by name.
    """

    def __init__(self, pool: ids.PoolId, settings: Settings):
        self.pool = pool
        self.settings = settings
        self.catalogue = catalogue_lib.EMPTY
        self.account_queue = virtual_time.AccountQueue(settings.idle_grace_s)
        self.slot_table = slots.SlotTable(settings.slot_table)
        self.sessions: dict[ids.InstanceId, sessions.Session] = {}
        self.baselines: dict[ids.InstanceId, sessions.Baseline] = {}
        self.routers_by_workspace: dict[
            ids.WorkspaceId, set[ids.InstanceId]
        ] = {}
        self.members = Members({}, frozenset(), frozenset(), 0)
        self.is_ready = False
        self.message_interval_s = 0.0
        self.next_token_at = math.inf
        self.rate_limited: set[ids.WorkspaceId] = set()
        self.counters: dict[str, int] = {}

    def account(self, workspace: ids.WorkspaceId) -> virtual_time.Account:
        """Returns the workspace's account, creating it if necessary."""
        account = self.account_queue.accounts.get(workspace)
        if account is None:
            account = virtual_time.Account(
                workspace,
                self.catalogue.weight(workspace),
                self.catalogue.workspaces[workspace].limits,
            )
            self.account_queue.accounts[workspace] = account
        return account

    def drop_session(self, name: ids.InstanceId, now: float) -> None:
        """Ends a router's session and removes its state from the totals."""
        session = self.sessions.pop(name, None)
        if session is None:
            return
        session.is_counted = False
        self.update_totals(session, now)
        for workspace in session.demands:
            self.routers_by_workspace[workspace].discard(name)
        for target in session.targets:
            self.slot_table.flag_draining(target, name, False)

    def update_served_fraction(self) -> None:
        """Updates the fraction of the fleet that this scheduler serves."""
        members = self.members
        served = len(members.live & set(self.sessions))
        self.slot_table.served_fraction = (
            served / members.remaining_count if served else 1.0
        )

    def update_totals(self, session: sessions.Session, now: float) -> None:
        """Adds a session's state to the totals, or removes it.

        Depends on `Session.is_counted`, which must just have changed.
        """
        sign = 1 if session.is_counted else -1
        for workspace, demand in session.demands.items():
            self.account(workspace).queued += sign * demand.queued
            self.update_ungranted(session, workspace, now)
        for key in set(session.slot_uses) | set(session.granted):
            self.update_slot_use(session, key, now)

    def update_slot_use(
        self, session: sessions.Session, key: sessions.SlotUseKey, now: float
    ) -> None:
        """Updates the totals after a change of the slot use `key`."""
        target, workspace = key
        account = self.account(workspace)
        old = session.contributions.get(key, sessions.NO_CONTRIBUTION)
        new = session.contribution(key)
        session.contributions[key] = new
        account.in_flight += new.slots - old.slots
        account.expected = max(account.expected + new.cost - old.cost, 0.0)
        self.slot_table.add_occupied(target, new.slots - old.slots)
        session.update_unreported(key)
        self.update_ungranted(session, workspace, now)

    def update_ungranted(
        self, session: sessions.Session, workspace: ids.WorkspaceId, now: float
    ) -> None:
        """Updates the totals after a change of a workspace's queue."""
        account = self.account(workspace)
        ungranted = session.count_ungranted(workspace)
        account.ungranted += ungranted - session.ungranted.get(workspace, 0)
        session.ungranted[workspace] = ungranted
        self.refresh(account, now)

    def refresh(self, account: virtual_time.Account, now: float) -> None:
        """Updates the account's position in the account queue."""
        self.account_queue.refresh(account, self.is_eligible(account, now), now)

    def is_eligible(self, account: virtual_time.Account, now: float) -> bool:
        """Returns whether the workspace may be granted a slot now.

        If only its rate limit forbids it, the time at which the limit permits
        the next request is recorded.
        """
        if account.ungranted <= 0 or not self.is_ready:
            return False
        limit = account.limits.concurrency
        if limit is not None and account.in_flight >= self._scale_limit(limit):
            return False
        virtual_time.refill(account, now, self.slot_table.served_fraction)
        if account.tokens >= 1:
            return True
        rate = account.limits.rate_per_s * self.slot_table.served_fraction
        ready_at = now + (1 - account.tokens) / rate
        self.next_token_at = min(self.next_token_at, ready_at)
        self.rate_limited.add(account.name)
        return False

    def _scale_limit(self, limit: int) -> int:
        """Scales a fleet-wide limit to the served fraction of the fleet.

        Rounds down, except on the side that serves the majority, so that the
        schedulers of a partitioned fleet do not exceed the limit together.
        """
        fraction = self.slot_table.served_fraction
        if fraction > 0.5:
            return limit - math.floor(limit * (1 - fraction))
        return math.floor(limit * fraction)

    def refresh_rate_limited(self, now: float) -> None:
        """Updates the positions of workspaces that were rate-limited."""
        if now < self.next_token_at:
            return
        self.next_token_at = math.inf
        rate_limited = self.rate_limited
        self.rate_limited = set()
        for workspace in sorted(rate_limited):
            self.refresh(self.account(workspace), now)

    def count(self, name: str) -> None:
        """Increments the counter `name`."""
        self.counters[name] = self.counters.get(name, 0) + 1
