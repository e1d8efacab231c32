"""Stand-in for a target that speaks the platform's headers.

Counts how often each request ran, so that a request that ran twice shows.
"""

import asyncio
import collections

import msgspec

from chicorydoor.platform import documents
from chicorydoor.platform import wire
from chicorydoor.standins import platform_store
from chicorydoor.transport import asgi
from chicorydoor.transport import http_server

HEALTH_PATH = "/health"


class Arrival(msgspec.Struct, frozen=True):
    """A request that a target began to work on.

    Args:
        at (float): When, on the loop's clock.
    """

    request_id: str
    at: float
    customer: str
    has_key: bool


def body_for(request_id: str) -> str:
    """The whole answer to a request."""
    return f"answer to {request_id}, whole"


class PlatformTarget:
    """The stand-in server.

    Args:
        name (str): Its id.
        service (str): The service that it belongs to.
        domain (str): Its failure domain.
        work_s (float): Time for a request. Defaults to 0.02.
        slots (int): Requests at the same time. Defaults to 8.
    """

    def __init__(
        self,
        name: str,
        service: str,
        domain: str,
        work_s: float = 0.02,
        slots: int = 8,
    ) -> None:
        self.name = name
        self._service = service
        self._domain = domain
        self._work_s = work_s
        self._slots = slots
        self.running = 0
        self.arrivals: list[Arrival] = []
        self._server = http_server.HttpServer(self._answer, "127.0.0.1", 0)

    async def start(self) -> None:
        """Begin to serve."""
        await self._server.start()

    async def stop(self) -> None:
        """Cut everything."""
        await self._server.stop()

    @property
    def endpoint(self) -> str:
        """``ip:port`` where it serves."""
        return self._server.endpoint

    def runs_by_request(self) -> collections.Counter[str]:
        """How often each request ran."""
        return collections.Counter(each.request_id for each in self.arrivals)

    def unregister(self, store: platform_store.PlatformStore) -> None:
        """Remove its registration."""
        store.remove(documents.TARGET_PREFIX + self.name)

    def register(
        self,
        store: platform_store.PlatformStore,
        state: str = "ready",
        address: str | None = None,
    ) -> None:
        """Write its registration.

        Args:
            store (PlatformStore): Where.
            state (str): What it says of itself. Defaults to ready.
            address (str): Where it is reached. Defaults to its own port.
        """
        store.put(
            documents.TARGET_PREFIX + self.name,
            msgspec.json.encode(
                {
                    "address": address or self.endpoint,
                    "born": 1,
                    "info": {
                        "service": self._service,
                        "zone": self._domain,
                        "slots": self._slots,
                    },
                    "status": {"state": state, "coldRemaining": "0ms"},
                }
            ),
        )

    async def _answer(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        await asgi.read_body(receive)
        value_by_name = dict(scope["headers"])
        names = wire.HEADERS
        if scope["path"] == HEALTH_PATH:
            await asgi.send_answer(send, 200, [])
            return
        request_id = value_by_name.get(names.request_id, b"")
        if value_by_name.get(names.expected_target) != self.name.encode():
            own = (names.target, self.name.encode())
            await asgi.send_answer(send, 421, [own])
            return
        self.arrivals.append(
            Arrival(
                request_id.decode(),
                asyncio.get_running_loop().time(),
                value_by_name.get(names.customer, b"").decode(),
                names.key in value_by_name,
            )
        )
        self.running += 1
        await asyncio.sleep(self._work_s)
        load = b"%d,0,%d" % (self.running, self._slots)
        self.running -= 1
        headers = [
            (names.request_id, request_id),
            (names.seal, b"stand-in"),
            (names.load, load),
        ]
        body = body_for(request_id.decode())
        await asgi.send_answer(send, 200, headers, body.encode())
