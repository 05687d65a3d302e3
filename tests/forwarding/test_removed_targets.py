"""Targets that leave without a word: only their entry is removed.

They serve for some more time, so nothing but the list keeps requests away.
"""

import asyncio
import random

import httpcore
import pytest

from lentilbeam_platform import store as store_lib
from lentilbeam_router.forwarding import gateway as gateway_lib
from tests.forwarding import makers
from tests.forwarding import stored_fleet
from tests.forwarding import test_store_calls

CUT_S = 6.0
"""Time for which a router does not reach the store."""
SETTLE_S = 0.9
"""Time after a router reached the store again, in seconds, when it knows what
was removed meanwhile. Routers that were cut off are bound by the list again 3 s
later, of which the delay of a retry takes up to 1.6 s and a call 0.5 s."""
STABLE_WINDOW_S = 3.0
"""Time after the end of a cut when a router is bound by the list again."""
RETURN_S = 0.6
"""Time within which the router of a small fleet calls the store again."""
LONG_CUT_S = 24.0
"""Time, in seconds, from a removal to the return of a router that was cut off
for long; longer than peers report a removal."""
LOAD_PER_S = 100.0


class RemovingFleet(test_store_calls.BusyFleet):
    """A fleet whose targets may lose their entries while they serve.

    Attributes:
        unlisted: targets that write no entries.
    """

    def __init__(self, **options):
        self.unlisted: set[str] = set()
        super().__init__(**options)

    def write_entry(self, target) -> None:
        """Writes the entry of a target, unless it has been removed."""
        if target.entry.name not in self.unlisted:
            super().write_entry(target)

    def unlist(self, name: str) -> None:
        """Removes the entry of a target, which serves on."""
        self.unlisted.add(name)
        self._unlist_target(name)

    def count_others(self, name: str) -> int:
        """Returns the number of requests that reached other targets."""
        return sum(
            len(target.arrivals)
            for other, target in self.targets.items()
            if other != name
        )

    def find_late(self, name: str) -> list[float]:
        """Returns when requests reached a target too late.

        Returns:
            Seconds from `returned_at`, each beyond `SETTLE_S`.
        """
        return [
            arrival.at - self.returned_at
            for arrival in self.targets[name].arrivals
            if arrival.at > self.returned_at + SETTLE_S
        ]

    def find_return(self, router: str, since: float) -> float:
        """Returns when a router first asked for the target list again."""
        return min(
            at
            for at, name, _, topic in self.calls
            if name == router and topic == "keyed.servers" and at >= since
        )


class QuietFleet(RemovingFleet):
    """A fleet whose targets write their entries once: nothing in them changes.

    A long poll of the target list then gets no response until one is removed.
    """

    async def _keep_entry(self, name: str) -> None:
        self.write_entry(self.targets[name])


def run(
    routers: int, scenario, fleet_class: type[RemovingFleet] = RemovingFleet
) -> RemovingFleet:
    """Runs a scenario with a fleet whose start is over."""

    async def play(fleet: RemovingFleet) -> None:
        fleet.start_targets()
        await asyncio.sleep(8.0)
        await scenario(fleet)
        for writer in fleet.writers:
            writer.cancel()

    return fleet_class(routers=routers).run(play)


# Guards against DRAIN: a router that was cut off from the store takes the
# outage for one of the store, and keeps targets that were removed meanwhile.
@pytest.mark.parametrize("routers", [4, 20])
@pytest.mark.parametrize("is_parted", [False, True])
def test_router_that_was_cut_off_drops_what_was_removed(routers, is_parted):
    async def scenario(fleet):
        fleet.without_store.add("r0")
        if is_parted:
            fleet.part(["r0"])
        await asyncio.sleep(CUT_S / 2)
        fleet.unlist("t0")
        await asyncio.sleep(CUT_S / 2)
        fleet.without_store.discard("r0")
        fleet.heal()
        healed_at = fleet.clock.monotonic()
        await fleet.load(LOAD_PER_S, 4.0, routers=["r0"])
        fleet.returned_at = fleet.find_return("r0", healed_at)

    fleet = run(routers, scenario)
    assert fleet.find_late("t0") == []
    assert fleet.count_others("t0") > 0


# Guards against DRAIN: routers whose reads of the list were open for seconds,
# since nothing changed, don't know that a removed target is gone for good, and
# the one that was cut off keeps it.
@pytest.mark.parametrize("routers", [4, 7, 20])
def test_removal_from_a_quiet_list_binds_a_router_that_was_cut_off(routers):
    async def scenario(fleet):
        fleet.without_store.add("r0")
        fleet.end_polls()
        await asyncio.sleep(CUT_S / 2)
        fleet.unlist("t0")
        await asyncio.sleep(CUT_S / 2)
        fleet.without_store.discard("r0")
        healed_at = fleet.clock.monotonic()
        await fleet.load(LOAD_PER_S, 4.0, routers=["r0"])
        fleet.returned_at = fleet.find_return("r0", healed_at)

    fleet = run(routers, scenario, QuietFleet)
    assert fleet.find_late("t0") == []
    assert fleet.count_others("t0") > 0


# Guards against DRAIN: a call from before the end of a cut gets no answer, and
# the list is read only after its time limit and another delay.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_call_that_hangs_does_not_delay_what_was_removed(monkeypatch, seed):
    monkeypatch.setattr(gateway_lib, "ROUTERS_AT_MIN_PACE", 5)
    random.seed(seed)
    request = stored_fleet._StorePool.request

    async def request_or_hang(pool, method, url, content, extensions):
        is_short = extensions["timeout"]["read"] <= store_lib.CALL_TIMEOUT_S
        if is_short and pool.router in pool.fleet.without_store:
            await asyncio.sleep(extensions["timeout"]["read"])
            raise httpcore.ReadTimeout("cut off")
        return await request(pool, method, url, content, extensions)

    async def scenario(fleet):
        monkeypatch.setattr(stored_fleet._StorePool, "request", request_or_hang)
        fleet.without_store.add("r0")
        fleet.part(["r0"])
        await asyncio.sleep(CUT_S)
        fleet.unlist("t0")
        await asyncio.sleep(CUT_S + 0.4 * seed)
        fleet.without_store.discard("r0")
        fleet.heal()
        fleet.healed_at = fleet.clock.monotonic()
        await fleet.load(LOAD_PER_S, 8.0, routers=["r0"])

    fleet = run(20, scenario)
    late = [
        arrival.at - fleet.healed_at
        for arrival in fleet.targets["t0"].arrivals
        if arrival.at > fleet.healed_at + STABLE_WINDOW_S
    ]
    assert late == []
    assert fleet.count_others("t0") > 0


# Guards against DRAIN: a target is removed right after the cut has ended, when
# all routers reach the store.
@pytest.mark.parametrize("routers", [4, 20])
def test_removal_after_a_cut_holds_at_once(routers):
    async def scenario(fleet):
        fleet.without_store.add("r0")
        await asyncio.sleep(CUT_S)
        fleet.without_store.discard("r0")
        await asyncio.sleep(RETURN_S)
        fleet.unlist("t0")
        fleet.removed_at = fleet.clock.monotonic()
        await fleet.load(LOAD_PER_S, 4.0, routers=["r0"])

    fleet = run(routers, scenario)
    late = [
        arrival.at - fleet.removed_at
        for arrival in fleet.targets["t0"].arrivals
        if arrival.at > fleet.removed_at + test_store_calls.DRAIN_S
    ]
    assert late == []


# Guards against a pool without targets: entries lapse while the store is down,
# and the running targets write them again within two seconds of its return.
@pytest.mark.parametrize("routers", [4, 20])
def test_entry_that_lapsed_in_an_outage_stays_for_the_grace_period(routers):
    gaps = []

    async def scenario(fleet):
        for name in fleet.targets:
            fleet.unlisted.add(name)
        fleet.fail_store(True)
        await asyncio.sleep(CUT_S)
        for name in fleet.targets:
            fleet.unlist(name)
        fleet.fail_store(False)
        for _ in range(18):
            await asyncio.sleep(0.1)
            gaps.append(routers - len(fleet.list_unaware("t0")))
        for name, target in fleet.targets.items():
            fleet.unlisted.discard(name)
            if name != "t1":
                fleet.write_entry(target)
            else:
                fleet.unlisted.add(name)
        for _ in range(40):
            await asyncio.sleep(0.1)
            gaps.append(routers - len(fleet.list_unaware("t0")))
        fleet.left = fleet.list_unaware("t1")

    fleet = run(routers, scenario)
    assert set(gaps) == {0}
    assert fleet.left == []


# Guards against DRAIN and against a pool without targets: one router is cut off
# for longer than the others, which is an outage of the store for all.
@pytest.mark.parametrize("routers", [4, 20])
def test_router_that_returns_after_an_outage_of_all_keeps_what_lapsed(routers):
    async def scenario(fleet):
        fleet.unlisted |= set(fleet.targets)
        fleet.without_store.add("r0")
        fleet.fail_store(True)
        await asyncio.sleep(CUT_S)
        for name in fleet.targets:
            fleet.unlist(name)
        fleet.without_store.discard("r0")
        fleet.fail_store(False)
        fleet.ready = []
        for _ in range(12):
            await asyncio.sleep(0.1)
            targets = fleet.gateways["r0"].targets
            fleet.ready.append(len(targets.find_ready(makers.POOL)))

    fleet = run(routers, scenario)
    assert min(fleet.ready) == test_store_calls.TARGETS


# Guards against a pool without targets: one router's call hangs through an
# outage of the store, so it notices none, and what lapsed counts as removed for
# good at all routers that did notice it.
@pytest.mark.parametrize("routers", [4, 20])
def test_outage_that_one_router_missed_ends_no_grace_period(
    monkeypatch, routers
):
    request = stored_fleet._StorePool.request
    missing = set()
    ready = []
    is_up = asyncio.Event()
    is_up.set()

    async def request_or_wait(pool, *args, **options):
        store = pool.fleet.store
        while pool.router in missing:
            await is_up.wait()
            result = await request(pool, *args, **options)
            if not store.faults.get("is_down"):
                return result
        return await request(pool, *args, **options)

    async def scenario(fleet):
        readers = [
            name
            for name, gateway in fleet.gateways.items()
            if gateway.shared_reads.is_reader(gateway.clock.monotonic())
        ]
        missing.add(readers[0])
        others = set(fleet.gateways) - missing
        lapsing = [name for name in fleet.targets if name != "t11"]
        monkeypatch.setattr(stored_fleet._StorePool, "request", request_or_wait)
        await fleet.load(LOAD_PER_S, 1.0)
        fleet.unlisted |= set(fleet.targets)
        is_up.clear()
        fleet.fail_store(True)
        await asyncio.sleep(CUT_S)
        fleet.fail_store(False)
        is_up.set()
        fleet.unlisted.discard("t11")
        fleet.write_entry(fleet.targets["t11"])
        for step in range(19):
            await asyncio.sleep(0.1)
            if step == 9:
                for name in lapsing:
                    fleet.unlist(name)
            ready.extend(
                len(fleet.gateways[name].targets.find_ready(makers.POOL))
                for name in others
            )

    run(routers, scenario)
    assert min(ready) == test_store_calls.TARGETS


# Guards against DRAIN: a router is cut off for longer than its peers report a
# removal, and keeps the target for a grace period when it returns.
@pytest.mark.parametrize("routers", [4, 20])
def test_router_that_was_cut_off_for_long_drops_what_was_removed(routers):
    async def scenario(fleet):
        fleet.without_store.add("r0")
        fleet.part(["r0"])
        await asyncio.sleep(CUT_S / 2)
        fleet.unlist("t0")
        await asyncio.sleep(LONG_CUT_S)
        fleet.without_store.discard("r0")
        fleet.heal()
        healed_at = fleet.clock.monotonic()
        await fleet.load(LOAD_PER_S, 5.0, routers=["r0"])
        fleet.returned_at = fleet.find_return("r0", healed_at)

    fleet = run(routers, scenario)
    assert fleet.find_late("t0") == []
    assert fleet.count_others("t0") > 0


# Guards against DRAIN: peers have told a router that a target was removed, and
# it believes an older copy of the store, from which the target comes back.
@pytest.mark.parametrize("routers", [4, 20])
def test_older_copy_does_not_bring_back_what_peers_saw_removed(routers):
    async def scenario(fleet):
        fleet.without_store.add("r0")
        await asyncio.sleep(CUT_S / 2)
        kept = len(fleet.store.topics["keyed.servers"].records)
        fleet.unlist("t0")
        await asyncio.sleep(CUT_S / 2)
        fleet.aware = "r0" not in fleet.list_unaware("t0")
        records = fleet.store.topics["keyed.servers"].records
        fleet.store.set_faults({"lose": len(records) - kept})
        fleet.without_store.discard("r0")
        fleet.removed_at = fleet.clock.monotonic()
        await fleet.load(LOAD_PER_S, 5.0)

    fleet = run(routers, scenario)
    assert fleet.aware
    late = [
        (round(arrival.at - fleet.removed_at, 3), arrival.router)
        for arrival in fleet.targets["t0"].arrivals
        if arrival.at > fleet.removed_at + SETTLE_S
    ]
    assert late == []


# Guards against a pool without targets: the store goes away again in the grace
# period of the one router that had reached it, so that no target could write
# its entry, and the end of that period counts as a removal for good at all.
@pytest.mark.parametrize("routers", [4, 20])
def test_second_outage_in_a_grace_period_removes_nothing_for_good(routers):
    ready = []

    async def scenario(fleet):
        first = next(
            name
            for name, gateway in fleet.gateways.items()
            if gateway.shared_reads.is_reader(gateway.clock.monotonic())
        )
        others = set(fleet.gateways) - {first}
        await fleet.load(LOAD_PER_S, 1.0)
        fleet.unlisted |= set(fleet.targets)
        fleet.fail_store(True)
        await asyncio.sleep(CUT_S)
        for name in fleet.targets:
            fleet.unlist(name)
        fleet.without_store |= others
        fleet.fail_store(False)
        await asyncio.sleep(1.7)
        fleet.fail_store(True)
        await asyncio.sleep(3.0)
        fleet.without_store -= others
        fleet.fail_store(False)
        for _ in range(19):
            await asyncio.sleep(0.1)
            ready.extend(
                len(fleet.gateways[name].targets.find_ready(makers.POOL))
                for name in others
            )

    run(routers, scenario)
    assert min(ready) == test_store_calls.TARGETS
