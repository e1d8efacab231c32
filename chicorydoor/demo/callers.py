"""Callers that look entries up, cache the answer and send requests."""

import asyncio
import collections
import itertools
import random

import httpx
import msgspec

from chicorydoor.protocol import caller_api

_TIMEOUT_S = 10.0


class CallRecord(msgspec.Struct):
    """One request as its caller saw it.

    Args:
        code (int): Result code; -1 if there was no whole answer.
        is_whole (bool): Whether the answer was the caller's own, whole.
    """

    request_id: str
    customer: str
    key: str
    method: str
    path: str
    started_at: float
    ended_at: float = 0.0
    entry: str = ""
    code: int = -1
    outcome: str = ""
    is_whole: bool = False
    error: str = ""


class Journal:
    """All requests of a run."""

    def __init__(self) -> None:
        self.records: list[CallRecord] = []
        self._numbers = itertools.count(1)

    def open(
        self, customer: str, key: str, method: str, path: str
    ) -> CallRecord:
        """Begin a record."""
        record = CallRecord(
            request_id=f"{customer or 'open'}-{next(self._numbers)}",
            customer=customer,
            key=key,
            method=method,
            path=path,
            started_at=asyncio.get_running_loop().time(),
        )
        self.records.append(record)
        return record

    def count_by_code(self) -> collections.Counter[int]:
        """Requests by result code."""
        return collections.Counter(r.code for r in self.records)


class Caller:
    """One caller of a customer.

    Args:
        journal (Journal): Gets every request.
        entries (list): ``ip:port`` of entries known at first.
        address (str): Where the caller says that it is.
        customer (str): For the records.
        key (str): The key, or empty.
        rng (Random): For the choice among entries.
    """

    def __init__(
        self,
        journal: Journal,
        entries: list[str],
        address: str,
        customer: str,
        key: str,
        rng: random.Random,
    ) -> None:
        self.key = key
        self._journal = journal
        self._known = entries
        self._address = address
        self._customer = customer
        self._rng = rng
        self._client = httpx.AsyncClient(timeout=_TIMEOUT_S, trust_env=False)
        self._answer: caller_api.LookupAnswer | None = None
        self._expires_at = 0.0

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def _entry(self) -> str:
        """An entry by weight, from the cached answer."""
        now = asyncio.get_running_loop().time()
        if self._answer is None or now >= self._expires_at:
            await self._look_up(now)
        if self._answer is None or not self._answer.entries:
            return self._rng.choice(self._known)
        weights = [entry.weight for entry in self._answer.entries]
        (entry,) = self._rng.choices(self._answer.entries, weights)
        return entry.address

    async def _look_up(self, now: float) -> None:
        known = list(self._known)
        if self._answer is not None and self._answer.entries:
            known = [entry.address for entry in self._answer.entries]
        for address in self._rng.sample(known, len(known)):
            try:
                response = await self._client.get(
                    f"http://{address}/v1/lookup",
                    params={"address": self._address},
                )
            except httpx.HTTPError:
                continue
            self._answer = msgspec.json.decode(
                response.content, type=caller_api.LookupAnswer
            )
            self._expires_at = now + self._answer.ttl_s
            return

    async def request(
        self, method: str, path: str, body: bytes = b""
    ) -> CallRecord:
        """Send one request."""
        record = self._journal.open(self._customer, self.key, method, path)
        headers = {"x-request-id": record.request_id}
        if self.key:
            headers["x-api-key"] = self.key
        try:
            record.entry = await self._entry()
            response = await self._client.request(
                method,
                f"http://{record.entry}{path}",
                headers=headers,
                content=body,
            )
        except httpx.HTTPError as error:
            record.error = type(error).__name__
        else:
            _note_answer(record, response)
        record.ended_at = asyncio.get_running_loop().time()
        return record

    async def order_once(self, path: str, body: bytes) -> list[CallRecord]:
        """Send a request twice under one idempotency key."""
        entry = await self._entry()
        answer = await self._client.get(
            f"http://{entry}/v1/lookup", params={"mint": 1}
        )
        (key,) = answer.json()["idempotency_keys"]
        records = []
        for attempt in range(2):
            record = self._journal.open(self._customer, self.key, "POST", path)
            target = entry if attempt == 0 else await self._entry()
            response = await self._client.post(
                f"http://{target}{path}",
                headers={
                    "x-request-id": record.request_id,
                    "x-api-key": self.key,
                    "idempotency-key": key,
                },
                content=body,
            )
            _note_answer(record, response)
            record.is_whole = response.status_code == 200
            record.ended_at = asyncio.get_running_loop().time()
            records.append(record)
        return records

    async def run(self, rate_per_s: float, path: str) -> None:
        """Send requests at random times until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                pause_s = self._rng.expovariate(rate_per_s)
                await asyncio.sleep(pause_s)
                is_order = self._rng.random() < 0.2
                method = "POST" if is_order else "GET"
                body = b"order" if is_order else b""
                group.create_task(self.request(method, path, body))


def _note_answer(record: CallRecord, response: httpx.Response) -> None:
    record.code = int(response.headers.get("x-chicorydoor-code", -1))
    record.outcome = response.headers.get("x-chicorydoor-outcome", "")
    own_id = response.headers.get("x-request-id") == record.request_id
    if record.code == 0:
        begins = response.content.startswith(record.request_id.encode())
        record.is_whole = own_id and begins
    else:
        record.is_whole = own_id
