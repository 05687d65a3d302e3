"""Stand-in for the platform's instance list, which is updated with a delay."""

from absl import flags
import litestar
from litestar import exceptions
import msgspec

from lentilbeam_core import clock as clock_lib
from tests.standins import server

LAG_S = flags.DEFINE_float("lag_s", 1.0, "Seconds until a change is visible.")


class Instance(msgspec.Struct):
    """An entry of the instance list."""

    name: str
    data_centre: str
    state: str
    url: str
    peer_host: str
    peer_port: int


class InstanceList(msgspec.Struct):
    """Response body of `GET /instances`, sorted by name."""

    instances: list[Instance]


class ListFaults(msgspec.Struct):
    """Faults that `PUT /faults` injects.

    Attributes:
        is_down: answer 503 to `GET /instances`.
    """

    is_down: bool = False


class Change(msgspec.Struct):
    """A change of the list that may not be visible yet.

    Attributes:
        visible_at: when the change becomes visible, in monotonic seconds.
        name: name of the instance.
        instance: the new entry, or None if the instance is removed.
    """

    visible_at: float
    name: str
    instance: Instance | None


def build(clock: clock_lib.Clock, lag_s: float) -> litestar.Litestar:
    """Returns the instance list as an application.

    Args:
        clock: determines when a change becomes visible.
        lag_s: seconds until a change becomes visible.
    """
    changes: list[Change] = []
    instances: dict[str, Instance] = {}
    faults = ListFaults()

    def change(name: str, instance: Instance | None) -> None:
        changes.append(Change(clock.monotonic() + lag_s, name, instance))

    def apply_due_changes() -> None:
        while changes and changes[0].visible_at <= clock.monotonic():
            due = changes.pop(0)
            instances.pop(due.name, None)
            if due.instance:
                instances[due.name] = due.instance

    @litestar.get("/instances")
    async def read() -> InstanceList:
        if faults.is_down:
            raise exceptions.HTTPException(status_code=503, detail="is_down")
        apply_due_changes()
        return InstanceList([instances[name] for name in sorted(instances)])

    @litestar.put("/instances/{name:str}")
    async def put(name: str, data: Instance) -> Instance:
        change(name, data)
        return data

    @litestar.delete("/instances/{name:str}")
    async def delete(name: str) -> None:
        change(name, None)

    return server.create_app([read, put, delete], faults)


if __name__ == "__main__":
    server.run(lambda clock: build(clock, LAG_S.value))
