"""What is done to a fleet of processes while its callers send requests."""

import asyncio
import signal

from demo import addresses
from demo import caller as caller_lib
from tests.processes import happenings
from tests.processes import world as world_lib

Happening = happenings.Happening
World = world_lib.World
ONCE = caller_lib.Settings(max_attempts=1, retry_limit_s=30.0)
EVERYWHERE = caller_lib.Settings(max_attempts=3, retry_limit_s=30.0)
BOOKINGS = 12
STREAMS = 4
LOST_ANSWERS = 3
SEVERAL = 4
GIVE_UP_ROUTER_S = 3.0
SHORT_DEADLINE_MS = 1000


async def pause_router(world: World) -> Happening:
    tasks = world.send(
        world.make_bookings(BOOKINGS, SHORT_DEADLINE_MS),
        world.find_addresses("router-1"),
        EVERYWHERE,
        GIVE_UP_ROUTER_S,
    )
    await world.wait_until_busy("bookings-1", SEVERAL)
    world.send_signal("router-1", signal.SIGSTOP)
    await asyncio.wait(tasks)
    world.send_signal("router-1", signal.SIGCONT)
    return await world.conclude(tasks)


async def refuse_by_log(world: World) -> Happening:
    await world.set_faults(world_lib.LOG, is_down=True)
    tasks = send_mixed(world, ONCE)
    await asyncio.wait(tasks)
    await world.set_faults(world_lib.LOG)
    return await world.conclude(tasks)


async def pause_log(world: World) -> Happening:
    world.send_signal(world_lib.LOG, signal.SIGSTOP)
    tasks = send_mixed(world, ONCE)
    await asyncio.wait(tasks)
    world.send_signal(world_lib.LOG, signal.SIGCONT)
    return await world.conclude(tasks)


async def lose_appends(world: World) -> Happening:
    await world.set_faults(world_lib.LOG, lose_answers=LOST_ANSWERS)
    return await world.conclude(send_mixed(world, world_lib.PATIENT))


async def silence_targets(world: World) -> Happening:
    tasks = send_mixed(world, ONCE)
    for name in world_lib.TARGETS:
        await world.wait_until_busy(name)
    for name in world_lib.TARGETS:
        world.relays[name].freeze()
    return await world.conclude(tasks)


async def silence_engine(world: World) -> Happening:
    streams = world.make_streams(STREAMS)
    tasks = world.send(streams, world.find_addresses(), ONCE)
    await world.wait_until_busy("engine-1")
    await asyncio.sleep(world_lib.POLL_S * 10)
    await world.set_faults("engine-1", is_silent=True)
    await asyncio.wait(tasks)
    await world.set_faults("engine-1")
    return await world.conclude(tasks)


async def silence_callers(world: World) -> Happening:
    known = [addresses.Address("router-1", world.urls["router-1"])]
    wanted = world.make_bookings(STREAMS) + world.make_streams(STREAMS)
    tasks = world.send(wanted, known, world_lib.PATIENT, GIVE_UP_ROUTER_S)
    for name in world_lib.TARGETS:
        await world.wait_until_busy(name)
    world.relays["router-1"].freeze()
    return await world.conclude(tasks)


async def restart_routers(world: World) -> Happening:
    tasks = send_mixed(world, world_lib.PATIENT)
    await world.wait_until_busy("bookings-1", SEVERAL)
    await world.restart_all_routers()
    return await world.conclude(tasks)


def send_mixed(world: World, settings: caller_lib.Settings):
    """Sends bookings and streams by all routers."""
    tasks = []
    for name in world_lib.ROUTERS:
        wanted = world.make_bookings(BOOKINGS // 3) + world.make_streams(2)
        known = world.find_addresses(name)
        tasks += world.send(wanted, known, settings)
    return tasks


ACTS = {
    "a router with claims is paused": pause_router,
    "the log refuses for a while": refuse_by_log,
    "the log is paused for a while": pause_log,
    "the log loses answers to appends": lose_appends,
    "connections to targets fall silent": silence_targets,
    "an engine falls silent": silence_engine,
    "connections with callers fall silent": silence_callers,
    "all routers die and start again empty": restart_routers,
}
