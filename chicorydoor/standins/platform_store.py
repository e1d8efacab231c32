"""Stand-in for the platform's key-value service.

Speaks its published protocol over HTTP: revisions, ranges in pages, watches
with a bounded history, leases, and writes under a condition. It can refuse,
stay silent, lose answers and forget its history.
"""

import asyncio
import base64
import enum
import typing
import urllib.parse

import msgspec

from chicorydoor.transport import asgi
from chicorydoor.transport import http_server

_PAGE_ITEMS = 50
_LONGEST_WAIT_S = 30.0


class Mood(enum.Enum):
    """How the stand-in treats calls."""

    NORMAL = "normal"
    BUSY = "busy"
    SILENT = "silent"
    LOSING_ANSWERS = "losing-answers"


class _Item(msgspec.Struct):
    key: str
    value: str
    revision: int
    created: int
    lease: int


class PlatformStore:
    """The stand-in server.

    Args:
        address (str): IP number. Defaults to 127.0.0.1.
        port (int): TCP port. Defaults to 0, the system's choice.
    """

    def __init__(self, address: str = "127.0.0.1", port: int = 0) -> None:
        self.mood = Mood.NORMAL
        self.calls: list[str] = []
        self.revision = 1
        self._oldest = 1
        self._item_by_key: dict[str, _Item] = {}
        self._events: list[dict[str, typing.Any]] = []
        self._lease_ends_at: dict[int, float] = {}
        self._lease_ttl_s: dict[int, float] = {}
        self._changed = asyncio.Event()
        self._server = http_server.HttpServer(self._answer, address, port)
        self.endpoint = self._server.endpoint

    async def start(self) -> None:
        """Begin to serve."""
        await self._server.start()

    async def stop(self) -> None:
        """Cut everything."""
        await self._server.stop()

    # What a test does directly.

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key as an operator or a target does."""
        self.revision += 1
        known = self._item_by_key.get(key)
        item = _Item(
            key,
            base64.b64encode(value).decode(),
            self.revision,
            known.created if known else self.revision,
            lease,
        )
        self._item_by_key[key] = item
        self._note(msgspec.to_builtins(item))
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self._item_by_key.pop(key, None) is not None:
            self.revision += 1
            self._note(
                {"key": key, "revision": self.revision, "removed": True}
            )

    def forget_history(self) -> None:
        """Answer watches that go back further with 410."""
        self._events.clear()
        self._oldest = self.revision
        self._wake()

    def keys(self) -> list[str]:
        """All keys."""
        self._expire()
        return sorted(self._item_by_key)

    def _note(self, event: dict[str, typing.Any]) -> None:
        self._events.append(event)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self) -> None:
        now = asyncio.get_running_loop().time()
        ended = [
            lease for lease, at in self._lease_ends_at.items() if at <= now
        ]
        for lease in ended:
            self._end(lease)

    def _end(self, lease: int) -> None:
        self._lease_ends_at.pop(lease, None)
        for key in [
            key
            for key, item in self._item_by_key.items()
            if item.lease == lease
        ]:
            self.remove(key)

    # The protocol.

    async def _answer(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        body = await asgi.read_body(receive)
        path = scope["path"]
        self.calls.append(path)
        if self.mood is Mood.SILENT:
            await asyncio.sleep(_LONGEST_WAIT_S)
            return
        if self.mood is Mood.BUSY:
            await _send(send, 503, None)
            return
        self._expire()
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode()))
        status, answer = await self._call(path, query, body)
        if self.mood is Mood.LOSING_ANSWERS:
            raise ConnectionAbortedError("answer lost on purpose")
        await _send(send, status, answer)

    async def _call(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, typing.Any]:
        if path == "/kv-range":
            return self._range(query)
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._txn(msgspec.json.decode(body))
        if path == "/kv-lease":
            return self._grant(msgspec.json.decode(body))
        if path.startswith("/kv-keep/"):
            return self._keep(int(path.rpartition("/")[2]))
        if path.startswith("/kv-lease-end/"):
            self._end(int(path.rpartition("/")[2]))
            return 200, {}
        return 404, None

    def _range(self, query: dict[str, str]) -> tuple[int, typing.Any]:
        after = query.get("after", "")
        found = [
            item
            for key, item in sorted(self._item_by_key.items())
            if key.startswith(query["prefix"]) and key > after
        ]
        return 200, {
            "items": [msgspec.to_builtins(item) for item in found][
                :_PAGE_ITEMS
            ],
            "hasMore": len(found) > _PAGE_ITEMS,
            "asOf": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, typing.Any]:
        after = int(query["after"])
        wait_s = min(int(query["waitMs"]) / 1000, _LONGEST_WAIT_S)
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + wait_s
        while True:
            if after < self._oldest:
                return 410, None
            events = [
                event
                for event in self._events
                if event["revision"] > after
                and event["key"].startswith(query["prefix"])
            ]
            left_s = ends_at - loop.time()
            if events or left_s <= 0:
                return 200, {"events": events, "asOf": self.revision}
            changed = self._changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def _txn(self, body: dict[str, typing.Any]) -> tuple[int, typing.Any]:
        for condition in body.get("precondition", []):
            item = self._item_by_key.get(condition["key"])
            revision = item.revision if item else 0
            if revision != condition["revision"]:
                return 412, {"items": []}
        for write in body.get("writes", []):
            lease = write.get("lease", 0)
            if lease and lease not in self._lease_ends_at:
                return 404, None
        for write in body.get("writes", []):
            value = base64.b64decode(write["value"])
            self.put(write["key"], value, write.get("lease", 0))
        for key in body.get("deletes", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    def _grant(self, body: dict[str, typing.Any]) -> tuple[int, typing.Any]:
        ttl_s = int(body["ttl_time"].removesuffix("ms")) / 1000
        lease = 70_000 + len(self._lease_ttl_s)
        self._lease_ttl_s[lease] = ttl_s
        now = asyncio.get_running_loop().time()
        self._lease_ends_at[lease] = now + ttl_s
        return 200, {"lease": lease, "ttl_time": body["ttl_time"]}

    def _keep(self, lease: int) -> tuple[int, typing.Any]:
        if lease not in self._lease_ends_at:
            return 404, None
        ttl_s = self._lease_ttl_s[lease]
        now = asyncio.get_running_loop().time()
        self._lease_ends_at[lease] = now + ttl_s
        return 200, {"ttl_time": f"{int(ttl_s * 1000)}ms"}


async def _send(send: asgi.Send, status: int, answer: typing.Any) -> None:
    body = b"" if answer is None else msgspec.json.encode(answer)
    await asgi.send_answer(
        send, status, [(b"content-type", b"application/json")], body
    )
