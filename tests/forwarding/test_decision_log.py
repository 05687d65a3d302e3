"""Decision log: limited rate, count of dropped lines, no blocking."""

import json
import os

from lentilbeam_core import clock as clock_lib
from lentilbeam_router.forwarding import decision_log
from tests import virtual_time

FIELDS = {"target": "i-7f3a91c2", "unread": 775, "workspace": "ashby"}


def make_log():
    """Returns a log, its clock and a file descriptor that reads its lines."""
    clock = clock_lib.ManualClock(virtual_time.START)
    read_fd, write_fd = os.pipe()
    os.set_blocking(read_fd, False)
    return decision_log.DecisionLog(clock, "r", write_fd), clock, read_fd


def read_all(read_fd) -> bytes:
    """Returns the bytes that can be read now, possibly none."""
    try:
        return os.read(read_fd, 1_000_000)
    except BlockingIOError:
        return b""


def test_rate_is_limited_and_dropped_lines_are_counted():
    log, clock, read_fd = make_log()
    bytes_read = 0
    for number in range(5000):
        log.write_request_event(f"r{number}", "sent", **FIELDS)
        clock.advance(0.001)
        bytes_read += len(read_all(read_fd))
    limit = decision_log.BURST_BYTES + 5 * decision_log.MAX_BYTES_PER_S
    assert 0 < bytes_read <= limit
    assert log.total_dropped > 0
    clock.advance(1.0)
    log.write_event("calm")
    last = json.loads(read_all(read_fd).splitlines()[-1])
    assert last["event"] == "calm"
    assert last["dropped"] > 0


def test_full_pipe_does_not_block():
    log, clock, _ = make_log()
    for _ in range(2000):
        clock.advance(1.0)
        log.write_request_event("r", "sent", **FIELDS)
    assert log.total_dropped > 0
