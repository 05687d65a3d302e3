"""The scheduler of one pool: turns demand reports into grants.

All of its state is rebuilt from the routers' reports. Losing the state, or
running two schedulers for a while, only makes the sharing briefly unfair.
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
"""Number of workspaces considered for one grant, least served first."""
CATCH_UP_FRACTION = 0.25
"""Fraction of a workspace's largest request. For each such amount of service
that it lacks compared with the mean, it may have one more request in flight."""
FULL_REPORT_INTERVAL_S = 0.1
"""Minimum time between two requests for a full report to one router."""

Settings = scheduler_state.Settings
Members = scheduler_state.Members


class Scheduler:
    """Grants slots of one pool to the least served workspaces.

    Attributes:
        own_name: name of this router instance.
        pool: the pool's catalogue entry.
        state: sessions with routers, and totals over them.
        account_queue: the workspaces' accounts; part of `state`.
        slot_table: use of the targets' slots; part of `state`.
        full_report_asked_at: when each router was last asked for a full
            report, in monotonic seconds.
        outbox: updates to return from the next `run`.
        is_active: whether this router schedules the pool.
        active_since: when it was last activated, in monotonic seconds.
        term: number of activations, including those after a pause; not
            comparable between routers.
        counters: number of decisions since the start, by name; part of
            `state`.
    """

    def __init__(
        self,
        own_name: ids.InstanceId,
        pool: catalogue_lib.Pool,
        settings: Settings,
    ):
        self.own_name = own_name
        self.pool = pool
        self.state = scheduler_state.State(pool.name, settings)
        self.account_queue = self.state.account_queue
        self.slot_table = self.state.slot_table
        self.full_report_asked_at: dict[ids.InstanceId, float] = {}
        self.outbox: list[updates.AddressedUpdate] = []
        self.is_active = False
        self.active_since = -math.inf
        self.term = 0
        self.counters = self.state.counters

    def configure(
        self, pool: catalogue_lib.Pool, catalogue: catalogue_lib.Catalogue
    ) -> None:
        """Applies a new catalogue."""
        self.pool = pool
        self.state.catalogue = catalogue
        self.slot_table.configure(pool.targets)
        for account in self.account_queue.accounts.values():
            workspace = catalogue.workspaces.get(account.name)
            if workspace is not None:
                weight = catalogue.weight(account.name)
                self.account_queue.set_weight(account, weight)
                account.limits = workspace.limits

    def activate(self, now: float) -> None:
        """Starts to schedule the pool.

        Discards all sessions; grants begin once all reachable routers have
        sent full reports, or after `Settings.rebuild_timeout_s`.
        """
        self.is_active = True
        self.state.is_ready = False
        self.active_since = now
        self.term += 1
        for name in list(self.state.sessions):
            self.state.drop_session(name, now)

    def deactivate(self) -> None:
        """Stops scheduling the pool."""
        self.is_active = False
        self.state.is_ready = False

    def set_members(self, members: Members, now: float) -> None:
        """Updates which routers are reachable, and the totals over them."""
        self.state.members = members
        self.state.update_served_fraction()
        for name, session in self.state.sessions.items():
            is_counted = name in members.reachable
            if is_counted != session.is_counted:
                session.is_counted = is_counted
                self.state.update_totals(session, now)
        for name in set(self.state.sessions) - members.known:
            self.state.drop_session(name, now)
            del self.state.baselines[name]

    def receive(
        self,
        sender: ids.InstanceId,
        report: messages.DemandReport,
        now: float,
    ) -> None:
        """Processes a router's report.

        A full report may start a new session. Other reports of an unknown
        session are answered with a request for a full report.
        """
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
                self.own_name, self.state, sender, report, now
            )
        session.sender.acknowledge(report.acknowledged)
        is_new = session.receiver.accept(
            report.sequence, report.part, report.parts
        )
        if report.wants_answer:
            session.sender.schedule_send(
                now + self.state.settings.acknowledge_delay_s
            )
        if is_new:
            demand_reports.apply_report(self.state, session, report, now)

    def update_target(
        self, report: events.TargetReported, source: ids.InstanceId
    ) -> None:
        """Processes a target's load report, received by router `source`."""
        self.slot_table.update_reported_load(report)
        self.slot_table.flag_draining(report.target, source, report.draining)

    def run(self, now: float) -> list[updates.AddressedUpdate]:
        """Makes grants and returns the updates that are due."""
        if not self.is_active:
            return []
        self._update_ready(now)
        if self.state.is_ready:
            self.state.refresh_rate_limited(now)
            self._grant_all(now)
            self.state.message_interval_s = self.slot_table.message_interval_s(
                now
            )
            for session in self.state.sessions.values():
                if session.is_counted:
                    session.sender.set_interval(self.state.message_interval_s)
                    self.outbox += updates.collect(self.state, session, now)
        sent = self.outbox
        self.outbox = []
        return sent

    def next_due_at(self, now: float) -> float:
        """Returns when to call `run` next, in monotonic seconds.

        Returns infinity if the scheduler is not active or nothing is due.
        """
        if not self.is_active:
            return math.inf
        if not self.state.is_ready:
            return self.active_since + self.state.settings.rebuild_timeout_s
        due_times = [
            session.sender.next_due_at()
            for session in self.state.sessions.values()
            if session.is_counted
        ]
        probe_at = self.slot_table.ejector.next_probe_at(now)
        return min([self.state.next_token_at, probe_at, *due_times])

    def virtual_times(self) -> dict[ids.WorkspaceId, float]:
        """Returns the virtual time of each workspace."""
        accounts = self.account_queue.accounts.values()
        return {account.name: account.virtual_time for account in accounts}

    def raise_floor(self) -> float:
        """Raises the floor of virtual times to the current minimum.

        Returns the new floor, which never decreases.
        """
        return self.account_queue.raise_floor()

    def _ask_for_full(
        self, sender: ids.InstanceId, report: messages.DemandReport, now: float
    ) -> None:
        asked_at = self.full_report_asked_at.get(sender, -math.inf)
        if not self.is_active or now - asked_at < FULL_REPORT_INTERVAL_S:
            return
        self.full_report_asked_at[sender] = now
        self.outbox.append(
            updates.ask_for_full(self.state, sender, report.session)
        )

    def _update_ready(self, now: float) -> None:
        if self.state.is_ready:
            return
        has_all = all(
            name in self.state.sessions
            and self.state.sessions[name].has_full_report()
            for name in self.state.members.reachable
        )
        if (
            has_all
            or now >= self.active_since + self.state.settings.rebuild_timeout_s
        ):
            self.account_queue.raise_all_to_floor()
            self.state.is_ready = True
            for account in self.account_queue.accounts.values():
                self.account_queue.refresh(
                    account, self.state.is_eligible(account, now), now
                )

    def _grant_all(self, now: float) -> None:
        available_targets = self.slot_table.available_targets(now)
        while available_targets and self.account_queue.by_projected_time:
            account = self._choose_account()
            session = self._choose_session(account)
            demand = session.demands[account.name]
            data_centre = self.state.members.reachable.get(session.name)
            target = min(
                available_targets,
                key=lambda t: (
                    self.slot_table.load(t, demand.preferred, data_centre),
                    t.name,
                ),
            )
            self._grant(account, session, target.name, now)
            if not self.slot_table.has_capacity(target.name, now):
                available_targets.remove(target)

    def _choose_account(self) -> virtual_time.Account:
        """Returns the least served workspace below its in-flight limit.

        If the first `SCAN_LIMIT` workspaces have all reached their limits,
        returns the least served one.
        """
        names = [
            name
            for _, name in self.account_queue.by_projected_time[:SCAN_LIMIT]
        ]
        accounts = [self.account_queue.accounts[name] for name in names]
        for account in accounts:
            if account.in_flight < self._in_flight_limit(account):
                return account
        return accounts[0]

    def _in_flight_limit(self, account: virtual_time.Account) -> int:
        """Returns how many requests a workspace may have in flight.

        This is its weighted share of the slots in use, and more if its
        service is behind the mean.
        """
        total = sum(self.slot_table.occupied.values())
        share = account.weight / max(
            self.account_queue.total_weight, account.weight
        )
        deficit = self.account_queue.mean_virtual_time() - account.virtual_time
        step = account.limits.largest_request * CATCH_UP_FRACTION
        extra = max(deficit, 0.0) * account.weight / step
        return max(1, math.ceil(total * share + extra))

    def _choose_session(
        self, account: virtual_time.Account
    ) -> sessions.Session:
        """Returns the router whose request has waited longest."""
        candidates = [
            self.state.sessions[name]
            for name in self.state.routers_by_workspace[account.name]
            if self.state.sessions[name].ungranted.get(account.name, 0) > 0
        ]
        return min(
            candidates,
            key=lambda s: (s.oldest_ungranted_at(account.name), s.name),
        )

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
        self.state.update_slot_use(session, key, now)
        grant = messages.Grant(
            account.name,
            target,
            session.granted[key],
            account.virtual_time,
        )
        session.sender.put(("grant", *key), grant, now)
        self.state.count("grants")
