"""Stand-in for a plain service whose calls may not be repeated."""

import asyncio
import collections
from typing import Any

from absl import flags
import litestar
import msgspec

from lentilbeam_core import clock as clock_lib
from tests.standins import answers
from tests.standins import server

BUSY_MS = flags.DEFINE_float("busy_ms", 20.0, "Busy time of one call.")


class Call(msgspec.Struct):
    """Body of a call."""

    request_id: str
    workspace: str
    arguments: Any = None


class Answer(msgspec.Struct):
    """Answer of a call; length in bytes of UTF-8."""

    request_id: str
    output: str
    length: int
    sha256: str
    busy_ms: float


def _answer(name: str, call: Call, busy_ms: float) -> Answer:
    output = answers.output_of(
        name, call.workspace, call.request_id, call.arguments
    )
    return Answer(
        request_id=call.request_id,
        output=output,
        length=len(output.encode()),
        sha256=answers.digest_of(output),
        busy_ms=busy_ms,
    )


def _damage(answer: Answer, faults: server.TargetFaults) -> Answer:
    if faults.take("cross_answers"):
        answer.request_id = "00000000-0000-7000-8000-000000000000"
    if faults.take("truncate"):
        answer.output = answer.output[: len(answer.output) // 2]
    return answer


def build(
    clock: clock_lib.Clock, slot_count: int, busy_ms: float
) -> litestar.Litestar:
    """Returns the bookings service as an application."""
    del clock  # Its busy time is slept, never measured.
    counts: collections.Counter[str] = collections.Counter()
    slots = server.Slots(slot_count)
    faults = server.TargetFaults()

    @litestar.post("/v1/calls/{name:str}", status_code=200)
    async def run_call(
        request: litestar.Request, name: str, data: Call
    ) -> Answer:
        await server.check_admission(faults)
        async with slots.hold():
            counts[f"{data.workspace}/{data.request_id}"] += 1
            await asyncio.sleep(busy_ms / 1000)
        if faults.take("lose_answers"):
            await server.drop_connection(request)
        return _damage(_answer(name, data, busy_ms), faults)

    @litestar.get("/counts")
    async def read_counts() -> dict[str, int]:
        return dict(counts)

    @litestar.get("/v1/load")
    async def read_load() -> server.Load:
        return slots.load(faults)

    return server.create_app([run_call, read_counts, read_load], faults)


if __name__ == "__main__":
    server.run(lambda clock: build(clock, server.SLOTS.value, BUSY_MS.value))
