"""Stand-in for the platform's key-value service.

Speaks the part of etcd's v3 JSON gateway that the store client uses, counts
every call, and can be slow, down, answer from the past, lose the answer to a
write that took effect, and lapse leases.
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
    """What the stand-in does wrong.

    Args:
        down (bool): Every call fails and watches end. Defaults to False.
        delay_s (float): Added to every call. Defaults to 0.
        lose_answers (int): Writes whose answer is lost after they took
            effect. Defaults to 0.
        read_from_past (int): Reads answer as of that many changes ago.
            Defaults to 0.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    read_from_past: int = 0


class _Entry(typing.NamedTuple):
    value: bytes
    mod_revision: int


def _decode(text: str) -> str:
    return base64.b64decode(text).decode()


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


class StandinStore:
    """The stand-in server.

    Args:
        address (str): IP number. Defaults to 127.0.0.1.
        port (int): TCP port. Defaults to 0, the system's choice.
    """

    def __init__(self, address: str = "127.0.0.1", port: int = 0) -> None:
        self.faults = StoreFaults()
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        self.waiting_watches = 0
        self._revision = 1
        self._entry_by_key: dict[str, _Entry] = {}
        self._history: list[dict[str, _Entry]] = []
        self._changed = asyncio.Condition()
        self._expiry_by_lease: dict[int, float] = {}
        self._ttl_by_lease: dict[int, int] = {}
        self._server = http_server.HttpServer(self._app(), address, port)
        self.endpoint = self._server.endpoint

    def _app(self) -> litestar.Litestar:
        handlers = [
            litestar.post("/v3/kv/range", status_code=200)(self._range),
            litestar.post("/v3/kv/txn", status_code=200)(self._txn),
            litestar.post("/v3/lease/grant", status_code=200)(self._grant),
            litestar.post("/v3/lease/keepalive", status_code=200)(self._keep),
            litestar.post("/v3/watch", status_code=200)(self._watch),
        ]
        return litestar.Litestar(
            handlers, openapi_config=None, logging_config=None
        )

    async def start(self) -> None:
        """Begin to serve."""
        await self._server.start()

    async def stop(self) -> None:
        """End all calls and watches."""
        await self.set_down(True)
        await self._server.stop()

    async def set_down(self, down: bool) -> None:
        """Begin or end an outage."""
        self.faults.down = down
        async with self._changed:
            self._changed.notify_all()

    def lapse_leases(self) -> None:
        """Let every lease end now."""
        self._expiry_by_lease.clear()

    async def _enter(self, kind: str) -> None:
        self.calls_by_kind[kind] += 1
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            raise exceptions.ServiceUnavailableException("outage")

    def _visible(self) -> dict[str, _Entry]:
        back = self.faults.read_from_past
        if not back or not self._history:
            return self._entry_by_key
        return self._history[max(0, len(self._history) - back)]

    def _read(self, key: str) -> dict[str, typing.Any]:
        entry = self._visible().get(key)
        if entry is None:
            return {"count": "0"}
        return {"kvs": [self._pair(key, entry)], "count": "1"}

    def _pair(self, key: str, entry: _Entry) -> dict[str, str]:
        return {
            "key": _encode(key.encode()),
            "value": _encode(entry.value),
            "mod_revision": str(entry.mod_revision),
        }

    async def _range(self, data: dict[str, typing.Any]) -> dict:
        await self._enter("range")
        return self._read(_decode(data["key"]))

    async def _txn(self, data: dict[str, typing.Any]) -> dict:
        await self._enter("txn")
        succeeded = all(self._holds(c) for c in data.get("compare", []))
        operations = data.get("success" if succeeded else "failure", [])
        writes = any("request_range" not in o for o in operations)
        if writes:
            self._history.append(dict(self._entry_by_key))
            del self._history[:-64]
            self._revision += 1
        responses = [self._operate(operation) for operation in operations]
        if writes:
            async with self._changed:
                self._changed.notify_all()
            if self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                raise exceptions.ServiceUnavailableException("answer lost")
        return {"succeeded": succeeded, "responses": responses}

    def _holds(self, compare: dict[str, str]) -> bool:
        entry = self._entry_by_key.get(_decode(compare["key"]))
        actual = entry.mod_revision if entry else 0
        return actual == int(compare.get("mod_revision", 0))

    def _operate(self, operation: dict[str, typing.Any]) -> dict:
        if "request_range" in operation:
            key = _decode(operation["request_range"]["key"])
            return {"response_range": self._read(key)}
        if "request_put" in operation:
            put = operation["request_put"]
            value = base64.b64decode(put["value"])
            entry = _Entry(value, self._revision)
            self._entry_by_key[_decode(put["key"])] = entry
            return {"response_put": {}}
        key = _decode(operation["request_delete_range"]["key"])
        self._entry_by_key.pop(key, None)
        return {"response_delete_range": {}}

    async def _grant(self, data: dict[str, typing.Any]) -> dict:
        await self._enter("lease/grant")
        lease = len(self._ttl_by_lease) + 1
        ttl = int(data["TTL"])
        self._ttl_by_lease[lease] = ttl
        now = asyncio.get_running_loop().time()
        self._expiry_by_lease[lease] = now + ttl
        return {"ID": str(lease), "TTL": str(ttl)}

    async def _keep(self, data: dict[str, typing.Any]) -> dict:
        await self._enter("lease/keepalive")
        lease = int(data["ID"])
        now = asyncio.get_running_loop().time()
        if self._expiry_by_lease.get(lease, 0.0) < now:
            return {"result": {"ID": str(lease), "TTL": "0"}}
        ttl = self._ttl_by_lease[lease]
        self._expiry_by_lease[lease] = now + ttl
        return {"result": {"ID": str(lease), "TTL": str(ttl)}}

    async def _watch(
        self, data: dict[str, typing.Any]
    ) -> litestar_response.Stream:
        await self._enter("watch")
        request = data["create_request"]
        key = _decode(request["key"])
        after = int(request.get("start_revision", 0)) - 1
        return litestar_response.Stream(self._events(key, after))

    async def _events(self, key: str, after: int) -> abc.AsyncIterator[bytes]:
        self.waiting_watches += 1
        try:
            yield b'{"result":{"created":true}}\n'
            while not self.faults.down:
                entry = self._entry_by_key.get(key)
                if entry is not None and entry.mod_revision > after:
                    after = entry.mod_revision
                    event = {"type": "PUT", "kv": self._pair(key, entry)}
                    result = {"result": {"events": [event]}}
                    yield msgspec.json.encode(result) + b"\n"
                    continue
                async with self._changed:
                    await self._changed.wait()
        finally:
            self.waiting_watches -= 1
