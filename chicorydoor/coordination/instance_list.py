"""Follows the platform's list of live and leaving instances.

The list lags: a stale entry costs a failed dial, nothing more.
"""

import asyncio
from collections import abc
import logging

import httpx
import msgspec

from chicorydoor.protocol import ids
from chicorydoor.protocol import peer_messages as pm

_INTERVAL_S = 2.0
_TIMEOUT_S = 1.0


class ListedInstance(msgspec.Struct, frozen=True):
    """One line of the list.

    Args:
        peer (str): ``ip:port`` for other entries.
    """

    instance: ids.InstanceId
    domain: ids.DomainId
    peer: str


class InstanceListFollower:
    """Reads the list regularly.

    Args:
        endpoint (str): ``ip:port`` of the platform's list.
        learn (callable): Gets each entry.
    """

    def __init__(
        self, endpoint: str, learn: abc.Callable[[pm.Member], None]
    ) -> None:
        self._url = f"http://{endpoint}/instances"
        self._learn = learn
        self._log = logging.getLogger(__name__)
        self._is_down = False

    async def run(self) -> None:
        """Read the list until cancelled."""
        async with httpx.AsyncClient(
            timeout=_TIMEOUT_S, trust_env=False
        ) as client:
            while True:
                await self._read(client)
                await asyncio.sleep(_INTERVAL_S)

    async def _read(self, client: httpx.AsyncClient) -> None:
        try:
            response = await client.get(self._url)
            response.raise_for_status()
            listed = msgspec.json.decode(
                response.content, type=list[ListedInstance]
            )
        except (httpx.HTTPError, msgspec.DecodeError) as error:
            if not self._is_down:
                self._log.warning("no instance list: %s", error)
            self._is_down = True
            return
        self._is_down = False
        for line in listed:
            self._learn(pm.Member(line.instance, line.domain, line.peer, ""))
