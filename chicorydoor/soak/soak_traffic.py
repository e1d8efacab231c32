"""Callers of a soak and the records of their requests."""

import asyncio
import itertools
import random

import httpx
import msgspec

from chicorydoor.platform import http_names
from chicorydoor.soak import soak_site
from chicorydoor.standins import platform_site

_MAX_PAUSE_S = 0.02
_REQUEST_TIMEOUT_S = 3.0
# Shorter than most faults, so that paused entries have requests of callers
# that left.
_IMPATIENT_TIMEOUT_S = 0.2
_IMPATIENT_FRACTION = 0.5
# Each object has its own path and affinity key.
_OBJECT_COUNT = 40
_ORDER_FRACTION = 0.5


class RequestRecord(msgspec.Struct):
    """A request and its answer.

    Args:
        request_id (str): Id of the request.
        sent_at (float): Time of sending in seconds, on the loop's clock.
        entry (str): Name of the entry that it was sent to.
        start_number (int): Number of starts of that entry until then, which
            identifies its process.
        key (str): Key of the caller.
        is_order (bool): Whether it is an order, which must not be repeated.
        status (int): HTTP status, 0 if the connection ended without an
            answer. Defaults to 0.
        body (str): Body of the answer. Defaults to empty.
        left_at (float): When the caller closed its connection without an
            answer, on the loop's clock; None if it did not. Defaults to None.
    """

    request_id: str
    sent_at: float
    entry: str
    start_number: int
    key: str
    is_order: bool
    status: int = 0
    body: str = ""
    left_at: float | None = None


class SoakTraffic:
    """Shared state of callers that send reads and orders.

    Each ``run`` is one caller with persistent connections.

    Args:
        site (SoakSite): Deployment that they call.
        rng (Random): Source of all randomness of the callers.
    """

    def __init__(self, site: soak_site.SoakSite, rng: random.Random) -> None:
        self._site = site
        self._rng = rng
        # Of its own, so that a seed's other random numbers stay the same.
        self._patience_rng = random.Random(1)
        self._request_numbers = itertools.count()
        self.records: list[RequestRecord] = []
        self.is_stopped = False

    async def run(self) -> None:
        """Send requests as one caller until ``is_stopped`` is set."""
        async with httpx.AsyncClient(
            trust_env=False, timeout=_REQUEST_TIMEOUT_S
        ) as client:
            while not self.is_stopped:
                entry = self._rng.choice(self._site.entries)
                await self.call(client, entry, self._pick_key())
                await asyncio.sleep(_MAX_PAUSE_S * self._rng.random())

    def _pick_key(self) -> str:
        """A random valid key or, in a tenth of the cases, a withdrawn one.

        All are valid until the first key is withdrawn.
        """
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
    ) -> RequestRecord:
        """Send a request and record it with its answer.

        Args:
            client (AsyncClient): HTTP client to use.
            entry (EntryProcess): Entry that receives the request.
            key (str): Key of the caller.

        Returns:
            RequestRecord: The record, also kept in ``records``.
        """
        is_order = self._rng.random() < _ORDER_FRACTION
        method, prefix = ("POST", "order") if is_order else ("GET", "read")
        record = RequestRecord(
            request_id=f"request-{next(self._request_numbers)}",
            sent_at=asyncio.get_running_loop().time(),
            entry=entry.name,
            start_number=entry.start_count,
            key=key,
            is_order=is_order,
        )
        self.records.append(record)
        object_number = self._rng.randrange(_OBJECT_COUNT)
        names = http_names.HEADER_NAMES
        headers = {
            "host": platform_site.HOST,
            names.request_id.decode(): record.request_id,
            names.affinity_key.decode(): f"{object_number}",
            names.deadline_ms.decode(): "1500",
            names.api_key.decode(): key,
        }
        url = f"http://{entry.caller_endpoint}/{prefix}/{object_number}"
        is_impatient = self._patience_rng.random() < _IMPATIENT_FRACTION
        timeout_s = (
            _IMPATIENT_TIMEOUT_S if is_impatient else _REQUEST_TIMEOUT_S
        )
        try:
            answer = await client.request(
                method, url, headers=headers, timeout=timeout_s
            )
        except httpx.ReadTimeout:
            record.left_at = asyncio.get_running_loop().time()
            return record
        except httpx.HTTPError:
            return record
        record.status, record.body = answer.status_code, answer.text
        return record
