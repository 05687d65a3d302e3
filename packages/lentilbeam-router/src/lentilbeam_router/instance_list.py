"""Client of the platform's instance list."""

import dataclasses

import expression
import httpx
import msgspec

from lentilbeam_core import events
from lentilbeam_core import ids


class InstanceEntry(msgspec.Struct, frozen=True):
    """An instance in the platform's list.

    Attributes:
        name: name of the instance.
        data_centre: the data centre where the instance runs.
        state: whether the instance is live or leaving.
        url: base URL of its HTTP API.
        peer_host: host of its UDP address for messages between routers.
        peer_port: port of its UDP address.
    """

    name: str
    data_centre: str
    state: events.ListedState
    url: str
    peer_host: str
    peer_port: int

    def build_listed_instance(self) -> events.ListedInstance:
        """Returns the part of the entry that the decision logic uses."""
        return events.ListedInstance(
            ids.InstanceId(self.name),
            ids.DataCentreId(self.data_centre),
            self.state,
        )


class _Page(msgspec.Struct):
    instances: list[InstanceEntry]


@dataclasses.dataclass(frozen=True, slots=True)
class ListError:
    """A failed read of the list; `detail` describes the cause."""

    detail: str


async def read_instances(
    url: str, http: httpx.AsyncClient
) -> expression.Result[list[InstanceEntry], ListError]:
    """Reads the platform's list of instances.

    Args:
        url: base URL of the instance list service.
        http: HTTP client.
    """
    try:
        response = await http.get(f"{url.rstrip('/')}/instances")
        response.raise_for_status()
        page = msgspec.json.decode(response.content, type=_Page)
    except (httpx.HTTPError, msgspec.DecodeError) as error:
        return expression.Error(ListError(str(error) or repr(error)))
    return expression.Ok(page.instances)
