"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it.

Each machine of a case gets a port of its own, so that the store can turn some
machines away while it serves the others.
"""

import asyncio
import base64
import copy
import json
import time
import typing
import urllib.parse

import http_stream

_ANSWER_S = 0.004
_ITEMS_PER_PAGE = 500


class Store:
    """The store's items, leases and history."""

    def __init__(self) -> None:
        self.revision = 1
        self.era = 1
        self.refused_ports: set[int] = set()
        self.is_down = False
        self.calls: dict[str, int] = {}
        self._items: dict[str, dict[str, typing.Any]] = {}
        self._events: list[dict[str, typing.Any]] = []
        self._first_revision = 1
        self._lease_ends: dict[int, float] = {}
        self._lease_ttls: dict[int, float] = {}
        self._last_lease = 77_000
        self._changed = asyncio.Event()
        self._servers: list[http_stream.Server] = []
        self._expiry: asyncio.Task | None = None

    # Life cycle.

    async def listen(self, port: int) -> str:
        """Serve on another port; returns its endpoint."""

        async def handle(request: http_stream.Message) -> bytes | None:
            return await self._handle(request, port)

        server = http_stream.Server(handle)
        await server.start(port)
        self._servers.append(server)
        if self._expiry is None:
            self._expiry = asyncio.create_task(self._expire_leases())
        return server.endpoint

    async def stop(self) -> None:
        """End all servers."""
        if self._expiry is not None:
            self._expiry.cancel()
        for server in self._servers:
            await server.stop()

    def abort_connections(self) -> None:
        """Reset all connections."""
        for server in self._servers:
            server.abort_connections()

    # Writes of the operator and the upstreams, which have no lease.

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write an item; returns the revision that acknowledges it."""
        self.revision += 1
        created = self._items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self._items[key] = item
        self._append(item)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove an item."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "revision": self.revision, "removed": True}
            self._append(event)

    def _append(self, event: dict[str, typing.Any]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    # The drill: the store comes back from a copy.

    def take_copy(self) -> dict[str, typing.Any]:
        """Return a copy of the whole state."""
        return copy.deepcopy(
            {
                "revision": self.revision,
                "items": self._items,
                "events": self._events,
                "lease_ends": self._lease_ends,
                "lease_ttls": self._lease_ttls,
            }
        )

    def restore(self, state: dict[str, typing.Any]) -> None:
        """Come back from a copy; what was written since is gone."""
        self.era += 1
        self.revision = state["revision"]
        self._items = state["items"]
        self._events = state["events"]
        self._lease_ends = state["lease_ends"]
        self._lease_ttls = state["lease_ttls"]
        self._changed.set()
        self._changed = asyncio.Event()

    # Leases.

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            if self.is_down:
                continue
            now = time.monotonic()
            for lease, ends_at in list(self._lease_ends.items()):
                if ends_at <= now:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._lease_ends.pop(lease, None)
        for key, item in list(self._items.items()):
            if item["lease"] == lease:
                self.remove(key)

    # Calls.

    async def _handle(
        self, request: http_stream.Message, port: int
    ) -> bytes | None:
        if self.is_down:
            return None
        if port in self.refused_ports:
            return self._answer(503, None)
        await asyncio.sleep(_ANSWER_S)
        url = urllib.parse.urlsplit(request.start[1])
        query = dict(urllib.parse.parse_qsl(url.query))
        self.calls[url.path] = self.calls.get(url.path, 0) + 1
        body = json.loads(request.body) if request.body else {}
        status, answer = await self._dispatch(url.path, query, body)
        if self.is_down:
            return None
        if port in self.refused_ports:
            return self._answer(503, None)
        return self._answer(status, answer)

    def _answer(self, status: int, answer: typing.Any) -> bytes:
        headers = {
            "Content-Type": "application/json",
            "Store-Era": str(self.era),
        }
        body = b"" if answer is None else json.dumps(answer).encode()
        return http_stream.encode_answer(status, headers, body)

    async def _dispatch(
        self, path: str, query: dict[str, str], body: dict[str, typing.Any]
    ) -> tuple[int, typing.Any]:
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-range":
            return self._range(query)
        if path == "/kv-key":
            item = self._items.get(query["key"])
            return (200, item | {"asOf": self.revision}) if item else (404, {})
        if path == "/kv-txn":
            return self._transact(body)
        return self._lease_call(path, body)

    def _lease_call(
        self, path: str, body: dict[str, typing.Any]
    ) -> tuple[int, typing.Any]:
        if path == "/kv-lease":
            ttl_s = float(body["ttl_time"].removesuffix("ms")) / 1000
            self._last_lease += 1
            self._lease_ttls[self._last_lease] = ttl_s
            self._lease_ends[self._last_lease] = time.monotonic() + ttl_s
            return 200, {
                "lease": self._last_lease,
                "ttl_time": body["ttl_time"],
            }
        lease = int(path.rpartition("/")[2])
        if lease not in self._lease_ends:
            return 404, {}
        if path.startswith("/kv-lease-end/"):
            self._end_lease(lease)
            return 200, {}
        ttl_s = self._lease_ttls[lease]
        self._lease_ends[lease] = time.monotonic() + ttl_s
        return 200, {"ttl_time": f"{int(ttl_s * 1000)}ms"}

    def _range(self, query: dict[str, str]) -> tuple[int, typing.Any]:
        after = query.get("after", "")
        found = [
            item
            for key, item in sorted(self._items.items())
            if key.startswith(query["prefix"]) and key > after
        ]
        return 200, {
            "items": found[:_ITEMS_PER_PAGE],
            "hasMore": len(found) > _ITEMS_PER_PAGE,
            "asOf": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, typing.Any]:
        after = int(query["after"])
        ends_at = time.monotonic() + min(int(query["waitMs"]), 30_000) / 1000
        while True:
            if after > self.revision:
                return 410, {}
            events = [
                event
                for event in self._events
                if event["revision"] > after
                and event["key"].startswith(query["prefix"])
            ]
            remaining_s = ends_at - time.monotonic()
            if events or remaining_s <= 0:
                return 200, {"events": events, "asOf": self.revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), remaining_s)
            except TimeoutError:
                continue

    def _transact(self, body: dict[str, typing.Any]) -> tuple[int, typing.Any]:
        for row in body.get("precondition", []):
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        writes = body.get("writes", [])
        for write in writes:
            lease = write.get("lease", 0)
            if lease and lease not in self._lease_ends:
                return 404, {}
        for write in writes:
            value = base64.b64decode(write["value"])
            self.put(write["key"], value, write.get("lease", 0))
        for key in body.get("deletes", []):
            self.remove(key)
        return 200, {"revision": self.revision}
