"""Reads the bodies of callers' requests into a bounded memory.

A large body is read only once there is memory for it. Until then the caller's
connection is not read either, so that the caller is slowed down.
"""

import asyncio
import typing

from chicorydoor.coordination import request_types
from chicorydoor.protocol import result_codes
from chicorydoor.transport import asgi
from chicorydoor.transport import body_memory
from chicorydoor.transport import clock as clock_module

# Part of the time left that a body may wait for memory. Callers that are not
# read for a third of it try elsewhere.
_MAX_WAIT_SHARE = 0.25
# For requests with a long time left: callers leave after a second.
_MAX_WAIT_S = 0.8
# A large body takes about this long to be read and sent on.
_RETRY_AFTER_S = 0.5
# First reservation of a large body whose length is not known; the next ones
# double what it has.
_FIRST_STEP_BYTES = 1024 * 1024

_CODES = result_codes.ResultCode


class CallerLeftError(Exception):
    """The caller closed its connection before its request was complete."""


class Body(typing.NamedTuple):
    """The body of a request.

    Args:
        chunks (list): The body in the pieces in which it was read.
        reservations (list): The memory that it takes, to release with it.
    """

    chunks: list[bytes]
    reservations: list[body_memory.Reservation]

    def release(self) -> None:
        """Drop the body and give its memory back."""
        self.chunks.clear()
        for each in self.reservations:
            each.release()


async def read_empty(receive: asgi.Receive) -> None:
    """Read the end of a request without a body.

    Args:
        receive (callable): ASGI ``receive`` of the request.

    Raises:
        CallerLeftError: If the caller closed its connection before.
    """
    event = await receive()
    if event["type"] == "http.disconnect":
        raise CallerLeftError


class BodyReader:
    """Reads bodies of requests.

    Args:
        memory (BodyMemory): Memory for them.
        clock (Clock): Source of time.
    """

    def __init__(
        self, memory: body_memory.BodyMemory, clock: clock_module.Clock
    ) -> None:
        self._memory = memory
        self._clock = clock

    async def read(
        self,
        receive: asgi.Receive,
        length: int | None,
        max_bytes: int,
        deadline: float,
    ) -> Body:
        """Read the whole body of a request.

        Args:
            receive (callable): ASGI ``receive`` of the request.
            length (int): Its length in bytes; None if that is not known.
            max_bytes (int): Largest allowed length.
            deadline (float): Time on the local clock by which it must have
                been read, in seconds.

        Raises:
            CallerLeftError: If the caller closed its connection before.
            RefusedError: If the body is too large or late, or if there is no
                memory for it.
        """
        if length is not None and length > max_bytes:
            raise request_types.RefusedError(_CODES.BODY_TOO_LARGE)
        body = Body([], [])
        try:
            async with asyncio.timeout(max(0.0, deadline - self._clock.now())):
                await self._read_into(
                    body, receive, length, max_bytes, deadline
                )
        except TimeoutError as error:
            body.release()
            raise request_types.RefusedError(_CODES.BODY_LATE) from error
        except BaseException:
            body.release()
            raise
        return body

    async def _read_into(
        self,
        body: Body,
        receive: asgi.Receive,
        length: int | None,
        max_bytes: int,
        deadline: float,
    ) -> None:
        size = reserved = 0
        if length:
            body.reservations.append(await self._reserve(length, deadline))
            reserved = length
        while True:
            event = await receive()
            if event["type"] == "http.disconnect":
                raise CallerLeftError
            chunk = event.get("body", b"")
            size += len(chunk)
            if size > max_bytes:
                raise request_types.RefusedError(_CODES.BODY_TOO_LARGE)
            while size > reserved:
                step = self._next_step(reserved, max_bytes)
                body.reservations.append(await self._reserve(step, deadline))
                reserved += step
            if chunk:
                body.chunks.append(chunk)
            if not event.get("more_body", False):
                return

    def _next_step(self, reserved: int, max_bytes: int) -> int:
        """Return how much more a body of unknown length reserves."""
        if not reserved:
            return body_memory.SMALL_BODY_BYTES
        step = max(reserved, _FIRST_STEP_BYTES)
        return max(1, min(step, max_bytes - reserved))

    async def _reserve(
        self, size: int, deadline: float
    ) -> body_memory.Reservation:
        """Reserve memory for a body or a part of it.

        Raises:
            RefusedError: If there is none in time.
        """
        is_small = size <= body_memory.SMALL_BODY_BYTES
        part = (
            self._memory.small_requests
            if is_small
            else self._memory.large_requests
        )
        remaining_s = deadline - self._clock.now()
        reservation = await part.reserve(
            size, min(_MAX_WAIT_S, remaining_s * _MAX_WAIT_SHARE)
        )
        if reservation is None:
            raise request_types.RefusedError(
                _CODES.NO_BODY_MEMORY,
                f"{size} bytes asked for, {part.used} of {part.capacity} in "
                "use",
                retry_after_s=_RETRY_AFTER_S,
            )
        return reservation
