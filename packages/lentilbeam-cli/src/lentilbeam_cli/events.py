"""Merges the timelines of all routers."""

from collections.abc import Iterable
import dataclasses
import datetime
import re

import expression
import msgspec

from lentilbeam_cli import context as context_lib
from lentilbeam_cli import fleet
from lentilbeam_cli import options as options_lib
from lentilbeam_core import hlc

WORD_PATTERN = re.compile(r"[^\s,;=()\[\]/]+")


class Event(msgspec.Struct, frozen=True):
    """An event in the timeline of a router.

    Attributes:
        stamp: time of the hybrid logical clock, see `hlc`.
        instance: ID of the router.
        name: name of the event, such as "request.ended".
        subject: what the event is about, such as a request or a pool.
        detail: further information; may be empty.
    """

    stamp: int
    instance: str
    name: str
    subject: str
    detail: str = ""

    @property
    def unix_us(self) -> int:
        """Wall-clock time in microseconds since 1970 (UTC)."""
        return self.stamp >> hlc.COUNTER_BITS

    @property
    def time(self) -> datetime.datetime:
        """Wall-clock time in UTC."""
        epoch = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)
        return epoch + datetime.timedelta(microseconds=self.unix_us)


class _WireTimeline(msgspec.Struct):
    events: list[Event]


@dataclasses.dataclass(frozen=True, slots=True)
class MergedTimeline:
    """Events of several routers.

    Attributes:
        events: events in causal order.
        routers: number of routers whose timelines were merged.
    """

    events: list[Event]
    routers: int


async def collect_events(
    context: context_lib.Context,
) -> expression.Result[MergedTimeline, context_lib.Failure]:
    """Returns the events, from all routers, that match the options' filters.

    Routers that don't respond are reported and left out. The result is a
    failure if the instance list can't be read or no router responds.
    """
    replies = await fleet.request_all(context, "/v1/timeline")
    if replies.is_error():
        return replies
    fleet.write_request_errors(context, replies.ok)
    timelines = []
    for reply in replies.ok:
        if reply.value is None:
            continue
        try:
            timelines.append(msgspec.convert(reply.value, _WireTimeline))
        except msgspec.ValidationError as error:
            context.out.write_error(f"{reply.router.name}: {error}")
    if not timelines:
        return expression.Error(
            context_lib.build_unreachable_failure("no router answered")
        )
    merged = merge_timelines(each.events for each in timelines)
    wanted = [
        event for event in merged if matches_filters(event, context.options)
    ]
    return expression.Ok(MergedTimeline(wanted, len(timelines)))


def merge_timelines(timelines: Iterable[list[Event]]) -> list[Event]:
    """Returns all events ordered by stamp, then by instance."""
    events = [event for timeline in timelines for event in timeline]
    return sorted(events, key=lambda event: (event.stamp, event.instance))


def matches_filters(event: Event, options: options_lib.Options) -> bool:
    """Returns whether an event matches all filters that are set.

    A filter matches if the subject or detail equals its value or contains it
    as a word.
    """
    words = {event.subject, event.detail}
    words.update(
        WORD_PATTERN.findall(event.subject), WORD_PATTERN.findall(event.detail)
    )
    filters = (options.request, options.workspace, options.target)
    return all(each is None or each in words for each in filters)
