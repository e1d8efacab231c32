"""The platform's key-value service, through etcd's v3 JSON gateway.

Source: the published v3 API (range, txn, lease grant, lease keep-alive and
watch); bytes travel as base64, 64-bit numbers as strings.
"""

import base64
from collections import abc
import contextlib
import typing

import httpx
import msgspec

from chicorydoor import errors
from chicorydoor.transport import metrics

_TIMEOUT_S = 2.0
_WATCH_SILENCE_S = 30.0
_OPERATIONS_PER_TXN = 100


class StoredValue(typing.NamedTuple):
    """A value and the store revision of its latest change."""

    value: bytes
    mod_revision: int


class Store(typing.Protocol):
    """What the package needs of the key-value service."""

    async def get(self, key: str) -> StoredValue | None:
        """Value of a key, or None."""

    async def get_many(self, keys: abc.Sequence[str]) -> dict[str, bytes]:
        """Values of those keys that exist."""

    async def put_many(self, value_by_key: abc.Mapping[str, bytes]) -> None:
        """Write keys that nobody compares."""

    async def compare_and_swap(
        self,
        key: str,
        mod_revision: int,
        value: bytes,
        deletes: abc.Sequence[str] = (),
    ) -> bool:
        """Write a key if it was not changed since a store revision."""

    def watch(
        self, key: str, after: int
    ) -> contextlib.AbstractAsyncContextManager[
        abc.AsyncIterator[StoredValue]
    ]:
        """Later values of a key."""


def _encode(text: str | bytes) -> str:
    data = text.encode() if isinstance(text, str) else text
    return base64.b64encode(data).decode()


def _stored(pair: dict[str, typing.Any]) -> StoredValue:
    value = base64.b64decode(pair.get("value", ""))
    return StoredValue(value, int(pair.get("mod_revision", 0)))


class EtcdStore:
    """A ``Store`` over HTTP.

    Args:
        endpoint (str): ``ip:port`` of the gateway.
        timeout (float): Seconds for one call. Defaults to 2.
    """

    def __init__(self, endpoint: str, timeout: float = _TIMEOUT_S) -> None:
        self._client = httpx.AsyncClient(
            base_url=f"http://{endpoint}", timeout=timeout, trust_env=False
        )
        self._client_streaming = httpx.AsyncClient(
            base_url=f"http://{endpoint}",
            timeout=httpx.Timeout(timeout, read=_WATCH_SILENCE_S),
            trust_env=False,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()
        await self._client_streaming.aclose()

    async def _call(
        self, kind: str, body: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        path = kind if kind.startswith("lease/") else f"kv/{kind}"
        try:
            response = await self._client.post(
                f"/v3/{path}", content=msgspec.json.encode(body)
            )
            response.raise_for_status()
            answer = msgspec.json.decode(response.content, type=dict)
        except (httpx.HTTPError, msgspec.DecodeError) as error:
            metrics.STORE_CALLS.labels(kind, "failed").inc()
            raise errors.StoreUnavailableError(
                f"{kind}: {type(error).__name__} {error}"
            ) from error
        metrics.STORE_CALLS.labels(kind, "ok").inc()
        return answer

    async def get(self, key: str) -> StoredValue | None:
        """Value of a key, or None.

        Raises:
            StoreUnavailableError: If the service does not answer.
        """
        answer = await self._call("range", {"key": _encode(key)})
        pairs = answer.get("kvs") or []
        return _stored(pairs[0]) if pairs else None

    async def get_many(self, keys: abc.Sequence[str]) -> dict[str, bytes]:
        """Values of those keys that exist, read in transactions.

        Raises:
            StoreUnavailableError: If the service does not answer.
        """
        found: dict[str, bytes] = {}
        for start in range(0, len(keys), _OPERATIONS_PER_TXN):
            part = keys[start : start + _OPERATIONS_PER_TXN]
            reads = [{"request_range": {"key": _encode(k)}} for k in part]
            answer = await self._call("txn", {"success": reads})
            for response in answer.get("responses") or []:
                for pair in response["response_range"].get("kvs") or []:
                    key = base64.b64decode(pair["key"]).decode()
                    found[key] = _stored(pair).value
        return found

    async def put_many(self, value_by_key: abc.Mapping[str, bytes]) -> None:
        """Write keys, in transactions.

        Raises:
            StoreUnavailableError: If the service does not answer; some of
                the keys may have been written.
        """
        items = list(value_by_key.items())
        for start in range(0, len(items), _OPERATIONS_PER_TXN):
            part = items[start : start + _OPERATIONS_PER_TXN]
            puts = [
                {"request_put": {"key": _encode(k), "value": _encode(v)}}
                for k, v in part
            ]
            await self._call("txn", {"success": puts})

    async def compare_and_swap(
        self,
        key: str,
        mod_revision: int,
        value: bytes,
        deletes: abc.Sequence[str] = (),
    ) -> bool:
        """Write a key if its store revision is still the given one.

        Args:
            key (str): What is compared and written.
            mod_revision (int): Expected; 0 if the key must not exist.
            value (bytes): New value.
            deletes (Sequence): Keys deleted in the same transaction.

        Raises:
            StoreUnavailableError: If the service does not answer; the
                write may have taken effect.
        """
        compare = {
            "target": "MOD",
            "result": "EQUAL",
            "key": _encode(key),
            "mod_revision": str(mod_revision),
        }
        put = {"request_put": {"key": _encode(key), "value": _encode(value)}}
        removals = [
            {"request_delete_range": {"key": _encode(k)}}
            for k in deletes[: _OPERATIONS_PER_TXN - 1]
        ]
        body = {"compare": [compare], "success": [put, *removals]}
        answer = await self._call("txn", body)
        return bool(answer.get("succeeded", False))

    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease; returns its id.

        Raises:
            StoreUnavailableError: If the service does not answer.
        """
        answer = await self._call("lease/grant", {"TTL": str(ttl_s)})
        return int(answer["ID"])

    async def keep_lease(self, lease: int) -> float:
        """Renew a lease; returns the seconds left, 0 if it has lapsed.

        Raises:
            StoreUnavailableError: If the service does not answer.
        """
        answer = await self._call("lease/keepalive", {"ID": str(lease)})
        return float(answer.get("result", {}).get("TTL", 0))

    @contextlib.asynccontextmanager
    async def watch(
        self, key: str, after: int
    ) -> abc.AsyncIterator[abc.AsyncIterator[StoredValue]]:
        """Open a watch; counts as one call while it is open.

        Args:
            key (str): What is watched.
            after (int): Store revision after which changes are wanted.

        Raises:
            StoreUnavailableError: When the connection is lost.
        """
        request = {
            "create_request": {
                "key": _encode(key),
                "start_revision": str(after + 1),
            }
        }
        try:
            async with self._client_streaming.stream(
                "POST", "/v3/watch", content=msgspec.json.encode(request)
            ) as response:
                response.raise_for_status()
                metrics.STORE_CALLS.labels("watch", "ok").inc()
                yield self._events(response)
        except httpx.HTTPError as error:
            metrics.STORE_CALLS.labels("watch", "failed").inc()
            raise errors.StoreUnavailableError(f"watch: {error}") from error

    async def _events(
        self, response: httpx.Response
    ) -> abc.AsyncIterator[StoredValue]:
        async for line in response.aiter_lines():
            if not line.strip():
                continue
            try:
                result = msgspec.json.decode(line, type=dict)["result"]
            except (msgspec.DecodeError, KeyError) as error:
                raise errors.StoreUnavailableError(
                    f"watch: bad event {line[:80]!r}"
                ) from error
            for event in result.get("events") or []:
                if event.get("type", "PUT") == "PUT":
                    yield _stored(event["kv"])
