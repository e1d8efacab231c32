"""A caller's request and its answer, as entries process them."""

from collections import abc

import msgspec

from chicorydoor import errors
from chicorydoor.protocol import config_records
from chicorydoor.protocol import ids
from chicorydoor.protocol import result_codes

Headers = list[tuple[bytes, bytes]]

STREAMING_THRESHOLD_BYTES = 64 * 1024


class RefusedError(errors.ChicorydoorError):
    """A request that ends with a result code instead of an answer.

    Args:
        code (ResultCode): The result code.
        detail (str): Explanation for the caller. Defaults to the meaning of
            the code.
        retry_after_s (float): Seconds after which a retry may succeed, 0 if
            that is not known. Defaults to 0.
        outcome (Outcome): Whether the request ran, as far as known. Defaults
            to the outcome of the code.
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
    def certainly_not_run(self) -> bool:
        """Whether the request certainly did not run."""
        return self.outcome is result_codes.Outcome.NOT_RUN


class CallerLeftError(errors.ChicorydoorError):
    """The caller closed its connection before the request was sent on."""


class Body:
    """A request's body: a buffered first part, and a stream of the rest.

    Args:
        buffered (bytes): The buffered part.
        remaining_pieces (AsyncIterator): The remaining pieces, or None if
            ``buffered`` is the whole body. Defaults to None.
    """

    def __init__(
        self,
        buffered: bytes,
        remaining_pieces: abc.AsyncIterator[bytes] | None = None,
    ) -> None:
        self.buffered = buffered
        self._remaining_pieces = remaining_pieces

    @property
    def is_replayable(self) -> bool:
        """Whether the body is buffered whole, so that it can be resent.

        Whether the request may run twice is another condition, see
        ``Request.is_idempotent``.
        """
        return self._remaining_pieces is None

    async def pieces(self) -> abc.AsyncIterator[bytes]:
        """Yield the body; more than once only if it is replayable."""
        if self.buffered:
            yield self.buffered
        if self._remaining_pieces is not None:
            async for piece in self._remaining_pieces:
                yield piece


async def buffer_body(pieces: abc.AsyncIterator[bytes]) -> Body:
    """Buffer a small body, or the first part of a large one.

    Bodies of ``STREAMING_THRESHOLD_BYTES`` or more are streamed.
    """
    first = bytearray()
    async for piece in pieces:
        first += piece
        if len(first) >= STREAMING_THRESHOLD_BYTES:
            return Body(bytes(first), pieces)
    return Body(bytes(first))


class Request(msgspec.Struct):
    """A request whose route, key and rate were checked.

    Args:
        path (str): Path as sent, not decoded, without the query.
        deadline_at (float): Time by which it must be answered, in seconds of
            the local clock.
        headers (list): Headers without hop-by-hop and internal headers and
            without the caller's key.
        customer (str): Customer id, empty on routes open to all.
        key_id (str): Id of the caller's key, empty on routes open to all.
        is_first_attempt (bool): Whether the caller declared that it has not
            sent the request before. Defaults to False.
        may_leave_domain (bool): Whether it may be forwarded to another
            failure domain. Defaults to True.
        may_retry (bool): Whether it may be sent more than once. Defaults to
            True.
        is_caller_gone (callable): Returns whether the caller has closed its
            connection. Defaults to one that returns False.
    """

    method: str
    path: str
    query: bytes
    headers: Headers
    body: Body
    route_id: ids.RouteId
    route: config_records.Route
    customer: ids.CustomerId
    key_id: ids.KeyId
    request_id: str
    deadline_at: float
    idempotency_key: str = ""
    is_first_attempt: bool = False
    may_leave_domain: bool = True
    may_retry: bool = True
    is_caller_gone: abc.Callable[[], bool] = lambda: False

    def check_caller(self) -> None:
        """Check that the answer is of use.

        With an idempotency key it is recorded for a repetition.

        Raises:
            RefusedError: If the caller has closed its connection.
        """
        if not self.idempotency_key and self.is_caller_gone():
            raise RefusedError(
                result_codes.ResultCode.CALLER_LEFT,
                outcome=result_codes.Outcome.NOT_RUN,
            )

    @property
    def is_idempotent(self) -> bool:
        """Whether the route allows the request to run more than once."""
        return self.route.is_idempotent(self.method, self.path)


class Answer:
    """The answer to a request; the receiver must ``close`` it.

    Args:
        status (int): HTTP status.
        headers (list): Headers without hop-by-hop headers.
        buffered (bytes): The body, or its first part.
        remaining_pieces (AsyncIterator): The rest of the body, or None. It
            raises ``RefusedError`` if the answer is truncated. Defaults to
            None.
        on_close (callable): Discards the unread rest. Defaults to None.
    """

    def __init__(
        self,
        status: int,
        headers: Headers,
        buffered: bytes,
        remaining_pieces: abc.AsyncIterator[bytes] | None = None,
        on_close: abc.Callable[[], abc.Awaitable[None]] | None = None,
    ) -> None:
        self.status = status
        self.headers = headers
        self.buffered = buffered
        self.remaining_pieces = remaining_pieces
        self._on_close = on_close

    async def close(self) -> None:
        """Discard the unread rest of the body."""
        if self._on_close is not None:
            await self._on_close()
