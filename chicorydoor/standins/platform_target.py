"""Stand-in for a target that implements the platform's headers.

It records each execution, so that tests can detect a request that ran twice.
"""

import asyncio
import collections

import msgspec

from chicorydoor.platform import documents
from chicorydoor.platform import http_names
from chicorydoor.standins import platform_store
from chicorydoor.transport import asgi
from chicorydoor.transport import http_server

HEALTH_PATH = "/health"


class Execution(msgspec.Struct, frozen=True):
    """A request that a target began to execute.

    Args:
        request_id (str): Its id.
        started_at (float): Time of the start in seconds, on the loop's clock.
        customer (str): Customer that the entry named, empty for none.
        has_key (bool): Whether the request carried the caller's key.
    """

    request_id: str
    started_at: float
    customer: str
    has_key: bool


def response_body(request_id: str) -> str:
    """The complete response body for a request."""
    return f"answer to {request_id}, whole"


class PlatformTarget:
    """A target that answers every request after a fixed time.

    Args:
        name (str): Id of the target.
        service (str): Service that it belongs to.
        domain (str): Its failure domain.
        work_s (float): Processing time of a request. Defaults to 0.02.
        slots (int): Concurrent requests that it registers. Defaults to 8.

    Attributes:
        work_s (float): Processing time of the requests that begin.
        response_body (callable): Returns the response body for a request id.
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
        self.work_s = work_s
        self._slots = slots
        self.response_body = response_body
        self.running = 0
        self._sequence = 0
        self.executions: list[Execution] = []
        self._server = http_server.HttpServer(self._handle, "127.0.0.1", 0)

    async def start(self) -> None:
        """Start to serve."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop the server and close its connections."""
        await self._server.stop()

    @property
    def endpoint(self) -> str:
        """``ip:port`` that it listens on."""
        return self._server.endpoint

    def run_count_by_request(self) -> collections.Counter[str]:
        """Number of executions by request id."""
        return collections.Counter(each.request_id for each in self.executions)

    def unregister(self, store: platform_store.PlatformStore) -> None:
        """Remove its registration from the store."""
        store.remove(documents.TARGET_PREFIX + self.name)

    def register(
        self,
        store: platform_store.PlatformStore,
        state: str = "ready",
        address: str | None = None,
    ) -> None:
        """Write its registration to the store.

        Args:
            store (PlatformStore): Store to write to.
            state (str): Its state, such as "ready" or "draining". Defaults
                to "ready".
            address (str): ``ip:port`` to register. Defaults to its own
                endpoint.
        """
        self._sequence += 1
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
                    "status": {
                        "state": state,
                        "coldRemaining": "0ms",
                        "sequence": self._sequence,
                    },
                }
            ),
        )

    async def _handle(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        await asgi.read_body(receive)
        value_by_name = dict(scope["headers"])
        names = http_names.HEADER_NAMES
        if scope["path"] == HEALTH_PATH:
            await asgi.send_response(send, 200, [])
            return
        request_id = value_by_name.get(names.request_id, b"")
        if value_by_name.get(names.expected_target_id) != self.name.encode():
            own_id = (names.target_id, self.name.encode())
            await asgi.send_response(send, 421, [own_id])
            return
        self.executions.append(
            Execution(
                request_id.decode(),
                asyncio.get_running_loop().time(),
                value_by_name.get(names.customer_id, b"").decode(),
                names.api_key in value_by_name,
            )
        )
        self.running += 1
        await asyncio.sleep(self.work_s)
        # Running and queued requests, and the number of slots.
        load = b"%d,0,%d" % (self.running, self._slots)
        self.running -= 1
        headers = [
            (names.request_id, request_id),
            (names.response_signature, b"stand-in"),
            (names.target_load, load),
        ]
        body = self.response_body(request_id.decode())
        await asgi.send_response(send, 200, headers, body.encode())
