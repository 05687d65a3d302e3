"""Stand-in for a bookings service, whose calls are not idempotent.

`GET /counts` returns how often each call ran, so that tests can detect calls
that ran more than once.
"""

import asyncio
import collections
from typing import Any

from absl import flags
import litestar
import msgspec

from lentilbeam_core import clock as clock_lib
from tests.standins import answers
from tests.standins import server

BUSY_MS = flags.DEFINE_float(
    "busy_ms", 20.0, "Duration of a call in milliseconds."
)


class Call(msgspec.Struct):
    """Request body of a call."""

    request_id: str
    workspace: str
    arguments: Any = None


class Answer(msgspec.Struct):
    """Response body of a call.

    Attributes:
        request_id: id of the request that is answered.
        output: text of the answer.
        length: length of the complete output, in UTF-8 bytes.
        sha256: hexadecimal SHA-256 digest of the complete output.
        busy_ms: how long the call ran, in milliseconds.
    """

    request_id: str
    output: str
    length: int
    sha256: str
    busy_ms: float


def _build_answer(name: str, call: Call, busy_ms: float) -> Answer:
    output = answers.generate_output(
        name, call.workspace, call.request_id, call.arguments
    )
    return Answer(
        request_id=call.request_id,
        output=output,
        length=len(output.encode()),
        sha256=answers.compute_digest(output),
        busy_ms=busy_ms,
    )


def _apply_answer_faults(answer: Answer, faults: server.TargetFaults) -> Answer:
    if faults.consume("cross_answers"):
        answer.request_id = "00000000-0000-7000-8000-000000000000"
    if faults.consume("truncate"):
        answer.output = answer.output[: len(answer.output) // 2]
    return answer


def build(
    clock: clock_lib.Clock, slot_count: int, busy_ms: float
) -> litestar.Litestar:
    """Returns the bookings service as an application.

    Args:
        clock: not used; the calls only sleep.
        slot_count: number of calls that run concurrently.
        busy_ms: duration of a call in milliseconds.
    """
    del clock  # Required by `server.run`, but calls only sleep.
    counts: collections.Counter[str] = collections.Counter()
    slots = server.Slots(slot_count)
    faults = server.TargetFaults()

    @litestar.post("/v1/calls/{name:str}", status_code=200)
    async def run_call(
        request: litestar.Request, name: str, data: Call
    ) -> Answer:
        await server.apply_admission_faults(faults)
        async with slots.hold():
            counts[f"{data.workspace}/{data.request_id}"] += 1
            await asyncio.sleep(busy_ms / 1000)
            await faults.wait_while_held()
        if faults.consume("lose_answers"):
            await server.drop_connection(request)
        return _apply_answer_faults(_build_answer(name, data, busy_ms), faults)

    @litestar.get("/counts")
    async def read_counts() -> dict[str, int]:
        return dict(counts)

    @litestar.get("/v1/load")
    async def read_load() -> server.Load:
        return slots.build_load(faults)

    return server.create_app([run_call, read_counts, read_load], faults)


if __name__ == "__main__":
    server.run(lambda clock: build(clock, server.SLOTS.value, BUSY_MS.value))
