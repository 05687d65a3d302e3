"""Limits on callers, as the settings, the memory and the operators set them."""

import dataclasses

from lentilbeam_core import clock as clock_lib
from lentilbeam_core.forwarding import configuration
from lentilbeam_core.forwarding import memory_budget
from lentilbeam_router import caller_connections
from lentilbeam_router import caller_log
from lentilbeam_router import metrics as metrics_lib
from lentilbeam_router.forwarding import decision_log

IDLE_TIMEOUT_FACTOR = 2.0
"""How much longer an idle connection of a caller is kept than the operators
allow callers to use it."""


def build_connections(
    settings: caller_connections.Settings,
    clock: clock_lib.Clock,
    memory: memory_budget.MemoryBudget,
    log: decision_log.DecisionLog,
    metrics: metrics_lib.Metrics,
) -> caller_connections.CallerConnections:
    """Returns the table of callers' connections of a router.

    Args:
        settings: limits before a configuration is read.
        clock: source of monotonic time.
        memory: counts what unfinished requests take.
        log: log of decisions.
        metrics: counts connections that are closed for a limit.
    """
    connections = caller_connections.CallerConnections(
        _limit_memory(settings, memory), clock
    )
    callers = caller_log.CallerLog(clock, log.write_event, metrics)
    connections.on_close = callers.note
    connections.on_charge = memory.add
    return connections


def find_limits(
    settings: caller_connections.Settings,
    memory: memory_budget.MemoryBudget,
    limits: configuration.Limits,
) -> caller_connections.Settings:
    """Returns the limits in force.

    Args:
        settings: limits of the process.
        memory: memory budget of the process.
        limits: limits of the operators.
    """
    return dataclasses.replace(
        _limit_memory(settings, memory),
        head_bytes=limits.max_header_bytes,
        head_timeout_s=limits.header_timeout_s + settings.head_margin_s,
        idle_timeout_s=limits.idle_timeout_s * IDLE_TIMEOUT_FACTOR,
    )


def _limit_memory(
    settings: caller_connections.Settings, memory: memory_budget.MemoryBudget
) -> caller_connections.Settings:
    if not memory.limit_bytes:
        return settings
    share = memory_budget.limit_unfinished(memory.limit_bytes)
    return dataclasses.replace(
        settings, unfinished_bytes=min(settings.unfinished_bytes, share)
    )
