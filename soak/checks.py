"""Checks the routers' guarantees against the records of callers and targets.

Guarantees with a time limit, and the guarantee that requests aren't aborted,
hold only while the components involved are undisturbed. The checks skip a
request if a fault hit one of them, see `DisturbanceLog.is_undisturbed`.
"""

import bisect
import collections
from collections.abc import Iterator

from soak import callers
from soak import disturbances
from soak import faults as faults_lib
from soak import world as world_lib

NOT_RUN_STATUSES = {408, 421, 429, 503}
"""HTTP statuses that tell the caller that its request was not run."""
SERVER_ERROR = 500
CONFIGURATION_LIMIT_S = 3.0
"""Routers apply a published configuration within this time."""
DRAINING_LIMIT_S = 3.0
"""A draining target gets no new requests after this time."""
EVACUATION_LIMIT_S = 3.0
"""Targets of an evacuated data centre get no new requests after this time.
The rule allows 5 s."""
COLD_LIMIT = world_lib.COLD_PER_S * 1.5 + 5
"""Most requests to a cold target in any one second, from all routers."""
REVERT_TOLERANCE_S = 0.25
"""A 404 counts as a revert only if its request was sent more than this long
after the first 200 response ended."""
RUN_LOG_DELAY_S = 0.5
"""A target logs a run within this time after the request was sent."""

Kind = disturbances.Kind


class Observations:
    """All records of one soak run.

    Attributes:
        records: results of all requests, from the callers.
        injector: the fault injector, with the changes that it made.
        disturbance_log: all faults and planned changes.
        records_by_id: the same results by request ID.
        runs: by request ID, the (target, time) of each run of the request.
            Times are in monotonic seconds.
    """

    def __init__(
        self,
        records: list[callers.CallRecord],
        runs: list[tuple[str, str, float]],
        injector: faults_lib.FaultInjector,
    ):
        self.records = records
        self.injector = injector
        self.disturbance_log = injector.disturbance_log
        self.records_by_id = {record.request_id: record for record in records}
        self.runs: dict[str, list[tuple[str, float]]] = collections.defaultdict(
            list
        )
        for target, request_id, at in runs:
            self.runs[request_id].append((target, at))


def find_violations(observations: Observations) -> list[str]:
    """Runs all checks; returns one line for each violated guarantee."""
    checks = (
        check_answers,
        check_streams,
        check_not_run,
        check_at_most_once,
        check_planned_changes,
        check_own_answers,
        check_draining_targets,
        check_leaving_targets,
        check_evacuations,
        check_cold_targets,
        check_configuration,
        check_reverts,
    )
    violations = [line for check in checks for line in check(observations)]
    return violations + observations.injector.exit_violations


def check_answers(observations: Observations) -> Iterator[str]:
    """Checks that each response with status 200 is complete and its own."""
    for record in observations.records:
        if record.status != 200 or record.end is not callers.CallEnd.ANSWERED:
            continue
        if not record.is_complete:
            yield (
                f"incomplete response: {record.request_id} {record.path}"
                f" {record.body[-60:]!r}"
            )
        if record.headers.get("request-id") != record.request_id:
            yield (
                "response to another request:"
                f" {record.request_id} {record.headers}"
            )


def check_streams(observations: Observations) -> Iterator[str]:
    """Checks that each stream has the events of one version, each once."""
    events: dict[str, list[tuple[int, str]]] = collections.defaultdict(list)
    for record in observations.records:
        if record.path.startswith("/chat/"):
            events[record.resumes or record.request_id] += record.events
    for request_id, found in events.items():
        numbers = [number for number, _ in found]
        if numbers != list(range(1, len(numbers) + 1)):
            yield f"events missing or repeated: {request_id} {numbers}"
        if len({version for _, version in found}) > 1:
            yield f"events of several versions: {request_id} {found}"


def check_not_run(observations: Observations) -> Iterator[str]:
    """Checks that requests refused as not run were run by no target."""
    for record in observations.records:
        if record.status in NOT_RUN_STATUSES and observations.runs.get(
            record.request_id
        ):
            yield (
                f"run despite status {record.status}:"
                f" {record.request_id} {record.path}"
            )


def check_at_most_once(observations: Observations) -> Iterator[str]:
    """Checks that non-idempotent requests ran at most once.

    A request without a record counts as non-idempotent. A request has no
    record if its caller was cancelled before the response, or if it was one of
    the final requests after the faults.
    """
    for request_id, runs in observations.runs.items():
        record = observations.records_by_id.get(request_id)
        is_booking = record is None or record.path.startswith("/book/")
        if is_booking and len(runs) > 1:
            yield f"run more than once: {request_id} {runs}"


def check_planned_changes(observations: Observations) -> Iterator[str]:
    """Checks that planned changes abort no request that a target received.

    Considers only requests whose router, targets and links were undisturbed,
    except by planned changes.
    """
    for record in observations.records:
        if (
            record.end is not callers.CallEnd.ABORTED
            or not observations.runs[record.request_id]
        ):
            continue
        targets = tuple(
            target for target, _ in observations.runs[record.request_id]
        )
        links = tuple(f"*>{target}" for target in targets)
        components = (record.router, *targets, *links)
        if observations.disturbance_log.is_undisturbed(
            components,
            record.sent_at,
            record.ended_at,
            frozenset(disturbances.PLANNED),
        ):
            yield (
                "aborted without a fault other than planned changes:"
                f" {record.request_id} {record.router}"
            )


def check_own_answers(observations: Observations) -> Iterator[str]:
    """Checks that no request is left to the web server of its router.

    It answers 500 to what it ends when the router stops, which tells the caller
    nothing.
    """
    for record in observations.records:
        if (
            record.status == SERVER_ERROR
            and "request-id" not in record.headers
            and observations.disturbance_log.is_undisturbed(
                (record.router,),
                record.sent_at,
                record.ended_at,
                frozenset(disturbances.PLANNED),
            )
        ):
            yield (
                "answered by the web server:"
                f" {record.request_id} {record.path} {record.router}"
            )


def check_draining_targets(observations: Observations) -> Iterator[str]:
    """Checks that a draining target gets no new requests after the limit.

    Considers only requests for which the router and the store were
    undisturbed, except by planned changes, since the target was listed as
    draining.
    """
    for request_id, runs in observations.runs.items():
        record = observations.records_by_id.get(request_id)
        for target, at in runs:
            since = observations.injector.draining_since.get(target)
            if (
                record is None
                or since is None
                or at <= since + DRAINING_LIMIT_S
            ):
                continue
            components = (record.router, world_lib.STORE, f"*>{target}")
            planned = frozenset(disturbances.PLANNED)
            if observations.disturbance_log.is_undisturbed(
                components, since, at, planned
            ):
                yield (
                    f"new request at {target}, {at - since:.1f} s after it"
                    f" was listed as draining: {request_id}"
                )


def check_leaving_targets(observations: Observations) -> Iterator[str]:
    """Checks that a router leaves a target alone that said it is leaving.

    The limit runs from the first response with that notice that the router
    passed on. A restart or a pause of the router since then excuses it.
    """
    told_at: dict[tuple[str, str], float] = {}
    for record in sorted(observations.records, key=lambda r: r.ended_at):
        if "server-leaving" in record.headers:
            key = (record.router, record.headers.get("response-seal", ""))
            told_at.setdefault(key, record.ended_at)
    for request_id, runs in observations.runs.items():
        record = observations.records_by_id.get(request_id)
        for target, at in runs:
            since = told_at.get((record.router, target)) if record else None
            if since is None or record.sent_at <= since + DRAINING_LIMIT_S:
                continue
            excused = observations.disturbance_log.entries
            if not any(
                entry.affects(record.router)
                and entry.kind in (Kind.KILL, Kind.TERMINATE, Kind.PAUSE)
                and since <= entry.end
                and entry.start <= at
                for entry in excused
            ):
                yield f"{request_id} sent to {target}, which is leaving"


def check_evacuations(observations: Observations) -> Iterator[str]:
    """Checks that evacuated targets get no new requests after the limit.

    Considers only requests for which the router and the store were
    undisturbed since the evacuation was acknowledged, except by planned
    changes.
    """
    planned = frozenset(disturbances.PLANNED)
    for request_id, runs in observations.runs.items():
        record = observations.records_by_id.get(request_id)
        if record is None:
            continue
        for target, at in runs:
            zone = world_lib.find_zone(target)
            components = (record.router, world_lib.STORE, f"*>{target}")
            for name, asked_at, until in observations.injector.evacuations:
                if (
                    name == zone
                    and asked_at + EVACUATION_LIMIT_S < at < until
                    and observations.disturbance_log.is_undisturbed(
                        components, asked_at, at, planned
                    )
                ):
                    yield (
                        f"{request_id} sent to {target}, {at - asked_at:.1f} s"
                        f" after the evacuation of {zone}"
                    )


def check_cold_targets(observations: Observations) -> Iterator[str]:
    """Checks that a cold target gets no more than its rate.

    Faults don't excuse more, but a second in which the host was too busy does:
    then requests arrive together that were sent one after the other.
    """
    times: dict[str, list[float]] = collections.defaultdict(list)
    for runs in observations.runs.values():
        for target, at in runs:
            times[target].append(at)
    for target, since, until in observations.injector.world.cold:
        cold = sorted(at for at in times[target] if since <= at < until)
        for index, at in enumerate(cold):
            end = bisect.bisect_left(cold, at + 1.0)
            if end - index > COLD_LIMIT and not any(
                entry.kind is Kind.HOST
                and entry.start <= at + 1.0
                and at <= entry.end
                for entry in observations.disturbance_log.entries
            ):
                yield f"{end - index} requests in a second at {target}, cold"
                break


def check_configuration(observations: Observations) -> Iterator[str]:
    """Checks that routers apply a published configuration within the limit.

    A router that answers 404 on a published route has not applied it.
    Considers only cases in which the router and the store were undisturbed,
    except by planned changes.
    """
    published_at = {
        f"{path}x": at for at, path in observations.injector.published
    }
    for record in observations.records:
        at = published_at.get(record.path)
        if at is None or record.status != 404:
            continue
        if record.sent_at <= at + CONFIGURATION_LIMIT_S:
            continue
        components = (record.router, world_lib.STORE)
        planned = frozenset(disturbances.PLANNED)
        if observations.disturbance_log.is_undisturbed(
            components, at, record.ended_at, planned
        ):
            late_s = record.sent_at - at
            yield (
                f"{record.path} unknown at {record.router} {late_s:.1f} s"
                " after it was published"
            )


def check_reverts(observations: Observations) -> Iterator[str]:
    """Checks that no router process reverts to an older configuration.

    A router that served a published route must not answer 404 on it
    afterwards. A restarted router may start with an older configuration.
    """
    stop_entries = [
        entry
        for entry in observations.disturbance_log.entries
        if entry.kind in (Kind.KILL, Kind.TERMINATE)
    ]
    first_served_at: dict[tuple[str, str, int], float] = {}
    for record in sorted(observations.records, key=lambda r: r.ended_at):
        if not record.path.startswith("/v") or not record.status:
            continue
        restarts = sum(
            entry.component == record.router and entry.start <= record.ended_at
            for entry in stop_entries
        )
        key = (record.router, record.path, restarts)
        if record.status == 404:
            first_at = first_served_at.get(key)
            if first_at and record.sent_at > first_at + REVERT_TOLERANCE_S:
                yield f"{record.path} forgotten at {record.router}"
        elif record.status == 200:
            first_served_at.setdefault(key, record.ended_at)
