"""A caller's request and its answer, as the entries handle them."""

from collections import abc

import msgspec

from chicorydoor import errors
from chicorydoor.protocol import config_records
from chicorydoor.protocol import ids
from chicorydoor.protocol import result_codes

Headers = list[tuple[bytes, bytes]]

REPLAYABLE_BYTES = 64 * 1024


class RefusedError(errors.ChicorydoorError):
    """A request ends with a result code instead of a target's answer.

    Args:
        code (ResultCode): The result.
        detail (str): Further words for the caller. Defaults to none.
        retry_after_s (float): When it is worth asking again, 0 if that is
            not known. Defaults to 0.
        outcome (Outcome): What is known of the request's effect. Defaults
            to what the code says.
    """

    def __init__(
        self,
        code: result_codes.ResultCode,
        detail: str = "",
        retry_after_s: float = 0.0,
        outcome: result_codes.Outcome | None = None,
    ) -> None:
        super().__init__(detail or code.meaning)
        self.code = code
        self.detail = detail or code.meaning
        self.retry_after_s = retry_after_s
        self.outcome = outcome or code.outcome

    @property
    def is_not_run(self) -> bool:
        """Whether the request was certainly not run."""
        return self.outcome is result_codes.Outcome.NOT_RUN


class Body:
    """A request's body: its first part, and a stream of the rest.

    Args:
        first (bytes): What was read beforehand.
        rest (AsyncIterator): What follows, or None if ``first`` is all.
            Defaults to None.
    """

    def __init__(
        self, first: bytes, rest: abc.AsyncIterator[bytes] | None = None
    ) -> None:
        self.first = first
        self._rest = rest

    @property
    def is_replayable(self) -> bool:
        """Whether it can be sent more than once."""
        return self._rest is None

    async def pieces(self) -> abc.AsyncIterator[bytes]:
        """The body; a second time only if it is replayable."""
        if self.first:
            yield self.first
        if self._rest is not None:
            async for piece in self._rest:
                yield piece


async def read_body(pieces: abc.AsyncIterator[bytes]) -> Body:
    """Read a small body whole, or the first part of a large one."""
    first = bytearray()
    async for piece in pieces:
        first += piece
        if len(first) >= REPLAYABLE_BYTES:
            return Body(bytes(first), pieces)
    return Body(bytes(first))


class Request(msgspec.Struct):
    """A request that passed the gate.

    Args:
        deadline (float): When it must be answered, on the own clock.
        headers (list): Without hop-by-hop and internal headers and
            without the caller's key.
        customer (str): Or empty on routes open to all.
        key (str): Id of the caller's key, or empty.
        may_go_away (bool): Whether it may be sent to another failure
            domain. Defaults to True.
        may_retry (bool): Whether a repeatable request may be sent to a
            second target. Defaults to True.
    """

    method: str
    path: str
    query: bytes
    headers: Headers
    body: Body
    route_id: ids.RouteId
    route: config_records.Route
    customer: ids.CustomerId
    key: ids.KeyId
    request_id: str
    deadline: float
    idempotency_key: str = ""
    is_first_attempt: bool = False
    may_go_away: bool = True
    may_retry: bool = True

    @property
    def is_repeatable(self) -> bool:
        """Whether it may be sent more than once."""
        return self.route.is_repeatable(self.method, self.path)


class Answer:
    """A target's answer; whoever gets it must ``close`` it.

    Args:
        status (int): HTTP status.
        headers (list): Without hop-by-hop headers.
        first (bytes): The body, or its first part.
        rest (AsyncIterator): The rest of the body, or None. It raises
            ``RefusedError`` if the answer is cut short. Defaults to None.
        on_close (callable): Gives up what was not read. Defaults to None.
    """

    def __init__(
        self,
        status: int,
        headers: Headers,
        first: bytes,
        rest: abc.AsyncIterator[bytes] | None = None,
        on_close: abc.Callable[[], abc.Awaitable[None]] | None = None,
    ) -> None:
        self.status = status
        self.headers = headers
        self.first = first
        self.rest = rest
        self._on_close = on_close

    async def close(self) -> None:
        """Give up what was not read."""
        if self._on_close is not None:
            await self._on_close()
