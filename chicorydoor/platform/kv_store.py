"""Client of the platform's key-value service."""

import base64
import binascii
import http
import typing

import httpx
import msgspec

from chicorydoor import errors
from chicorydoor.platform import durations
from chicorydoor.protocol import store_items
from chicorydoor.transport import metrics

# The service answers in milliseconds; slow spells of it take some hundred.
_CALL_TIMEOUT_S = 1.5
_CONNECT_TIMEOUT_S = 1.0
# A waiting watch answers at the end of its wait at the latest.
_WATCH_MARGIN_S = 1.0


class _Item(msgspec.Struct):
    key: str
    revision: int
    value: str | None = None
    removed: bool = False


class _Range(msgspec.Struct, rename="camel"):
    items: list[_Item]
    as_of: int
    has_more: bool = False


class _Events(msgspec.Struct, rename="camel"):
    events: list[_Item]
    as_of: int


class _Lease(msgspec.Struct):
    lease: int
    ttl_time: str


class _Written(msgspec.Struct):
    revision: int


_AnswerT = typing.TypeVar("_AnswerT")


def _decoded(item: _Item) -> store_items.StoredItem:
    if item.removed or item.value is None:
        return store_items.StoredItem(item.key, item.revision, None)
    value = base64.b64decode(item.value, validate=True)
    return store_items.StoredItem(item.key, item.revision, value)


class KeyValueStore:
    """Calls of the service.

    Args:
        address (str): ``ip:port``.
    """

    def __init__(self, address: str) -> None:
        self._client = httpx.AsyncClient(
            base_url=f"http://{address}",
            timeout=httpx.Timeout(_CALL_TIMEOUT_S, connect=_CONNECT_TIMEOUT_S),
            trust_env=False,
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def list_items(self, prefix: str) -> store_items.ItemBatch:
        """All items below a prefix.

        The pages are no snapshot: the batch holds for the revision of its
        first page, and later changes may already be in it.

        Raises:
            StoreUnavailableError: If the service does not answer.
        """
        items: list[store_items.StoredItem] = []
        as_of: int | None = None
        params = {"prefix": prefix}
        while True:
            page = await self._get("kv-range", params, _Range)
            items += [_checked(item) for item in page.items]
            as_of = page.as_of if as_of is None else as_of
            if not page.has_more or not page.items:
                return store_items.ItemBatch(items, as_of)
            params = {"prefix": prefix, "after": page.items[-1].key}

    async def changes(
        self, prefix: str, after: int, wait_s: float
    ) -> store_items.ItemBatch:
        """Changes below a prefix, as soon as there is one.

        Args:
            prefix (str): Which keys.
            after (int): Store revision after which changes are wanted.
            wait_s (float): Longest wait in seconds.

        Raises:
            HistoryLostError: If the changes must be listed anew.
            StoreUnavailableError: If the service does not answer.
        """
        params = {
            "prefix": prefix,
            "after": str(after),
            "waitMs": str(int(wait_s * 1000)),
        }
        timeout = httpx.Timeout(
            wait_s + _WATCH_MARGIN_S, connect=_CONNECT_TIMEOUT_S
        )
        events = await self._get("kv-watch", params, _Events, timeout)
        return store_items.ItemBatch(
            [_checked(item) for item in events.events], events.as_of
        )

    async def grant_lease(self, ttl_s: float) -> tuple[int, float]:
        """Create a lease; returns its id and its time in seconds.

        Raises:
            StoreUnavailableError: If the service does not answer.
        """
        body = {"ttl_time": f"{int(ttl_s * 1000)}ms"}
        lease = await self._post("kv-lease", body, _Lease)
        return lease.lease, durations.seconds(lease.ttl_time)

    async def keep_lease(self, lease: int) -> bool:
        """Renew a lease; False if it has ended.

        Raises:
            StoreUnavailableError: If the service does not answer.
        """
        response = await self._call("POST", f"kv-keep/{lease}")
        return response.status_code != http.HTTPStatus.NOT_FOUND

    async def end_lease(self, lease: int) -> None:
        """End a lease, which removes its keys.

        Raises:
            StoreUnavailableError: If the service does not answer.
        """
        await self._call("DELETE", f"kv-lease-end/{lease}")

    async def put(self, key: str, value: bytes, lease: int) -> bool:
        """Write a key that nobody compares; False if the lease has ended.

        Raises:
            StoreUnavailableError: If the service does not answer; the
                write may have taken effect.
        """
        write = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "lease": lease,
        }
        body = {"precondition": [], "writes": [write], "deletes": []}
        response = await self._call("POST", "kv-txn", body=body)
        return response.status_code != http.HTTPStatus.NOT_FOUND

    async def _get(
        self,
        path: str,
        params: dict[str, str],
        kind: type[_AnswerT],
        timeout: httpx.Timeout | None = None,
    ) -> _AnswerT:
        response = await self._call(
            "GET", path, params=params, timeout=timeout
        )
        return self._read(path, response, kind)

    async def _post(
        self, path: str, body: typing.Any, kind: type[_AnswerT]
    ) -> _AnswerT:
        response = await self._call("POST", path, body=body)
        return self._read(path, response, kind)

    def _read(
        self, path: str, response: httpx.Response, kind: type[_AnswerT]
    ) -> _AnswerT:
        try:
            return msgspec.json.decode(response.content, type=kind)
        except msgspec.DecodeError as error:
            raise errors.StoreUnavailableError(f"{path}: {error}") from error

    async def _call(
        self,
        method: str,
        path: str,
        params: dict[str, str] | None = None,
        body: typing.Any = None,
        timeout: httpx.Timeout | None = None,
    ) -> httpx.Response:
        kind = path.partition("/")[0]
        headers = {"content-type": "application/json"} if body else {}
        try:
            response = await self._client.request(
                method,
                f"/{path}",
                params=params,
                content=msgspec.json.encode(body) if body else None,
                headers=headers,
                timeout=timeout or httpx.USE_CLIENT_DEFAULT,
            )
        except httpx.HTTPError as error:
            metrics.STORE_CALLS.labels(kind, "failed").inc()
            raise errors.StoreUnavailableError(
                f"{kind}: {type(error).__name__} {error}"
            ) from error
        return self._accepted(kind, response)

    def _accepted(self, kind: str, response: httpx.Response) -> httpx.Response:
        status = response.status_code
        if status in (http.HTTPStatus.OK, http.HTTPStatus.NOT_FOUND):
            metrics.STORE_CALLS.labels(kind, "ok").inc()
            return response
        metrics.STORE_CALLS.labels(kind, "refused").inc()
        if status == http.HTTPStatus.GONE:
            raise errors.HistoryLostError(f"{kind}: history is gone")
        raise errors.StoreUnavailableError(f"{kind}: status {status}")


def _checked(item: _Item) -> store_items.StoredItem:
    try:
        return _decoded(item)
    except binascii.Error as error:
        raise errors.StoreUnavailableError(f"{item.key}: {error}") from error
