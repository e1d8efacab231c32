"""Callers of a soak, and what they were told."""

import asyncio
import itertools
import random

import httpx
import msgspec

from chicorydoor.platform import wire
from chicorydoor.soak import soak_site
from chicorydoor.standins import platform_site

_PAUSE_S = 0.02
_TIMEOUT_S = 3.0
_OBJECTS = 40
_ORDERS = 0.5


class Told(msgspec.Struct):
    """One request and its answer.

    Args:
        at (float): When it was sent, on the loop's clock.
        status (int): 0 if the connection ended without an answer.
        body (str): Of a success.
    """

    request_id: str
    at: float
    entry: str
    start: int
    key: str
    is_order: bool
    status: int = 0
    body: str = ""


class SoakTraffic:
    """Callers that read and order, over connections that they keep.

    Args:
        site (SoakSite): Where they call.
        rng (Random): Randomness.
    """

    def __init__(self, site: soak_site.SoakSite, rng: random.Random) -> None:
        self._site = site
        self._rng = rng
        self._ids = itertools.count()
        self.told: list[Told] = []
        self.is_over = False

    async def run(self) -> None:
        """Call until told to end, as one caller."""
        async with httpx.AsyncClient(
            trust_env=False, timeout=_TIMEOUT_S
        ) as client:
            while not self.is_over:
                entry = self._rng.choice(self._site.entries)
                await self.call(client, entry, self._key())
                await asyncio.sleep(_PAUSE_S * self._rng.random())

    def _key(self) -> str:
        """A key in force, or now and then one that was withdrawn."""
        withdrawn = self._site.withdrawn_keys
        if withdrawn and self._rng.random() < 0.1:
            return self._rng.choice(withdrawn)
        keys = self._site.keys_by_customer
        return self._rng.choice(keys[self._rng.choice(sorted(keys))])

    async def call(
        self,
        client: httpx.AsyncClient,
        entry: platform_site.EntryProcess,
        key: str,
    ) -> Told:
        """Send one request and note what comes back."""
        is_order = self._rng.random() < _ORDERS
        method, folder = ("POST", "order") if is_order else ("GET", "read")
        told = Told(
            request_id=f"request-{next(self._ids)}",
            at=asyncio.get_running_loop().time(),
            entry=entry.name,
            start=entry.start_count,
            key=key,
            is_order=is_order,
        )
        self.told.append(told)
        subject = self._rng.randrange(_OBJECTS)
        names = wire.HEADERS
        headers = {
            "host": platform_site.HOST,
            names.request_id.decode(): told.request_id,
            names.affinity.decode(): f"{subject}",
            names.deadline.decode(): "1500",
            names.key.decode(): key,
        }
        url = f"http://{entry.callers}/{folder}/{subject}"
        try:
            answer = await client.request(method, url, headers=headers)
        except httpx.HTTPError:
            return told
        told.status, told.body = answer.status_code, answer.text
        return told
