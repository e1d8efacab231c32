"""Stand-in for the platform's list of instances, which lags behind."""

import asyncio
import collections

import litestar

from chicorydoor.coordination import instance_list_poller
from chicorydoor.transport import http_server


class StandinInstanceList:
    """Serves a list of instances over HTTP with a fixed lag.

    Args:
        lag_s (float): Time until a change becomes visible. Defaults to 2.
    """

    def __init__(self, lag_s: float = 2.0) -> None:
        self._lag_s = lag_s
        self._version_history: collections.deque[
            tuple[float, list[instance_list_poller.ListedInstance]]
        ] = collections.deque([(float("-inf"), [])], maxlen=1000)
        app = litestar.Litestar(
            [litestar.get("/instances", sync_to_thread=False)(self._list)],
            openapi_config=None,
            logging_config=None,
        )
        self._server = http_server.HttpServer(app, "127.0.0.1", 0)
        self.endpoint = self._server.endpoint

    async def start(self) -> None:
        """Start to serve."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop the server."""
        await self._server.stop()

    def set_instances(
        self, listed: list[instance_list_poller.ListedInstance]
    ) -> None:
        """Replace the list; readers see the change after the lag."""
        now = asyncio.get_running_loop().time()
        self._version_history.append((now, listed))

    def _list(self) -> list[instance_list_poller.ListedInstance]:
        now = asyncio.get_running_loop().time()
        visible = [
            v for at, v in self._version_history if at <= now - self._lag_s
        ]
        return visible[-1]
