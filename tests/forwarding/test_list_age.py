"""What the log and the gauges tell about the age of the target list."""

import asyncio
import json
import os

from lentilbeam_platform import shared_retries
from tests.forwarding import test_store_calls

AWAY_S = 4.0
"""Time for which a router reaches neither the store nor its peers."""
MAX_FAILURES = AWAY_S / shared_retries.DELAY_RANGE_S[0]
"""Most failed reads in this time: one job at a time, after 0.2 s or more."""


def read_events(path, router, event):
    """Returns the log lines of an event of one router."""
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    return [
        line
        for line in lines
        if (line["instance"], line["event"]) == (router, event)
    ]


# Guards against DRAIN that can't be traced: the age of what a router believes,
# and why it keeps a target, are not told.
def test_age_of_the_list_and_what_is_kept_are_told(tmp_path):
    path = tmp_path / "log"
    output = os.open(path, os.O_CREAT | os.O_WRONLY | os.O_APPEND)

    async def play(fleet):
        fleet.start_targets()
        await asyncio.sleep(3.0)
        await fleet.send("r0")
        fleet.without_store.add("r0")
        fleet.part(["r0"])
        await asyncio.sleep(AWAY_S)
        await fleet.send("r0")
        gauges = fleet.gateways["r0"].read_gauges()
        fleet.age_s = gauges["targets_age_s"]
        fleet._unlist_target("t0")
        fleet.targets.pop("t0")
        fleet.without_store.discard("r0")
        fleet.heal()
        await asyncio.sleep(1.0)
        for writer in fleet.writers:
            writer.cancel()

    fleet = test_store_calls.BusyFleet(routers=4, output=output).run(play)
    os.close(output)
    before, during = read_events(path, "r0", "sent")
    assert before["targets_age_s"] < 1.0
    assert during["targets_age_s"] > AWAY_S - 1.0
    assert fleet.age_s > AWAY_S - 1.0
    returns = read_events(path, "r0", "store_returned")
    assert max(line["away_s"] for line in returns) > AWAY_S - 1.0
    failures = read_events(path, "r0", "store_call_failed")
    assert {line["what"] for line in failures} >= {"keyed.servers"}
    assert all(line["took_s"] < 1.0 for line in failures)
    assert len(failures) < MAX_FAILURES
    (kept,) = read_events(path, "r0", "target_unlisted")
    (dropped,) = read_events(path, "r1", "target_unlisted")
    assert dropped["kept_s"] == 0.0
    assert kept["at_once"] == (kept["kept_s"] == 0.0)
