"""Stand-in for etcd, the key-value store of the product's own path.

Implements the part of etcd's v3 JSON gateway that the store client uses and
counts all calls. It can be told to be slow or unavailable, to serve stale
reads, to lose the answer to a write that took effect, and to expire leases.
"""

import asyncio
import base64
import collections
from collections import abc
import dataclasses
import typing

import litestar
from litestar import exceptions
from litestar import response as litestar_response
import msgspec

from chicorydoor.transport import http_server


@dataclasses.dataclass
class StoreFaults:
    """Faults of the stand-in.

    Args:
        is_unavailable (bool): Whether all calls fail and watches end.
            Defaults to False.
        delay_s (float): Delay of every call. Defaults to 0.
        answers_to_lose (int): Number of transactions with writes that
            take effect but are answered with 503. Defaults to 0.
        stale_changes (int): Number of the latest changes that reads do not
            see yet. Defaults to 0.
    """

    is_unavailable: bool = False
    delay_s: float = 0.0
    answers_to_lose: int = 0
    stale_changes: int = 0


class _StoredValue(typing.NamedTuple):
    value: bytes
    mod_revision: int


def _decode(text: str) -> str:
    return base64.b64decode(text).decode()


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


class EtcdStandin:
    """A key-value store served over HTTP, with faults.

    Args:
        address (str): IP address. Defaults to 127.0.0.1.
        port (int): TCP port, 0 for any free one. Defaults to 0.
    """

    def __init__(self, address: str = "127.0.0.1", port: int = 0) -> None:
        self.faults = StoreFaults()
        self.call_count_by_kind: collections.Counter[str] = (
            collections.Counter()
        )
        self.open_watch_count = 0
        self._revision = 1
        self._value_by_key: dict[str, _StoredValue] = {}
        self._past_values: list[dict[str, _StoredValue]] = []
        self._change_condition = asyncio.Condition()
        self._expires_at_by_lease: dict[int, float] = {}
        self._ttl_s_by_lease: dict[int, int] = {}
        self._server = http_server.HttpServer(
            self._create_app(), address, port
        )
        self.endpoint = self._server.endpoint

    def _create_app(self) -> litestar.Litestar:
        handlers = [
            litestar.post("/v3/kv/range", status_code=200)(self._range),
            litestar.post("/v3/kv/txn", status_code=200)(
                self._execute_transaction
            ),
            litestar.post("/v3/lease/grant", status_code=200)(
                self._grant_lease
            ),
            litestar.post("/v3/lease/keepalive", status_code=200)(
                self._renew_lease
            ),
            litestar.post("/v3/watch", status_code=200)(self._watch),
        ]
        return litestar.Litestar(
            handlers, openapi_config=None, logging_config=None
        )

    async def start(self) -> None:
        """Start to serve."""
        await self._server.start()

    async def stop(self) -> None:
        """End all watches and stop the server."""
        await self.set_unavailable(True)
        await self._server.stop()

    async def set_unavailable(self, is_unavailable: bool) -> None:
        """Start or end an outage."""
        self.faults.is_unavailable = is_unavailable
        async with self._change_condition:
            self._change_condition.notify_all()

    def expire_leases(self) -> None:
        """Expire all leases."""
        self._expires_at_by_lease.clear()

    async def _begin_call(self, kind: str) -> None:
        """Count a call, then apply the delay and the outage to it."""
        self.call_count_by_kind[kind] += 1
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.is_unavailable:
            raise exceptions.ServiceUnavailableException("outage")

    def _readable_values(self) -> dict[str, _StoredValue]:
        """Values by key as reads see them, stale if so configured."""
        stale_changes = self.faults.stale_changes
        if not stale_changes or not self._past_values:
            return self._value_by_key
        return self._past_values[
            max(0, len(self._past_values) - stale_changes)
        ]

    def _read(self, key: str) -> dict[str, typing.Any]:
        stored = self._readable_values().get(key)
        if stored is None:
            return {"count": "0"}
        return {"kvs": [self._encode_pair(key, stored)], "count": "1"}

    def _encode_pair(self, key: str, stored: _StoredValue) -> dict[str, str]:
        return {
            "key": _encode(key.encode()),
            "value": _encode(stored.value),
            "mod_revision": str(stored.mod_revision),
        }

    async def _range(self, data: dict[str, typing.Any]) -> dict:
        await self._begin_call("range")
        return self._read(_decode(data["key"]))

    async def _execute_transaction(self, data: dict[str, typing.Any]) -> dict:
        await self._begin_call("txn")
        succeeded = all(self._matches(c) for c in data.get("compare", []))
        operations = data.get("success" if succeeded else "failure", [])
        has_writes = any("request_range" not in o for o in operations)
        if has_writes:
            self._past_values.append(dict(self._value_by_key))
            del self._past_values[:-64]
            self._revision += 1
        responses = [
            self._execute_operation(operation) for operation in operations
        ]
        if has_writes:
            async with self._change_condition:
                self._change_condition.notify_all()
            if self.faults.answers_to_lose > 0:
                self.faults.answers_to_lose -= 1
                raise exceptions.ServiceUnavailableException("answer lost")
        return {"succeeded": succeeded, "responses": responses}

    def _matches(self, compare: dict[str, str]) -> bool:
        """Whether a condition of a transaction holds."""
        stored = self._value_by_key.get(_decode(compare["key"]))
        actual_revision = stored.mod_revision if stored else 0
        return actual_revision == int(compare.get("mod_revision", 0))

    def _execute_operation(self, operation: dict[str, typing.Any]) -> dict:
        if "request_range" in operation:
            key = _decode(operation["request_range"]["key"])
            return {"response_range": self._read(key)}
        if "request_put" in operation:
            put = operation["request_put"]
            value = base64.b64decode(put["value"])
            stored = _StoredValue(value, self._revision)
            self._value_by_key[_decode(put["key"])] = stored
            return {"response_put": {}}
        key = _decode(operation["request_delete_range"]["key"])
        self._value_by_key.pop(key, None)
        return {"response_delete_range": {}}

    async def _grant_lease(self, data: dict[str, typing.Any]) -> dict:
        await self._begin_call("lease/grant")
        lease = len(self._ttl_s_by_lease) + 1
        ttl_s = int(data["TTL"])
        self._ttl_s_by_lease[lease] = ttl_s
        now = asyncio.get_running_loop().time()
        self._expires_at_by_lease[lease] = now + ttl_s
        return {"ID": str(lease), "TTL": str(ttl_s)}

    async def _renew_lease(self, data: dict[str, typing.Any]) -> dict:
        await self._begin_call("lease/keepalive")
        lease = int(data["ID"])
        now = asyncio.get_running_loop().time()
        if self._expires_at_by_lease.get(lease, 0.0) < now:
            return {"result": {"ID": str(lease), "TTL": "0"}}
        ttl_s = self._ttl_s_by_lease[lease]
        self._expires_at_by_lease[lease] = now + ttl_s
        return {"result": {"ID": str(lease), "TTL": str(ttl_s)}}

    async def _watch(
        self, data: dict[str, typing.Any]
    ) -> litestar_response.Stream:
        await self._begin_call("watch")
        request = data["create_request"]
        key = _decode(request["key"])
        after = int(request.get("start_revision", 0)) - 1
        return litestar_response.Stream(self._events(key, after))

    async def _events(self, key: str, after: int) -> abc.AsyncIterator[bytes]:
        self.open_watch_count += 1
        try:
            yield b'{"result":{"created":true}}\n'
            while not self.faults.is_unavailable:
                stored = self._value_by_key.get(key)
                if stored is not None and stored.mod_revision > after:
                    after = stored.mod_revision
                    event = {
                        "type": "PUT",
                        "kv": self._encode_pair(key, stored),
                    }
                    result = {"result": {"events": [event]}}
                    yield msgspec.json.encode(result) + b"\n"
                    continue
                async with self._change_condition:
                    await self._change_condition.wait()
        finally:
            self.open_watch_count -= 1
