"""Reads the bodies of callers' requests into a bounded memory.

A large body is read only once there is memory for it. Until then the caller's
connection is not read either, so that the caller is slowed down.
"""

import asyncio
import hashlib

from chicorydoor.coordination import request_types
from chicorydoor.protocol import admitted_request
from chicorydoor.protocol import headers as http_headers
from chicorydoor.protocol import result_codes
from chicorydoor.transport import asgi
from chicorydoor.transport import body_memory
from chicorydoor.transport import caller_connection
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
# Lets a body without a length arrive while less than a step is left of its
# reservation.
_STEP_BUFFER_BYTES = 64 * 1024
# Key of what ``BodyReader.admit`` reserved in the extensions of an ASGI scope.
_RESERVATION = "chicorydoor.body_reservation"


class CallerLeftError(Exception):
    """The caller closed its connection before its request was complete."""


class Body:
    """The body of a request.

    Args:
        reservation (Reservation): Memory for it; None for an empty body.
            Defaults to None.

    Attributes:
        chunks (list): The body in the pieces in which it was read.
        reservations (list): The memory that it takes.
        digest (bytes): Digest of a large body; empty for a small one.
    """

    def __init__(
        self, reservation: body_memory.Reservation | None = None
    ) -> None:
        self.chunks: list[bytes] = []
        self.reservations = [] if reservation is None else [reservation]
        self.digest = b""

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


def discard(scope: asgi.Scope) -> None:
    """Give back the memory for a body that is not read.

    The HTTP server keeps the scope until the connection's next request.

    Args:
        scope (dict): ASGI scope of the request.
    """
    reservation = scope.get("extensions", {}).pop(_RESERVATION, None)
    if reservation is not None:
        reservation.release()


def body_length(scope: asgi.Scope) -> int | None:
    """Return the length of a request's body; None if it is not known.

    Args:
        scope (dict): ASGI scope of the request.
    """
    return http_headers.content_length(scope["headers"])


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

    def admit(self, scope: asgi.Scope) -> bool:
        """Reserve memory for a body when its request's head has been read.

        The HTTP server goes on reading before the request is handled: many
        bodies that begin at the same moment have to be bounded here.

        Args:
            scope (dict): ASGI scope of the request.

        Returns:
            Whether to keep what is read of the body: there is memory for all
            of it, or for its beginning while it waits for the rest.
        """
        length = body_length(scope)
        if length == 0:
            return True
        if length is None:
            reservation = self._memory.large_requests.try_reserve(
                body_memory.BEGINNING_BYTES
            )
        else:
            reservation = self._try_reserve(length)
            if reservation is not None:
                _enlarge_receive_buffer(scope, length)
        if reservation is None and _is_large(length):
            reservation = self._memory.beginnings.try_reserve(
                body_memory.BEGINNING_BYTES
            )
        scope.setdefault("extensions", {})[_RESERVATION] = reservation
        return reservation is not None

    async def read(
        self,
        scope: asgi.Scope,
        receive: asgi.Receive,
        max_bytes: int,
        deadline: float,
    ) -> Body:
        """Read the whole body of a request.

        Args:
            scope (dict): ASGI scope of the request, which ``admit`` has seen.
            receive (callable): ASGI ``receive`` of the request.
            max_bytes (int): Largest allowed length.
            deadline (float): Time on the local clock by which it must have
                been read, in seconds.

        Raises:
            CallerLeftError: If the caller closed its connection before.
            RefusedError: If the body is too large or late, or if there is no
                memory for it.
        """
        reservation = scope["extensions"].pop(_RESERVATION)
        length = body_length(scope)
        if length is not None and length > max_bytes:
            raise request_types.RefusedError(_CODES.BODY_TOO_LARGE)
        if reservation is None:
            raise self._refuse(length)
        body = Body(reservation)
        try:
            async with asyncio.timeout(max(0.0, deadline - self._clock.now())):
                await self._read_into(
                    body, scope, receive, max_bytes, deadline
                )
        except TimeoutError as error:
            body.release()
            raise request_types.RefusedError(_CODES.BODY_LATE) from error
        except BaseException:
            body.release()
            raise
        if length is None:
            self._reserve_anew(body)
        return body

    async def _read_into(
        self,
        body: Body,
        scope: asgi.Scope,
        receive: asgi.Receive,
        max_bytes: int,
        deadline: float,
    ) -> None:
        length = body_length(scope)
        size = 0
        # All at once, it would hold up the other requests.
        digest = hashlib.blake2b(
            digest_size=admitted_request.FINGERPRINT_BYTES
        )
        reserved = body.reservations[0].size
        if length is not None and reserved != length:
            await self._reserve(body, length, deadline)
            reserved = length
            _enlarge_receive_buffer(scope, length)
            # The memory for its beginning.
            body.reservations[0].release()
        while True:
            event = await receive()
            if event["type"] == "http.disconnect":
                raise CallerLeftError
            chunk = event.get("body", b"")
            size += len(chunk)
            if size > max_bytes:
                raise request_types.RefusedError(_CODES.BODY_TOO_LARGE)
            while size > reserved:
                step = min(
                    max(reserved, _FIRST_STEP_BYTES), max_bytes - reserved
                )
                await self._reserve(body, step, deadline)
                reserved += step
                _enlarge_receive_buffer(scope, _STEP_BUFFER_BYTES)
            if chunk:
                body.chunks.append(chunk)
                if _is_large(length):
                    digest.update(chunk)
            if not event.get("more_body", False):
                if _is_large(size):
                    body.digest = digest.digest()
                return

    async def _reserve(self, body: Body, size: int, deadline: float) -> None:
        """Reserve memory for a large body or a part of it.

        Raises:
            RefusedError: If there is none in time.
        """
        remaining_s = deadline - self._clock.now()
        reservation = await self._memory.large_requests.reserve(
            size, min(_MAX_WAIT_S, remaining_s * _MAX_WAIT_SHARE)
        )
        if reservation is None:
            raise self._refuse(size)
        body.reservations.append(reservation)

    def _try_reserve(self, length: int) -> body_memory.Reservation | None:
        """Reserve memory for a whole body; None without room.

        Small ones also take what large ones leave.
        """
        reservation = None
        if not _is_large(length):
            reservation = self._memory.small_requests.try_reserve(length)
        return reservation or self._memory.large_requests.try_reserve(length)

    def _reserve_anew(self, body: Body) -> None:
        """Let a body whose length is now known take no more than that."""
        reservation = self._try_reserve(sum(map(len, body.chunks)))
        if reservation is not None:
            kept, body.reservations = body.reservations, [reservation]
            for each in kept:
                each.release()

    def _refuse(self, size: int | None) -> request_types.RefusedError:
        in_use = ", ".join(
            f"{part.used} of {part.capacity} for {part.name}"
            for part in self._memory.parts
        )
        return request_types.RefusedError(
            _CODES.NO_BODY_MEMORY,
            f"{size} bytes asked for; in use: {in_use}",
            retry_after_s=_RETRY_AFTER_S,
        )


def _enlarge_receive_buffer(scope: asgi.Scope, reserved_bytes: int) -> None:
    """Let as much of a body arrive as memory is reserved for."""
    connection = caller_connection.find_in_scope(scope)
    if connection is not None:
        connection.receive_buffer.enlarge(reserved_bytes)


def _is_large(length: int | None) -> bool:
    """Whether a body is large; one of unknown length may be."""
    return length is None or length > body_memory.SMALL_BODY_BYTES
