"""Stand-in for the platform's list of instances, which lags."""

from absl import flags
import litestar
from litestar import exceptions
import msgspec

from lentilbeam_core import clock as clock_lib
from tests.standins import server

LAG_S = flags.DEFINE_float("lag_s", 1.0, "Changes show after this time.")


class Row(msgspec.Struct):
    """One instance."""

    name: str
    data_centre: str
    state: str
    url: str
    peer_host: str
    peer_port: int


class InstanceList(msgspec.Struct):
    """The whole list, sorted by name."""

    instances: list[Row]


class ListFaults(msgspec.Struct):
    """Fault switches."""

    is_down: bool = False


class Change(msgspec.Struct):
    """An instance's new row, or None when it was taken off the list."""

    shows_at: float
    name: str
    row: Row | None


def build(clock: clock_lib.Clock, lag_s: float) -> litestar.Litestar:
    """Returns the instance list as an application."""
    changes: list[Change] = []
    rows: dict[str, Row] = {}
    faults = ListFaults()

    def change(name: str, row: Row | None) -> None:
        changes.append(Change(clock.monotonic() + lag_s, name, row))

    def show_changes() -> None:
        while changes and changes[0].shows_at <= clock.monotonic():
            due = changes.pop(0)
            rows.pop(due.name, None)
            if due.row:
                rows[due.name] = due.row

    @litestar.get("/instances")
    async def read() -> InstanceList:
        if faults.is_down:
            raise exceptions.HTTPException(status_code=503, detail="is_down")
        show_changes()
        return InstanceList([rows[name] for name in sorted(rows)])

    @litestar.put("/instances/{name:str}")
    async def put(name: str, data: Row) -> Row:
        change(name, data)
        return data

    @litestar.delete("/instances/{name:str}")
    async def delete(name: str) -> None:
        change(name, None)

    return server.create_app([read, put, delete], faults)


if __name__ == "__main__":
    server.run(lambda clock: build(clock, LAG_S.value))
