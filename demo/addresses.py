"""The list of router addresses that a caller keeps."""

import asyncio
import dataclasses

import httpx

from lentilbeam_core import clock as clock_lib

PATH = "/v1/addresses"


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Address of one router.

    Attributes:
        instance: name of the router.
        url: URL at which the router listens for callers.
    """

    instance: str
    url: str


class Addresses:
    """Fetches the routers' addresses and caches them for their TTL.

    Attributes:
        http: HTTP client for the requests to routers.
        clock: clock for the TTL.
        known: the addresses, in the order in which to use them.
        initial: addresses to fall back on if no known router responds.
        expires_at: monotonic time in seconds at which the TTL of the known
            addresses ends.
        lock: held while the addresses are fetched.
    """

    def __init__(
        self,
        http: httpx.AsyncClient,
        clock: clock_lib.Clock,
        initial: list[Address],
    ):
        self.http = http
        self.clock = clock
        self.known = list(initial)
        self.initial = list(initial)
        self.expires_at = float("-inf")
        self.lock = asyncio.Lock()

    async def pick(self) -> Address:
        """Returns the address to use now; fetches new ones after the TTL.

        Returns an expired address if no router responds.
        """
        async with self.lock:
            if self.clock.monotonic() >= self.expires_at:
                await self._refresh()
        return self.known[0]

    def move_to_end(self, address: Address) -> None:
        """Moves an address to the end, so that the others are used first."""
        if address in self.known:
            self.known.remove(address)
            self.known.append(address)

    async def _refresh(self) -> None:
        """Fetches the addresses from the first router that responds."""
        for address in dict.fromkeys([*self.known, *self.initial]):
            if await self._fetch_from(address):
                return

    async def _fetch_from(self, address: Address) -> bool:
        """Fetches the addresses from one router; tells whether it did."""
        try:
            response = await self.http.get(address.url + PATH)
            response.raise_for_status()
        except httpx.HTTPError:
            return False
        body = response.json()
        listed = [Address(r["instance"], r["url"]) for r in body["addresses"]]
        if not listed:
            return False
        self.known = listed
        self.expires_at = self.clock.monotonic() + body["ttl_s"]
        return True
