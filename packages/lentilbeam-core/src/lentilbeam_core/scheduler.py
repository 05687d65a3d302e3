"""The soft scheduler of one pool: turns demand reports into grants.

All of its state is rebuilt from the routers' reports, so it may be lost, or
held twice for a while, without harm beyond a moment's unfairness.
"""

import dataclasses
import math

from lentilbeam_core import catalogue as catalogue_lib
from lentilbeam_core import channel
from lentilbeam_core import events
from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core import sessions
from lentilbeam_core import slots
from lentilbeam_core import virtual_time

MAX_ITEMS = 32
"""List items in one datagram."""
SCAN_LIMIT = 8
QUEUE_STEPS = 8
CATCH_UP_STEP = 0.25
"""Service behind the mean, relative to the largest request, that allows one
more request in flight."""
FULL_INTERVAL_S = 0.1


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
    wake_grace_s: float = 0.05
    book: slots.Settings = slots.Settings()


@dataclasses.dataclass(frozen=True, slots=True)
class Members:
    """Routers as the scheduler's node sees them.

    Attributes:
        heard: routers that are heard, with their data centres.
        live: those of them that are not leaving.
        known: routers that are not gone.
        total: routers that are live or listed so and silent.
    """

    heard: dict[ids.InstanceId, ids.DataCentreId | None]
    live: frozenset[ids.InstanceId]
    known: frozenset[ids.InstanceId]
    total: int


@dataclasses.dataclass(frozen=True, slots=True)
class Addressed:
    """An update and the router that it is for."""

    receiver: ids.InstanceId
    update: messages.GrantUpdate


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
        self.settings = settings
        self.catalogue = catalogue_lib.EMPTY
        self.ledger = virtual_time.Ledger(settings.wake_grace_s)
        self.book = slots.Book(settings.book)
        self.sessions: dict[ids.InstanceId, sessions.Session] = {}
        self.baselines: dict[ids.InstanceId, sessions.Baseline] = {}
        self.demanding: dict[ids.WorkspaceId, set[ids.InstanceId]] = {}
        self.members = Members({}, frozenset(), frozenset(), 0)
        self.strangers: dict[ids.InstanceId, float] = {}
        self.outbox: list[Addressed] = []
        self.is_active = False
        self.is_ready = False
        self.is_busy = False
        self.active_since = -math.inf
        self.next_token_at = math.inf
        self.rated: set[ids.WorkspaceId] = set()
        self.term = 0
        self.counters: dict[str, int] = {}

    def configure(
        self, pool: catalogue_lib.Pool, catalogue: catalogue_lib.Catalogue
    ) -> None:
        """Takes in a new catalogue."""
        self.pool = pool
        self.catalogue = catalogue
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
        self.is_ready = False
        self.active_since = now
        self.term += 1
        for name in list(self.sessions):
            self._drop(name, now)

    def deactivate(self) -> None:
        """Gives the role up."""
        self.is_active = False
        self.is_ready = False

    def set_members(self, members: Members, now: float) -> None:
        """Takes in which routers are heard."""
        self.members = members
        self._update_fraction()
        for name, session in self.sessions.items():
            is_counted = name in members.heard
            if is_counted != session.is_counted:
                session.is_counted = is_counted
                self._recount(session, now)
        for name in set(self.sessions) - members.known:
            self._drop(name, now)
            del self.baselines[name]

    def receive(
        self,
        sender: ids.InstanceId,
        report: messages.DemandReport,
        now: float,
    ) -> None:
        """Takes in a router's report."""
        session = self.sessions.get(sender)
        if session is None or report.session != session.number:
            if not report.is_full:
                self._ask_for_full(sender, report, now)
                return
            if session is not None and not _is_newer(report, session):
                return
            session = self._begin(sender, report, now)
        session.sender.acknowledge(report.acknowledged)
        is_new = session.receiver.accept(
            report.sequence, report.part, report.parts
        )
        if report.wants_answer:
            session.sender.want(now + self.settings.acknowledge_s)
        if is_new:
            self._take_in(session, report, now)

    def hear_target(
        self, report: events.TargetReported, source: ids.InstanceId
    ) -> None:
        """Takes in a target's own load report."""
        self.book.hear_load(report)
        self.book.flag_draining(report.target, source, report.draining)

    def run(self, now: float) -> list[Addressed]:
        """Makes grants and returns the updates that are due."""
        if not self.is_active:
            return []
        self._check_ready(now)
        if self.is_ready:
            self._refresh_rated(now)
            self._grant_all(now)
            self.is_busy = self.book.is_busy(now)
            for session in self.sessions.values():
                if session.is_counted:
                    session.sender.is_paced = self.is_busy
                    self._send(session, now)
        sent = self.outbox
        self.outbox = []
        return sent

    def due(self, now: float) -> float:
        """Returns when `run` is to be called next."""
        if not self.is_active:
            return math.inf
        if not self.is_ready:
            return self.active_since + self.settings.rebuild_s
        dues = [
            session.sender.due()
            for session in self.sessions.values()
            if session.is_counted
        ]
        trial_at = self.book.ejector.next_trial(now)
        return min([self.next_token_at, trial_at, *dues])

    def virtual_times(self) -> dict[ids.WorkspaceId, float]:
        """Returns the virtual time of each workspace."""
        accounts = self.ledger.accounts.values()
        return {account.name: account.virtual_time for account in accounts}

    def floor(self) -> float:
        """Returns the least virtual time of workspaces that wait."""
        return self.ledger.least()

    def _begin(
        self, sender: ids.InstanceId, report: messages.DemandReport, now: float
    ) -> sessions.Session:
        self._drop(sender, now)
        pace = channel.Pace() if sender == self.me else self.settings.pace
        session = sessions.Session(
            sender, report.incarnation, report.session, pace
        )
        session.is_counted = sender in self.members.heard
        self.sessions[sender] = session
        self._update_fraction()
        baseline = self.baselines.get(sender)
        if baseline is None or baseline.incarnation != report.incarnation:
            self.baselines[sender] = sessions.Baseline(report.incarnation)
        return session

    def _update_fraction(self) -> None:
        """Sets the part of the fleet that this scheduler serves."""
        members = self.members
        served = len(members.live & set(self.sessions))
        self.book.fraction = served / members.total if served else 1.0

    def _drop(self, name: ids.InstanceId, now: float) -> None:
        session = self.sessions.pop(name, None)
        if session is None:
            return
        session.is_counted = False
        self._recount(session, now)
        for workspace in session.demands:
            self.demanding[workspace].discard(name)
        for target in session.targets:
            self.book.flag_draining(target, name, False)

    def _ask_for_full(
        self, sender: ids.InstanceId, report: messages.DemandReport, now: float
    ) -> None:
        asked_at = self.strangers.get(sender, -math.inf)
        if not self.is_active or now - asked_at < FULL_INTERVAL_S:
            return
        self.strangers[sender] = now
        update = messages.GrantUpdate(
            pool=self.pool.name,
            session=report.session,
            sequence=0,
            part=0,
            parts=1,
            acknowledged=0,
            needs_full=True,
            is_busy=False,
            floor=0.0,
            grants=(),
            queues=(),
        )
        self.outbox.append(Addressed(sender, update))

    def _take_in(
        self,
        session: sessions.Session,
        report: messages.DemandReport,
        now: float,
    ) -> None:
        self.ledger.floor = max(self.ledger.floor, report.floor)
        for demand in report.workspaces:
            if demand.workspace in self.catalogue.workspaces:
                self._take_demand(session, demand, now)
        ended: dict[ids.TargetId, int] = {}
        for use in report.slots:
            if use.workspace in self.catalogue.workspaces:
                count = self._take_use(session, use, now)
                ended[use.target] = ended.get(use.target, 0) + count
        self.book.measure(sum(ended.values()), now)
        failed = {
            use.target: self._take_target(session, use)
            for use in report.targets
        }
        for target in {*ended, *failed}:
            failures = failed.get(target, 0)
            self._judge(target, ended.get(target, 0), failures, now)

    def _take_demand(
        self,
        session: sessions.Session,
        demand: messages.WorkspaceDemand,
        now: float,
    ) -> None:
        workspace = demand.workspace
        account = self._account(workspace)
        served = self.baselines[session.name].served
        if workspace not in served:
            time = max(account.virtual_time, demand.virtual_time)
            account.virtual_time = time
            served[workspace] = demand.served - demand.unsettled
        self.ledger.charge(account, demand.served - served[workspace])
        served[workspace] = max(served[workspace], demand.served)
        before = session.demands.get(workspace)
        session.demands[workspace] = demand
        session.heard_at[workspace] = now
        session.oldest_at[workspace] = now - demand.oldest_age_ms / 1000
        self.demanding.setdefault(workspace, set()).add(session.name)
        if session.is_counted:
            account.queued += demand.queued - (before.queued if before else 0)
        self._update_room(session, workspace, now)
        self._tell_queues(account, now)

    def _take_use(
        self, session: sessions.Session, use: messages.SlotUse, now: float
    ) -> int:
        key = (use.target, use.workspace)
        before = session.uses.get(key)
        session.uses[key] = use
        granted = max(session.granted.get(key, 0), use.granted)
        session.granted[key] = granted
        self._update_cell(session, key, now)
        if before is None:
            return max(use.spent - use.running, 0)
        started = use.spent - before.spent
        return max(started - (use.running - before.running), 0)

    def _take_target(
        self, session: sessions.Session, use: messages.TargetUse
    ) -> int:
        """Returns how many failures are news."""
        before = session.targets.get(use.target)
        session.targets[use.target] = use
        self.book.flag_draining(use.target, session.name, use.is_draining)
        if before is None and session.receiver.complete <= 1:
            return 0
        return max(use.failed - (before.failed if before else 0), 0)

    def _judge(
        self, target: ids.TargetId, ended: int, failures: int, now: float
    ) -> None:
        """Ejects a target that only fails; takes it back when it serves."""
        ejector = self.book.ejector
        if ended > failures:
            ejector.succeed(target)
        elif failures and ejector.fail(
            target, failures, self.book.targets, now
        ):
            self._count("ejections")

    def _account(self, workspace: ids.WorkspaceId) -> virtual_time.Account:
        account = self.ledger.accounts.get(workspace)
        if account is None:
            account = virtual_time.Account(
                workspace,
                self.catalogue.weight(workspace),
                self.catalogue.workspaces[workspace].limits,
            )
            self.ledger.accounts[workspace] = account
        return account

    def _update_cell(
        self, session: sessions.Session, key: sessions.CellKey, now: float
    ) -> None:
        target, workspace = key
        account = self._account(workspace)
        old = session.applied.get(key, sessions.NOTHING)
        new = session.contribution(key)
        session.applied[key] = new
        account.in_flight += new.slots - old.slots
        account.expected = max(account.expected + new.cost - old.cost, 0.0)
        self.book.occupy(target, new.slots - old.slots)
        session.count_pending(key)
        self._update_room(session, workspace, now)

    def _update_room(
        self, session: sessions.Session, workspace: ids.WorkspaceId, now: float
    ) -> None:
        account = self._account(workspace)
        room = session.room(workspace)
        account.room += room - session.rooms.get(workspace, 0)
        session.rooms[workspace] = room
        self._refresh(account, now)

    def _recount(self, session: sessions.Session, now: float) -> None:
        """Adds a session's state to the totals, or takes it out."""
        sign = 1 if session.is_counted else -1
        for workspace, demand in session.demands.items():
            self._account(workspace).queued += sign * demand.queued
            self._update_room(session, workspace, now)
        for key in set(session.uses) | set(session.granted):
            self._update_cell(session, key, now)

    def _refresh(self, account: virtual_time.Account, now: float) -> None:
        self.ledger.refresh(account, self._is_eligible(account, now), now)

    def _is_eligible(self, account: virtual_time.Account, now: float) -> bool:
        if account.room <= 0 or not self.is_ready:
            return False
        limit = account.limits.concurrency
        if limit is not None and account.in_flight >= self._part(limit):
            return False
        virtual_time.refill(account, now, self.book.fraction)
        if account.tokens >= 1:
            return True
        rate = account.limits.rate_per_s * self.book.fraction
        ready_at = now + (1 - account.tokens) / rate
        self.next_token_at = min(self.next_token_at, ready_at)
        self.rated.add(account.name)
        return False

    def _part(self, limit: int) -> int:
        """Returns this side's part of a fleet-wide limit."""
        fraction = self.book.fraction
        if fraction > 0.5:
            return limit - math.floor(limit * (1 - fraction))
        return math.floor(limit * fraction)

    def _refresh_rated(self, now: float) -> None:
        if now < self.next_token_at:
            return
        self.next_token_at = math.inf
        rated = self.rated
        self.rated = set()
        for workspace in sorted(rated):
            self._refresh(self._account(workspace), now)

    def _check_ready(self, now: float) -> None:
        if self.is_ready:
            return
        has_all = all(
            name in self.sessions and self.sessions[name].is_full()
            for name in self.members.heard
        )
        if has_all or now >= self.active_since + self.settings.rebuild_s:
            self.ledger.lift_all()
            self.is_ready = True
            for account in self.ledger.accounts.values():
                self.ledger.refresh(
                    account, self._is_eligible(account, now), now
                )

    def _grant_all(self, now: float) -> None:
        free = self.book.free(now)
        while free and self.ledger.order:
            account = self._choose_account()
            session = self._choose_session(account)
            demand = session.demands[account.name]
            data_centre = self.members.heard.get(session.name)
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
            self.sessions[name]
            for name in self.demanding[account.name]
            if self.sessions[name].rooms.get(account.name, 0) > 0
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
        self._update_cell(session, key, now)
        grant = messages.Grant(
            account.name,
            target,
            session.granted[key],
            account.virtual_time,
        )
        session.sender.put(("grant", *key), grant, now)
        self._count("grants")

    def _tell_queues(self, account: virtual_time.Account, now: float) -> None:
        """Tells routers of a queue that comes near its fleet-wide limit."""
        limit = max(account.limits.queue_length, 1)
        is_near = account.queued * 2 >= limit
        for name in self.demanding[account.name]:
            session = self.sessions[name]
            key = ("queue", account.name)
            elsewhere = account.queued - session.demands[account.name].queued
            told = session.sender.values.get(key)
            if told is None and not is_near:
                continue
            change = abs(elsewhere - (told.queued if told else 0))
            if change * QUEUE_STEPS < limit:
                continue
            queued = messages.QueuedElsewhere(account.name, max(elsewhere, 0))
            session.sender.put(key, queued, now)
            session.sender.hurry()

    def _send(self, session: sessions.Session, now: float) -> None:
        if session.sender.due() > now:
            return
        items = session.sender.collect(now)
        chunks = [
            items[i : i + MAX_ITEMS] for i in range(0, len(items), MAX_ITEMS)
        ] or [[]]
        for index, part in enumerate(chunks):
            update = self._make_part(session, part, index, len(chunks))
            self.outbox.append(Addressed(session.name, update))

    def _make_part(
        self,
        session: sessions.Session,
        items: list[object],
        part: int,
        parts: int,
    ) -> messages.GrantUpdate:
        def of(kind):
            return tuple(item for item in items if isinstance(item, kind))

        return messages.GrantUpdate(
            pool=self.pool.name,
            session=session.number,
            sequence=session.sender.sequence,
            part=part,
            parts=parts,
            acknowledged=session.receiver.complete,
            needs_full=False,
            is_busy=self.is_busy,
            floor=self.ledger.least(),
            grants=of(messages.Grant),
            queues=of(messages.QueuedElsewhere),
        )

    def _count(self, name: str) -> None:
        self.counters[name] = self.counters.get(name, 0) + 1


def _is_newer(report: messages.DemandReport, session: sessions.Session) -> bool:
    return (report.incarnation, report.session) > (
        session.incarnation,
        session.number,
    )
