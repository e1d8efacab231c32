"""Runs a request on a target of the own failure domain.

A request is sent again only if its body can be resent, and if it is
idempotent or the failed attempt certainly did not run it. Retries are bounded
by a budget, a share of the recent requests, so that they can't amplify an
outage.
"""

import asyncio
from collections import abc
import random

from chicorydoor import errors
from chicorydoor.coordination import request_types
from chicorydoor.coordination import slot_queue as slot_queue_module
from chicorydoor.protocol import headers as http_headers
from chicorydoor.protocol import ids
from chicorydoor.protocol import result_codes
from chicorydoor.state import config_snapshot
from chicorydoor.state import domain_target_table
from chicorydoor.state import event_ring
from chicorydoor.transport import clock as clock_module
from chicorydoor.transport import metrics
from chicorydoor.transport import streaming_connection

_RETRIES_PER_REQUEST = 0.1
_MAX_SAVED_RETRIES = 10.0
_MAX_ATTEMPTS = 3
_CANCEL_GRACE_S = 0.05
_MIN_SERVER_ERROR_STATUS = 500
_SHED_STATUS = 503
_STATUSES_WITHOUT_BODY = (204, 304)
_FRAMING_HEADERS = (http_headers.CONTENT_LENGTH, b"transfer-encoding")

_CODES = result_codes.ResultCode
_TARGET_FAULT_CODES = frozenset(
    {
        _CODES.TARGET_FAILED,
        _CODES.TARGET_UNREACHABLE,
        _CODES.DEADLINE_PASSED,
    }
)


class EntryRetryBudget:
    """Limits the retries of this entry to a share of its requests.

    Args:
        retries_per_request (float): Retries that each request adds to the
            budget. Defaults to 0.1.
        max_saved (float): Maximum of unused retries kept. Defaults to 10.

    Example:
        >>> budget = EntryRetryBudget(retries_per_request=0.5, max_saved=1)
        >>> budget.try_spend(), budget.try_spend()
        (True, False)
        >>> budget.record_request(); budget.record_request()
        >>> budget.try_spend()
        True
    """

    def __init__(
        self,
        retries_per_request: float = _RETRIES_PER_REQUEST,
        max_saved: float = _MAX_SAVED_RETRIES,
    ) -> None:
        self._retries_per_request = retries_per_request
        self._max_saved = max_saved
        self._available = max_saved

    def record_request(self) -> None:
        """Add the share of one request to the budget."""
        self._available = min(
            self._max_saved, self._available + self._retries_per_request
        )

    def try_spend(self) -> bool:
        """Spend one retry; return False if none is left."""
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True


class TargetExecutor:
    """Sends requests to targets.

    Args:
        slot_queue (SlotQueue): Assigns slots.
        targets (DomainTargetTable): Records successes and failures of targets.
        clock (Clock): Time source.
        rng (Random): Random source for jitter.
        events (EventRing): Records sent requests.
        slot_limit (callable): Returns the local slot limit of a target,
            which bounds its idle connections.
        connect (callable): Creates a connection to a target, which is opened
            by the first request.
    """

    def __init__(
        self,
        *,
        slot_queue: slot_queue_module.SlotQueue,
        targets: domain_target_table.DomainTargetTable,
        clock: clock_module.Clock,
        rng: random.Random,
        events: event_ring.EventRing,
        slot_limit: abc.Callable[[ids.TargetId], int],
        connect: streaming_connection.ConnectionFactory,
    ) -> None:
        self._slot_queue = slot_queue
        self._targets = targets
        self._clock = clock
        self._rng = rng
        self._events = events
        self._slot_limit = slot_limit
        self._connect = connect
        self._retry_budget = EntryRetryBudget()
        self._connections_by_address: dict[
            str, streaming_connection.StreamingConnectionPool
        ] = {}
        self.get_snapshot: abc.Callable[[], config_snapshot.ConfigSnapshot] = (
            lambda: config_snapshot.EMPTY
        )

    async def run(
        self, request: request_types.Request
    ) -> request_types.Answer:
        """Run a request, with retries where allowed, and return its answer.

        Raises:
            RefusedError: If no answer was received that is complete, or
                long enough to be streamed.
        """
        self._retry_budget.record_request()
        failed_targets: frozenset[ids.TargetId] = frozenset()
        certainly_not_run = True
        for attempt in range(1, _MAX_ATTEMPTS + 1):
            try:
                state = await self._acquire_slot(request, failed_targets)
            except request_types.RefusedError as error:
                raise _final_refusal(error, certainly_not_run) from error
            try:
                return await self._send_attempt(request, state)
            except request_types.RefusedError as error:
                certainly_not_run = (
                    certainly_not_run and error.certainly_not_run
                )
                failed_targets |= {state.target_id}
                if not self._may_retry(request, error, attempt):
                    raise _final_refusal(error, certainly_not_run) from error
            metrics.RETRIES.inc()
        raise AssertionError("the last attempt returns or raises")

    async def _acquire_slot(
        self,
        request: request_types.Request,
        failed_targets: frozenset[ids.TargetId],
    ) -> domain_target_table.TargetState:
        customer = self.get_snapshot().customer_by_id.get(request.customer)
        # Requests on routes open to all have no customer.
        weight = customer.weight if customer else 1.0
        queue_limit = customer.queue_limit if customer else 64
        return await self._slot_queue.acquire(
            request, weight, queue_limit, failed_targets
        )

    def _may_retry(
        self,
        request: request_types.Request,
        error: request_types.RefusedError,
        attempt: int,
    ) -> bool:
        if attempt >= _MAX_ATTEMPTS or not request.may_retry:
            return False
        if not request.body.is_replayable:
            return False
        if not (error.certainly_not_run or request.is_idempotent):
            return False
        if error.code in (_CODES.DEADLINE_PASSED, _CODES.CALLER_LEFT):
            return False
        return self._retry_budget.try_spend()

    async def _send_attempt(
        self,
        request: request_types.Request,
        state: domain_target_table.TargetState,
    ) -> request_types.Answer:
        if not self._is_key_active(request):
            self._slot_queue.release(state, 0.0)
            raise request_types.RefusedError(_CODES.KEY_REFUSED)
        try:
            request.check_caller()
        except request_types.RefusedError:
            self._slot_queue.release(state, 0.0)
            raise
        connections = self._connections_of(state)
        # A request that isn't idempotent reuses only a recently used one.
        connection = connections.acquire(not request.is_idempotent)
        attempt = _Attempt(self, request, state, connection)
        try:
            answer = await attempt.send()
        except request_types.RefusedError as error:
            await attempt.abort(error.code in _TARGET_FAULT_CODES)
            raise
        except BaseException:
            await attempt.abort(is_target_fault=False)
            raise
        if answer.remaining_pieces is None:
            await attempt.complete()
        return answer

    def _is_key_active(self, request: request_types.Request) -> bool:
        """Return whether the key is in the active configuration.

        It may have been withdrawn while the request waited.
        """
        if not request.key_id:
            return True
        return request.key_id in self.get_snapshot().configuration.key_by_id

    def _connections_of(
        self, state: domain_target_table.TargetState
    ) -> streaming_connection.StreamingConnectionPool:
        address = f"{state.record.address}:{state.record.port}"
        connections = self._connections_by_address.get(address)
        if connections is None:
            connections = streaming_connection.StreamingConnectionPool(
                address, self._connect, self._clock
            )
            self._connections_by_address[address] = connections
        return connections

    async def close(self) -> None:
        """Close all idle connections to targets."""
        for connections in self._connections_by_address.values():
            await connections.close()


def _final_refusal(
    error: request_types.RefusedError, certainly_not_run: bool
) -> request_types.RefusedError:
    """Return the refusal for the caller; not-run only if no attempt ran.

    If any attempt may have run, the outcome is unknown.
    """
    if certainly_not_run or not error.certainly_not_run:
        return error
    return request_types.RefusedError(
        error.code,
        error.detail,
        error.retry_after_s,
        result_codes.Outcome.UNKNOWN,
    )


class _Attempt:
    """One attempt of a request: one slot, one connection, one answer."""

    def __init__(
        self,
        executor: TargetExecutor,
        request: request_types.Request,
        state: domain_target_table.TargetState,
        connection: streaming_connection.StreamingConnection,
    ) -> None:
        self._executor = executor
        self._request = request
        self._state = state
        self._connection = connection
        self._clock = executor._clock
        self._started_at = self._clock.now()
        self._has_ended = False
        self._target_answer: streaming_connection.StreamingResponse | None = (
            None
        )

    def _remaining_s(self) -> float:
        return self._request.deadline_at - self._clock.now()

    async def send(self) -> request_types.Answer:
        """Send the request and return the answer.

        A small body is read completely, so that a short answer is known to
        be complete before any of it is forwarded; the rest of a large one
        is streamed.
        """
        request = self._request
        remaining_s = self._remaining_s()
        if remaining_s <= 0:
            raise request_types.RefusedError(_CODES.DEADLINE_TOO_SHORT)
        self._executor._events.add(
            event_ring.EventKind.SENT,
            request_id=request.request_id,
            customer=request.customer,
            subject=self._state.target_id,
        )
        try:
            async with asyncio.timeout(remaining_s):
                self._target_answer = await self._send(remaining_s)
                return await self._read_answer(self._target_answer)
        except TimeoutError as error:
            raise request_types.RefusedError(_CODES.DEADLINE_PASSED) from error
        except errors.TargetError as error:
            code = _CODES.TARGET_FAILED
            if not error.may_have_been_sent:
                code = _CODES.TARGET_UNREACHABLE
            raise request_types.RefusedError(code, str(error)) from error

    async def _send(
        self, remaining_s: float
    ) -> streaming_connection.StreamingResponse:
        request = self._request
        request_target = request.path.encode("latin-1")
        if request.query:
            request_target += b"?" + request.query
        headers = [
            *request.headers,
            (http_headers.REQUEST_ID, request.request_id.encode()),
            (
                http_headers.DEADLINE_MS,
                b"%d" % max(1, int(remaining_s * 1000)),
            ),
        ]
        if request.idempotency_key:
            key = request.idempotency_key.encode()
            headers.append((http_headers.IDEMPOTENCY_KEY, key))
        body: bytes | abc.AsyncIterator[bytes] = request.body.buffered
        if not request.body.is_replayable:
            body = request.body.pieces()
        return await self._connection.send(
            request.method, request_target, headers, body, remaining_s
        )

    async def _read_answer(
        self, target_answer: streaming_connection.StreamingResponse
    ) -> request_types.Answer:
        self._check_answer_head(target_answer)
        forwarded_headers = http_headers.filter_response_headers(
            target_answer.headers
        )
        length = target_answer.header(http_headers.CONTENT_LENGTH)
        if self._request.method == "HEAD" and length is not None:
            forwarded_headers.append((http_headers.CONTENT_LENGTH, length))
        first = bytearray()
        async for piece in target_answer.body_chunks:
            first += piece
            if len(first) >= request_types.STREAMING_THRESHOLD_BYTES:
                rest_pieces = self._stream_rest(target_answer.body_chunks)
                return request_types.Answer(
                    target_answer.status,
                    forwarded_headers,
                    bytes(first),
                    rest_pieces,
                    self.abandon,
                )
        self._record_status(target_answer.status)
        return request_types.Answer(
            target_answer.status, forwarded_headers, bytes(first)
        )

    def _check_answer_head(
        self, target_answer: streaming_connection.StreamingResponse
    ) -> None:
        """Raise if the target shed the request or the answer is not valid.

        It must not be the answer to another request, or lack a length.

        Without framing headers a truncated body can't be detected.
        """
        request = self._request
        echoed_id = target_answer.header(http_headers.REQUEST_ID)
        if echoed_id not in (None, request.request_id.encode()):
            raise errors.TargetError(
                "answer to another request", may_have_been_sent=True
            )
        is_shed = target_answer.header(http_headers.NOT_PROCESSED) is not None
        if target_answer.status == _SHED_STATUS and is_shed:
            raise request_types.RefusedError(_CODES.TARGET_SHED)
        has_body = request.method != "HEAD" and (
            target_answer.status not in _STATUSES_WITHOUT_BODY
        )
        is_framed = any(
            target_answer.header(name) is not None for name in _FRAMING_HEADERS
        )
        if has_body and not is_framed:
            raise errors.TargetError(
                "answer without length", may_have_been_sent=True
            )

    def _record_status(self, status: int) -> None:
        executor = self._executor
        latency_s = self._clock.now() - self._started_at
        if status >= _MIN_SERVER_ERROR_STATUS:
            executor._targets.record_failure(
                self._state, executor._rng.random()
            )
        else:
            executor._targets.record_success(self._state, latency_s)

    async def _stream_rest(
        self, pieces: abc.AsyncIterator[bytes]
    ) -> abc.AsyncIterator[bytes]:
        """Yield the rest of a large answer; release the slot at its end.

        A failure here is not recorded for the target: the receiver closes
        the answer, which only aborts the attempt.
        """
        try:
            async with asyncio.timeout(self._remaining_s()):
                async for piece in pieces:
                    if not self._executor._is_key_active(self._request):
                        raise request_types.RefusedError(_CODES.KEY_WITHDRAWN)
                    yield piece
            self._record_status(200)
            await self.complete()
        except TimeoutError as error:
            raise request_types.RefusedError(_CODES.DEADLINE_PASSED) from error
        except errors.TargetError as error:
            raise request_types.RefusedError(
                _CODES.TARGET_FAILED, str(error)
            ) from error

    async def abandon(self) -> None:
        """Abort an answer that nobody reads; no effect after its end."""
        await self.abort(is_target_fault=False)

    async def complete(self) -> None:
        """Release the slot, and pool the connection of a complete answer."""
        if self._has_ended:
            return
        self._has_ended = True
        state = self._state
        slot_limit = self._executor._slot_limit(state.target_id)
        connections = self._executor._connections_of(state)
        self._release()
        max_idle_connections = max(0, slot_limit - state.requests_in_flight)
        if self._target_answer is not None:
            await self._target_answer.close()
        await connections.release(self._connection, max_idle_connections)

    async def abort(self, is_target_fault: bool) -> None:
        """Close the connection of an answer that wasn't read completely.

        The target treats the closed connection as a cancellation; the slot
        is released only after a grace time in which the target notices it.

        Args:
            is_target_fault (bool): Whether to record a failure of the
                target.
        """
        if self._has_ended:
            return
        self._has_ended = True
        executor = self._executor
        if is_target_fault:
            jitter = executor._rng.random()
            executor._targets.record_failure(self._state, jitter)
        loop = asyncio.get_running_loop()
        loop.call_later(_CANCEL_GRACE_S, self._release)
        await self._connection.close()

    def _release(self) -> None:
        held_s = self._clock.now() - self._started_at
        self._executor._slot_queue.release(self._state, held_s)
