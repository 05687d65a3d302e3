"""The merged time line of all routers."""

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

WORD = re.compile(r"[^\s,;=()\[\]/]+")


class Event(msgspec.Struct, frozen=True):
    """One event; stamps are of the hybrid logical clock, see `hlc`."""

    stamp: int
    instance: str
    name: str
    subject: str
    detail: str = ""

    @property
    def unix_us(self) -> int:
        """Microseconds since 1970."""
        return self.stamp >> hlc.COUNTER_BITS

    @property
    def time(self) -> datetime.datetime:
        """Wall-clock time in UTC."""
        epoch = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)
        return epoch + datetime.timedelta(microseconds=self.unix_us)


class _WireTimeline(msgspec.Struct):
    events: list[Event]


@dataclasses.dataclass(frozen=True, slots=True)
class Merged:
    """Events of all routers in causal order, and how many answered."""

    events: list[Event]
    routers: int


async def collect_events(
    context: context_lib.Context,
) -> expression.Result[Merged, context_lib.Failure]:
    """Returns the events that the options ask for, merged by stamp."""
    asked = await fleet.ask_all(context, "/v1/timeline")
    if asked.is_error():
        return asked
    fleet.warn_of_silent(context, asked.ok)
    timelines = []
    for reply in asked.ok:
        if reply.value is None:
            continue
        try:
            timelines.append(msgspec.convert(reply.value, _WireTimeline))
        except msgspec.ValidationError as error:
            context.out.write_error(f"{reply.router.name}: {error}")
    if not timelines:
        return expression.Error(context_lib.unreachable("no router answered"))
    merged = merge(each.events for each in timelines)
    wanted = [event for event in merged if is_wanted(event, context.options)]
    return expression.Ok(Merged(wanted, len(timelines)))


def merge(timelines: Iterable[list[Event]]) -> list[Event]:
    """Returns all events by stamp, then by instance."""
    events = [event for timeline in timelines for event in timeline]
    return sorted(events, key=lambda event: (event.stamp, event.instance))


def is_wanted(event: Event, options: options_lib.Options) -> bool:
    """Tells whether the event is about all that the options name."""
    words = {event.subject, event.detail}
    words.update(WORD.findall(event.subject), WORD.findall(event.detail))
    filters = (options.request, options.workspace, options.target)
    return all(each is None or each in words for each in filters)
