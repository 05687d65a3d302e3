"""Chooses the router that schedules each pool.

Every router chooses by rendezvous hashing over its own view of the fleet.
Views may differ for a while, so a pool may briefly have two schedulers.
"""

from lentilbeam_core import events
from lentilbeam_core import heartbeats
from lentilbeam_core import ids
from lentilbeam_core import membership as membership_lib
from lentilbeam_core import node_state
from lentilbeam_core import rendezvous
from lentilbeam_core import scheduler as scheduler_lib


def choose_schedulers(
    state: node_state.State,
    heartbeat_sender: heartbeats.HeartbeatSender,
    now: float,
    effects: list[events.Effect],
) -> None:
    """Chooses each pool's scheduler from this router's view of the fleet.

    Activates and deactivates this router's own schedulers, and starts a new
    session wherever the choice has changed.
    """
    _suspect_silent(state, now)
    members = _collect_members(state, now)
    candidates = [n for n in sorted(members.live) if _can_schedule(state, n)]
    if not candidates:
        candidates = [
            n for n in sorted(members.reachable) if _can_schedule(state, n)
        ]
    for pool, agent in state.agents.items():
        chosen = rendezvous.choose(pool, candidates) or state.settings.name
        scheduler = state.schedulers[pool]
        is_own = chosen == state.settings.name
        if members != scheduler.state.members:
            scheduler.set_members(members, now)
        if is_own and not scheduler.is_active:
            activate(state, heartbeat_sender, pool, now, effects)
        elif scheduler.is_active and not is_own:
            scheduler.deactivate()
            agent.merge_virtual_times(
                scheduler.virtual_times(), scheduler.raise_floor()
            )
        if state.scheduler_by_pool.get(pool) != chosen:
            state.scheduler_by_pool[pool] = chosen
            agent.begin_session(chosen, is_own, now)
            effects.append(events.RecordEvent("follow", pool, chosen))


def _suspect_silent(state: node_state.State, now: float) -> None:
    """Suspects schedulers that have been silent since they were chosen."""
    first_answer_timeout_s = state.settings.membership.silence_s
    for pool, chosen in state.scheduler_by_pool.items():
        began_at = state.agents[pool].session_began_at
        peer = state.membership.peers.get(chosen)
        if peer is None or now - began_at <= first_answer_timeout_s:
            continue
        if peer.last_heard <= began_at:
            state.membership.suspect(chosen)


def _collect_members(
    state: node_state.State, now: float
) -> scheduler_lib.Members:
    states = membership_lib.PeerState
    states_by_name = {
        name: state.membership.state(name, now)
        for name in state.membership.names()
    }
    reachable = {
        name: _data_centre(state, name)
        for name, peer_state in states_by_name.items()
        if peer_state in (states.LIVE, states.LEAVING)
        and state.membership.is_reachable(name, now)
    }
    live = frozenset(n for n, s in states_by_name.items() if s is states.LIVE)
    unreachable_count = sum(
        s is states.UNREACHABLE for s in states_by_name.values()
    )
    known = frozenset(
        n for n, s in states_by_name.items() if s is not states.GONE
    )
    return scheduler_lib.Members(
        reachable, live, known, len(live) + unreachable_count
    )


def _data_centre(
    state: node_state.State, name: ids.InstanceId
) -> ids.DataCentreId | None:
    if name == state.settings.name:
        return state.settings.data_centre
    listed = state.membership.listed.get(name)
    return listed.data_centre if listed else None


def _can_schedule(state: node_state.State, name: ids.InstanceId) -> bool:
    if name == state.settings.name:
        return state.is_ready
    return state.membership.peers[name].is_ready


def activate(
    state: node_state.State,
    heartbeat_sender: heartbeats.HeartbeatSender,
    pool: ids.PoolId,
    now: float,
    effects: list[events.Effect],
) -> None:
    """Activates this router's scheduler of a pool.

    Makes heartbeats to all peers due, so that they learn of it immediately.
    """
    scheduler = state.schedulers[pool]
    scheduler.activate(now)
    heartbeat_sender.make_all_due()
    effects.append(
        events.RecordEvent("schedule", pool, f"term {scheduler.term}")
    )
