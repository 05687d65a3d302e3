"""The promises, checked against what callers and targets saw."""

import collections
from collections.abc import Iterator

from soak import callers
from soak import disturbances
from soak import faults as faults_lib
from soak import world as world_lib

NOT_RUN = {408, 421, 429, 503}
IN_FORCE_S = 3.0
"""An accepted configuration is in force everywhere within this time."""
LEFT_S = 3.0
"""A leaving target gets no new work after this time."""
REVERT_SLACK_S = 0.25
RUNS_WITHIN_S = 0.5
"""A run is written down by its target within this time of its sending."""

Kind = disturbances.Kind


class Evidence:
    """All that was seen in a run."""

    def __init__(
        self,
        seen: list[callers.Seen],
        runs: list[tuple[str, str, float]],
        faults: faults_lib.Faults,
    ):
        self.seen = seen
        self.faults = faults
        self.diary = faults.diary
        self.by_name = {item.name: item for item in seen}
        self.runs: dict[str, list[tuple[str, float]]] = collections.defaultdict(
            list
        )
        for target, name, at in runs:
            self.runs[name].append((target, at))


def find_broken(evidence: Evidence) -> list[str]:
    """Returns a line for each broken promise."""
    checks = (
        check_answers,
        check_not_run,
        check_at_most_once,
        check_planned_stops,
        check_leaving_targets,
        check_configuration,
        check_reverts,
    )
    broken = [line for check in checks for line in check(evidence)]
    return broken + evidence.faults.unexpected


def check_answers(evidence: Evidence) -> Iterator[str]:
    """Answers are whole and their own."""
    for item in evidence.seen:
        if item.status != 200 or item.end is not callers.End.ANSWERED:
            continue
        if not item.is_whole:
            yield f"not whole: {item.name} {item.path} {item.body[-60:]!r}"
        if item.headers.get("request-id") != item.name:
            yield f"answer of another: {item.name} {item.headers}"


def check_not_run(evidence: Evidence) -> Iterator[str]:
    """What was refused as not run did not run, then or later."""
    for item in evidence.seen:
        if item.status in NOT_RUN and evidence.runs.get(item.name):
            yield f"ran, though {item.status}: {item.name} {item.path}"


def check_at_most_once(evidence: Evidence) -> Iterator[str]:
    """Bookings run once at most."""
    for name, runs in evidence.runs.items():
        item = evidence.by_name.get(name)
        is_booking = item is None or item.path.startswith("/book/")
        if is_booking and len(runs) > 1:
            yield f"ran twice: {name} {runs}"


def check_planned_stops(evidence: Evidence) -> Iterator[str]:
    """Planned work cuts no request that reached a target."""
    for item in evidence.seen:
        if item.end is not callers.End.CUT or not evidence.runs[item.name]:
            continue
        targets = tuple(target for target, _ in evidence.runs[item.name])
        links = tuple(f"*>{target}" for target in targets)
        names = (item.router, *targets, *links)
        if evidence.diary.is_calm(
            names,
            item.sent_at,
            item.ended_at,
            frozenset(disturbances.PLANNED),
        ):
            yield f"cut beside planned work only: {item.name} {item.router}"


def check_leaving_targets(evidence: Evidence) -> Iterator[str]:
    """A leaving target gets no new work from calm routers."""
    for name, runs in evidence.runs.items():
        item = evidence.by_name.get(name)
        for target, at in runs:
            since = evidence.faults.leaving.get(target)
            if item is None or since is None or at <= since + LEFT_S:
                continue
            names = (item.router, world_lib.STORE, f"*>{target}")
            planned = frozenset(disturbances.PLANNED)
            if evidence.diary.is_calm(names, since, at, planned):
                yield f"new work at {target}, {at - since:.1f} s after: {name}"


def check_configuration(evidence: Evidence) -> Iterator[str]:
    """An accepted configuration is in force at calm routers soon."""
    accepted = {f"{path}x": at for at, path in evidence.faults.published}
    for item in evidence.seen:
        at = accepted.get(item.path)
        if at is None or item.status != 404:
            continue
        if item.sent_at <= at + IN_FORCE_S:
            continue
        names = (item.router, world_lib.STORE)
        planned = frozenset(disturbances.PLANNED)
        if evidence.diary.is_calm(names, at, item.ended_at, planned):
            late_s = item.sent_at - at
            yield f"{item.path} unknown at {item.router} {late_s:.1f} s after"


def check_reverts(evidence: Evidence) -> Iterator[str]:
    """No process goes back to an older configuration."""
    ends = [
        entry
        for entry in evidence.diary.entries
        if entry.kind in (Kind.KILL, Kind.TERMINATE)
    ]
    known_at: dict[tuple[str, str, int], float] = {}
    for item in sorted(evidence.seen, key=lambda s: s.ended_at):
        if not item.path.startswith("/v") or not item.status:
            continue
        starts = sum(
            entry.where == item.router and entry.start <= item.ended_at
            for entry in ends
        )
        key = (item.router, item.path, starts)
        if item.status == 404:
            first_at = known_at.get(key)
            if first_at and item.sent_at > first_at + REVERT_SLACK_S:
                yield f"{item.path} forgotten at {item.router}"
        elif item.status == 200:
            known_at.setdefault(key, item.ended_at)
