"""The store is down when all routers are killed; two versions serve.

`TROUBLE=kill` kills the routers while the store is there, for comparison.
"""

import asyncio
import dataclasses
import os
import re
import signal
import time

from standins import case
from standins import configs
from standins import fleet as fleet_lib
from standins import worker as worker_lib

KEY = "k-1"
SERVICE = "fit-model"
VERSIONS = ("v1", "v1", "v2", "v2")
EVENTS = 100
EVENT_S = 0.1
DEADLINE_S = 15.0
STREAMS = 36
"""Streams that begin while the store is down, and new ones afterwards."""
WARM_UP_S = 8.0
DOWN_S = 4.5
BEGIN_S = (1.0, 2.0)
"""When the streams begin, in seconds after the store went down."""
KILL_S = 2.5
RESTART_S = 0.3
STABLE_S = 3.0
MARGIN_S = 0.5
RETRIES_S = (0.5, 1.0, 2.0, 4.0)
"""Times that a requester waits before each of its retries."""
_EVENT = re.compile(rb"id: (\d+)\ndata: [^\n]*\n\n")


@dataclasses.dataclass
class Stream:
    """A stream as its requester knows it.

    Attributes:
        first_id: id of the request that brought the first event.
        last_event: id of the last whole event.
        is_whole: whether the stream came to its end.
        in_touch: statuses of the tries at machines in touch.
        went_on: whether one of these went on.
    """

    first_id: str
    last_event: int = 0
    is_whole: bool = False
    in_touch: list[int] = dataclasses.field(default_factory=list)
    went_on: bool = False


async def play(fleet: fleet_lib.Fleet, is_troubled: bool) -> list[str]:
    """Plays the case; returns a line if too few streams go on."""
    is_store_down = is_troubled and os.environ.get("TROUBLE") != "kill"
    await fleet.start(routers=3)
    route = configs.build_route(
        "r-sheet",
        "/sheet/",
        "streaming",
        SERVICE,
        timeout_ms=round(DEADLINE_S * 1000),
        goal_ms=600,
        attempts=2,
        sticky=True,
        resumable=True,
        gap_goal_ms=400,
    )
    engine = {"slots": 64, "kv_tokens": 800_000, "stride": 6}
    service = configs.build_service(SERVICE, engine=engine)
    config = configs.build_config(1, [route], [service], {"hule930": [KEY]})
    config["limits"] = {**configs.LIMITS, "tokens_per_s": 250_000}
    fleet.store.put("keyed.op", "config", config)
    beats = []
    for number, version in enumerate(VERSIONS, start=1):
        worker = worker_lib.Worker(
            fleet.store,
            f"i-{number}",
            SERVICE,
            EVENT_S,
            EVENTS,
            version=version,
            slots=64,
        )
        await worker.start(f"{fleet.net}.{1 + number}")
        beats.append(asyncio.ensure_future(worker.beat()))
    await fleet.wait_ready()
    await asyncio.sleep(WARM_UP_S)
    down_at = time.monotonic()
    if is_store_down:
        fleet.store.is_down = True
        fleet.note("the store is down: 503 to all calls")
    in_touch_at = down_at + max(KILL_S + RESTART_S, DOWN_S)
    in_touch_at += STABLE_S + MARGIN_S
    streams = [
        asyncio.ensure_future(
            read_stream(fleet, number, down_at + delay_s, in_touch_at)
        )
        for number, delay_s in enumerate(spread(*BEGIN_S))
    ]
    await asyncio.sleep(down_at + KILL_S - time.monotonic())
    if is_troubled:
        for router in fleet.routers:
            router.send_signal(signal.SIGKILL)
        fleet.note("all routers are killed")
        await asyncio.sleep(RESTART_S)
        for router in fleet.routers:
            router.process.wait()
            router.start()
    await asyncio.sleep(max(down_at + DOWN_S - time.monotonic(), 0.0))
    fleet.store.is_down = False
    fleet.note("the store is there")
    new = await asyncio.gather(
        *(
            begin_new(fleet, number, in_touch_at + delay_s)
            for number, delay_s in enumerate(spread(0.0, 3.0))
        )
    )
    cut = [s for s in await asyncio.gather(*streams) if s.in_touch]
    for beat in beats:
        beat.cancel()
    went_on = sum(stream.went_on for stream in cut)
    fleet.note(
        f"{len(cut)} streams were taken up at machines in touch, {went_on} "
        f"went on; {sum(new)} of {len(new)} new ones began"
    )
    if is_store_down and len(cut) < 12:
        raise fleet_lib.CannotRunError("too few streams were taken up")
    if not cut or went_on / len(cut) >= sum(new) / len(new) / 2:
        return []
    return [
        f"LOST: of {len(cut)} streams taken up again at machines in touch, "
        f"with two workers of their version, {went_on} went on; of "
        f"{len(new)} new ones {sum(new)} began"
    ]


def spread(first_s: float, last_s: float) -> list[float]:
    """Returns the times at which `STREAMS` streams begin."""
    step_s = (last_s - first_s) / STREAMS
    return [first_s + number * step_s for number in range(STREAMS)]


async def read_stream(
    fleet: fleet_lib.Fleet, number: int, begin_at: float, in_touch_at: float
) -> Stream:
    """Reads a stream, and takes it up a few times if it is cut.

    Args:
        fleet: the fleet.
        number: number of the stream.
        begin_at: when it begins, monotonic seconds.
        in_touch_at: from when the machines are in touch again, monotonic
            seconds.
    """
    await asyncio.sleep(max(begin_at - time.monotonic(), 0.0))
    stream = Stream("")
    for retry, pause_s in enumerate((0.0, *RETRIES_S)):
        await asyncio.sleep(pause_s)
        left_s = begin_at + DEADLINE_S - time.monotonic()
        if left_s < 1.0:
            break
        headers = {"Api-Key": KEY}
        if stream.last_event:
            headers["Last-Event-Id"] = str(stream.last_event)
            headers["Resumes"] = stream.first_id
        answer = await ask(fleet, number + retry, headers, left_s)
        events = [int(found) for found in _EVENT.findall(answer.body)]
        fleet.note(
            f"{answer.request_id} after event {stream.last_event} of "
            f"{stream.first_id or 'a new stream'}, sent at "
            f"{answer.sent_at - fleet.started_at:.2f}: status "
            f"{answer.status}, {len(events)} events"
        )
        if stream.last_event and answer.sent_at >= in_touch_at:
            stream.in_touch.append(answer.status)
            stream.went_on |= bool(events)
        if events:
            stream.first_id = stream.first_id or answer.request_id
            stream.last_event = events[-1]
        if answer.is_whole and 200 <= answer.status < 300:
            stream.is_whole = True
            break
    return stream


async def begin_new(fleet: fleet_lib.Fleet, number: int, at: float) -> bool:
    """Begins a new stream; returns whether it brought an event."""
    await asyncio.sleep(max(at - time.monotonic(), 0.0))
    answer = await ask(fleet, number, {"Api-Key": KEY}, 3.0)
    return bool(_EVENT.search(answer.body))


async def ask(
    fleet: fleet_lib.Fleet, number: int, headers: dict[str, str], left_s: float
) -> fleet_lib.Answer:
    """Sends a request for a stream to one of the routers."""
    return await fleet.send(
        fleet.routers[number % len(fleet.routers)],
        "POST",
        "/sheet/a",
        {
            "Model-Name": "m",
            "Token-Count": "1460,600",
            "Prefix-Hash": f"5c1e07a2:800,{number:08x}:660",
            **headers,
        },
        b"prompt",
        left_s,
    )


if __name__ == "__main__":
    case.run(os.path.dirname(os.path.abspath(__file__)), play)
