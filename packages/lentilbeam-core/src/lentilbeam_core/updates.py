"""Messages of a pool's scheduler to routers: grants and queue lengths."""

import dataclasses

from lentilbeam_core import channel
from lentilbeam_core import ids
from lentilbeam_core import messages
from lentilbeam_core import scheduler_state
from lentilbeam_core import sessions
from lentilbeam_core import virtual_time

MAX_ITEMS = 32
"""Maximum number of list items in one datagram."""
QUEUE_STEPS = 8
"""Queue lengths are sent when they change by 1/`QUEUE_STEPS` of the queue
limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class AddressedUpdate:
    """An update and the router to send it to."""

    receiver: ids.InstanceId
    update: messages.GrantUpdate


def stage_queue_lengths(
    state: scheduler_state.State, account: virtual_time.Account, now: float
) -> None:
    """Schedules queue lengths at other routers for each router's next update.

    Skips a workspace whose fleet-wide queue is shorter than half of its limit,
    unless its length was sent to the router before. Also skips changes of less
    than 1/`QUEUE_STEPS` of the limit.
    """
    limit = max(account.limits.queue_length, 1)
    is_near = account.queued * 2 >= limit
    for name in state.routers_by_workspace[account.name]:
        session = state.sessions[name]
        key = ("queue", account.name)
        queued_elsewhere = account.queued - session.demands[account.name].queued
        sent = session.sender.values.get(key)
        if sent is None and not is_near:
            continue
        change = abs(queued_elsewhere - (sent.queued if sent else 0))
        if change * QUEUE_STEPS < limit:
            continue
        queued = messages.QueuedElsewhere(
            account.name, max(queued_elsewhere, 0)
        )
        session.sender.put(key, queued, now)
        session.sender.skip_pacing()


def ask_for_full(
    state: scheduler_state.State, receiver: ids.InstanceId, number: int
) -> AddressedUpdate:
    """Returns an update that asks for a full report in a new session.

    Args:
        state: the scheduler's state.
        receiver: the router to ask.
        number: the router's current session number.
    """
    update = messages.GrantUpdate(
        pool=state.pool,
        session=number,
        sequence=0,
        part=0,
        parts=1,
        acknowledged=0,
        needs_full=True,
        pace_ms=0,
        floor=0.0,
        grants=(),
        queues=(),
    )
    return AddressedUpdate(receiver, update)


def collect(
    state: scheduler_state.State,
    session: sessions.Session,
    now: float,
) -> list[AddressedUpdate]:
    """Returns the session's update in parts; empty if none is due."""
    if session.sender.next_due_at() > now:
        return []
    items = session.sender.collect(now)
    chunks = channel.split_parts(items, MAX_ITEMS)
    return [
        AddressedUpdate(
            session.name,
            _make_part(state, session, part, index, len(chunks)),
        )
        for index, part in enumerate(chunks)
    ]


def _make_part(
    state: scheduler_state.State,
    session: sessions.Session,
    items: list[object],
    part: int,
    parts: int,
) -> messages.GrantUpdate:
    return messages.GrantUpdate(
        pool=state.pool,
        session=session.number,
        sequence=session.sender.sequence,
        part=part,
        parts=parts,
        acknowledged=session.receiver.complete_sequence,
        needs_full=False,
        pace_ms=int(state.message_interval_s * messages.MS_PER_S),
        floor=state.account_queue.raise_floor(),
        grants=channel.filter_by_type(items, messages.Grant),
        queues=channel.filter_by_type(items, messages.QueuedElsewhere),
    )
