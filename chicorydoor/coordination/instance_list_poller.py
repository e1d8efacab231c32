"""Polls the platform's list of instances, leaving ones included.

The list may be out of date; an outdated item only costs a failed connection
attempt.
"""

import asyncio
from collections import abc
import logging

import httpx
import msgspec

from chicorydoor.protocol import ids
from chicorydoor.protocol import peer_messages as pm
from chicorydoor.transport import bounded_http

_POLL_INTERVAL_S = 2.0
_REQUEST_TIMEOUT_S = 1.0


class ListedInstance(msgspec.Struct, frozen=True):
    """One instance of the list.

    Args:
        peer (str): ``ip:port`` on which it accepts peers.
    """

    instance: ids.InstanceId
    domain: ids.DomainId
    peer: str


class InstanceListPoller:
    """Polls the instance list and passes on each listed instance.

    Args:
        endpoint (str): ``ip:port`` of the platform's instance list.
        on_member (callable): Called with each listed instance.
    """

    def __init__(
        self, endpoint: str, on_member: abc.Callable[[pm.Member], None]
    ) -> None:
        self._url = f"http://{endpoint}/instances"
        self._on_member = on_member
        self._log = logging.getLogger(__name__)
        self._is_unavailable = False

    async def run(self) -> None:
        """Poll the list until cancelled."""
        async with httpx.AsyncClient(
            timeout=_REQUEST_TIMEOUT_S, trust_env=False
        ) as client:
            while True:
                await self._read_list(client)
                await asyncio.sleep(_POLL_INTERVAL_S)

    async def _read_list(self, client: httpx.AsyncClient) -> None:
        try:
            request = client.build_request("GET", self._url)
            response, content = await bounded_http.send(client, request)
            response.raise_for_status()
            listed_instances = msgspec.json.decode(
                content, type=list[ListedInstance]
            )
        except (httpx.HTTPError, msgspec.DecodeError) as error:
            if not self._is_unavailable:
                self._log.warning("can't read the instance list: %s", error)
            self._is_unavailable = True
            return
        self._is_unavailable = False
        for listed_instance in listed_instances:
            self._on_member(
                pm.Member(
                    listed_instance.instance,
                    listed_instance.domain,
                    listed_instance.peer,
                    "",  # The list has no HTTP address.
                )
            )
