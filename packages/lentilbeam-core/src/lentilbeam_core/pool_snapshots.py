"""Snapshots of one router's view of a pool, shown to operators."""

import dataclasses

from lentilbeam_core import agent as agent_lib
from lentilbeam_core import ids
from lentilbeam_core import scheduler as scheduler_lib


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceRow:
    """One workspace as this router sees it.

    Attributes:
        workspace: name of the workspace.
        queued: number of requests queued at this router.
        running: number of this router's requests that run now.
        served: service given by this router, in the pool's cost units.
        virtual_time: highest known virtual time of the workspace: its
            service divided by its weight.
        in_flight: number of running and granted requests in the whole fleet;
            0 unless this router is the pool's scheduler.
    """

    workspace: ids.WorkspaceId
    queued: int
    running: int
    served: float
    virtual_time: float
    in_flight: int


@dataclasses.dataclass(frozen=True, slots=True)
class TargetRow:
    """One target as this router sees it.

    Attributes:
        target: name of the target.
        slots: maximum number of requests that run on it at the same time.
        running: number of this router's requests that run on it now.
        occupied: number of its slots in use or granted in the whole fleet;
            0 unless this router is the pool's scheduler.
        is_ejected: whether this router, as the pool's scheduler, has
            ejected it after failures.
        is_draining: whether this router knows that it takes no new requests.
    """

    target: ids.TargetId
    slots: int
    running: int
    occupied: int
    is_ejected: bool
    is_draining: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSnapshot:
    """One router's view of a pool.

    Attributes:
        scheduler: instance that this router takes as the pool's scheduler;
            None if it knows none.
        is_scheduler: whether this router is the pool's scheduler.
        term: number of activations of this router's scheduler of the pool,
            including those after a pause; not comparable between routers.
        queued: number of requests queued at this router.
        running: number of this router's requests that run now.
        workspaces: the workspaces, sorted by name.
        targets: the targets, in the catalogue's order.
        counters: counts of this router's decisions since its start, by name.
    """

    scheduler: ids.InstanceId | None
    is_scheduler: bool
    term: int
    queued: int
    running: int
    workspaces: tuple[WorkspaceRow, ...]
    targets: tuple[TargetRow, ...]
    counters: dict[str, int]


def take_snapshot(
    agent: agent_lib.Agent,
    scheduler: scheduler_lib.Scheduler,
    chosen_scheduler: ids.InstanceId | None,
    now: float,
) -> PoolSnapshot:
    """Returns a snapshot of one pool.

    Args:
        agent: this router's side of the pool.
        scheduler: the pool's scheduler at this router, active or not.
        chosen_scheduler: instance that this router takes as the pool's
            scheduler; None if it knows none.
        now: monotonic time, in seconds.
    """
    names = sorted({*agent.state.queues, *scheduler.account_queue.accounts})
    rows = tuple(_build_workspace_row(agent, scheduler, name) for name in names)
    targets = tuple(
        _build_target_row(agent, scheduler, name, now)
        for name in agent.state.targets
    )
    return PoolSnapshot(
        scheduler=chosen_scheduler,
        is_scheduler=scheduler.is_active,
        term=scheduler.term,
        queued=len(agent.state.queued_by_name),
        running=len(agent.state.running),
        workspaces=rows,
        targets=targets,
        counters=agent.state.counters | scheduler.counters,
    )


def _build_workspace_row(
    agent: agent_lib.Agent,
    scheduler: scheduler_lib.Scheduler,
    name: ids.WorkspaceId,
) -> WorkspaceRow:
    queue = agent.state.queues.get(name)
    is_active = scheduler.is_active
    account = scheduler.account_queue.accounts.get(name) if is_active else None
    times = [queue.virtual_time if queue else 0.0]
    times.append(account.virtual_time if account else 0.0)
    return WorkspaceRow(
        workspace=name,
        queued=len(queue.pending) if queue else 0,
        running=len(agent.state.running_by_workspace.get(name, ())),
        served=queue.served if queue else 0.0,
        virtual_time=max(times),
        in_flight=account.in_flight if account else 0,
    )


def _build_target_row(
    agent: agent_lib.Agent,
    scheduler: scheduler_lib.Scheduler,
    name: ids.TargetId,
    now: float,
) -> TargetRow:
    running = sum(run.target == name for run in agent.state.running.values())
    slot_table = scheduler.slot_table
    is_active = scheduler.is_active
    is_draining = name in agent.state.draining or bool(
        slot_table.draining.get(name)
    )
    return TargetRow(
        target=name,
        slots=agent.state.targets[name].slots,
        running=running,
        occupied=slot_table.occupied.get(name, 0) if is_active else 0,
        is_ejected=is_active and slot_table.ejector.is_ejected(name, now),
        is_draining=is_draining,
    )
