"""Stand-in for the key-value service of the users' platform.

Implements its published HTTP protocol: revisions, paged range reads, watches
as long polls with a history that can be compacted, leases, and conditional
transactions. It can be told to refuse calls, not to answer, to lose answers,
to drop its history, and to come back from a copy of itself.
"""

import asyncio
import base64
import copy
import enum
import typing
import urllib.parse

import msgspec

from chicorydoor.transport import asgi
from chicorydoor.transport import http_server

_ITEMS_PER_PAGE = 50
_MAX_WAIT_S = 30.0


class FailureMode(enum.Enum):
    """How the stand-in treats calls.

    REFUSING answers 503 without executing them, SILENT neither executes nor
    answers, and LOSING_ANSWERS executes a call and closes the connection
    instead of answering.
    """

    NORMAL = "normal"
    REFUSING = "busy"
    SILENT = "silent"
    LOSING_ANSWERS = "losing-answers"


class _Item(msgspec.Struct):
    key: str
    value: str
    revision: int
    created: int
    lease: int


class StoreCopy(msgspec.Struct):
    """What the stand-in held at one moment."""

    revision: int
    compacted_revision: int
    item_by_key: dict[str, _Item]
    events: list[dict[str, typing.Any]]
    expires_at_by_lease: dict[int, float]


class PlatformStore:
    """A key-value store served over HTTP, with faults.

    Args:
        address (str): IP address. Defaults to 127.0.0.1.
        port (int): TCP port, 0 for any free one. Defaults to 0.
    """

    def __init__(self, address: str = "127.0.0.1", port: int = 0) -> None:
        self.failure_mode = FailureMode.NORMAL
        self.called_paths: list[str] = []
        self.revision = 1
        self.era = 1
        self._compacted_revision = 1
        self._item_by_key: dict[str, _Item] = {}
        self._events: list[dict[str, typing.Any]] = []
        self._expires_at_by_lease: dict[int, float] = {}
        self._ttl_s_by_lease: dict[int, float] = {}
        self._change_event = asyncio.Event()
        self._server = http_server.HttpServer(self._handle, address, port)
        self.endpoint = self._server.endpoint

    async def start(self) -> None:
        """Start to serve."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop the server and close its connections."""
        await self._server.stop()

    # Direct access for tests, without the protocol.

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a value; returns its revision.

        Args:
            key (str): Key to write.
            value (bytes): Value.
            lease (int): Lease that the key expires with, 0 for none.
                Defaults to 0.
        """
        self.revision += 1
        previous = self._item_by_key.get(key)
        item = _Item(
            key,
            base64.b64encode(value).decode(),
            self.revision,
            previous.created if previous else self.revision,
            lease,
        )
        self._item_by_key[key] = item
        self._append_event(msgspec.to_builtins(item))
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key if it exists."""
        if self._item_by_key.pop(key, None) is not None:
            self.revision += 1
            self._append_event(
                {"key": key, "revision": self.revision, "removed": True}
            )

    def compact_history(self) -> None:
        """Drop the events; watches from earlier revisions are answered 410."""
        self._events.clear()
        self._compacted_revision = self.revision
        self._notify_watches()

    def take_copy(self) -> StoreCopy:
        """Return a copy of all items, leases and events."""
        return copy.deepcopy(
            StoreCopy(
                self.revision,
                self._compacted_revision,
                self._item_by_key,
                self._events,
                self._expires_at_by_lease,
            )
        )

    def restore(self, state: StoreCopy) -> None:
        """Come back from a copy: what was written since then is lost.

        Revisions are given out again from that of the copy on.
        """
        state = copy.deepcopy(state)
        self.era += 1
        self.revision = state.revision
        self._compacted_revision = state.compacted_revision
        self._item_by_key = state.item_by_key
        self._events = state.events
        self._expires_at_by_lease = state.expires_at_by_lease
        self._notify_watches()

    def keys(self) -> list[str]:
        """All keys that have not expired, sorted."""
        self._expire_leases()
        return sorted(self._item_by_key)

    def _append_event(self, event: dict[str, typing.Any]) -> None:
        self._events.append(event)
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._change_event.set()
        self._change_event = asyncio.Event()

    def _expire_leases(self) -> None:
        now = asyncio.get_running_loop().time()
        expired = [
            lease
            for lease, at in self._expires_at_by_lease.items()
            if at <= now
        ]
        for lease in expired:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._expires_at_by_lease.pop(lease, None)
        for key in [
            key
            for key, item in self._item_by_key.items()
            if item.lease == lease
        ]:
            self.remove(key)

    # Handlers of the protocol.

    async def _handle(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        body = await asgi.read_body(receive)
        path = scope["path"]
        self.called_paths.append(path)
        if self.failure_mode is FailureMode.SILENT:
            await asyncio.sleep(_MAX_WAIT_S)
            return
        if self.failure_mode is FailureMode.REFUSING:
            await self._send_json(send, 503, None)
            return
        self._expire_leases()
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode()))
        status, answer = await self._dispatch(path, query, body)
        if self.failure_mode is FailureMode.LOSING_ANSWERS:
            raise ConnectionAbortedError("answer dropped by a simulated fault")
        await self._send_json(send, status, answer)

    async def _dispatch(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, typing.Any]:
        if path == "/kv-range":
            return self._read_range(query)
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._execute_transaction(msgspec.json.decode(body))
        if path == "/kv-lease":
            return self._grant_lease(msgspec.json.decode(body))
        if path.startswith("/kv-keep/"):
            return self._renew_lease(int(path.rpartition("/")[2]))
        if path.startswith("/kv-lease-end/"):
            self._end_lease(int(path.rpartition("/")[2]))
            return 200, {}
        return 404, None

    def _read_range(self, query: dict[str, str]) -> tuple[int, typing.Any]:
        after = query.get("after", "")
        matching = [
            item
            for key, item in sorted(self._item_by_key.items())
            if key.startswith(query["prefix"]) and key > after
        ]
        return 200, {
            "items": [msgspec.to_builtins(item) for item in matching][
                :_ITEMS_PER_PAGE
            ],
            "hasMore": len(matching) > _ITEMS_PER_PAGE,
            "asOf": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, typing.Any]:
        after = int(query["after"])
        wait_s = min(int(query["waitMs"]) / 1000, _MAX_WAIT_S)
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + wait_s
        while True:
            if not self._compacted_revision <= after <= self.revision:
                return 410, None
            events = [
                event
                for event in self._events
                if event["revision"] > after
                and event["key"].startswith(query["prefix"])
            ]
            remaining_s = ends_at - loop.time()
            if events or remaining_s <= 0:
                return 200, {"events": events, "asOf": self.revision}
            change_event = self._change_event
            try:
                async with asyncio.timeout(remaining_s):
                    await change_event.wait()
            except TimeoutError:
                continue

    def _execute_transaction(
        self, body: dict[str, typing.Any]
    ) -> tuple[int, typing.Any]:
        for condition in body.get("precondition", []):
            item = self._item_by_key.get(condition["key"])
            revision = item.revision if item else 0
            if revision != condition["revision"]:
                return 412, {"items": []}
        for write in body.get("writes", []):
            lease = write.get("lease", 0)
            if lease and lease not in self._expires_at_by_lease:
                return 404, None
        for write in body.get("writes", []):
            value = base64.b64decode(write["value"])
            self.put(write["key"], value, write.get("lease", 0))
        for key in body.get("deletes", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    def _grant_lease(
        self, body: dict[str, typing.Any]
    ) -> tuple[int, typing.Any]:
        ttl_s = int(body["ttl_time"].removesuffix("ms")) / 1000
        # Lease ids count up from 70,000.
        lease = 70_000 + len(self._ttl_s_by_lease)
        self._ttl_s_by_lease[lease] = ttl_s
        now = asyncio.get_running_loop().time()
        self._expires_at_by_lease[lease] = now + ttl_s
        return 200, {"lease": lease, "ttl_time": body["ttl_time"]}

    def _renew_lease(self, lease: int) -> tuple[int, typing.Any]:
        if lease not in self._expires_at_by_lease:
            return 404, None
        ttl_s = self._ttl_s_by_lease[lease]
        now = asyncio.get_running_loop().time()
        self._expires_at_by_lease[lease] = now + ttl_s
        return 200, {"ttl_time": f"{int(ttl_s * 1000)}ms"}

    async def _send_json(
        self, send: asgi.Send, status: int, answer: typing.Any
    ) -> None:
        body = b"" if answer is None else msgspec.json.encode(answer)
        headers = [
            (b"content-type", b"application/json"),
            (b"store-era", str(self.era).encode()),
        ]
        await asgi.send_response(send, status, headers, body)
