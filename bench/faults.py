"""Schedules the faults of a scenario in the emulator."""

from bench import emulator as emulator_lib
from bench import scenarios
from lentilbeam_core import events
from lentilbeam_core import ids


def schedule_faults(emulator: emulator_lib.Emulator) -> None:
    """Schedules the scenario's faults on the emulator's loop.

    Faults of routers and of the network are skipped for an ideal policy.
    """
    for fault in emulator.experiment.scenario.faults:
        _schedule_fault(emulator, fault)


def _schedule_fault(
    emulator: emulator_lib.Emulator, fault: scenarios.Fault
) -> None:
    is_ideal = emulator.experiment.policy.is_ideal
    match fault:
        case scenarios.DrainTarget():
            _schedule_drain(emulator, fault)
        case scenarios.FailTarget():
            _schedule_failure(emulator, fault)
        case scenarios.KillScheduler() if not is_ideal:
            _schedule_kill(emulator, fault)
        case scenarios.RestartRouters() if not is_ideal:
            _schedule_restarts(emulator, fault)
        case scenarios.PauseRouter() if not is_ideal:
            _schedule_pause(emulator, fault)
        case scenarios.Partition() if not is_ideal:
            _schedule_partition(emulator, fault)


def _schedule_kill(
    emulator: emulator_lib.Emulator, fault: scenarios.KillScheduler
) -> None:
    def kill() -> None:
        name = emulator.find_scheduler()
        emulator.kill_router(name)
        emulator.listing.remove(name)
        emulator.loop.call_at(
            fault.restart_s, lambda: _restart_router(emulator, name)
        )

    emulator.loop.call_at(fault.at_s, kill)


def _schedule_restarts(
    emulator: emulator_lib.Emulator, fault: scenarios.RestartRouters
) -> None:
    """Restarts routers before the lagging list shows them as removed."""

    def kill() -> None:
        scheduler = emulator.find_scheduler()
        others = [name for name in emulator.routers if name != scheduler]
        for name in [scheduler, *others[: fault.count - 1]]:
            emulator.kill_router(name)
            emulator.listing.remove(name)
            emulator.loop.call_at(
                fault.end_s, lambda name=name: _restart_router(emulator, name)
            )

    emulator.loop.call_at(fault.at_s, kill)


def _restart_router(
    emulator: emulator_lib.Emulator, name: ids.InstanceId
) -> None:
    entry = events.ListedInstance(
        name, emulator.routers[name], events.ListedState.LIVE
    )
    emulator.listing.add(entry)
    emulator.start_router(name)


def _schedule_pause(
    emulator: emulator_lib.Emulator, fault: scenarios.PauseRouter
) -> None:
    def pause() -> None:
        scheduler = emulator.find_scheduler()
        others = [name for name in emulator.routers if name != scheduler]
        host = emulator.hosts[scheduler if fault.is_scheduler else others[0]]
        host.pause()
        emulator.loop.call_at(fault.end_s, host.resume)

    emulator.loop.call_at(fault.at_s, pause)


def _schedule_partition(
    emulator: emulator_lib.Emulator, fault: scenarios.Partition
) -> None:
    def isolate() -> None:
        scheduler = emulator.find_scheduler()
        others = [name for name in emulator.routers if name != scheduler]
        chosen = others[: fault.count]
        if fault.includes_scheduler:
            chosen = [scheduler, *others[: fault.count - 1]]
        emulator.network.isolated = frozenset(chosen)

    def heal() -> None:
        emulator.network.isolated = frozenset()

    emulator.loop.call_at(fault.at_s, isolate)
    emulator.loop.call_at(fault.end_s, heal)


def _schedule_drain(
    emulator: emulator_lib.Emulator, fault: scenarios.DrainTarget
) -> None:
    def drain() -> None:
        engine = next(iter(emulator.engines.values()))
        engine.drain(emulator_lib.DRAIN_GRACE_S)
        emulator.recorder.update_capacity(emulator.loop.now)

    emulator.loop.call_at(fault.at_s, drain)


def _schedule_failure(
    emulator: emulator_lib.Emulator, fault: scenarios.FailTarget
) -> None:
    engine = next(iter(emulator.engines.values()))

    def begin() -> None:
        engine.start_failing()
        emulator.recorder.update_capacity(emulator.loop.now)

    def end() -> None:
        engine.stop_failing()
        emulator.recorder.update_capacity(emulator.loop.now)

    emulator.loop.call_at(fault.at_s, begin)
    emulator.loop.call_at(fault.end_s, end)
