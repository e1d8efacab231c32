"""HTTP client of the platform's key-value store."""

import base64
import binascii
from collections import abc
import http
import logging
import typing

import httpx
import msgspec

from chicorydoor import errors
from chicorydoor.platform import durations
from chicorydoor.protocol import headers as http_headers
from chicorydoor.protocol import store_items
from chicorydoor.transport import bounded_http
from chicorydoor.transport import metrics

# The store responds within milliseconds, in slow phases within some hundred.
_CALL_TIMEOUT_S = 1.5
_CONNECT_TIMEOUT_S = 1.0
# A long-polling watch responds at the end of its wait at the latest.
_WATCH_MARGIN_S = 1.0
# Rises by one each time that the store comes back from a copy.
_EPOCH_HEADER = "store-era"

_LOG = logging.getLogger(__name__)


class _Item(msgspec.Struct):
    key: str
    revision: int
    value: str | None = None
    removed: bool = False


class _RangePage(msgspec.Struct, rename="camel"):
    items: list[_Item]
    as_of: int
    has_more: bool = False


class _WatchResult(msgspec.Struct, rename="camel"):
    events: list[_Item]
    as_of: int


class _Lease(msgspec.Struct):
    lease: int
    ttl_time: str


class _WriteResult(msgspec.Struct):
    revision: int


_AnswerT = typing.TypeVar("_AnswerT")


def _decode_item_value(item: _Item) -> store_items.StoreItemChange:
    if item.removed or item.value is None:
        return store_items.StoreItemChange(item.key, item.revision, None)
    value = base64.b64decode(item.value, validate=True)
    return store_items.StoreItemChange(item.key, item.revision, value)


class KeyValueStore:
    """Client of the key-value store.

    Args:
        address (str): ``ip:port`` of the store.

    Attributes:
        restore_observers (list): Called when a response shows that the store
            has come back from a copy: what was written since the copy is
            lost, leases too.
    """

    def __init__(self, address: str) -> None:
        self._client = httpx.AsyncClient(
            base_url=f"http://{address}",
            timeout=httpx.Timeout(_CALL_TIMEOUT_S, connect=_CONNECT_TIMEOUT_S),
            trust_env=False,
        )
        self._epoch = 0
        self.restore_observers: list[abc.Callable[[], None]] = []

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def list_items(self, prefix: str) -> store_items.StoreItemBatch:
        """Read all items below a prefix, page by page.

        The pages are not a consistent snapshot: the batch is complete up to
        the revision of its first page and may contain later changes.

        Raises:
            StoreUnavailableError: If the store does not respond, or not as
                expected.
        """
        items: list[store_items.StoreItemChange] = []
        as_of: int | None = None
        epoch = 0
        params = {"prefix": prefix}
        while True:
            page = await self._get("kv-range", params, _RangePage)
            if as_of is None:
                as_of, epoch = page.as_of, self._epoch
            elif epoch != self._epoch:
                raise errors.StoreUnavailableError(
                    "kv-range: restored from a copy between two pages"
                )
            items += [_decode_item(item) for item in page.items]
            if not page.has_more or not page.items:
                return store_items.StoreItemBatch(items, as_of, epoch)
            params = {"prefix": prefix, "after": page.items[-1].key}

    async def wait_for_changes(
        self, prefix: str, after: int, wait_s: float
    ) -> store_items.StoreItemBatch:
        """Wait for changes below a prefix (long poll) and return them.

        Args:
            prefix (str): Key prefix.
            after (int): Only changes after this store revision are
                returned.
            wait_s (float): Maximum wait in seconds.

        Returns:
            StoreItemBatch: The changes; empty after the wait.

        Raises:
            HistoryLostError: If the store no longer has the changes since
                that revision, and the items must be listed again.
            StoreUnavailableError: If the store does not respond, or not as
                expected.
        """
        params = {
            "prefix": prefix,
            "after": str(after),
            "waitMs": str(int(wait_s * 1000)),
        }
        timeout = httpx.Timeout(
            wait_s + _WATCH_MARGIN_S, connect=_CONNECT_TIMEOUT_S
        )
        events = await self._get("kv-watch", params, _WatchResult, timeout)
        return store_items.StoreItemBatch(
            [_decode_item(item) for item in events.events],
            events.as_of,
            self._epoch,
        )

    async def grant_lease(self, ttl_s: float) -> tuple[int, float]:
        """Create a lease.

        Args:
            ttl_s (float): Requested time to live in seconds.

        Returns:
            tuple: Id of the lease and granted time to live in seconds.

        Raises:
            StoreUnavailableError: If the store does not respond, or not as
                expected.
        """
        body = {"ttl_time": f"{int(ttl_s * 1000)}ms"}
        lease = await self._post("kv-lease", body, _Lease)
        return lease.lease, durations.parse_duration_s(lease.ttl_time)

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; returns False if it has expired.

        Raises:
            StoreUnavailableError: If the store does not respond, or not as
                expected.
        """
        status, _ = await self._call("POST", f"kv-keep/{lease}")
        return status != http.HTTPStatus.NOT_FOUND

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which deletes its keys.

        Raises:
            StoreUnavailableError: If the store does not respond, or not as
                expected.
        """
        await self._call("DELETE", f"kv-lease-end/{lease}")

    async def put(self, key: str, value: bytes, lease: int) -> bool:
        """Write a key unconditionally, attached to a lease.

        Returns:
            bool: False if the lease has expired.

        Raises:
            StoreUnavailableError: If the store does not respond, or not as
                expected; the write may have taken effect.
        """
        write = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "lease": lease,
        }
        body = {"precondition": [], "writes": [write], "deletes": []}
        status, _ = await self._call("POST", "kv-txn", body=body)
        return status != http.HTTPStatus.NOT_FOUND

    async def _get(
        self,
        path: str,
        params: dict[str, str],
        kind: type[_AnswerT],
        timeout: httpx.Timeout | None = None,
    ) -> _AnswerT:
        _, content = await self._call(
            "GET", path, params=params, timeout=timeout
        )
        return self._decode_response(path, content, kind)

    async def _post(
        self, path: str, body: typing.Any, kind: type[_AnswerT]
    ) -> _AnswerT:
        _, content = await self._call("POST", path, body=body)
        return self._decode_response(path, content, kind)

    def _decode_response(
        self, path: str, content: bytes, kind: type[_AnswerT]
    ) -> _AnswerT:
        try:
            return msgspec.json.decode(content, type=kind)
        except msgspec.DecodeError as error:
            raise errors.StoreUnavailableError(f"{path}: {error}") from error

    async def _call(
        self,
        method: str,
        path: str,
        params: dict[str, str] | None = None,
        body: typing.Any = None,
        timeout: httpx.Timeout | None = None,
    ) -> tuple[int, bytes]:
        """Call the store; return status and body of its response."""
        kind = path.partition("/")[0]
        headers = {"content-type": "application/json"} if body else {}
        request = self._client.build_request(
            method,
            f"/{path}",
            params=params,
            content=msgspec.json.encode(body) if body else None,
            headers=headers,
            timeout=timeout or httpx.USE_CLIENT_DEFAULT,
        )
        try:
            response, content = await bounded_http.send(self._client, request)
        except httpx.HTTPError as error:
            metrics.STORE_CALLS.labels(kind, "failed").inc()
            raise errors.StoreUnavailableError(
                f"{kind}: {type(error).__name__} {error}"
            ) from error
        if response.status_code not in http_headers.VALID_STATUSES:
            # What else it says is no more credible.
            metrics.STORE_CALLS.labels(kind, "failed").inc()
            raise errors.StoreUnavailableError(
                f"{kind}: invalid HTTP status {response.status_code}"
            )
        self._check_epoch(kind, response)
        self._check_status(kind, response.status_code)
        return response.status_code, content

    def _check_epoch(self, kind: str, response: httpx.Response) -> None:
        """Record the store's epoch and tell the observers of a new one.

        Raises:
            StoreUnavailableError: If the response is of an earlier epoch, so
                that what it says is no longer true.
        """
        text = response.headers.get(_EPOCH_HEADER)
        if text is None:
            return
        try:
            epoch = int(text)
        except ValueError:
            _LOG.warning("store epoch unreadable", extra={"epoch": text})
            return
        if epoch < self._epoch:
            metrics.STORE_CALLS.labels(kind, "failed").inc()
            raise errors.StoreUnavailableError(
                f"{kind}: response of epoch {epoch}, now is {self._epoch}"
            )
        previous, self._epoch = self._epoch, epoch
        if 0 < previous < epoch:
            metrics.STORE_RESTORES.inc()
            _LOG.warning(
                "store restored from a copy",
                extra={"before": previous, "epoch": epoch},
            )
            for observer in self.restore_observers:
                observer()

    def _check_status(self, kind: str, status: int) -> None:
        """Check a status; 404 is valid, if a lease has expired."""
        if status in (http.HTTPStatus.OK, http.HTTPStatus.NOT_FOUND):
            metrics.STORE_CALLS.labels(kind, "ok").inc()
            return
        metrics.STORE_CALLS.labels(kind, "refused").inc()
        if status == http.HTTPStatus.GONE:
            raise errors.HistoryLostError(f"{kind}: history was compacted")
        raise errors.StoreUnavailableError(f"{kind}: HTTP status {status}")


def _decode_item(item: _Item) -> store_items.StoreItemChange:
    try:
        return _decode_item_value(item)
    except binascii.Error as error:
        raise errors.StoreUnavailableError(f"{item.key}: {error}") from error
