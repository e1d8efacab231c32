"""Client of an etcd store, through etcd's v3 JSON gateway.

It follows the published v3 API (range, txn, lease grant, lease keep-alive
and watch); bytes are encoded as base64, 64-bit numbers as strings.
"""

import base64
from collections import abc
import contextlib
import typing

import httpx
import msgspec

from chicorydoor import errors
from chicorydoor.transport import bounded_http
from chicorydoor.transport import metrics

_CALL_TIMEOUT_S = 2.0
_WATCH_READ_TIMEOUT_S = 30.0
_MAX_OPERATIONS_PER_TXN = 100


class StoredValue(typing.NamedTuple):
    """A stored value.

    Args:
        value (bytes): The value.
        mod_revision (int): Store revision of its latest change.
    """

    value: bytes
    mod_revision: int


class ConfigStore(typing.Protocol):
    """Interface of the key-value store that holds the configuration."""

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of a key, or None."""

    async def get_many(self, keys: abc.Sequence[str]) -> dict[str, bytes]:
        """Return the values of those keys that exist."""

    async def put_many(self, value_by_key: abc.Mapping[str, bytes]) -> None:
        """Write keys unconditionally."""

    async def compare_and_swap(
        self,
        key: str,
        mod_revision: int,
        value: bytes,
        deletes: abc.Sequence[str] = (),
    ) -> bool:
        """Write a key if it has not changed since a store revision."""

    def watch(
        self, key: str, after_revision: int
    ) -> contextlib.AbstractAsyncContextManager[
        abc.AsyncIterator[StoredValue]
    ]:
        """Watch a key for values after a store revision."""


def _to_base64(text: str | bytes) -> str:
    data = text.encode() if isinstance(text, str) else text
    return base64.b64encode(data).decode()


def _parse_stored_value(pair: dict[str, typing.Any]) -> StoredValue:
    value = base64.b64decode(pair.get("value", ""))
    return StoredValue(value, int(pair.get("mod_revision", 0)))


class EtcdClient:
    """A ``ConfigStore`` on etcd.

    Args:
        endpoint (str): ``ip:port`` of the JSON gateway.
        timeout_s (float): Timeout of a call in seconds. Defaults to 2.
    """

    def __init__(
        self, endpoint: str, timeout_s: float = _CALL_TIMEOUT_S
    ) -> None:
        self._client = httpx.AsyncClient(
            base_url=f"http://{endpoint}", timeout=timeout_s, trust_env=False
        )
        self._watch_client = httpx.AsyncClient(
            base_url=f"http://{endpoint}",
            timeout=httpx.Timeout(timeout_s, read=_WATCH_READ_TIMEOUT_S),
            trust_env=False,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()
        await self._watch_client.aclose()

    async def _call(
        self, kind: str, body: dict[str, typing.Any]
    ) -> dict[str, typing.Any]:
        path = kind if kind.startswith("lease/") else f"kv/{kind}"
        try:
            request = self._client.build_request(
                "POST", f"/v3/{path}", content=msgspec.json.encode(body)
            )
            response, content = await bounded_http.send(self._client, request)
            response.raise_for_status()
            answer = msgspec.json.decode(content, type=dict)
        except (httpx.HTTPError, msgspec.DecodeError) as error:
            metrics.STORE_CALLS.labels(kind, "failed").inc()
            raise errors.StoreUnavailableError(
                f"{kind}: {type(error).__name__} {error}"
            ) from error
        metrics.STORE_CALLS.labels(kind, "ok").inc()
        return answer

    async def get(self, key: str) -> StoredValue | None:
        """Return the value of a key, or None.

        Raises:
            StoreUnavailableError: If the store does not respond.
        """
        answer = await self._call("range", {"key": _to_base64(key)})
        pairs = answer.get("kvs") or []
        return _parse_stored_value(pairs[0]) if pairs else None

    async def get_many(self, keys: abc.Sequence[str]) -> dict[str, bytes]:
        """Return the values of those keys that exist, read in transactions.

        Raises:
            StoreUnavailableError: If the store does not respond.
        """
        found: dict[str, bytes] = {}
        for start in range(0, len(keys), _MAX_OPERATIONS_PER_TXN):
            batch = keys[start : start + _MAX_OPERATIONS_PER_TXN]
            reads = [{"request_range": {"key": _to_base64(k)}} for k in batch]
            answer = await self._call("txn", {"success": reads})
            for response in answer.get("responses") or []:
                for pair in response["response_range"].get("kvs") or []:
                    key = base64.b64decode(pair["key"]).decode()
                    found[key] = _parse_stored_value(pair).value
        return found

    async def put_many(self, value_by_key: abc.Mapping[str, bytes]) -> None:
        """Write keys unconditionally, in transactions.

        Raises:
            StoreUnavailableError: If the store does not respond; some of
                the keys may have been written.
        """
        items = list(value_by_key.items())
        for start in range(0, len(items), _MAX_OPERATIONS_PER_TXN):
            batch = items[start : start + _MAX_OPERATIONS_PER_TXN]
            puts = [
                {"request_put": {"key": _to_base64(k), "value": _to_base64(v)}}
                for k, v in batch
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
            key (str): Key that is compared and written.
            mod_revision (int): Expected store revision; 0 if the key must
                not exist.
            value (bytes): New value.
            deletes (Sequence): Keys deleted in the same transaction; those
                after the first 99 are ignored. Defaults to none.

        Returns:
            bool: Whether the key was written.

        Raises:
            StoreUnavailableError: If the store does not respond; the write
                may have taken effect.
        """
        compare = {
            "target": "MOD",
            "result": "EQUAL",
            "key": _to_base64(key),
            "mod_revision": str(mod_revision),
        }
        put = {
            "request_put": {"key": _to_base64(key), "value": _to_base64(value)}
        }
        removals = [
            {"request_delete_range": {"key": _to_base64(k)}}
            for k in deletes[: _MAX_OPERATIONS_PER_TXN - 1]
        ]
        body = {"compare": [compare], "success": [put, *removals]}
        answer = await self._call("txn", body)
        return bool(answer.get("succeeded", False))

    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease and return its id.

        Args:
            ttl_s (int): Time to live in seconds.

        Raises:
            StoreUnavailableError: If the store does not respond.
        """
        answer = await self._call("lease/grant", {"TTL": str(ttl_s)})
        return int(answer["ID"])

    async def renew_lease(self, lease: int) -> float:
        """Renew a lease and return its remaining time.

        Returns:
            float: Seconds; 0 if the lease has expired.

        Raises:
            StoreUnavailableError: If the store does not respond.
        """
        answer = await self._call("lease/keepalive", {"ID": str(lease)})
        return float(answer.get("result", {}).get("TTL", 0))

    @contextlib.asynccontextmanager
    async def watch(
        self, key: str, after_revision: int
    ) -> abc.AsyncIterator[abc.AsyncIterator[StoredValue]]:
        """Watch a key.

        In the metrics an opened watch counts as one successful call; if its
        connection breaks later, also as one failed call.

        Args:
            key (str): Key to watch.
            after_revision (int): Only changes after this store revision are
                reported.

        Yields:
            AsyncIterator: The new values; deletions are skipped.

        Raises:
            StoreUnavailableError: If the connection is lost.
        """
        request = {
            "create_request": {
                "key": _to_base64(key),
                "start_revision": str(after_revision + 1),
            }
        }
        try:
            async with self._watch_client.stream(
                "POST", "/v3/watch", content=msgspec.json.encode(request)
            ) as response:
                response.raise_for_status()
                metrics.STORE_CALLS.labels("watch", "ok").inc()
                yield self._watch_events(response)
        except httpx.HTTPError as error:
            metrics.STORE_CALLS.labels("watch", "failed").inc()
            raise errors.StoreUnavailableError(f"watch: {error}") from error

    async def _watch_events(
        self, response: httpx.Response
    ) -> abc.AsyncIterator[StoredValue]:
        async for line in response.aiter_lines():
            if not line.strip():
                continue
            try:
                result = msgspec.json.decode(line, type=dict)["result"]
            except (msgspec.DecodeError, KeyError) as error:
                raise errors.StoreUnavailableError(
                    f"watch: malformed event {line[:80]!r}"
                ) from error
            for event in result.get("events") or []:
                if event.get("type", "PUT") == "PUT":
                    yield _parse_stored_value(event["kv"])
