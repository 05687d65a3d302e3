"""The soft scheduler of one pool: turns demand reports into grants.

All of its state is rebuilt from the routers' reports, so it may be lost, or
held twice for a while, without harm beyond a moment's unfairness.
"""

import math

from lentilbeam_core import catalogue as catalogue_lib
from lentilbeam_core import demand_reports
from lentilbeam_core import events
from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core import scheduler_state
from lentilbeam_core import sessions
from lentilbeam_core import updates
from lentilbeam_core import virtual_time

SCAN_LIMIT = 8
CATCH_UP_STEP = 0.25
"""Service behind the mean, relative to the largest request, that allows one
more request in flight."""
FULL_INTERVAL_S = 0.1

Settings = scheduler_state.Settings
Members = scheduler_state.Members


class Scheduler:
    """Grants slots of one pool to the least served workspaces."""

    def __init__(
        self,
        me: ids.InstanceId,
        pool: catalogue_lib.Pool,
        settings: Settings,
    ):
        self.me = me
        self.pool = pool
        self.state = scheduler_state.State(pool.name, settings)
        self.ledger = self.state.ledger
        self.book = self.state.book
        self.strangers: dict[ids.InstanceId, float] = {}
        self.outbox: list[updates.Addressed] = []
        self.is_active = False
        self.active_since = -math.inf
        self.term = 0
        self.counters = self.state.counters

    def configure(
        self, pool: catalogue_lib.Pool, catalogue: catalogue_lib.Catalogue
    ) -> None:
        """Takes in a new catalogue."""
        self.pool = pool
        self.state.catalogue = catalogue
        self.book.configure(pool.targets)
        for account in self.ledger.accounts.values():
            workspace = catalogue.workspaces.get(account.name)
            if workspace is not None:
                weight = catalogue.weight(account.name)
                self.ledger.reweigh(account, weight)
                account.limits = workspace.limits

    def activate(self, now: float) -> None:
        """Takes up the role: waits for full reports, then grants."""
        self.is_active = True
        self.state.is_ready = False
        self.active_since = now
        self.term += 1
        for name in list(self.state.sessions):
            self.state.drop(name, now)

    def deactivate(self) -> None:
        """Gives the role up."""
        self.is_active = False
        self.state.is_ready = False

    def set_members(self, members: Members, now: float) -> None:
        """Takes in which routers are heard."""
        self.state.members = members
        self.state.update_fraction()
        for name, session in self.state.sessions.items():
            is_counted = name in members.heard
            if is_counted != session.is_counted:
                session.is_counted = is_counted
                self.state.recount(session, now)
        for name in set(self.state.sessions) - members.known:
            self.state.drop(name, now)
            del self.state.baselines[name]

    def receive(
        self,
        sender: ids.InstanceId,
        report: messages.DemandReport,
        now: float,
    ) -> None:
        """Takes in a router's report."""
        session = self.state.sessions.get(sender)
        if session is None or report.session != session.number:
            if not report.is_full:
                self._ask_for_full(sender, report, now)
                return
            if session is not None and not demand_reports.is_newer(
                report, session
            ):
                return
            session = demand_reports.begin_session(
                self.me, self.state, sender, report, now
            )
        session.sender.acknowledge(report.acknowledged)
        is_new = session.receiver.accept(
            report.sequence, report.part, report.parts
        )
        if report.wants_answer:
            session.sender.want(now + self.state.settings.acknowledge_s)
        if is_new:
            demand_reports.apply_report(self.state, session, report, now)

    def hear_target(
        self, report: events.TargetReported, source: ids.InstanceId
    ) -> None:
        """Takes in a target's own load report."""
        self.book.hear_load(report)
        self.book.flag_draining(report.target, source, report.draining)

    def run(self, now: float) -> list[updates.Addressed]:
        """Makes grants and returns the updates that are due."""
        if not self.is_active:
            return []
        self._check_ready(now)
        if self.state.is_ready:
            self.state.refresh_rated(now)
            self._grant_all(now)
            self.state.pace_s = self.book.pace_s(now)
            for session in self.state.sessions.values():
                if session.is_counted:
                    session.sender.set_interval(self.state.pace_s)
                    self.outbox += updates.collect(self.state, session, now)
        sent = self.outbox
        self.outbox = []
        return sent

    def due(self, now: float) -> float:
        """Returns when `run` is to be called next."""
        if not self.is_active:
            return math.inf
        if not self.state.is_ready:
            return self.active_since + self.state.settings.rebuild_s
        dues = [
            session.sender.due()
            for session in self.state.sessions.values()
            if session.is_counted
        ]
        trial_at = self.book.ejector.next_trial(now)
        return min([self.state.next_token_at, trial_at, *dues])

    def virtual_times(self) -> dict[ids.WorkspaceId, float]:
        """Returns the virtual time of each workspace."""
        accounts = self.ledger.accounts.values()
        return {account.name: account.virtual_time for account in accounts}

    def floor(self) -> float:
        """Returns the least virtual time of workspaces that wait."""
        return self.ledger.least()

    def _ask_for_full(
        self, sender: ids.InstanceId, report: messages.DemandReport, now: float
    ) -> None:
        asked_at = self.strangers.get(sender, -math.inf)
        if not self.is_active or now - asked_at < FULL_INTERVAL_S:
            return
        self.strangers[sender] = now
        self.outbox.append(
            updates.ask_for_full(self.state, sender, report.session)
        )

    def _check_ready(self, now: float) -> None:
        if self.state.is_ready:
            return
        has_all = all(
            name in self.state.sessions and self.state.sessions[name].is_full()
            for name in self.state.members.heard
        )
        if has_all or now >= self.active_since + self.state.settings.rebuild_s:
            self.ledger.lift_all()
            self.state.is_ready = True
            for account in self.ledger.accounts.values():
                self.ledger.refresh(
                    account, self.state.is_eligible(account, now), now
                )

    def _grant_all(self, now: float) -> None:
        free = self.book.free(now)
        while free and self.ledger.order:
            account = self._choose_account()
            session = self._choose_session(account)
            demand = session.demands[account.name]
            data_centre = self.state.members.heard.get(session.name)
            target = min(
                free,
                key=lambda t: (
                    self.book.load(t, demand.preferred, data_centre),
                    t.name,
                ),
            )
            self._grant(account, session, target.name, now)
            if not self.book.has_room(target.name, now):
                free.remove(target)

    def _choose_account(self) -> virtual_time.Account:
        """Returns the least served workspace that is under its cap."""
        names = [name for _, name in self.ledger.order[:SCAN_LIMIT]]
        accounts = [self.ledger.accounts[name] for name in names]
        for account in accounts:
            if account.in_flight < self._cap(account):
                return account
        return accounts[0]

    def _cap(self, account: virtual_time.Account) -> int:
        """Returns the share of the slots in use, more for one behind."""
        total = sum(self.book.occupied.values())
        part = account.weight / max(self.ledger.weight, account.weight)
        behind = self.ledger.mean_time() - account.virtual_time
        step = account.limits.largest_request * CATCH_UP_STEP
        extra = max(behind, 0.0) * account.weight / step
        return max(1, math.ceil(total * part + extra))

    def _choose_session(
        self, account: virtual_time.Account
    ) -> sessions.Session:
        """Returns the router whose request has waited the longest."""
        candidates = [
            self.state.sessions[name]
            for name in self.state.demanding[account.name]
            if self.state.sessions[name].rooms.get(account.name, 0) > 0
        ]
        return min(candidates, key=lambda s: (s.oldest(account.name), s.name))

    def _grant(
        self,
        account: virtual_time.Account,
        session: sessions.Session,
        target: ids.TargetId,
        now: float,
    ) -> None:
        key = (target, account.name)
        account.tokens -= 1
        session.granted[key] = session.granted.get(key, 0) + 1
        self.state.update_cell(session, key, now)
        grant = messages.Grant(
            account.name,
            target,
            session.granted[key],
            account.virtual_time,
        )
        session.sender.put(("grant", *key), grant, now)
        self.state.count("grants")
