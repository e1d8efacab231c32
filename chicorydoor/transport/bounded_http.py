"""Requests over an httpx client whose responses are read within bounds.

httpx limits the time of each read, not their number: informational responses,
or a body, that go on would hold a call for ever.
"""

import asyncio

import httpx

# A large response over a slow link takes some seconds.
_BODY_TIMEOUT_S = 60.0
# Far above the largest configuration; a few fit into the memory of an entry.
_MAX_BODY_BYTES = 32 * 1024 * 1024


async def send(
    client: httpx.AsyncClient, request: httpx.Request
) -> tuple[httpx.Response, bytes]:
    """Send a request and read its response.

    The head must arrive within the sum of the request's time-outs, the body
    within a minute.

    Args:
        client (AsyncClient): Sends it.
        request (Request): Built by the client, with time-outs.

    Returns:
        tuple: The response and its body.

    Raises:
        httpx.HTTPError: If there is no response within the bounds.
    """
    timeouts = request.extensions["timeout"]
    try:
        async with asyncio.timeout(
            timeouts["connect"] + timeouts["write"] + timeouts["read"]
        ):
            response = await client.send(request, stream=True)
        try:
            async with asyncio.timeout(_BODY_TIMEOUT_S):
                return response, await _read_body(response)
        finally:
            await response.aclose()
    except TimeoutError as error:
        raise httpx.ReadTimeout("response takes too long") from error


async def _read_body(response: httpx.Response) -> bytes:
    body = bytearray()
    async for piece in response.aiter_bytes():
        body += piece
        if len(body) > _MAX_BODY_BYTES:
            raise httpx.RemoteProtocolError("response is too large")
    return bytes(body)
