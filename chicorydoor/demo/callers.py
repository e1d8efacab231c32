"""Simulated callers, which look up entries, and the log of their requests."""

import asyncio
import collections
import itertools
import random

import httpx
import msgspec

from chicorydoor.protocol import caller_api

_REQUEST_TIMEOUT_S = 10.0


class CallRecord(msgspec.Struct):
    """A request as its caller saw it.

    Args:
        request_id (str): Unique in the run; starts with the customer.
        customer (str): Customer id, or empty.
        api_key (str): Key sent, or empty.
        method (str): HTTP method.
        path (str): Path of the request.
        started_at (float): Time on the event loop's clock, in seconds.
        ended_at (float): Same clock; 0 while the request runs. Defaults to 0.
        entry (str): ``ip:port`` of the entry. Defaults to empty.
        code (int): Result code, 0 for a request that was served, -1 without
            a response. Defaults to -1.
        outcome (str): Outcome header of the response: ``ran``, ``not-run`` or
            ``unknown``. Defaults to empty.
        is_complete_and_matching (bool): Whether the response was complete
            and belonged to this request. Defaults to False.
        error (str): Class of the transport error. Defaults to empty.
    """

    request_id: str
    customer: str
    api_key: str
    method: str
    path: str
    started_at: float
    ended_at: float = 0.0
    entry: str = ""
    code: int = -1
    outcome: str = ""
    is_complete_and_matching: bool = False
    error: str = ""


class RequestLog:
    """All requests of a run, in the order of their start."""

    def __init__(self) -> None:
        self.records: list[CallRecord] = []
        self._request_numbers = itertools.count(1)

    def add(
        self, customer: str, api_key: str, method: str, path: str
    ) -> CallRecord:
        """Add and return the record of a request that starts now."""
        record = CallRecord(
            request_id=f"{customer or 'open'}-{next(self._request_numbers)}",
            customer=customer,
            api_key=api_key,
            method=method,
            path=path,
            started_at=asyncio.get_running_loop().time(),
        )
        self.records.append(record)
        return record

    def count_by_code(self) -> collections.Counter[int]:
        """Return the number of requests by result code."""
        return collections.Counter(record.code for record in self.records)


class Caller:
    """A caller that sends requests to entries chosen by look-up.

    Args:
        request_log (RequestLog): Receives a record of every request.
        initial_entries (list): ``ip:port`` of entries used before the first
            look-up.
        address (str): Client address that the look-up is made for.
        customer (str): Customer id for the records, or empty.
        api_key (str): API key, or empty.
        rng (Random): Random numbers for entries, methods and intervals.
    """

    def __init__(
        self,
        request_log: RequestLog,
        initial_entries: list[str],
        address: str,
        customer: str,
        api_key: str,
        rng: random.Random,
    ) -> None:
        self.api_key = api_key
        self._request_log = request_log
        self._initial_entries = initial_entries
        self._address = address
        self._customer = customer
        self._rng = rng
        self._http_client = httpx.AsyncClient(
            timeout=_REQUEST_TIMEOUT_S, trust_env=False
        )
        self._lookup_answer: caller_api.LookupAnswer | None = None
        self._expires_at = 0.0

    async def close(self) -> None:
        """Close all connections."""
        await self._http_client.aclose()

    async def _choose_entry(self) -> str:
        """Choose an entry of the cached look-up answer at random by weight."""
        now = asyncio.get_running_loop().time()
        if self._lookup_answer is None or now >= self._expires_at:
            await self._look_up(now)
        if self._lookup_answer is None or not self._lookup_answer.entries:
            return self._rng.choice(self._initial_entries)
        weights = [entry.weight for entry in self._lookup_answer.entries]
        (entry,) = self._rng.choices(self._lookup_answer.entries, weights)
        return entry.address

    async def _look_up(self, now: float) -> None:
        addresses = list(self._initial_entries)
        if self._lookup_answer is not None and self._lookup_answer.entries:
            addresses = [
                entry.address for entry in self._lookup_answer.entries
            ]
        for address in self._rng.sample(addresses, len(addresses)):
            try:
                response = await self._http_client.get(
                    f"http://{address}/v1/lookup",
                    params={"address": self._address},
                )
            except httpx.HTTPError:
                continue
            self._lookup_answer = msgspec.json.decode(
                response.content, type=caller_api.LookupAnswer
            )
            self._expires_at = now + self._lookup_answer.ttl_s
            return

    async def request(
        self, method: str, path: str, body: bytes = b""
    ) -> CallRecord:
        """Send a request to a chosen entry and return its record."""
        record = self._request_log.add(
            self._customer, self.api_key, method, path
        )
        headers = {"x-request-id": record.request_id}
        if self.api_key:
            headers["x-api-key"] = self.api_key
        try:
            record.entry = await self._choose_entry()
            response = await self._http_client.request(
                method,
                f"http://{record.entry}{path}",
                headers=headers,
                content=body,
            )
        except httpx.HTTPError as error:
            record.error = type(error).__name__
        else:
            _record_response(record, response)
        record.ended_at = asyncio.get_running_loop().time()
        return record

    async def send_order_twice(
        self, path: str, body: bytes
    ) -> list[CallRecord]:
        """Send a POST twice under one issued idempotency key.

        Returns:
            The records of both attempts.
        """
        entry = await self._choose_entry()
        issued = await self._http_client.get(
            f"http://{entry}/v1/lookup", params={"mint": 1}
        )
        (idempotency_key,) = issued.json()["idempotency_keys"]
        records = []
        for attempt in range(2):
            record = self._request_log.add(
                self._customer, self.api_key, "POST", path
            )
            address = entry if attempt == 0 else await self._choose_entry()
            response = await self._http_client.post(
                f"http://{address}{path}",
                headers={
                    "x-request-id": record.request_id,
                    "x-api-key": self.api_key,
                    "idempotency-key": idempotency_key,
                },
                content=body,
            )
            _record_response(record, response)
            record.is_complete_and_matching = response.status_code == 200
            record.ended_at = asyncio.get_running_loop().time()
            records.append(record)
        return records

    async def run(self, rate_per_s: float, path: str) -> None:
        """Send requests as a Poisson stream until cancelled.

        One request in five is an order, sent by POST.
        """
        async with asyncio.TaskGroup() as group:
            while True:
                interval_s = self._rng.expovariate(rate_per_s)
                await asyncio.sleep(interval_s)
                is_order = self._rng.random() < 0.2
                method = "POST" if is_order else "GET"
                body = b"order" if is_order else b""
                group.create_task(self.request(method, path, body))


def _record_response(record: CallRecord, response: httpx.Response) -> None:
    """Record the result and whether the response belongs to the request.

    The stand-in targets start a response with the id of its request.
    """
    record.code = int(response.headers.get("x-chicorydoor-code", -1))
    record.outcome = response.headers.get("x-chicorydoor-outcome", "")
    id_matches = response.headers.get("x-request-id") == record.request_id
    if record.code == 0:
        body_matches = response.content.startswith(record.request_id.encode())
        record.is_complete_and_matching = id_matches and body_matches
    else:
        record.is_complete_and_matching = id_matches
