"""Operators race over a log that refuses, loses and repeats appends."""

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

PROVE = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150, database=None
)
OPERATORS = 3
FAULTS = ["none", "refused", "lost", "dropped", "repeated"]


class FaultyLog:
    """A model log whose appends meet the given faults in turn.

    After `appends_until_down` appends it is down for good, if that is given.
    """

    def __init__(self, clock, faults: list[str], appends_until_down):
        self.log = model_log.ModelLog(clock)
        self.faults = list(reversed(faults))
        self.appends_until_down = appends_until_down

    async def handle(self, request: httpx.Request) -> httpx.Response:
        """Answers a request, or fails it as the next fault says."""
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
            raise httpx.ReadError("cut before the append")
        response = await self.log.handle(request)
        if fault == "repeated":
            await self.log.handle(request)
        if fault == "lost":
            raise httpx.ReadError("cut after the append")
        return response


def make_context(clock, http) -> context_lib.Context:
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


def race(faults: list[str], delays: list[float], appends_until_down):
    """Returns each operator's change id and result, and the log's values."""
    clock = clock_lib.ManualClock(virtual_time.START)
    faulty = FaultyLog(clock, faults, appends_until_down)

    async def operate(number: int):
        await asyncio.sleep(delays[number])
        async with httpx.AsyncClient(
            transport=httpx.MockTransport(faulty.handle)
        ) as http:
            log = platform_log.LogClient(model_log.URL, http)
            followed = await reading.follow_log(log)
            if followed.is_error():
                return followed
            follower = followed.ok
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
        return await asyncio.gather(*map(operate, range(OPERATORS)))

    results = virtual_time.run(run_all(), clock)
    return results, faulty.log.values(catalogue_log.STREAM)


@PROVE
@hypothesis.given(
    st.lists(st.sampled_from(FAULTS), max_size=12),
    st.lists(
        st.sampled_from([0.0, 0.1, 0.6]),
        min_size=OPERATORS,
        max_size=OPERATORS,
    ),
    st.none() | st.integers(1, 6),
)
def test_every_operator_is_told_what_all_readers_conclude(
    faults, delays, appends_until_down
):
    results, values = race(faults, delays, appends_until_down)
    state = builders.apply_records(*values).state
    for number, result in enumerate(results):
        assert result.is_ok() or appends_until_down is not None
        name = builders.make_change_id(number)
        if result.is_ok():
            assert result.ok == state.verdicts[name]
        elif result.error.status is exit_status.ExitStatus.UNREACHABLE:
            assert json.dumps(values).find(name) < 0
        else:
            assert name in result.error.message
    accepted = [
        verdict
        for verdict in state.verdicts.values()
        if verdict.status is catalogue_change.Status.ACCEPTED
    ]
    last = max(accepted, key=lambda verdict: verdict.offset, default=None)
    if last is not None:
        assert state.version(builders.make_key("class", "gold")) == last.offset
