"""Runs a pipelined request before the responses to earlier ones are written.

uvicorn begins a request only when the one before it on the connection is
answered, so the requests of one caller would wait for each other.
"""

import asyncio
import typing

from chicorydoor.transport import asgi


class EarlyResponse:
    """An ASGI application that runs at once and responds in its turn.

    The server calls it when the response may be written.

    Args:
        app (ASGI application): Handles the request.
        scope (dict): ASGI scope of the request.
        receive (callable): ASGI ``receive`` of the request.

    Attributes:
        task (Task): Runs the application.
    """

    def __init__(
        self, app: typing.Any, scope: asgi.Scope, receive: asgi.Receive
    ) -> None:
        self._turn: asyncio.Future[asgi.Send | None] = (
            asyncio.get_running_loop().create_future()
        )
        self.task = asyncio.create_task(app(scope, receive, self._write))

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Let the application respond."""
        self._turn.set_result(send)
        await self.task

    async def _write(self, message: typing.Any) -> None:
        send = await asyncio.shield(self._turn)
        if send is not None:
            await send(message)

    def abandon(self) -> None:
        """Drop the response, as the connection ends before it."""
        if not self._turn.done():
            self._turn.set_result(None)
