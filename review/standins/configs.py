"""Configs of small deployments, as the operator writes them."""

from standins import fleet as fleet_lib

LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def build_route(name: str, prefix: str, kind: str, service: str, **fields):
    """Returns a route of plain requests."""
    return {
        "name": name,
        "host": fleet_lib.HOST_NAME,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 3000,
        "goal_ms": 500,
        "priority": 1,
        "service": service,
        "attempts": 1,
        "public": False,
        "sticky": False,
        "resumable": False,
        **fields,
    }


def build_service(name: str, **fields):
    """Returns a plain service."""
    return {
        "name": name,
        "health_path": "/health",
        "max_conns": 100,
        "protocol": "h1",
        "tls": False,
        **fields,
    }


def build_config(
    version: int,
    routes: list[dict],
    services: list[dict],
    keys: dict[str, list[str]],
) -> dict:
    """Returns a config.

    Args:
        version: its version.
        routes: all routes.
        services: all services.
        keys: API keys by name of the tenant.
    """
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": LIMITS,
        "tenants": [
            {"name": name, "api_keys": found, "priority": 1}
            for name, found in keys.items()
        ],
    }
