"""Disturbances of a fleet of processes while callers send requests.

Each function sends requests, disturbs the fleet and returns the record of the
scenario. `DISTURBANCES` maps the faults in the examples of
`process_faults.feature` to these functions.
"""

import asyncio
import signal

from demo import addresses
from demo import caller as caller_lib
from tests.processes import scenario_record
from tests.processes import world as world_lib

ScenarioRecord = scenario_record.ScenarioRecord
World = world_lib.World
SINGLE_ATTEMPT = caller_lib.Settings(max_attempts=1, retry_limit_s=30.0)
THREE_ATTEMPTS = caller_lib.Settings(max_attempts=3, retry_limit_s=30.0)
BOOKING_COUNT = 12
STREAM_COUNT = 4
LOST_ANSWER_COUNT = 3
MIN_BUSY_REQUESTS = 4
SHORT_READ_TIMEOUT_S = 3.0
SHORT_DEADLINE_MS = 1000


async def pause_router(world: World) -> ScenarioRecord:
    """Pauses router-1 while it runs bookings, until all callers are done.

    The bookings are held until the router is paused: it then has the claims of
    bookings that run, whatever the speed of the machine.
    """
    await world.set_faults("bookings-1", hold=True)
    tasks = world.send(
        world.make_bookings(BOOKING_COUNT, SHORT_DEADLINE_MS),
        world.list_addresses("router-1"),
        THREE_ATTEMPTS,
        SHORT_READ_TIMEOUT_S,
    )
    await world.wait_until_busy("bookings-1", MIN_BUSY_REQUESTS)
    world.send_signal("router-1", signal.SIGSTOP)
    await world.set_faults("bookings-1")
    await asyncio.wait(tasks)
    world.send_signal("router-1", signal.SIGCONT)
    return await world.conclude(tasks)


async def make_log_refuse_calls(world: World) -> ScenarioRecord:
    """Makes the log refuse all calls until all callers are done."""
    await world.set_faults(world_lib.LOG, is_down=True)
    tasks = send_mixed(world, SINGLE_ATTEMPT)
    await asyncio.wait(tasks)
    await world.set_faults(world_lib.LOG)
    return await world.conclude(tasks)


async def pause_log(world: World) -> ScenarioRecord:
    """Pauses the log until all callers are done."""
    world.send_signal(world_lib.LOG, signal.SIGSTOP)
    tasks = send_mixed(world, SINGLE_ATTEMPT)
    await asyncio.wait(tasks)
    world.send_signal(world_lib.LOG, signal.SIGCONT)
    return await world.conclude(tasks)


async def lose_append_responses(world: World) -> ScenarioRecord:
    """Makes the log lose the responses to the next appends."""
    await world.set_faults(world_lib.LOG, lose_answers=LOST_ANSWER_COUNT)
    return await world.conclude(send_mixed(world, world_lib.MANY_ATTEMPTS))


async def silence_targets(world: World) -> ScenarioRecord:
    """Stops the traffic on open connections to the targets, for good."""
    tasks = send_mixed(world, SINGLE_ATTEMPT)
    for name in world_lib.TARGETS:
        await world.wait_until_busy(name)
    for name in world_lib.TARGETS:
        world.relays[name].freeze()
    return await world.conclude(tasks)


async def silence_engine(world: World) -> ScenarioRecord:
    """Makes the engine send nothing on open streams, for good."""
    streams = world.make_streams(STREAM_COUNT)
    tasks = world.send(streams, world.list_addresses(), SINGLE_ATTEMPT)
    await world.wait_until_busy("engine-1")
    await asyncio.sleep(world_lib.POLL_INTERVAL_S * 10)
    await world.set_faults("engine-1", is_silent=True)
    await asyncio.wait(tasks)
    await world.set_faults("engine-1")
    return await world.conclude(tasks)


async def silence_callers(world: World) -> ScenarioRecord:
    """Stops the traffic on open connections to router-1, for good."""
    router_addresses = [addresses.Address("router-1", world.urls["router-1"])]
    specs = world.make_bookings(STREAM_COUNT) + world.make_streams(STREAM_COUNT)
    tasks = world.send(
        specs, router_addresses, world_lib.MANY_ATTEMPTS, SHORT_READ_TIMEOUT_S
    )
    for name in world_lib.TARGETS:
        await world.wait_until_busy(name)
    world.relays["router-1"].freeze()
    return await world.conclude(tasks)


async def restart_routers(world: World) -> ScenarioRecord:
    """Kills all routers while they run bookings and restarts them."""
    tasks = send_mixed(world, world_lib.MANY_ATTEMPTS)
    await world.wait_until_busy("bookings-1", MIN_BUSY_REQUESTS)
    await world.restart_all_routers()
    return await world.conclude(tasks)


def send_mixed(world: World, settings: caller_lib.Settings):
    """Starts bookings and streams; returns the callers' tasks.

    Each router is the preferred one of a third of the callers.
    """
    tasks = []
    for name in world_lib.ROUTERS:
        specs = world.make_bookings(BOOKING_COUNT // 3) + world.make_streams(2)
        router_addresses = world.list_addresses(name)
        tasks += world.send(specs, router_addresses, settings)
    return tasks


DISTURBANCES = {
    "a router with claims is paused": pause_router,
    "the log refuses calls for a while": make_log_refuse_calls,
    "the log is paused for a while": pause_log,
    "the log loses responses to appends": lose_append_responses,
    "connections to targets go silent": silence_targets,
    "an engine goes silent": silence_engine,
    "connections to callers go silent": silence_callers,
    "all routers are killed and restart without state": restart_routers,
}
