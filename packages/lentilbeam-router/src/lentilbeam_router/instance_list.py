"""Adapter of the platform's instance list."""

import dataclasses

import expression
import httpx
import msgspec

from lentilbeam_core import events
from lentilbeam_core import ids


class ListedRow(msgspec.Struct, frozen=True):
    """One instance as the platform lists it."""

    name: str
    data_centre: str
    state: events.ListedState
    url: str
    peer_host: str
    peer_port: int

    def build_instance(self) -> events.ListedInstance:
        """Returns the row in the form that decisions use."""
        return events.ListedInstance(
            ids.InstanceId(self.name),
            ids.DataCentreId(self.data_centre),
            self.state,
        )


class _Page(msgspec.Struct):
    instances: list[ListedRow]


@dataclasses.dataclass(frozen=True, slots=True)
class ListError:
    """The list could not be read."""

    detail: str


async def read_instances(
    url: str, http: httpx.AsyncClient
) -> expression.Result[list[ListedRow], ListError]:
    """Reads the platform's list of instances."""
    try:
        answer = await http.get(f"{url.rstrip('/')}/instances")
        answer.raise_for_status()
        page = msgspec.json.decode(answer.content, type=_Page)
    except (httpx.HTTPError, msgspec.DecodeError) as error:
        return expression.Error(ListError(str(error) or repr(error)))
    return expression.Ok(page.instances)
