"""Builds requests from the heads that callers send."""

from typing import Any

from lentilbeam_core import ids
from lentilbeam_core.forwarding import configuration
from lentilbeam_core.forwarding import requests
from lentilbeam_router.forwarding import wire as wire_lib


class NoConfigurationError(Exception):
    """This router has no configuration yet."""


class DeniedError(Exception):
    """A request is not allowed.

    Attributes:
        status: HTTP status of the response.
        reason: why it is denied, for the log.
        version: version of the configuration in force.
    """

    def __init__(self, status: int, reason: str, version: int):
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.version = version


def build(
    gateway: Any,
    request_head: wire_lib.RequestHead,
    body_bytes: int,
    arrived_at: float,
    unread_s: float,
) -> requests.Request:
    """Returns the request of a caller.

    Args:
        gateway: the router's `Gateway`.
        request_head: head of the request.
        body_bytes: size of its body.
        arrived_at: when it may have arrived, monotonic seconds.
        unread_s: for how long it may have waited to be read, in seconds.

    Raises:
        NoConfigurationError: the router has no configuration.
        DeniedError: the request has no route, or its API key is unknown.
    """
    current = gateway.configuration.current
    if current is None:
        raise NoConfigurationError
    route = current.find_route(request_head.host, request_head.path)
    if route is None:
        raise DeniedError(404, "no route", current.version)
    workspace = ids.WorkspaceId("")
    if current.requires_api_key and not route.is_public:
        found = current.workspaces.get(request_head.api_key)
        if found is None:
            raise DeniedError(401, "unknown key", current.version)
        workspace = found
    timeout_s = route.timeout_s
    if request_head.deadline_s is not None:
        timeout_s = min(timeout_s, request_head.deadline_s)
    return requests.Request(
        request_id=request_head.request_id,
        workspace=workspace,
        route=route,
        pool=configuration.choose_pool(route, gateway.rng.random()),
        arrived_at=arrived_at,
        deadline_at=arrived_at + timeout_s,
        prompt=request_head.prompt,
        configuration_version=current.version,
        body_bytes=body_bytes,
        unread_s=unread_s,
        method=request_head.method,
    )
