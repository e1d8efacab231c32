"""Servers for comparison: constant response, simple proxy, bare target."""

import sys

import httpx
import litestar
from litestar import handlers
import uvicorn

_RESPONSE_BODY = b"x" * 64


@litestar.get("/v1/lookup", sync_to_thread=False)
def _constant_handler() -> bytes:
    return _RESPONSE_BODY


def constant_app() -> litestar.Litestar:
    """Return an application that answers every look-up with 64 bytes."""
    return litestar.Litestar(
        [_constant_handler], openapi_config=None, logging_config=None
    )


def passthrough_app(target_port: int) -> litestar.Litestar:
    """Return a proxy that forwards requests with a pooled HTTP client."""
    client = httpx.AsyncClient(
        base_url=f"http://127.0.0.1:{target_port}", trust_env=False
    )

    @handlers.get("/job/{rest:path}")
    async def passthrough(
        request: litestar.Request, rest: str
    ) -> litestar.Response[bytes]:
        reply = await client.request(
            request.method,
            request.url.path,
            headers={"x-request-id": "1"},
            content=await request.body(),
        )
        return litestar.Response(reply.content, status_code=reply.status_code)

    return litestar.Litestar(
        [passthrough], openapi_config=None, logging_config=None
    )


async def bare_target(scope, receive, send):
    """Serve a request (ASGI) at once, with its id in the response headers."""
    request_id = dict(scope["headers"]).get(b"x-request-id", b"")
    headers = [(b"content-length", b"64"), (b"x-request-id", request_id)]
    start = {"type": "http.response.start", "status": 200, "headers": headers}
    await send(start)
    await send({"type": "http.response.body", "body": _RESPONSE_BODY})


def main() -> int:
    """Serve on the port given last.

    Before it stands ``constant``, ``passthrough TARGET_PORT`` or ``target``.
    """
    server_kind, port = sys.argv[1], int(sys.argv[-1])
    if server_kind == "constant":
        app = constant_app()
    elif server_kind == "passthrough":
        app = passthrough_app(int(sys.argv[2]))
    else:
        app = bare_target
    uvicorn.run(
        app,
        host="127.0.0.1",
        port=port,
        log_level="error",
        access_log=False,
        loop="uvloop",
        http="httptools",
        lifespan="off",
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
