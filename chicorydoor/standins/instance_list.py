"""Stand-in for the platform's lagging list of instances."""

import asyncio
import collections

import litestar

from chicorydoor.coordination import instance_list
from chicorydoor.transport import http_server


class StandinInstanceList:
    """The stand-in server.

    Args:
        lag_s (float): Age of what it tells. Defaults to 2.
    """

    def __init__(self, lag_s: float = 2.0) -> None:
        self._lag_s = lag_s
        self._versions: collections.deque[
            tuple[float, list[instance_list.ListedInstance]]
        ] = collections.deque([(float("-inf"), [])], maxlen=1000)
        app = litestar.Litestar(
            [litestar.get("/instances", sync_to_thread=False)(self._list)],
            openapi_config=None,
            logging_config=None,
        )
        self._server = http_server.HttpServer(app, "127.0.0.1", 0)
        self.endpoint = self._server.endpoint

    async def start(self) -> None:
        """Begin to serve."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop."""
        await self._server.stop()

    def set(self, listed: list[instance_list.ListedInstance]) -> None:
        """Change the list; callers see it after the lag."""
        now = asyncio.get_running_loop().time()
        self._versions.append((now, listed))

    def _list(self) -> list[instance_list.ListedInstance]:
        now = asyncio.get_running_loop().time()
        known = [v for at, v in self._versions if at <= now - self._lag_s]
        return known[-1]
