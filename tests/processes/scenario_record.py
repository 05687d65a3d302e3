"""The observations that a scenario with real processes is checked by."""

import dataclasses

from demo import caller as caller_lib


@dataclasses.dataclass(frozen=True, slots=True)
class ScenarioRecord:
    """What was observed while a fleet was disturbed.

    Attributes:
        results: results of the requests.
        untyped_errors: exceptions of callers that got no typed outcome.
        run_counts: number of runs by booking; empty if the bookings service was
            killed.
        tracebacks: tracebacks in the logs of the fleet's processes.
        status: exit status of the disturbed process, or None if it wasn't
            waited for.
        retried: results of the bookings that did not complete and were sent
            again after the disturbance.
        retry_run_counts: number of runs by booking after these retries.
        process_name: name of the process that was killed or stopped, or ""
            if the scenario disturbs something else.
        disturbed_at: when that process was killed or asked to stop, in
            monotonic seconds.
    """

    results: list[caller_lib.Result]
    untyped_errors: list[str]
    run_counts: dict[str, int]
    tracebacks: list[str]
    status: int | None = None
    retried: list[caller_lib.Result] = dataclasses.field(default_factory=list)
    retry_run_counts: dict[str, int] = dataclasses.field(default_factory=dict)
    process_name: str = ""
    disturbed_at: float = 0.0
