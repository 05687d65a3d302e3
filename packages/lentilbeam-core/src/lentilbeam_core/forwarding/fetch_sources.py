"""Which targets prompt parts can be fetched from.

Targets that get no new requests, since they leave, their data centre is
evacuated, or they ask for none, still hand out what they hold.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from lentilbeam_core import ids
from lentilbeam_core.forwarding import target_list


@dataclasses.dataclass(frozen=True, slots=True)
class Sources:
    """Targets that hand out most of the leading parts of a prompt.

    Attributes:
        tokens: leading tokens that they hand out; 0 if there are none.
        targets: these targets.
    """

    tokens: int
    targets: tuple[target_list.Entry, ...]


def find_sources(
    counts: Mapping[ids.TargetId, int],
    targets: list[target_list.Entry],
    list_others: Callable[[], Iterable[target_list.Entry]],
) -> Sources:
    """Returns the targets that have cached most of a prompt.

    Args:
        counts: leading tokens that targets have cached; those with none are
            left out.
        targets: targets that may get the request.
        list_others: returns other targets that hand out parts. Called only if
            one that may not get the request has cached more than all others.
    """
    most = max(counts.values(), default=0)
    if most == 0:
        return Sources(0, ())
    holders = [e for e in targets if counts.get(e.name) == most]
    if not holders:
        known = {e.name: e for e in (*list_others(), *targets)}
        cached = {name: counts.get(name, 0) for name in known}
        most = max(cached.values(), default=0)
        if most > 0:
            holders = [known[n] for n, count in cached.items() if count == most]
    return Sources(most, tuple(holders))
