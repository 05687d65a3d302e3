"""Gauges of a forwarding router."""

import math
from typing import Any

from lentilbeam_router.forwarding import dispatcher as dispatcher_lib


def read(gateway: Any) -> dict[str, float]:
    """Returns the current gauge values by name.

    Args:
        gateway: the router's `Gateway`, typed as Any because `gateway` imports
            this module.
    """
    now = gateway.clock.monotonic()
    current = gateway.configuration.current
    gauges = {
        "configuration_version": current.version if current else 0,
        "ready": gateway.is_ready,
        "leaving": gateway.is_leaving,
        "memory_buffered_bytes": gateway.memory.used_bytes,
        "memory_budget_bytes": gateway.memory.limit_bytes,
        "memory_resident_bytes": gateway.memory.resident_bytes,
        "late_s": gateway.overload.lateness.late_s,
        "busy_fraction": gateway.overload.load.busy_fraction,
        "request_processor_s": gateway.overload.load.estimate_cost(),
        "processor_backlog_s": gateway.overload.load.read_backlog(now),
        "processor_backlog_estimate_s": (
            gateway.overload.load.estimate_backlog(now)
        ),
        "requests_active": gateway.request_handler.active,
        "requests_refused_early": gateway.accept_control.early.refused,
        "caller_connections": len(gateway.callers.open),
        "caller_connections_limit": gateway.callers.limit,
        "caller_unfinished_bytes": gateway.callers.unfinished_bytes,
        "connections_left_unread": gateway.accept_control.left,
        "accept_queue_limit": gateway.accept_control.backlog,
        "peers_listed": len(gateway.peers.listed),
        "peers_serving": len(gateway.peers.find_serving()),
        "fleet_report_delay_s": gateway.report_exchange.fleet_report_delay_s,
        "targets_listed": len(gateway.targets.entries),
        "targets_lapsing": len(gateway.targets.pending_removals),
        "targets_age_s": gateway.targets.read_age(now),
        "parts_blocked": len(gateway.prompt_blocks.evidence.list_blocks()),
        "streams_remembered": len(gateway.origin_exchange.origins.records),
        "versions_recorded": len(gateway.stream_versions.stored),
        "versions_unrecorded": len(gateway.stream_versions.unrecorded),
        "version_rules": sum(
            len(stored.rules)
            for stored in gateway.stream_versions.rules.stored.values()
        ),
        "streams_unwritten": len(gateway.origin_search.journal.pending),
        "streams_unwritten_dropped": gateway.origin_search.journal.dropped,
        "log_lines_dropped": gateway.log.total_dropped,
        **gateway.evacuations.read_gauges(),
    }
    for name, dispatcher in gateway.dispatchers.items():
        pool_gauges = dispatcher.read_gauges(now) | _read_shares(dispatcher)
        for key, value in pool_gauges.items():
            gauges[f"pool_{name}_{key}"] = value
    return gauges


def _read_shares(dispatcher: dispatcher_lib.Dispatcher) -> dict[str, float]:
    """Returns what limits workspaces; a level of 0 stands for no limit."""
    lead = dispatcher.usage.lead
    return {
        "lead_level": 0.0 if math.isinf(lead.level) else lead.level,
        "yield": lead.pool_yield,
        "most_served": dispatcher.usage.most_served,
    }
