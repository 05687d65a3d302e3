"""The log is bounded in bytes, counts what it drops, and never blocks."""

import json
import os

from lentilbeam_core import clock as clock_lib
from lentilbeam_router.forwarding import decision_log
from tests import virtual_time

INPUTS = {"target": "i-7f3a91c2", "unread": 775, "workspace": "ashby"}


def make_log():
    clock = clock_lib.ManualClock(virtual_time.START)
    read_end, write_end = os.pipe()
    os.set_blocking(read_end, False)
    return decision_log.DecisionLog(clock, "r", write_end), clock, read_end


def read_all(read_end) -> bytes:
    try:
        return os.read(read_end, 1_000_000)
    except BlockingIOError:
        return b""


def test_a_flood_of_decisions_stays_under_the_bound():
    log, clock, read_end = make_log()
    read = 0
    for number in range(5000):
        log.write_request_event(f"r{number}", "sent", **INPUTS)
        clock.advance(0.001)
        read += len(read_all(read_end))
    most = decision_log.BURST_BYTES + 5 * decision_log.MAX_BYTES_PER_S
    assert 0 < read <= most
    assert log.total_dropped > 0
    clock.advance(1.0)
    log.write_event("calm")
    last = json.loads(read_all(read_end).splitlines()[-1])
    assert last["event"] == "calm"
    assert last["dropped"] > 0


def test_a_full_pipe_does_not_block():
    log, clock, _ = make_log()
    for _ in range(2000):
        clock.advance(1.0)
        log.write_request_event("r", "sent", **INPUTS)
    assert log.total_dropped > 0
