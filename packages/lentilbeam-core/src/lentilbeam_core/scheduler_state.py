"""What the parts of a pool's scheduler share: sessions and totals."""

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
        acknowledge_s: how long an acknowledgement may wait for company.
        rebuild_s: how long a new scheduler waits for full reports.
        wake_grace_s: a queue that was empty for less keeps its place.
        book: settings of the use of slots.
    """

    pace: channel.Pace = channel.Pace(
        batch_s=0.002, interval_s=0.15, resend_s=0.5
    )
    acknowledge_s: float = 0.1
    rebuild_s: float = 0.15
    idle_grace_s: float = 0.05
    slot_table: slots.Settings = slots.Settings()


@dataclasses.dataclass(frozen=True, slots=True)
class Members:
    """Routers as the scheduler's node sees them.

    Attributes:
        heard: routers that are heard, with their data centres.
        live: those of them that are not leaving.
        known: routers that are not gone.
        total: routers that are live or listed so and silent.
    """

    reachable: dict[ids.InstanceId, ids.DataCentreId | None]
    live: frozenset[ids.InstanceId]
    known: frozenset[ids.InstanceId]
    total: int


class State:
    """Routers' sessions with one pool's scheduler, and their totals.

    Attributes:
        ledger: accounts of workspaces.
        book: use of slots.
        sessions: by router.
        baselines: settled service by router.
        demanding: routers that have reported a workspace.
        is_ready: whether grants may be made.
        pace_s: average time between two messages of a session; 0 while a
            slot was free after the last grants.
        next_token_at: when a rate limit next lets a request pass.
        rated: workspaces that wait for that.
        counters: decisions since the start.
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
        self.pace_s = 0.0
        self.next_token_at = math.inf
        self.rate_limited: set[ids.WorkspaceId] = set()
        self.counters: dict[str, int] = {}

    def account(self, workspace: ids.WorkspaceId) -> virtual_time.Account:
        """Returns the workspace's account, a new one at first."""
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
        """Ends a session and takes its state out of the totals."""
        session = self.sessions.pop(name, None)
        if session is None:
            return
        session.is_counted = False
        self.update_totals(session, now)
        for workspace in session.demands:
            self.routers_by_workspace[workspace].discard(name)
        for target in session.targets:
            self.slot_table.flag_draining(target, name, False)

    def update_fraction(self) -> None:
        """Sets the part of the fleet that this scheduler serves."""
        members = self.members
        served = len(members.live & set(self.sessions))
        self.slot_table.fraction = served / members.total if served else 1.0

    def update_totals(self, session: sessions.Session, now: float) -> None:
        """Adds a session's state to the totals, or takes it out."""
        sign = 1 if session.is_counted else -1
        for workspace, demand in session.demands.items():
            self.account(workspace).queued += sign * demand.queued
            self.update_ungranted(session, workspace, now)
        for key in set(session.uses) | set(session.granted):
            self.update_slot_use(session, key, now)

    def update_slot_use(
        self, session: sessions.Session, key: sessions.SlotUseKey, now: float
    ) -> None:
        """Brings the totals up to date with a changed cell."""
        target, workspace = key
        account = self.account(workspace)
        old = session.contributions.get(key, sessions.NO_CONTRIBUTION)
        new = session.contribution(key)
        session.contributions[key] = new
        account.in_flight += new.slots - old.slots
        account.expected = max(account.expected + new.cost - old.cost, 0.0)
        self.slot_table.add_occupied(target, new.slots - old.slots)
        session.update_unconfirmed(key)
        self.update_ungranted(session, workspace, now)

    def update_ungranted(
        self, session: sessions.Session, workspace: ids.WorkspaceId, now: float
    ) -> None:
        """Brings the totals up to date with a changed queue."""
        account = self.account(workspace)
        ungranted = session.count_ungranted(workspace)
        account.ungranted += ungranted - session.ungranted.get(workspace, 0)
        session.ungranted[workspace] = ungranted
        self.refresh(account, now)

    def refresh(self, account: virtual_time.Account, now: float) -> None:
        """Puts the account where it belongs in the order."""
        self.account_queue.refresh(account, self.is_eligible(account, now), now)

    def is_eligible(self, account: virtual_time.Account, now: float) -> bool:
        """Tells whether the workspace may be granted a slot now."""
        if account.ungranted <= 0 or not self.is_ready:
            return False
        limit = account.limits.concurrency
        if limit is not None and account.in_flight >= self._scale_limit(limit):
            return False
        virtual_time.refill(account, now, self.slot_table.fraction)
        if account.tokens >= 1:
            return True
        rate = account.limits.rate_per_s * self.slot_table.fraction
        ready_at = now + (1 - account.tokens) / rate
        self.next_token_at = min(self.next_token_at, ready_at)
        self.rate_limited.add(account.name)
        return False

    def _scale_limit(self, limit: int) -> int:
        """Returns this side's part of a fleet-wide limit."""
        fraction = self.slot_table.fraction
        if fraction > 0.5:
            return limit - math.floor(limit * (1 - fraction))
        return math.floor(limit * fraction)

    def refresh_rate_limited(self, now: float) -> None:
        """Places workspaces anew whose rate limit may let them pass."""
        if now < self.next_token_at:
            return
        self.next_token_at = math.inf
        rate_limited = self.rate_limited
        self.rate_limited = set()
        for workspace in sorted(rate_limited):
            self.refresh(self.account(workspace), now)

    def count(self, name: str) -> None:
        """Adds one to a counter."""
        self.counters[name] = self.counters.get(name, 0) + 1
