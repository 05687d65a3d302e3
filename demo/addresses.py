"""A caller's view of which router to use."""

import asyncio
import dataclasses

import httpx

from lentilbeam_core import clock as clock_lib

PATH = "/v1/addresses"


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """One router's address."""

    instance: str
    url: str


class Addresses:
    """Asks the fleet for its addresses and keeps the answer for its TTL.

    Attributes:
        known: addresses in the order in which to use them.
    """

    def __init__(
        self,
        http: httpx.AsyncClient,
        clock: clock_lib.Clock,
        first: list[Address],
    ):
        self.http = http
        self.clock = clock
        self.known = list(first)
        self.first = list(first)
        self.kept_until = float("-inf")
        self.lock = asyncio.Lock()

    async def pick(self) -> Address:
        """Returns the address to use now."""
        async with self.lock:
            if self.clock.monotonic() >= self.kept_until:
                await self._refresh()
        return self.known[0]

    def put_last(self, address: Address) -> None:
        """Tries the other addresses before this one from now on."""
        if address in self.known:
            self.known.remove(address)
            self.known.append(address)

    async def _refresh(self) -> None:
        for address in dict.fromkeys([*self.known, *self.first]):
            if await self._ask(address):
                return

    async def _ask(self, address: Address) -> bool:
        try:
            answer = await self.http.get(address.url + PATH)
            answer.raise_for_status()
        except httpx.HTTPError:
            return False
        body = answer.json()
        rows = [Address(r["instance"], r["url"]) for r in body["addresses"]]
        if not rows:
            return False
        self.known = rows
        self.kept_until = self.clock.monotonic() + body["ttl_s"]
        return True
