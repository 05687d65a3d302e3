"""Application of a router's demand reports to a pool scheduler's totals."""

from lentilbeam_core import channel
from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core import scheduler_state
from lentilbeam_core import sessions
from lentilbeam_core import updates


def begin_session(
    own_name: ids.InstanceId,
    state: scheduler_state.State,
    sender: ids.InstanceId,
    report: messages.DemandReport,
    now: float,
) -> sessions.Session:
    """Starts a router's new session on its first full report.

    Ends the router's previous session, if there is one.

    Args:
        own_name: the instance that the scheduler runs on. Messages to its
            own router are not paced.
        state: state of the scheduler; is modified.
        sender: the router that sent the report.
        report: a full report.
        now: monotonic time, in seconds.

    Returns:
        The new session. The report itself is not applied yet.
    """
    state.drop_session(sender, now)
    pace = channel.Pace() if sender == own_name else state.settings.pace
    session = sessions.Session(sender, report.incarnation, report.session, pace)
    session.is_counted = sender in state.members.reachable
    state.sessions[sender] = session
    state.update_served_fraction()
    baseline = state.baselines.get(sender)
    if baseline is None or baseline.incarnation != report.incarnation:
        state.baselines[sender] = sessions.Baseline(report.incarnation)
    return session


def is_newer(report: messages.DemandReport, session: sessions.Session) -> bool:
    """Returns whether `report` belongs to a later session than `session`."""
    return (report.incarnation, report.session) > (
        session.incarnation,
        session.number,
    )


def apply_report(
    state: scheduler_state.State,
    session: sessions.Session,
    report: messages.DemandReport,
    now: float,
) -> None:
    """Applies everything that a router's report lists.

    Demands and uses of workspaces that the catalogue doesn't have are
    ignored.

    Args:
        state: state of the scheduler; is modified.
        session: the router's session.
        report: a report of that session; may be one part of a report.
        now: monotonic time, in seconds.
    """
    state.account_queue.floor = max(state.account_queue.floor, report.floor)
    for demand in report.workspaces:
        if demand.workspace in state.catalogue.workspaces:
            _apply_demand(state, session, demand, now)
    ended: dict[ids.TargetId, int] = {}
    for use in report.slots:
        if use.workspace in state.catalogue.workspaces:
            count = _apply_slot_use(state, session, use, now)
            ended[use.target] = ended.get(use.target, 0) + count
    state.slot_table.update_run_time(sum(ended.values()), now)
    failed = {
        use.target: _apply_target_use(state, session, use)
        for use in report.targets
    }
    for target in {*ended, *failed}:
        failures = failed.get(target, 0)
        _update_ejection(state, target, ended.get(target, 0), failures, now)


def _apply_demand(
    state: scheduler_state.State,
    session: sessions.Session,
    demand: messages.WorkspaceDemand,
    now: float,
) -> None:
    workspace = demand.workspace
    account = state.account(workspace)
    charged = state.baselines[session.name].charged
    if workspace not in charged:
        time = max(account.virtual_time, demand.virtual_time)
        account.virtual_time = time
        charged[workspace] = demand.served - demand.unsettled
    state.account_queue.charge(account, demand.served - charged[workspace])
    charged[workspace] = max(charged[workspace], demand.served)
    before = session.demands.get(workspace)
    session.demands[workspace] = demand
    session.reported_at[workspace] = now
    session.oldest_at[workspace] = now - demand.oldest_age_ms / 1000
    state.routers_by_workspace.setdefault(workspace, set()).add(session.name)
    if session.is_counted:
        account.queued += demand.queued - (before.queued if before else 0)
    state.update_ungranted(session, workspace, now)
    updates.stage_queue_lengths(state, account, now)


def _apply_slot_use(
    state: scheduler_state.State,
    session: sessions.Session,
    use: messages.SlotUse,
    now: float,
) -> int:
    """Estimates how many requests have ended since the previous report.

    Returned grants are counted too. A request started without a grant lowers
    the estimate for the report in which it starts.
    """
    key = (use.target, use.workspace)
    before = session.slot_uses.get(key)
    session.slot_uses[key] = use
    granted = max(session.granted.get(key, 0), use.granted)
    session.granted[key] = granted
    state.update_slot_use(session, key, now)
    if before is None:
        return max(use.spent - use.running, 0)
    newly_spent = use.spent - before.spent
    return max(newly_spent - (use.running - before.running), 0)


def _apply_target_use(
    state: scheduler_state.State,
    session: sessions.Session,
    use: messages.TargetUse,
) -> int:
    """Returns the number of failures since the previous report.

    A target's count in the first report of a session (sequence number 1) may
    include older failures, so that report yields 0.
    """
    before = session.targets.get(use.target)
    session.targets[use.target] = use
    state.slot_table.flag_draining(use.target, session.name, use.is_draining)
    if before is None and session.receiver.complete_sequence <= 1:
        return 0
    return max(use.failed - (before.failed if before else 0), 0)


def _update_ejection(
    state: scheduler_state.State,
    target: ids.TargetId,
    ended: int,
    failures: int,
    now: float,
) -> None:
    """Ejects a failing target, or clears its failures.

    If more requests ended than failed, at least one ended without a failure
    (completed or cancelled), which clears the target's failures and its
    ejection.

    Args:
        state: state of the scheduler; is modified.
        target: name of the target.
        ended: number of requests that ended since the previous report.
        failures: number of failures since the previous report.
        now: monotonic time, in seconds.
    """
    ejector = state.slot_table.ejector
    if ended > failures:
        ejector.record_success(target)
    elif failures and ejector.record_failures(
        target, failures, state.slot_table.targets, now
    ):
        state.count("ejections")
