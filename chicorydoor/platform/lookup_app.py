"""ASGI application that serves look-ups and readiness checks."""

from collections import abc
import urllib.parse

import msgspec

from chicorydoor.platform import http_names
from chicorydoor.protocol import ids
from chicorydoor.transport import asgi

AddressLookup = abc.Callable[[ids.RegionId, ids.DomainId], list[str]]

_JSON_HEADERS = [(b"content-type", b"application/json")]


class LookupApp:
    """Serves the addresses of entries, and this entry's readiness.

    Args:
        addresses (callable): Returns the addresses of entries for a
            caller's region and failure domain.
        ttl_s (float): How long callers may cache a look-up, in seconds.
        is_ready (callable): Returns whether this entry accepts requests.
    """

    def __init__(
        self,
        addresses: AddressLookup,
        ttl_s: float,
        is_ready: abc.Callable[[], bool],
    ) -> None:
        self._addresses = addresses
        self._ttl_s = ttl_s
        self._is_ready = is_ready

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Handle one request."""
        if scope["path"] == http_names.READINESS_PATH:
            await asgi.send_response(send, 200 if self._is_ready() else 503)
        elif scope["path"] == http_names.LOOKUP_PATH:
            await self._answer_lookup(scope, send)
        else:
            await asgi.send_response(send, 404)

    async def _answer_lookup(self, scope: asgi.Scope, send: asgi.Send) -> None:
        query = urllib.parse.parse_qs(scope["query_string"].decode("latin-1"))
        region = ids.RegionId(query.get("region", [""])[0])
        domain = ids.DomainId(query.get("zone", [""])[0])
        addresses = self._addresses(region, domain)
        if not addresses:
            await asgi.send_response(send, 503)
            return
        body = msgspec.json.encode(
            {
                "addresses": addresses,
                "ttl": f"{int(self._ttl_s * 1000)}ms",
            }
        )
        await asgi.send_response(send, 200, _JSON_HEADERS, body)
