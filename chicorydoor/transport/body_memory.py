"""Bounds the memory that bodies of requests and responses take.

An entry holds a request's body until it has answered, since it may have to
send it again, and a target's response until it is complete. They come from
several parts of the memory, so that none of them takes the room of the others:
small bodies of requests, large bodies of requests, the beginnings of large
ones that wait, and large bodies of responses. Room for a response is there
even while bodies of requests wait: a request that was sent to a target has to
be answered.

All parts but the first share what the program itself leaves of the memory, so
that their sum stays within the limit however much the program takes.
"""

import asyncio
import collections
import contextlib
import math

from chicorydoor.transport import metrics

# A body up to this size is small. A response that is small takes no part: as
# many as there are requests in flight fit beside the parts.
SMALL_BODY_BYTES = 64 * 1024
# What the HTTP server reads of a body at most before it stops: its own limit,
# and one read of the event loop.
BEGINNING_BYTES = 320 * 1024
# Bodies of requests that may wait for memory. Their beginnings are held.
_MAX_WAITING_REQUESTS = 32
# Parts of the memory limit that each kind of body takes at most.
_LARGE_REQUEST_SHARE = 0.35
_RESPONSE_SHARE = 0.15
_SMALL_REQUEST_SHARE = 0.05
_BEGINNINGS_SHARE = 0.05
# Part of the limit that the program, large bodies, and their beginnings take
# together. The rest is for small bodies, callers' connections
# (``connection_memory``), what these received and was not read, and memory
# that was freed in pieces.
_SHARED_SHARE = 0.72
# Requests leave room for one response, so that those at work are answered: the
# largest that is read from a target.
_RESPONSE_RESERVE_BYTES = 8 * 1024 * 1024
# Taken where the platform names no limit.
_DEFAULT_LIMIT_BYTES = 512_000_000


class Reservation:
    """Memory for a body; given back by ``release``, or with the object.

    Args:
        part (MemoryPart): Where it is reserved.
        size (int): Bytes.
    """

    def __init__(self, part: "MemoryPart", size: int) -> None:
        self._part = part
        self.size = size

    def release(self) -> None:
        """Give the memory back; again without effect."""
        size, self.size = self.size, 0
        if size:
            self._part.give_back(size)

    def __del__(self) -> None:
        # Whoever drops a body need not know of its reservation.
        self.release()


class SharedMemory:
    """Memory that several parts and the program take together.

    Args:
        capacity (int): Bytes.

    Attributes:
        parts (list): The parts that share it.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._program_bytes = 0
        self.parts: list[MemoryPart] = []

    def set_program_bytes(self, program_bytes: int) -> None:
        """Set how much the program takes beside the parts.

        Args:
            program_bytes (int): Bytes.
        """
        self._program_bytes = program_bytes
        self.admit_waiting()

    def free_for(self, part: "MemoryPart") -> int:
        """Return how much a part may take in all, by what others leave it.

        Args:
            part (MemoryPart): One of the parts.
        """
        others = sum(
            max(each.used, each.guaranteed)
            for each in self.parts
            if each is not part
        )
        return max(
            part.guaranteed, self._capacity - self._program_bytes - others
        )

    def admit_waiting(self) -> None:
        """Give free memory to the bodies that wait for it, in any part."""
        for part in self.parts:
            part.admit_waiting()


class MemoryPart:
    """Memory for bodies of one kind, given out in the order of asking.

    Args:
        name (str): Label of its metrics.
        capacity (int): Bytes that may be in use at once.
        max_waiting (float): Number of bodies that may wait at once.
        shared (SharedMemory): Memory that it takes from, with other parts.
            Defaults to None: it has memory of its own.
        guaranteed (int): Bytes that other parts leave to it. Defaults to 0.
    """

    def __init__(
        self,
        name: str,
        capacity: int,
        max_waiting: float,
        shared: SharedMemory | None = None,
        guaranteed: int = 0,
    ) -> None:
        self.name = name
        self.capacity = capacity
        self.guaranteed = guaranteed
        self.used = 0
        self._shared = shared
        if shared is not None:
            shared.parts.append(self)
        self._max_waiting = max_waiting
        self._waiting: collections.OrderedDict[asyncio.Future[None], int] = (
            collections.OrderedDict()
        )
        self._used_gauge = metrics.BODY_MEMORY_BYTES.labels(name)
        self._wait_counter = metrics.BODY_MEMORY_WAITS.labels(name)

    def try_reserve(self, size: int) -> Reservation | None:
        """Reserve memory if it is free and nobody waits for it.

        Args:
            size (int): Bytes.

        Returns:
            The reservation; None without room.
        """
        if self._waiting or not self._fits(size):
            return None
        return self._reserve(size)

    async def reserve(
        self, size: int, timeout_s: float | None
    ) -> Reservation | None:
        """Reserve memory, waiting for it if need be.

        Args:
            size (int): Bytes.
            timeout_s (float): Maximum wait in seconds; None for no limit.

        Returns:
            The reservation; None if there is no room in time.
        """
        reservation = self.try_reserve(size)
        if (
            reservation is not None
            or size > self.capacity
            or (timeout_s is not None and timeout_s <= 0)
            or len(self._waiting) >= self._max_waiting
        ):
            return reservation
        self._wait_counter.inc()
        turn = asyncio.get_running_loop().create_future()
        self._waiting[turn] = size
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(timeout_s):
                    await asyncio.shield(turn)
            if not turn.done():
                return None
            return Reservation(self, size)
        except asyncio.CancelledError:
            if turn.done():
                self.give_back(size)
            raise
        finally:
            if self._waiting.pop(turn, None) is not None:
                # Smaller ones behind it may fit.
                self.admit_waiting()

    def give_back(self, size: int) -> None:
        """Free memory for the bodies that wait."""
        self._set_used(self.used - size)
        if self._shared is None:
            self.admit_waiting()
        else:
            self._shared.admit_waiting()

    def _fits(self, size: int) -> bool:
        free = self.capacity
        if self._shared is not None:
            free = min(free, self._shared.free_for(self))
        return self.used + size <= free

    def _reserve(self, size: int) -> Reservation:
        self._set_used(self.used + size)
        return Reservation(self, size)

    def _set_used(self, used: int) -> None:
        self.used = used
        self._used_gauge.set(used)

    def admit_waiting(self) -> None:
        """Give free memory to the bodies that wait for it."""
        while self._waiting:
            turn, size = next(iter(self._waiting.items()))
            if not self._fits(size):
                return
            del self._waiting[turn]
            self._set_used(self.used + size)
            turn.set_result(None)


class BodyMemory:
    """The memory of one entry for bodies.

    Args:
        limit_bytes (int): Memory that the process may use; 0 if the platform
            names no limit. Defaults to 0.
    """

    def __init__(self, limit_bytes: int = 0) -> None:
        limit_bytes = limit_bytes or _DEFAULT_LIMIT_BYTES
        self.small_requests = MemoryPart(
            "small-requests", int(limit_bytes * _SMALL_REQUEST_SHARE), 0
        )
        self._shared = SharedMemory(int(limit_bytes * _SHARED_SHARE))
        self.large_requests = MemoryPart(
            "large-requests",
            int(limit_bytes * _LARGE_REQUEST_SHARE),
            _MAX_WAITING_REQUESTS,
            self._shared,
        )
        self.beginnings = MemoryPart(
            "beginnings",
            min(
                _MAX_WAITING_REQUESTS * BEGINNING_BYTES,
                int(limit_bytes * _BEGINNINGS_SHARE),
            ),
            0,
            self._shared,
        )
        response_capacity = int(limit_bytes * _RESPONSE_SHARE)
        self.responses = MemoryPart(
            "responses",
            response_capacity,
            math.inf,
            self._shared,
            min(response_capacity, _RESPONSE_RESERVE_BYTES),
        )

    def set_program_bytes(self, program_bytes: int) -> None:
        """Set how much of the limit the program takes beside bodies.

        Args:
            program_bytes (int): Bytes.
        """
        self._shared.set_program_bytes(program_bytes)

    @property
    def parts(self) -> tuple[MemoryPart, ...]:
        """All parts."""
        return (
            self.small_requests,
            self.large_requests,
            self.beginnings,
            self.responses,
        )
