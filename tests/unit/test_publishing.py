"""Tests of operators that publish conflicting changes on a faulty log."""

import asyncio
import io
import json
import random

import httpx
import hypothesis
from hypothesis import strategies as st

from lentilbeam_cli import context as context_lib
from lentilbeam_cli import environment
from lentilbeam_cli import exit_status
from lentilbeam_cli import options as options_lib
from lentilbeam_cli import output
from lentilbeam_cli import publishing
from lentilbeam_cli import reading
from lentilbeam_core import catalogue_change
from lentilbeam_core import catalogue_log
from lentilbeam_core import clock as clock_lib
from lentilbeam_router import platform_log
from tests import model_log
from tests import virtual_time
from tests.unit import catalogue_builders as builders

PROPERTY_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150, database=None
)
OPERATOR_COUNT = 3
FAULTS = ["none", "refused", "lost", "dropped", "repeated"]


class FaultyLog:
    """A model log whose appends fail as specified.

    Attributes:
        log: the log behind the faults.
        faults: faults of the next appends, the last one first: "none";
            "refused" (status 503, not appended); "lost" (appended, response
            lost); "dropped" (connection lost before the append); "repeated"
            (appended twice). Without a fault left, appends succeed.
        appends_until_down: number of further append requests after which
            the log is down permanently; None if it never goes down.
    """

    def __init__(self, clock, faults: list[str], appends_until_down):
        self.log = model_log.ModelLog(clock)
        self.faults = list(reversed(faults))
        self.appends_until_down = appends_until_down

    async def handle(self, request: httpx.Request) -> httpx.Response:
        """Responds to a request, or applies the next fault to an append.

        Raises:
            httpx.ReadError: the connection is lost before or after the
                append.
        """
        fault = "none"
        if self.appends_until_down == 0:
            self.log.is_down = True
        if request.method == "POST":
            fault = self.faults.pop() if self.faults else fault
            if self.appends_until_down:
                self.appends_until_down -= 1
        if fault == "refused":
            return httpx.Response(503)
        if fault == "dropped":
            raise httpx.ReadError("connection lost before the append")
        response = await self.log.handle(request)
        if fault == "repeated":
            await self.log.handle(request)
        if fault == "lost":
            raise httpx.ReadError("connection lost after the append")
        return response


def make_context(clock, http) -> context_lib.Context:
    """Returns the context of `lentilbeam apply` with a timeout of 5 s."""
    env = environment.Environment(
        clock=clock,
        stdout=io.StringIO(),
        stderr=io.StringIO(),
        is_terminal=False,
        variables={},
        rng=random.Random(1),
    )
    options = options_lib.parse_options(
        ["lentilbeam", "apply", "--log=http://log", "--timeout_s=5"], {}
    ).ok
    out = output.Output(env, options.output_format)
    return context_lib.Context(options, env, out, http)


def publish_concurrently(
    faults: list[str], delays: list[float], appends_until_down
):
    """Has all operators publish a change of the same entry.

    Args:
        faults: faults of the first appends, in order.
        delays: seconds that each operator waits before reading the log.
        appends_until_down: see `FaultyLog`.

    Returns:
        Each operator's result, and all values in the log.
    """
    clock = clock_lib.ManualClock(virtual_time.START)
    faulty = FaultyLog(clock, faults, appends_until_down)

    async def publish(number: int):
        await asyncio.sleep(delays[number])
        async with httpx.AsyncClient(
            transport=httpx.MockTransport(faulty.handle)
        ) as http:
            log = platform_log.LogClient(model_log.URL, http)
            reading_result = await reading.follow_log(log)
            if reading_result.is_error():
                return reading_result
            follower = reading_result.ok
            record = builders.make_change(
                number,
                [builders.make_class("gold", weight=1 + number)],
                bases={
                    builders.make_key("class", "gold"): follower.state.version(
                        builders.make_key("class", "gold")
                    )
                },
            )
            change = catalogue_change.parse_change(record).ok
            publisher = publishing.Publisher(
                make_context(clock, http), log, follower, change
            )
            return await publisher.run()

    async def run_all():
        return await asyncio.gather(*map(publish, range(OPERATOR_COUNT)))

    results = virtual_time.run(run_all(), clock)
    return results, faulty.log.values(catalogue_log.STREAM)


@PROPERTY_SETTINGS
@hypothesis.given(
    st.lists(st.sampled_from(FAULTS), max_size=12),
    st.lists(
        st.sampled_from([0.0, 0.1, 0.6]),
        min_size=OPERATOR_COUNT,
        max_size=OPERATOR_COUNT,
    ),
    st.none() | st.integers(1, 6),
)
def test_each_operator_gets_the_verdict_that_all_readers_compute(
    faults, delays, appends_until_down
):
    results, values = publish_concurrently(faults, delays, appends_until_down)
    state = builders.apply_records(*values).state
    for number, result in enumerate(results):
        assert result.is_ok() or appends_until_down is not None
        change_id = builders.make_change_id(number)
        if result.is_ok():
            assert result.ok == state.verdicts[change_id]
        elif result.error.status is exit_status.ExitStatus.UNREACHABLE:
            assert json.dumps(values).find(change_id) < 0
        else:
            assert change_id in result.error.message
    accepted = [
        verdict
        for verdict in state.verdicts.values()
        if verdict.status is catalogue_change.Status.ACCEPTED
    ]
    last_accepted = max(
        accepted, key=lambda verdict: verdict.offset, default=None
    )
    if last_accepted is not None:
        assert (
            state.version(builders.make_key("class", "gold"))
            == last_accepted.offset
        )
